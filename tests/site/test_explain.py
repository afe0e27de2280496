#!/usr/bin/env python3
"""Follows three failed requests of real processes from their ids to the causes that it injects.

Guards against a log or an explain command that leaves out what docs/OPERATIONS.md promises: the
cause of a refusal, of an unknown outcome and of a late answer, also after the gateway that took the
request was killed. Usage: test_explain.py BUILD
"""
import asyncio
import pathlib
import signal
import subprocess
import sys

root = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(root / "tools"))
from soak import Soak  # noqa: E402
from soaklib.upstreams import http  # noqa: E402

SEED = 20261204
KEY = 7
WAIT_S = 20.0  # for a condition of the site


class ExplainTest:
    def __init__(self, build):
        self.site = Soak(build, SEED, 0)
        self.binary = str(pathlib.Path(build) / "cassiaroad")
        self.next_id = 0

    async def send(self, gateway, deadline_ms=1400):
        """Sends an order for KEY; returns its id and status."""
        self.next_id += 1
        request_id = f"order{self.next_id:05d}"
        status, _, _ = await http(
            "POST", f"{gateway.ip}:{self.site.ports['callers']}", "/order/x", "abc",
            {"X-Cassiaroad-Request-Id": request_id, "X-Cassiaroad-Shard-Key": str(KEY),
             "X-Cassiaroad-Deadline-Ms": str(deadline_ms)}, 3.0)
        return request_id, status

    def owner(self):
        return next((u for u in self.site.upstreams if u.up and u.held(KEY)), None)

    async def settle(self, gateway):
        """Waits until orders are served again; returns the upstream that holds KEY."""
        for _ in range(int(WAIT_S / 0.1)):
            _, status = await self.send(gateway)
            if status == 200 and self.owner() is not None:
                return self.owner()
            await asyncio.sleep(0.1)
        raise AssertionError("orders are not served")

    def explain(self, request_id):
        logs = [str(host.log.name) for host in self.site.controls + self.site.gateways]
        done = subprocess.run([self.binary, "explain", request_id, *logs], capture_output=True,
                              text=True, check=False)
        assert done.returncode == 0, done.stderr
        return done.stdout.splitlines()

    def kill(self, gateway):
        gateway.signal(signal.SIGKILL)
        gateway.process.wait()

    async def refused(self, gateway):
        """More orders for one key than its owner can answer in time."""
        owner = await self.settle(gateway)
        owner.work_s = (1.0, 1.0)
        answers = await asyncio.gather(*(self.send(gateway) for _ in range(80)))
        owner.work_s = (0.005, 0.03)
        request_id = next(id for id, status in answers if status == 503)
        line = next(line for line in self.explain(request_id) if "request_failed" in line)
        assert "upstream is busy" in line or "waited too long" in line, line
        assert f"upstream={owner.name}" in line and "status=503" in line, line
        assert "sends=0" in line, line

    async def outcome_unknown(self, gateway):
        """The owner runs an order and closes its connection without an answer."""
        owner = await self.settle(gateway)
        owner.cuts_answers = True
        request_id, status = await self.send(gateway)
        owner.cuts_answers = False
        assert status == 502, status
        assert self.site.checks.runs.get(request_id) == 1
        self.kill(gateway)
        line = next(line for line in self.explain(request_id) if "request_failed" in line)
        assert "outcome unknown" in line and f"upstream={owner.name}" in line, line

    async def late(self, gateway):
        """The owner of the key leaves while orders arrive."""
        owner = await self.settle(gateway)
        owner.draining = True
        delayed = []
        for _ in range(400):
            request_id, status = await self.send(gateway)
            log = pathlib.Path(gateway.log.name).read_text()
            if status == 200 and '"request_delayed"' in log and request_id in log.split(
                    '"request_delayed"')[-1]:
                delayed.append(request_id)
            if delayed and self.owner() not in (None, owner):
                break
            await asyncio.sleep(0.01)
        assert delayed, "no order waited for the new owner of its key"
        self.kill(gateway)
        lines = self.explain(delayed[0])
        line = next(line for line in lines if "request_delayed" in line)
        assert "status=200" in line, line
        if "owner_wait_ms=0" in line:
            assert any("owner has changed" in other for other in lines), lines
        moved = [other for other in lines if "range_transferred" in other]
        assert moved and f"upstream={self.owner().name}" in moved[-1], lines

    async def run(self):
        await self.site.start_site()
        first, second = self.site.gateways
        await self.refused(first)
        await self.outcome_unknown(first)
        await self.late(second)


def main():
    test = ExplainTest(sys.argv[1])
    try:
        asyncio.run(test.run())
        print("3 passed, 0 failed")
    finally:
        test.site.stop()


if __name__ == "__main__":
    main()
