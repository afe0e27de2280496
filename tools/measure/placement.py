"""Imbalance, churn and unavailable time of the placement policies, by placementbench."""
import csv
import os
import subprocess

from .report import Table

MAX_WAIT = 300  # seconds for the end of the run


class Placement:
    """A run of placementbench in the background. Its workloads have fixed seeds, so that the
    figures do not depend on other measurements at the same time."""

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
            status = self.process.wait(MAX_WAIT)
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
