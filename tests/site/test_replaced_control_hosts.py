#!/usr/bin/env python3
"""Replaces all control hosts by empty ones at new addresses, then all hosts lose power.

Guards against a configuration that was acknowledged and cannot be read, changed or served within
15 s after that: a replaced member that does not become a voter under steady commands, or a restarted
one that finds no other. Two of the five control hosts are 20 ms away one way. SIGKILL stands in for
the loss of power; unlike on a real machine, what was written without a sync survives it.
Usage: test_replaced_control_hosts.py BUILD [--seed N] [--gap S] [--term first|second|all|none]
[--order before|after|same] [--wipe N]...
"""
import argparse
import asyncio
import contextlib
import random
import signal
import time
import urllib.request

from siteload import SiteLoad
from soaklib.commandload import SERVICES, CommandLoad
from soaklib.hostfaults import RECOVERY_S, VOTE_S
from soaklib.watches import APPLY_S

GATEWAYS, UPSTREAMS = 2, 24
DISTANT_S = 0.02  # one way
CHANGE_INTERVAL_S = 0.5
MIN_COMMANDS_PER_S = 50  # one each 20 ms
ORDER_S = 1.0  # between the start of an empty host and the loss of the other
POLL_S = 0.02


class Play:
    """One run: the replacements, the losses of power and what is checked after them."""

    def __init__(self, load, arguments):
        self.load, self.site, self.arguments = load, load.site, arguments
        self.faults = load.site.host_faults
        self.random = random.Random(arguments.seed)

    async def run(self):
        for i in range(len(self.site.upstreams), UPSTREAMS):
            await self.site.add_upstream(
                f"i-{i}", f"127.0.3.{i + 1}:{self.site.ports['callers']}")
        self.site.extra_services = SERVICES
        await self.site.put_configuration(5.0)
        commands = CommandLoad(self.site)
        watches = self.site.watches.start()
        try:
            await self.check_command_rate()
            await self.replace_all()
            for wiped in self.arguments.wipe:
                await self.lose_power(wiped)
            self.site.raise_errors(watches)
        finally:
            commands.stop()
            for watch in watches:
                watch.cancel()

    async def check_command_rate(self):
        """Fails unless the group commits commands as fast as the fault of slow learners needs."""
        await asyncio.sleep(0.5)
        before, begun_at = await self.applied(), time.monotonic()
        await asyncio.sleep(2.0)
        rate = (await self.applied() - before) / (time.monotonic() - begun_at)
        print(f"{rate:.0f} commands a second")
        assert rate >= MIN_COMMANDS_PER_S, f"only {rate:.0f} commands a second"

    async def applied(self):
        host = self.site.controls[0]
        url = f"http://{host.bind_ip}:{self.site.ports['ready']}/metrics"
        text = await asyncio.to_thread(lambda: urllib.request.urlopen(url, timeout=2).read())
        return next(float(line.split()[1]) for line in text.decode().splitlines()
                    if line.startswith("cassiaroad_control_applied_total "))

    @contextlib.asynccontextmanager
    async def changes(self):
        """Changes the configuration again and again; at the end the last change is complete."""
        stopped = asyncio.Event()

        async def change_until_stopped():
            while not stopped.is_set():
                await self.site.put_configuration(3.0)
                await asyncio.sleep(CHANGE_INTERVAL_S)

        task = asyncio.create_task(change_until_stopped())
        try:
            yield
        finally:
            stopped.set()
            await task

    async def replace_all(self):
        """Replaces one control host after the other, one each `gap` seconds."""
        olds = list(self.site.controls)
        self.random.shuffle(olds)
        async with self.changes():
            for i, old in enumerate(olds):
                begun_at = time.monotonic()
                terminated = {"all": True, "none": False, "first": i % 2 == 0,
                              "second": i % 2 == 1}[self.arguments.term]
                await self.replace(old, signal.SIGTERM if terminated else signal.SIGKILL)
                await asyncio.sleep(max(begun_at + self.arguments.gap - time.monotonic(), 0))

    async def replace(self, old, number):
        """Replaces one control host and checks that the empty one votes in time."""
        order, site = self.arguments.order, self.site
        host = await site.start_empty_control(old) if order == "before" else None
        await asyncio.sleep(ORDER_S if order == "before" else 0)
        old.signal(number)
        host = await site.start_empty_control(old) if order == "same" else host
        await old.wait_until_ended()
        old.leave_for_good()
        await asyncio.sleep(ORDER_S if order == "after" else 0)
        host = host or await site.start_empty_control(old)
        site.list_control_instead(host, old)
        site.rewrite_seeds(site.controls + site.gateways)
        begun_at = time.monotonic()
        while not host.membership().takes_part():
            if time.monotonic() > begun_at + VOTE_S:
                self.load.violations().append(
                    f"{host.name} in the place of {old.name} has no vote after {VOTE_S} s: "
                    f"{host.membership().describe()}")
                return
            await asyncio.sleep(POLL_S)
        print(f"{host.name} in the place of {old.name} ({number.name}) after "
              f"{time.monotonic() - begun_at:.2f} s: {host.membership().describe()}")

    async def lose_power(self, wiped):
        """All hosts lose power, `wiped` control hosts with their disks; checks the recovery."""
        print("before the loss of power:", self.faults.describe_members(), sep="\n  ")
        async with self.changes():
            await asyncio.sleep(CHANGE_INTERVAL_S)
        found = len(self.load.violations())
        await self.faults.lose_power(self.random.sample(self.site.controls, wiped), 0.5)
        started_at = max(host.touched_at for host in self.site.controls)
        if len(self.load.violations()) > found:
            return
        print(f"{wiped} disks lost: read and changed after {time.monotonic() - started_at:.2f} s")
        await self.wait_for_routes(started_at + RECOVERY_S + APPLY_S)
        while any(not host.membership(since_start=True).takes_part()
                  for host in self.site.controls):
            if time.monotonic() > started_at + RECOVERY_S:
                self.faults.check_votes()
                return
            await asyncio.sleep(POLL_S)
        print(f"  all take part after {time.monotonic() - started_at:.2f} s:",
              self.faults.describe_members(), sep="\n  ")

    async def wait_for_routes(self, end):
        """Waits until each gateway serves the route that the acknowledged change added."""
        for gateway in self.site.gateways:
            connection, status = self.site.connect(gateway), 0
            while status != 200 and time.monotonic() < end:
                _, status, _ = await self.site.send(connection, gateway, "GET",
                                                    f"/v{self.site.version}/x")
                await asyncio.sleep(POLL_S)
            assert status == 200, f"{gateway.name} does not serve version {self.site.version}"


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build")
    parser.add_argument("--seed", type=int, default=20261231)
    parser.add_argument("--gap", type=float, default=7.0,
                        help="seconds from the beginning of one replacement to the next")
    parser.add_argument("--term", default="second", choices=["first", "second", "all", "none"],
                        help="which replaced hosts get SIGTERM before they are gone")
    parser.add_argument("--order", default="after", choices=["before", "after", "same"],
                        help="when an empty host starts, relative to the loss of the other")
    parser.add_argument("--wipe", type=int, action="append",
                        help="disks that are lost with the power (repeatable; default: 0, then 2)")
    arguments = parser.parse_args()
    arguments.wipe = arguments.wipe or [0, 2]
    return arguments


async def main():
    arguments = parse_arguments()
    load = SiteLoad(arguments.build, arguments.seed, GATEWAYS, distant_s=DISTANT_S)
    await load.run(lambda load: Play(load, arguments).run())


if __name__ == "__main__":
    asyncio.run(main())
