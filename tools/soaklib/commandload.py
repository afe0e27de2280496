#!/usr/bin/env python3
"""Upstreams that come and go, so that the control group commits commands all the time.

The arrival and the departure of each upstream are commands of the replicated log. Runs as a process
of its own, so that the pace depends little on what else the test does.
Usage: commandload.py ADDRESSES PORT, with a file that lists the control addresses (ip:port).
"""
import asyncio
import json
import pathlib
import random
import subprocess
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from soaklib.caller import KeptConnection  # noqa: E402

SERVICE = "parcels"  # has no keys and no routes; no request reaches these upstreams
SERVICES = {SERVICE: {"healthPath": "/health", "maxConnections": 10}}
SENDERS = 12  # each waits for the response, so for the commit of its command
INTERVAL_S = 0.005  # between two heartbeats of all senders
STAY_S = 1.0  # from the first heartbeat of an upstream to the one that announces its shutdown
TIMEOUT_S = 1.0


class CommandLoad:
    """The process, as seen by the test. The configuration of the site must name SERVICES."""

    def __init__(self, site):
        self.process = subprocess.Popen(
            [sys.executable, __file__, str(site.control_list), str(site.ports["callers"])])

    def stop(self):
        self.process.kill()
        self.process.wait()


class Heartbeats:
    """Sends the heartbeats of upstreams that start, stay for a second, and leave."""

    def __init__(self, addresses, port):
        self.addresses = pathlib.Path(addresses)
        self.port = port
        self.leader = None  # address, as far as known
        self.number = 0
        self.present = []  # (number, start time, time of the announcement), in this order
        self.next_at = time.monotonic()

    async def send_forever(self):
        connection = None
        while True:
            self.next_at = max(self.next_at + INTERVAL_S, time.monotonic() - TIMEOUT_S)
            await asyncio.sleep(max(self.next_at - time.monotonic(), 0))
            self.leader = self.leader or random.choice(self.addresses.read_text().split())
            target = self.leader
            if connection is None or connection[0] != target:
                if connection is not None:
                    connection[1].close()
                connection = target, KeptConnection(target)
            path, report = self.next_report()
            status, headers, _ = await connection[1].send("POST", path, json.dumps(report), {},
                                                          TIMEOUT_S)
            if status == 307:
                self.leader = headers["location"].split("/")[2]
            elif status != 200 and self.leader == target:
                self.leader = None

    def next_report(self):
        """Path and body of the next heartbeat: announcements that are due come first."""
        now, state = time.monotonic(), "draining"
        if self.present and self.present[0][2] <= now:
            number, born, _ = self.present.pop(0)
        else:
            self.number += 1
            number, born, state = self.number, int(time.time() * 1000), "ready"
            self.present.append((number, born, now + STAY_S))
        return f"/-/Instances.Heartbeat/p-{number}", {
            "address": f"127.40.{number // 250 % 250}.{number % 250 + 1}:{self.port}",
            "born": born,
            "info": {"service": SERVICE, "version": "v1", "zone": "a", "maxConcurrency": 6},
            "status": {"state": state, "sequence": 1 if state == "ready" else 2,
                       "warmupLeftS": 0},
            "holds": [], "freed": []}


async def main():
    heartbeats = Heartbeats(sys.argv[1], int(sys.argv[2]))
    await asyncio.gather(*(heartbeats.send_forever() for _ in range(SENDERS)))


if __name__ == "__main__":
    asyncio.run(main())
