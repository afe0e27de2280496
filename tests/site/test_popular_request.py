#!/usr/bin/env python3
"""An upstream crashes for its own reasons while it has several copies of a popular request.

Guards against gateways that take such a request for the cause of the crash and refuse it to all
clients from then on, for ten minutes, though upstreams would answer it. Usage:
test_popular_request.py BUILD
"""
import asyncio
import pathlib
import sys
import time

root = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(root / "tools"))
from soak import Soak  # noqa: E402

SEED = 20261211
GATEWAYS = 3
CLIENTS = 12
KEY = 7
PATH = "/read/popular"  # that no upstream has answered before
WORK_S = 0.4
CRASH_AFTER_S = 0.2
DOWN_S = 3.0
INTERVAL_S = 0.5  # between two requests of a client
MAX_OUTAGE_S = 15.0  # all must be calm again by then
MEASURED_S = 5.0
MIN_SERVED = 0.95


class PopularRequestTest:
    """The site of the soak test without faults, and clients that ask for one path."""

    def __init__(self, build):
        self.site = Soak(build, SEED, 0, GATEWAYS)
        self.outcomes = []  # (time sent, whether served)

    async def ask_forever(self, number):
        gateway = self.site.gateways[number % GATEWAYS]
        while True:
            connection = self.site.connect(gateway)
            sent_at = time.monotonic()
            _, status, _ = await self.site.send(connection, gateway, "GET", PATH, "", KEY)
            connection.close()
            self.site.connections.remove(connection)
            self.outcomes.append((sent_at, status == 200))
            await asyncio.sleep(INTERVAL_S)

    async def crash_owner(self):
        owner = next(upstream for upstream in self.site.upstreams if upstream.has_lease(KEY))
        copies = owner.running_keys.count(KEY)
        assert copies >= 3, f"the upstream has only {copies} copies of the request"
        await owner.crash()
        await asyncio.sleep(DOWN_S)
        await self.site.add_upstream(owner.name, owner.address)

    async def play(self):
        await self.site.start_site()
        for upstream in self.site.upstreams:
            upstream.service_time_s = (WORK_S, WORK_S)
        clients = [asyncio.create_task(self.ask_forever(number)) for number in range(CLIENTS)]
        try:
            begun = time.monotonic()
            await asyncio.sleep(CRASH_AFTER_S)
            await self.crash_owner()
            await asyncio.sleep(begun + MAX_OUTAGE_S + MEASURED_S - time.monotonic())
        finally:
            for client in clients:
                client.cancel()
            await asyncio.gather(*clients, return_exceptions=True)
        return [served for at, served in self.outcomes if at >= begun + MAX_OUTAGE_S]

    async def run(self):
        try:
            served = await self.play()
            print(f"{sum(served)} of {len(served)} requests were served in calm")
            assert len(served) >= CLIENTS, "too few requests for a test"
            assert sum(served) >= MIN_SERVED * len(served), "the request stays refused"
            found = self.site.checks.violations
            assert not found, "; ".join(found[:3])
            print("1 passed, 0 failed")
        finally:
            await self.site.stop()


if __name__ == "__main__":
    asyncio.run(PopularRequestTest(sys.argv[1]).run())
