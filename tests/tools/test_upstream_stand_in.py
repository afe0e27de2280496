"""Tests of the simulated upstream (test_upstream) with a fake entry host.

Usage: test_upstream_stand_in.py BUILD_FOLDER
"""
import hashlib
import http.server
import json
import os
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "tools"))
from testsite.http import request  # noqa: E402
from testsite.journal import read_journals  # noqa: E402
from testsite.ports import free_addresses  # noqa: E402
from testsite.process import Process, wait_for  # noqa: E402

BUILD = "build"
MAX_WAIT = 10.0  # seconds


class EntryHost:
    """Fake entry host that responds to announcements with the grants that a test sets."""

    def __init__(self):
        self.announcements = []
        self.grants = {"version": 1, "shards": [], "keys": [], "moved_away": []}
        self.answering = True
        owner = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):
                length = int(self.headers["Content-Length"])
                owner.announcements.append(json.loads(self.rfile.read(length)))
                body = {"lease_ms": 1000, "announce_ms": 50, "grants": owner.grants}
                text = json.dumps(body).encode()
                self.send_response(200 if owner.answering else 503)
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            def log_message(self, *_):
                pass

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.server.handle_error = lambda *_: None  # a killed upstream resets its connection
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def grant(self, shards):
        """Sets the granted shards and waits until the upstream reports to have them."""
        version = self.grants["version"] + 1
        self.grants = {"version": version, "shards": shards, "keys": [], "moved_away": []}
        wait_for(lambda: self.announcements[-1]["held_grants"] == version, MAX_WAIT, "grants taken")


class UpstreamTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.entry = EntryHost()
        self.addCleanup(self.entry.server.server_close)
        self.addCleanup(self.entry.server.shutdown)

    def start(self, *options):
        self.address = free_addresses(1)[0]
        self.journal = os.path.join(self.folder, "o1.journal")
        self.process = Process("o1", [
            os.path.join(BUILD, "test_upstream"), "--service", "orders", "--name", "o1", "--zone",
            "z", "--listen", self.address, "--entry", self.entry.address, "--token", "t" * 8,
            "--journal", self.journal, *options], os.path.join(self.folder, "o1.log"))
        self.process.start()
        self.addCleanup(self.process.kill)
        wait_for(lambda: self.entry.announcements, MAX_WAIT, "announced")

    def post(self, grant, path="/orders/k1/prints", headers=None, body=b"{}"):
        return request(self.address, "POST", path, {"Cassiaroad-Grant": grant, **(headers or {})},
                       body)

    def test_runs_only_under_a_grant_it_holds(self):
        """Guards against an upstream that accepts an old grant or one that it does not have
        (P1)."""
        self.start()
        self.entry.grant([{"shard": 7, "epoch": 3, "releasing": False}])
        self.assertEqual(self.post("shard/7/3").status, 201)
        for grant in ("shard/7/2", "shard/8/3", "key/3", ""):
            response = self.post(grant)
            self.assertEqual((response.status, response.outcome), (409, "not-run"), grant)
        self.assertEqual([run["grant"] for run in read_journals([self.journal])], ["shard/7/3"])

    def test_refuses_after_a_pause_longer_than_its_lease(self):
        """Guards against an upstream that uses an expired lease after a pause (P1)."""
        self.start()
        self.entry.grant([{"shard": 7, "epoch": 3, "releasing": False}])
        self.entry.answering = False
        self.process.pause()
        time.sleep(1.2)  # longer than the lease of 1 s
        self.process.resume()
        self.assertEqual(self.post("shard/7/3").outcome, "not-run")

    def test_upstream_without_grant_checks_runs_everything(self):
        """Guards against a simulated upstream that checks grants although it should not."""
        self.start("--trusts")
        self.assertEqual(self.post("shard/1/1").status, 201)
        self.assertFalse(self.entry.announcements[-1]["checks_grants"])

    def test_sheds_load_over_its_slots(self):
        """Guards against a simulated upstream with more capacity than it announces."""
        self.start("--trusts", "--slots", "2", "--service-ms", "500")
        responses = []
        threads = [threading.Thread(target=lambda: responses.append(self.post("shard/1/1")))
                   for _ in range(5)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(sorted(response.status for response in responses),
                         [201, 201, 503, 503, 503])
        self.assertEqual(len(read_journals([self.journal])), 2)

    def test_releases_a_shard_when_nothing_is_in_progress(self):
        """Guards against the release of a shard while a request for it is running (P7)."""
        self.start("--service-ms", "400")
        self.entry.grant([{"shard": 7, "epoch": 3, "releasing": False}])
        running = threading.Thread(target=self.post, args=("shard/7/3",))
        running.start()
        wait_for(lambda: read_journals([self.journal]), MAX_WAIT, "request runs")
        self.entry.grant([{"shard": 7, "epoch": 3, "releasing": True}])
        self.assertEqual(self.entry.announcements[-1]["released"], [])
        self.assertEqual(self.post("shard/7/3").outcome, "not-run")
        running.join()
        wait_for(lambda: self.entry.announcements[-1]["released"] == [{"shard": 7, "epoch": 3}],
                 MAX_WAIT, "released")

    def test_exits_when_nothing_is_granted(self):
        """Guards against an upstream that exits while it still owns keys (P7)."""
        self.start()
        self.entry.grant([{"shard": 7, "epoch": 3, "releasing": False}])
        self.process.terminate()
        wait_for(lambda: self.entry.announcements[-1]["draining"], MAX_WAIT, "draining")
        self.assertEqual(self.post("shard/7/3").status, 201)
        self.entry.grants = {"version": 9, "shards": [], "keys": [], "moved_away": []}
        self.assertEqual(self.process.wait_exit(MAX_WAIT), 0)

    def test_stores_an_upload_in_chunks(self):
        """Guards against chunks that are stored twice, at a wrong offset or not at all."""
        self.start("--trusts")
        content = os.urandom(300_000)
        created = self.post("shard/1/1", "/orders/k1/uploads",
                            {"Upload-Length": str(len(content))}, b"")
        self.assertEqual(created.status, 201)
        path = created.headers["location"]
        chunk = {"Content-Type": "application/offset+octet-stream", "Upload-Offset": "0"}
        first = request(self.address, "PATCH", path, chunk, content[:100_000])
        self.assertEqual((first.status, first.headers["upload-offset"]), (204, "100000"))
        again = request(self.address, "PATCH", path, chunk, content[:100_000])
        self.assertEqual(again.status, 409)
        head = request(self.address, "HEAD", path)
        self.assertEqual(head.headers["upload-offset"], "100000")
        request(self.address, "PATCH", path, {**chunk, "Upload-Offset": "100000"},
                content[100_000:])
        report = json.loads(request(self.address, "GET", path).body)
        self.assertEqual(report["sha256"], hashlib.sha256(content).hexdigest())


if __name__ == "__main__":
    BUILD = sys.argv.pop(1)
    unittest.main()
