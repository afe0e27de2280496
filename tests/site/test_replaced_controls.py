#!/usr/bin/env python3
"""All control hosts are replaced by empty hosts at other addresses, the followed leader last.

The settings files of the running processes keep their seeds. Guards against gateways that find no
leader afterwards, and against a control host that has lost its data and searches for the group for
ever, since all hosts of its settings are gone. Usage: test_replaced_controls.py BUILD
"""
import asyncio
import json
import pathlib
import sys
import time

from siteload import SiteLoad
from soaklib.hosts import Host

SEED = 20261211
GATEWAYS = 2
FIRST_NUMBER = 31  # of the addresses of the replacements
JOIN_S = 15.0  # until a replacement votes; a slot is given away after 3 s of silence
LEARN_S = 5.0  # until the gateways serve and have a new configuration
REJOIN_S = 6.0  # until a host that has lost its data is a member again


def lines_of(host, start=0):
    """Lines of a host's log from a position."""
    return pathlib.Path(host.log.name).read_bytes()[start:].decode(errors="replace").splitlines()


def log_size(host):
    return pathlib.Path(host.log.name).stat().st_size


async def wait_for_line(host, start, text, seconds):
    """Waits for a line with a text; returns after how many seconds it came, or fails."""
    begun_at = time.monotonic()
    while not any(text in line for line in lines_of(host, start)):
        assert time.monotonic() < begun_at + seconds, (
            f"{host.name} does not log {text} within {seconds} s; its last lines are: "
            + " ".join(lines_of(host, start)[-3:]))
        await asyncio.sleep(0.05)
    return time.monotonic() - begun_at


def followed_leader(gateway):
    """Address of the leader that a gateway follows by its log."""
    events = [json.loads(line) for line in lines_of(gateway) if '"event":"leader_found"' in line]
    return events[-1]["leader"]


async def replace(site, old, number):
    """Ends a control host for good, and starts an empty one at another address."""
    old.end()
    for relay in old.relays:
        relay.stop()
    host = Host(f"core-{number}", "registry", number, site.ports, site.folder,
                site.controls[0].binary)
    kept = [control for control in site.controls if control is not old]
    host.write_settings([f"{control.ip}:{site.ports['control']}" for control in kept[:3]], False)
    for relay in host.relays:
        await relay.start()
    host.start()
    site.controls[:] = kept + [host]
    site.seeds[:] = [f"{control.ip}:{site.ports['control']}" for control in site.controls]
    seconds = await wait_for_line(host, 0, "this member votes", JOIN_S)
    print(f"{host.name} votes for {old.name} after {seconds:.1f} s", flush=True)
    return host


async def check_new_configuration(load):
    """Puts a configuration, and checks that each gateway serves its route soon."""
    site = load.site
    begun_at = time.monotonic()
    await site.put_configuration(LEARN_S)
    for gateway in site.gateways:
        connection = site.connect(gateway)
        status = 0
        while status != 200:
            assert time.monotonic() < begun_at + LEARN_S, (
                f"{gateway.name} answers {status} for a route of version {site.version}; its last "
                "lines are: " + " ".join(lines_of(gateway)[-3:]))
            await asyncio.sleep(0.05)
            _, status, _ = await site.send(connection, gateway, "GET", f"/v{site.version}/x")
    print(f"the gateways serve version {site.version} after {time.monotonic() - begun_at:.1f} s")


async def play(load):
    site = load.site
    originals = list(site.controls)
    first = None
    for number in range(FIRST_NUMBER, FIRST_NUMBER + len(originals)):
        followed = {followed_leader(gateway) for gateway in site.gateways}
        left = [host for host in originals if host in site.controls]
        chosen = [host for host in left if host.ip not in followed] or left
        host = await replace(site, chosen[0], number)
        first = first or host
    assert chosen[0].ip in followed, "the gateways did not follow the host that was replaced last"
    await check_new_configuration(load)
    first.end()
    first.lose_data()
    start = log_size(first)
    first.start()
    seconds = await wait_for_line(first, start, "this member votes", REJOIN_S)
    print(f"{first.name} votes again after {seconds:.1f} s")
    await check_new_configuration(load)


if __name__ == "__main__":
    asyncio.run(SiteLoad(sys.argv[1], SEED, GATEWAYS).run(play))
