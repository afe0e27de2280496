"""Tests of the load tool against test upstreams. Usage: test_load.py BUILD_FOLDER"""
import json
import os
import subprocess
import sys
import tempfile
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "tools"))
from testsite.http import NoResponse, request  # noqa: E402
from testsite.journal import read_journals  # noqa: E402
from testsite.ports import free_addresses  # noqa: E402
from testsite.process import Process, wait_for  # noqa: E402

BUILD = "build"


class LoadTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def upstream(self, *options):
        address, nobody = free_addresses(2)
        journal = os.path.join(self.folder, "journal")
        process = Process("u", [
            os.path.join(BUILD, "test_upstream"), "--service", "orders", "--name", "u", "--zone",
            "z", "--listen", address, "--entry", nobody, "--token", "t" * 8, "--journal", journal,
            "--trusts", *options], os.path.join(self.folder, "log"))
        process.start()
        self.addCleanup(process.kill)
        wait_for(lambda: self.is_up(address), 10, "upstream up")
        return address, journal

    @staticmethod
    def is_up(address):
        try:
            return request(address, "GET", "/healthz").status == 200
        except NoResponse:
            return False

    def load(self, address, *options):
        output = subprocess.run(
            [os.path.join(BUILD, "load"), "--target", address, "--service", "orders", "--grant",
             "shard/1/1", *options], check=True, capture_output=True, timeout=60)
        return json.loads(output.stdout)

    def test_counts_every_request_once(self):
        """Guards against requests that are sent but missing from the report."""
        address, journal = self.upstream("--slots", "200", "--service-ms", "5")
        report = self.load(address, "--rate", "300", "--seconds", "1", "--posts", "0.5")
        self.assertEqual(sum(report["outcomes"].values()), report["sent"])
        self.assertEqual(len(read_journals([journal])), report["outcomes"]["answered"])
        self.assertGreaterEqual(report["p50_ms"], 5)

    def test_repeats_the_same_requests_with_the_same_seed(self):
        """Guards against runs with equal seeds that cannot be compared, since their requests
        differ."""
        address, journal = self.upstream("--slots", "200")
        for _ in range(2):
            self.load(address, "--rate", "100", "--seconds", "1", "--seed", "7")
        paths = [run["path"] for run in sorted(read_journals([journal]),
                                               key=lambda run: int(run["request"].split("-")[1]))]
        self.assertEqual(paths[0::2], paths[1::2])

    def test_counts_shed_requests_separately(self):
        """Guards against refused requests that count as answered."""
        address, _ = self.upstream("--slots", "1", "--service-ms", "200")
        report = self.load(address, "--rate", "100", "--seconds", "1")
        self.assertGreater(report["outcomes"]["not-run"], report["outcomes"]["answered"])


if __name__ == "__main__":
    BUILD = sys.argv.pop(1)
    unittest.main()
