#!/usr/bin/env python3
"""Repeats a request under which each upstream crashes, at both gateways of a site in turn.

Guards against gateways that send a request on although upstreams have crashed under it, one after
the other: each gateway has to learn what the others have seen. Usage: test_crashing_request.py BUILD
"""
import asyncio
import pathlib
import sys

root = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(root / "tools"))
from soak import Soak  # noqa: E402
from soaklib.upstreams import http  # noqa: E402

SEED = 20261206
KEY = 7
WAIT_S = 20.0  # until orders are served
CONTACT_S = 3.0  # time in which all gateways must know of the third crash
MAX_CRASHES = 3
MAX_RETRIES = 3  # that reach an upstream later than CONTACT_S after the last of these crashes
REPETITIONS = 12


class CrashingRequestTest:
    """The site of the soak test without faults, and orders with one key."""

    def __init__(self, build):
        self.site = Soak(build, SEED, 0)
        self.next_id = 0

    async def send(self, gateway, body):
        """Sends an order; returns its status."""
        self.next_id += 1
        status, _, _ = await http(
            "POST", f"{gateway.ip}:{self.site.ports['callers']}", "/order/x", body,
            {"X-Cassiaroad-Request-Id": f"order{self.next_id:05d}",
             "X-Cassiaroad-Shard-Key": str(KEY), "X-Cassiaroad-Deadline-Ms": "1400"}, 3.0)
        return status

    async def wait_until_served(self, gateway):
        """Waits until a usual order for KEY is served; no other request may be refused for long."""
        for _ in range(int(WAIT_S / 0.1)):
            if await self.send(gateway, "abc") == 200:
                return
            await asyncio.sleep(0.1)
        raise AssertionError("orders are not served")

    async def restart_crashed(self):
        """Starts the upstreams that have crashed; returns their number."""
        crashed = [upstream for upstream in self.site.upstreams if not upstream.up]
        for upstream in crashed:
            await self.site.add_upstream(upstream.name, upstream.address)
            self.site.upstreams[-1].crashes_under = upstream.crashes_under
        return len(crashed)

    async def repeat(self):
        """Repeats the request; returns the number of upstreams that crashed under it, and of those
        that did so after all gateways must have known."""
        crashes, late = 0, 0
        for repetition in range(REPETITIONS):
            gateway = self.site.gateways[repetition % 2]
            await self.wait_until_served(gateway)
            status = await self.send(gateway, "deadly")
            crashed = await self.restart_crashed()
            crashes += crashed
            late += crashed if crashes > MAX_CRASHES else 0
            assert crashed or status == 503, status
            if crashed and crashes == MAX_CRASHES:
                await asyncio.sleep(CONTACT_S)
        return crashes, late

    async def run(self):
        try:
            await self.site.start_site()
            for upstream in self.site.upstreams:
                upstream.crashes_under = b"deadly"
            crashes, late = await self.repeat()
            assert crashes >= MAX_CRASHES, "the request has crashed too few upstreams for a test"
            assert late <= MAX_RETRIES, f"{crashes} upstreams crashed, {late} of them late"
            print("1 passed, 0 failed")
        finally:
            await self.site.stop()


def main():
    asyncio.run(CrashingRequestTest(sys.argv[1]).run())


if __name__ == "__main__":
    main()
