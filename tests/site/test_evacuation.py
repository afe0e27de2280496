#!/usr/bin/env python3
"""An operator evacuates a zone during traffic, all processes are killed, and the order is withdrawn.

Guards against gateways that send requests to an evacuated zone, against an order that is forgotten
with the processes, and against a zone that stays out of use. Usage: test_evacuation.py BUILD
"""
import asyncio
import json
import sys
import time

from siteload import SiteLoad

SEED = 20261211
GATEWAYS = 3
ZONE = "b"
ORDER_S = 10.0  # until an order must be acknowledged
IN_FORCE_S = 5.0  # from the acknowledgement
WATCH_S = 4.0
DOWN_S = 0.5
RESTART_S = 6.0  # from the start of all processes until requests must be served again
RETURN_S = 15.0  # from the withdrawal until each upstream of the zone must have served
MIN_SERVED = 0.95


async def order(site, action):
    """Sends an order until it is acknowledged; returns the time of that."""
    end = time.monotonic() + ORDER_S
    while time.monotonic() < end:
        status, _ = await site.call_control("POST", f"/-/Evacuation.{action}/{ZONE}")
        if status == 200:
            return time.monotonic()
        await asyncio.sleep(0.2)
    raise AssertionError(f"{action} was not acknowledged")


def check_untouched(upstreams, since, when):
    for upstream in upstreams:
        assert upstream.arrived_at <= since, (
            f"{upstream.name} got a request {upstream.arrived_at - since:.2f} s too late {when}")


def check_served(load, since, when):
    served = load.outcomes_since(since)
    assert served and sum(served) >= MIN_SERVED * len(served), (
        f"{sum(served)} of {len(served)} requests were served {when}")


async def play(load):
    site = load.site
    zone = [upstream for upstream in site.upstreams if upstream.zone == ZONE]
    assert zone and all(upstream.accepted_at for upstream in zone), "the zone got no requests before"
    status, text = await site.call_control("POST", "/-/Evacuation.Start/unknown")
    assert status == 404 and "unknown" in json.loads(text)["error"], (status, text)

    acknowledged_at = await order(site, "Start")
    await order(site, "Start")
    await asyncio.sleep(IN_FORCE_S + WATCH_S)
    last = max(upstream.arrived_at for upstream in zone) - acknowledged_at
    print(f"last request to the zone {last:.2f} s after the acknowledgement")
    in_force_at = acknowledged_at + IN_FORCE_S
    check_untouched(zone, in_force_at, "after the order")
    check_served(load, in_force_at, "during the evacuation")

    hosts = site.controls + site.gateways
    for host in hosts:
        host.end()
    await asyncio.sleep(DOWN_S)
    for host in hosts:
        host.start()
    await asyncio.sleep(RESTART_S)
    restarted_at = time.monotonic()
    await asyncio.sleep(WATCH_S)
    check_untouched(zone, in_force_at, "after the restart of all processes")
    check_served(load, restarted_at, "after the restart of all processes")

    withdrawn_at = await order(site, "End")
    while not all(upstream.accepted_at > withdrawn_at for upstream in zone):
        assert time.monotonic() < withdrawn_at + RETURN_S, "the zone serves no requests again"
        await asyncio.sleep(0.1)
    print(f"the zone served {time.monotonic() - withdrawn_at:.2f} s after the withdrawal")


if __name__ == "__main__":
    site_load = SiteLoad(sys.argv[1], SEED, GATEWAYS)
    site_load.site.zones = {"i-3": ZONE, "i-4": ZONE}
    asyncio.run(site_load.run(play))
