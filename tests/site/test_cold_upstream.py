#!/usr/bin/env python3
"""Cold upstreams get no more requests in a second than they can handle, whatever is restarted.

Guards against gateways that take an upstream as warm since a new leader has not heard of its warm-up
yet (case control_restarted), since their routing table is older than its restart (case
upstream_restarted), or since another leader has granted what may still be used (case
leaders_in_turn). Usage: test_cold_upstream.py BUILD CASE
"""
import asyncio
import random
import signal
import sys
import time

from siteload import SiteLoad
from soaklib.checks import COLD_RATE

SEED = 20261210
GATEWAYS = 6
CALLERS_PER_GATEWAY = 10
COLD_S = 6.0
REGISTERED_S = 1.2  # after its start the upstream is registered and in the tables
DOWN_S = 0.5  # between a kill and the start
MIN_SERVED = 0.9  # of the requests without keys while one of five upstreams is cold


async def restart_controls(site):
    """Kills all control hosts at once and starts them again with their data."""
    for control in site.controls:
        control.signal(signal.SIGKILL)
    await asyncio.sleep(DOWN_S)
    for control in site.controls:
        control.start()


async def restart_upstream(site, upstream):
    """Ends an upstream and starts its next incarnation, which is cold, at its address."""
    await upstream.crash()
    await asyncio.sleep(DOWN_S)
    site.cold_s = COLD_S
    await site.add_upstream(upstream.name, upstream.address)


async def control_restarted(site):
    """All control hosts restart while an upstream is cold that they know of."""
    await restart_upstream(site, site.upstreams[0])
    await asyncio.sleep(REGISTERED_S)
    await restart_controls(site)


async def upstream_restarted(site):
    """An upstream restarts while no control host runs, so that no table can tell of it."""
    for control in site.controls:
        control.signal(signal.SIGKILL)
    await asyncio.sleep(DOWN_S)
    await restart_upstream(site, site.upstreams[0])
    await asyncio.sleep(1.5)
    for control in site.controls:
        control.start()


async def leaders_in_turn(site):
    """Several changes of the leader while an upstream is cold."""
    await restart_upstream(site, site.upstreams[0])
    await asyncio.sleep(REGISTERED_S)
    for _ in range(2):
        await restart_controls(site)
        await asyncio.sleep(1.5)


CASES = {case.__name__: case for case in (control_restarted, upstream_restarted, leaders_in_turn)}


def most_in_a_second(times):
    """Most of the times that lie in one second."""
    return max((sum(start <= at < start + 1.0 for at in times) for start in times), default=0)


async def play(load, case):
    site = load.site
    begun_at = time.monotonic()
    await case(site)
    await asyncio.sleep(max(begun_at + DOWN_S + COLD_S + 1.0 - time.monotonic(), 0))
    served = load.outcomes_since(begun_at)
    for upstream, times in site.checks.cold_arrivals.items():
        print(f"{upstream} got {len(times)} requests while it was cold, at most "
              f"{most_in_a_second(times)} in a second")
    print(f"{sum(served)} of {len(served)} requests were served")
    assert sum(served) >= MIN_SERVED * len(served)


def main():
    build, case = sys.argv[1:3]
    seed = int(sys.argv[3]) if len(sys.argv) > 3 else SEED
    random.seed(seed)
    load = SiteLoad(build, seed, GATEWAYS, CALLERS_PER_GATEWAY)
    load.site.is_keyed = False
    load.site.cold_rate = COLD_RATE
    asyncio.run(load.run(lambda site: play(site, CASES[case])))


if __name__ == "__main__":
    main()
