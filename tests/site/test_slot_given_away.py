#!/usr/bin/env python3
"""A control host is down for some seconds while another one is replaced, and starts again.

Guards against a host that stays out for good since its slot was given to the replacement: the slot
of the voter that has been silent for the longest is given away, and that is the host that returns.
Usage: test_slot_given_away.py BUILD
"""
import asyncio
import sys
import time

from siteload import SiteLoad
from soaklib.hostfaults import RECOVERY_S, VOTE_S

SEED = 20261232
GATEWAYS = 1
DOWN_S = 4.0  # more than the 3 s of silence after which a slot is given away
POLL_S = 0.05


async def wait_until_all_take_part(hosts, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if all(host.membership(since_start=True).takes_part() for host in hosts):
            return
        await asyncio.sleep(POLL_S)
    raise AssertionError(f"not all take part after {seconds} s: " + "; ".join(
        f"{host.name} {host.membership().describe()}" for host in hosts))


async def play(load):
    site = load.site
    returning, gone = site.controls[3], site.controls[4]
    returning.end()
    await asyncio.sleep(DOWN_S)
    gone.leave_for_good()
    replacement = await site.start_empty_control(gone)
    site.list_control_instead(replacement, gone)
    site.rewrite_seeds(site.controls + site.gateways)
    await wait_until_all_take_part([replacement], VOTE_S)
    returning.restore()
    await wait_until_all_take_part(site.controls, RECOVERY_S)


if __name__ == "__main__":
    asyncio.run(SiteLoad(sys.argv[1], SEED, GATEWAYS).run(play))
