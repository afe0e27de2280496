"""Imbalance, churn and unavailable time of the placement policies on both users' workloads."""
import csv
import os
import subprocess

from .report import Table

BOUND = 180  # seconds


def measure(context):
    """Runs placementbench, whose workloads have fixed seeds: each run gives the same figures."""
    path = os.path.join(context.results, "placement.csv")
    command = [os.path.join(context.build, "placementbench"), "--csv", path]
    table = Table("placement", "Placement: policies on both workloads (lower is better)",
                  ["workload", "policy", "result"])
    try:
        subprocess.run(command + (["--quick"] if context.quick else []), check=True,
                       stdout=subprocess.DEVNULL, timeout=BOUND)
        with open(path, newline="") as stream:
            table.columns, *table.rows = list(csv.reader(stream))
    except (OSError, subprocess.SubprocessError, ValueError) as error:
        table.add_failure("placementbench", error)
    return [table]
