#!/usr/bin/env python3
"""More upstreams than a control host has connections, each of which keeps one for its heartbeats.

Guards against a leader whose connections are all held by the upstreams that came first: no other
upstream is acknowledged, and no operator reads or changes the configuration. Usage:
test_many_upstreams.py BUILD
"""
import asyncio
import json
import pathlib
import random
import resource
import sys
import time

root = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(root / "tools"))
from soaklib.caller import KeptConnection  # noqa: E402
from soaklib.site import Site  # noqa: E402

SEED = 20261299
DESCRIPTORS = 4096  # of each process; a control host takes at most half of them for these callers
UPSTREAMS = 2400
HEARTBEAT_S = 3.0
HEARTBEAT_TIMEOUT_S = 1.0  # after which an upstream tries another control host
STARTING_S = 6.0
MEASURED_S = 10.0
CONTACT_S = 3.0  # an operator gets an answer within this time, on any number of tries
ACKNOWLEDGEMENT_S = 4.0  # of a change of the configuration


class KeepingUpstream:
    """Sends heartbeats on one connection for as long as the control host keeps it open."""

    def __init__(self, number, seeds):
        self.name = f"many-{number}"
        self.address = f"127.0.{8 + number // 250}.{1 + number % 250}:9000"
        self.seeds = seeds
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.connection = None
        self.acknowledged_at = 0.0

    def report(self):
        self.sequence += 1
        return json.dumps({
            "address": self.address, "born": self.born,
            "info": {"service": "orders", "version": "v1", "zone": "a", "maxConcurrency": 6},
            "status": {"state": "ready", "sequence": self.sequence, "warmupLeftS": 0}})

    async def send_heartbeat(self):
        """Sends one heartbeat and follows redirects."""
        connection = self.connection or KeptConnection(random.choice(self.seeds))
        self.connection = None
        for _ in range(3):
            status, headers, _ = await connection.send(
                "POST", f"/-/Instances.Heartbeat/{self.name}", self.report(), {},
                HEARTBEAT_TIMEOUT_S)
            if status != 307:
                break
            connection.close()
            connection = KeptConnection(headers["location"].split("/")[2])
        if status == 200:
            self.acknowledged_at = time.monotonic()
            self.connection = connection
        else:
            connection.close()

    async def run(self, delay):
        await asyncio.sleep(delay)
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.9, 1.1))


async def operate(site):
    """Reads the configuration again and again and changes it once; returns what is wrong."""
    found = []
    end = time.monotonic() + MEASURED_S
    version = site.version
    await site.put_configuration(ACKNOWLEDGEMENT_S)
    if site.version == version:
        found.append("a change of the configuration was not acknowledged")
    while time.monotonic() < end:
        if await site.read_version(CONTACT_S) == 0:
            found.append("a read of the configuration was not answered")
        await asyncio.sleep(0.2)
    return found


async def play(site):
    """Returns what is wrong."""
    await site.start_site()
    upstreams = [KeepingUpstream(number, site.seeds) for number in range(UPSTREAMS)]
    tasks = [asyncio.create_task(upstream.run(STARTING_S * number / UPSTREAMS))
             for number, upstream in enumerate(upstreams)]
    try:
        await asyncio.sleep(STARTING_S + 2 * HEARTBEAT_S)
        measured_from = time.monotonic()
        found = await operate(site)
        unheard = sum(upstream.acknowledged_at < measured_from for upstream in upstreams)
        print(f"{unheard} of {UPSTREAMS} upstreams without an acknowledgement in {MEASURED_S} s")
        return found + ([f"{unheard} upstreams were not acknowledged"] if unheard else [])
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for upstream in upstreams:
            if upstream.connection:
                upstream.connection.close()


async def main(build):
    random.seed(SEED)
    site = Site(build, SEED, 1)
    site.is_keyed = False  # keys of upstreams that do not exist are no part of this test
    for host in site.controls + site.gateways:
        host.bind_ip, host.relays = host.ip, []
    try:
        found = await play(site)
    finally:
        await site.stop()
    assert not found, "; ".join(found)
    print("1 passed, 0 failed")


if __name__ == "__main__":
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
    asyncio.run(main(sys.argv[1]))
