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
# Bounds of the settings of the site.
RETRY_SHARE = 0.2
RETRY_SLACK = 50
RETRY_WINDOW_S = 10.0
STEP_S = 0.5  # by which the window slides


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
    check_windows(site.checks, begun_at, time.monotonic())


def check_windows(checks, begun_at, ended_at):
    """Checks every window that begins in the play."""
    start = begun_at
    while start < ended_at:
        repeats = checks.count_repeats(start, start + RETRY_WINDOW_S)
        requests = max(requests_in(checks, start - shift)
                       for shift in (0.0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S))
        allowed = RETRY_SHARE * requests + RETRY_SLACK
        if repeats > allowed:
            checks.violations.append(f"{start - begun_at:.1f} s: {repeats} repeats for {requests} "
                                     f"requests, {allowed:.0f} are allowed")
        start += STEP_S


def requests_in(checks, start):
    """Number of requests that callers sent in the window that begins at `start`."""
    return sum(start <= at < start + RETRY_WINDOW_S for _, at in checks.sent.values())


if __name__ == "__main__":
    asyncio.run(SiteLoad(sys.argv[1], SEED, GATEWAYS).run(play))
