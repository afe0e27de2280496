#!/usr/bin/env python3
"""Upstreams turn requests away with 503 and say with Retry-After how long they want none.

Guards against gateways that send an upstream requests in the time for which it has asked for none.
Usage: test_paused_upstream.py BUILD
"""
import asyncio
import sys

from siteload import SiteLoad

SEED = 20261208
GATEWAYS = 2
PAUSE_S = 2
PAUSED_UPSTREAMS = 2
PLAY_S = 8.0


async def play(load):
    for upstream in load.site.upstreams[:PAUSED_UPSTREAMS]:
        upstream.pause_s = PAUSE_S
    await asyncio.sleep(PLAY_S)
    asked = len(load.site.checks.pauses)
    assert asked == GATEWAYS * PAUSED_UPSTREAMS, f"only {asked} pairs were asked for a pause"


if __name__ == "__main__":
    asyncio.run(SiteLoad(sys.argv[1], SEED, GATEWAYS).run(play))
