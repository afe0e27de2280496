#!/usr/bin/env python3
"""Upstreams run unsafe requests for long while reports about them do not arrive.

Guards against running work that is started again elsewhere or given up because a machine was silent
or slow to report. Usage: test_unreported_work.py BUILD
"""
import asyncio
import pathlib
import sys
import time

root = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(root / "tools"))
from soak import Soak  # noqa: E402
from soaklib.upstreams import http  # noqa: E402

SEED = 20261211
KEYS = range(0, 65536, 8192)  # of the orders that run
WAIT_S = 20.0  # until orders are served
WORK_S = 7.0
SILENCE_S = 5.0  # longer than a lease
DEADLINE_MS = 9000


class UnreportedWorkTest:
    """The site of the soak test without faults, and the tests on it."""

    def __init__(self, build):
        self.site = Soak(build, SEED, 0)
        self.site.route_timeout_s = DEADLINE_MS / 1000

    async def send(self, gateway, request_id, key):
        """Sends an order; returns its status and the body of the response."""
        status, _, text = await http(
            "POST", f"{gateway.ip}:{self.site.ports['callers']}", "/order/x", "abc",
            {"X-Cassiaroad-Request-Id": request_id, "X-Cassiaroad-Shard-Key": str(key),
             "X-Cassiaroad-Deadline-Ms": str(DEADLINE_MS)}, DEADLINE_MS / 1000 + 1.0)
        return status, text

    async def wait_until_served(self, name):
        """Waits until orders of all keys are served by all gateways."""
        for attempt in range(int(WAIT_S / 0.1)):
            ids = [f"{name}-early{attempt:04d}{key:05d}" for key in KEYS]
            responses = [await self.send(gateway, f"{request_id}{gateway.name}", key)
                         for gateway in self.site.gateways for request_id, key in zip(ids, KEYS)]
            if all(status == 200 for status, _ in responses):
                return
            await asyncio.sleep(0.1)
        raise AssertionError("orders are not served")

    async def check(self, name, begin_silence, end_silence):
        """Orders run at all upstreams through all gateways while the reports do not arrive."""
        await self.wait_until_served(name)
        for upstream in self.site.upstreams:
            upstream.service_time_s = (WORK_S, WORK_S)
        orders = {f"{name}{key:05d}{gateway.name}": (gateway, key)
                  for gateway in self.site.gateways for key in KEYS}
        tasks = [asyncio.create_task(self.send(gateway, request_id, key))
                 for request_id, (gateway, key) in orders.items()]
        await self.wait_until_running(orders)
        for upstream in self.site.upstreams:
            upstream.service_time_s = (0.005, 0.03)
        begin_silence()
        await asyncio.sleep(SILENCE_S)
        end_silence()
        responses = await asyncio.gather(*tasks)
        wrong = [f"{request_id} got {response}" for request_id, response in zip(orders, responses)
                 if response != (200, f"{request_id}:3")]
        assert not wrong, f"{name}: {len(wrong)} of {len(orders)}: {wrong[:3]}"
        again = [request_id for request_id in orders if self.site.checks.runs[request_id] != 1]
        assert not again, f"{name}: {again} ran more than once"

    async def wait_until_running(self, orders):
        end = time.monotonic() + 2.0
        while not all(self.site.checks.runs.get(request_id) for request_id in orders):
            assert time.monotonic() < end, "not all orders have begun"
            await asyncio.sleep(0.02)

    def set_reporting(self, reports):
        for upstream in self.site.upstreams:
            upstream.reports = reports

    def set_relays(self, mode):
        for host in self.site.controls:
            host.set_relays(mode)

    async def run(self):
        try:
            await self.site.start_site()
            await self.check("no-heartbeats", lambda: self.set_reporting(False),
                             lambda: self.set_reporting(True))
            await self.check("no-control-hosts", lambda: self.set_relays("silent"),
                             lambda: self.set_relays("open"))
            assert not self.site.checks.violations, self.site.checks.violations[:3]
            print("2 passed, 0 failed")
        finally:
            await self.site.stop()


if __name__ == "__main__":
    asyncio.run(UnreportedWorkTest(sys.argv[1]).run())
