#!/usr/bin/env python3
"""Gateways are killed and started again and again while upstreams turn all requests away.

Guards against gateways that repeat more requests than all of them together may, because the count
of those that were repeated ends with a process. Usage: test_restarted_gateways.py BUILD
"""
import asyncio
import sys
import time

from siteload import SiteLoad

SEED = 20261209
GATEWAYS = 6
RESTARTS = 6
RESTART_INTERVAL_S = 1.5


async def play(load):
    site = load.site
    for upstream in site.upstreams:
        upstream.pause_s = 0
    begun_at = time.monotonic()
    for _ in range(RESTARTS):
        await asyncio.sleep(RESTART_INTERVAL_S)
        for gateway in site.gateways:
            gateway.end()
        for gateway in site.gateways:
            gateway.start()
    await asyncio.sleep(2.0)
    site.checks.check_repeats(begun_at, time.monotonic())


if __name__ == "__main__":
    asyncio.run(SiteLoad(sys.argv[1], SEED, GATEWAYS).run(play))
