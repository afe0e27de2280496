#!/usr/bin/env python3
"""Gateways are killed and started again one after another while upstreams fail all requests.

Guards against repeats beyond the limit of the site: a gateway used up what its requests of the
window before allowed, and its next process repeated by the share of the requests that followed.
Usage: test_gateways_restarted_in_turn.py BUILD refuse|reset
"""
import asyncio
import sys
import time

from siteload import SiteLoad

SEEDS = {"refuse": 20261210, "reset": 20261211}
GATEWAYS = 6
CALLERS_PER_GATEWAY = 12
RESTART_INTERVAL_S = 1.0
CALM_S = 11.0  # a window of the retry budget, in which gateways count requests
PLAY_S = 12.0
MIN_REPEAT_SHARE = 0.05  # of requests: fewer repeats would test nothing


async def restart_in_turn(gateways):
    for gateway in gateways:
        await asyncio.sleep(RESTART_INTERVAL_S)
        gateway.end()
        gateway.start()


async def play(load, fault):
    site = load.site
    await asyncio.sleep(CALM_S)
    for upstream in site.upstreams:
        upstream.resets = fault == "reset"
        upstream.pause_s = 0 if fault == "refuse" else None
    begun_at = time.monotonic()
    await restart_in_turn(site.gateways)
    await asyncio.sleep(max(begun_at + PLAY_S - time.monotonic(), 0.0))
    requests = site.checks.count_requests(begun_at)
    repeats = site.checks.count_repeats(begun_at, begun_at + PLAY_S)
    print(f"{repeats} repeats in {PLAY_S:.0f} s, {requests} requests in the first window")
    site.checks.check_repeats(begun_at, time.monotonic())
    assert repeats > MIN_REPEAT_SHARE * requests, "gateways repeat too few requests"


if __name__ == "__main__":
    chosen = sys.argv[2]
    site_load = SiteLoad(sys.argv[1], SEEDS[chosen], GATEWAYS, CALLERS_PER_GATEWAY)
    site_load.site.is_keyed = False
    site_load.site.attempts = 3
    asyncio.run(site_load.run(lambda load: play(load, chosen)))
