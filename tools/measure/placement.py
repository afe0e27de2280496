"""Imbalance, churn and unavailable time of the placement policies on both users' workloads."""
import csv
import os
import subprocess

from .report import Table

BOUND = 300  # seconds


class Placement:
    """One run of placementbench, whose workloads have fixed seeds: each run gives the same figures
    and may go on beside other measurements."""

    def __init__(self, context):
        self.path = os.path.join(context.results, "placement.csv")
        command = [os.path.join(context.build, "placementbench"), "--csv", self.path]
        self.process = subprocess.Popen(command + (["--quick"] if context.quick else []),
                                        stdout=subprocess.DEVNULL)

    def measure(self, _):
        """Waits for the end of the run and returns its table."""
        table = Table("placement", "Placement: policies on both workloads (lower is better)",
                      ["workload", "policy", "result"])
        try:
            status = self.process.wait(BOUND)
            if status != 0:
                raise OSError("exit status %d" % status)
            with open(self.path, newline="") as stream:
                table.columns, *table.rows = list(csv.reader(stream))
        except (OSError, subprocess.SubprocessError, ValueError) as error:
            table.add_failure("placementbench", error)
        return [table]

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
