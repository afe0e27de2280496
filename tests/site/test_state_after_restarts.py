#!/usr/bin/env python3
"""Kills gateways and control hosts after an upstream has left and a route was withdrawn.

Guards against state that is in use again after a restart of a process: the upstream, which still
sends heartbeats as if it were ready, and the route must stay out of use.
Usage: test_state_after_restarts.py BUILD
"""
import asyncio
import sys
import time

from siteload import SiteLoad

SEED = 20261210
GATEWAYS = 2
SETTLED_S = 4.0  # after which other upstreams must own the keys, and the change must be in force
DOWN_S = 0.5
WATCH_S = 6.0  # after each restart
MIN_SERVED = 0.5  # in the watch, which includes the time until the processes are ready


async def restart(hosts):
    for host in hosts:
        host.end()
    await asyncio.sleep(DOWN_S)
    for host in hosts:
        host.start()


async def check_routes(load, withdrawn, until):
    """Asks each gateway for the withdrawn route until a time."""
    connections = [(gateway, load.site.connect(gateway)) for gateway in load.site.gateways]
    while time.monotonic() < until:
        await asyncio.sleep(0.05)
        for gateway, connection in connections:
            _, status, _ = await load.site.send(connection, gateway, "GET", f"/v{withdrawn}/x")
            assert status != 200, f"{gateway.name} serves the route that was withdrawn"


async def play(load):
    site = load.site
    upstream, withdrawn = site.upstreams[0], site.version
    upstream.says_leaving = True
    await site.put_configuration(5.0)
    assert site.version > withdrawn, "the route was not withdrawn"
    await asyncio.sleep(SETTLED_S)
    for hosts in (site.gateways, site.controls, site.controls + site.gateways):
        names = ", ".join(host.name for host in hosts)
        before = upstream.accepted_at
        await restart(hosts)
        started_at = time.monotonic()
        await check_routes(load, withdrawn, started_at + WATCH_S)
        assert upstream.accepted_at == before, (
            f"{upstream.name} has left, and got a request {upstream.accepted_at - started_at:.2f} s "
            f"after {names} had started again")
        served = load.outcomes_since(started_at)
        assert sum(served) >= MIN_SERVED * len(served), f"{sum(served)} of {len(served)}: {names}"


if __name__ == "__main__":
    asyncio.run(SiteLoad(sys.argv[1], SEED, GATEWAYS).run(play))
