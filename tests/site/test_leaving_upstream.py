#!/usr/bin/env python3
"""An upstream says in its responses that it leaves, while its heartbeats say that it is ready.

Guards against gateways that go on sending requests to an upstream whose own responses, which they
have passed on, say that it leaves. Usage: test_leaving_upstream.py BUILD
"""
import asyncio
import sys
import time

from siteload import SiteLoad

SEED = 20261207
GATEWAYS = 3
LEAVING_S = 8.0  # the upstream serves on for this time
SETTLED_S = 4.0  # after which other upstreams must own its keys
MIN_SERVED = 0.95


async def play(load):
    upstream = load.site.upstreams[0]
    upstream.says_leaving = True
    await asyncio.sleep(SETTLED_S)
    settled_at = time.monotonic()
    await asyncio.sleep(LEAVING_S - SETTLED_S)
    known = [key for key in load.site.checks.leaving if key[1] == upstream.name]
    assert len(known) == GATEWAYS, f"only {known} have passed on that the upstream leaves"
    served = load.outcomes_since(settled_at)
    assert sum(served) >= MIN_SERVED * len(served), f"{sum(served)} of {len(served)} were served"


if __name__ == "__main__":
    asyncio.run(SiteLoad(sys.argv[1], SEED, GATEWAYS).run(play))
