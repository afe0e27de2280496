#!/usr/bin/env python3
"""Randomized soak test of gateways and registries as real processes on loopback.

Injects faults from outside the processes (kills, suspensions, restarts, lost disks, links that
refuse, delay or stall, connections that go silent, control hosts that are replaced by empty ones,
loss of power everywhere, upstreams that crash, drain, leave, ask for pauses and answer without end,
requests that crash upstreams) and checks the promises of docs/PROMISES.md from what callers and
upstreams see. Half of the callers keep their connections open.
"""
import argparse
import asyncio
import pathlib
import random
import re
import shutil
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from soaklib.commandload import SERVICES, CommandLoad  # noqa: E402
from soaklib.hostfaults import RECOVERY_S, HostFaults  # noqa: E402
from soaklib.site import CALLERS_PER_GATEWAY, Site  # noqa: E402
from soaklib.upstreamfaults import UpstreamFaults  # noqa: E402
from soaklib.watches import MAX_RESIDENT_BYTES, Watches  # noqa: E402

MAX_GATEWAYS = 200  # each has an address of its own
LAST_CHECK_S = 3.0  # in which requests must be served after the faults
MIN_SERVED = 0.9


class Soak(Site):
    """A site, the faults that are injected into it and the checks of its promises."""

    def __init__(self, build, seed, seconds, gateways=2, calls=False, distant_s=0.0):
        super().__init__(build, seed, gateways, calls, distant_s)
        self.seconds = seconds
        self.started_at = time.monotonic()
        self.events = []  # faults and changes, as lines with their times
        # Apart from the numbers that callers draw, so that a seed draws the same faults again.
        self.fault_random = random.Random(seed)
        self.host_faults = HostFaults(self, self.fault_random, self.record_event)
        self.upstream_faults = UpstreamFaults(self, self.fault_random, self.record_event)
        self.command_load = None
        self.watches = Watches(self, MAX_RESIDENT_BYTES)
        self.actions = {action.__name__: (weight, action)
                        for weight, action in self.host_faults.actions()
                        + self.upstream_faults.actions()}

    def choose_faults(self, only, left_out):
        """Restricts the faults to those with the names `only`, if any, and without others."""
        for name in set(only + left_out) - set(self.actions):
            raise ValueError(f"no fault {name}; there are: {', '.join(self.actions)}")
        self.actions = {name: action for name, action in self.actions.items()
                        if name not in left_out and (not only or name in only)}

    def record_event(self, text):
        self.events.append(f"{time.monotonic() - self.started_at:6.2f} {text}")

    async def run(self):
        """Runs the site with faults, ends the faults, and checks that requests are served again."""
        tasks = []
        try:
            await self.start_site()
            tasks += self.watches.start() + [
                asyncio.create_task(self.call_forever(gateway, keeps_connection=i % 2 == 0))
                for gateway in self.gateways for i in range(CALLERS_PER_GATEWAY)]
            if self.extra_services:
                self.command_load = CommandLoad(self)
            begun_at = time.monotonic()
            await self.inject_faults()
            await self.check_recovery()
            self.checks.check_repeats(begun_at, time.monotonic())
            self.raise_errors(tasks)
            await self.host_faults.lose_disks_and_kill_all()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            if self.command_load is not None:
                self.command_load.stop()
            await self.stop()
            self.watches.check_logs()

    async def inject_faults(self):
        """Injects random faults for the time of the run."""
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            await asyncio.sleep(self.fault_random.uniform(0.2, 1.5))
            weights, actions = zip(*self.actions.values())
            await self.fault_random.choices(actions, weights)[0]()
        if self.host_faults.rolling_restart is not None:
            await self.host_faults.rolling_restart

    async def check_recovery(self):
        """Ends the faults, changes the configuration in calm and checks that requests are
        served."""
        self.record_event("end all faults")
        healed_at = time.monotonic()
        await self.upstream_faults.heal()
        await self.host_faults.change_configuration_in_calm()
        await asyncio.sleep(max(healed_at + RECOVERY_S - time.monotonic(), 0))
        recovered_at = time.monotonic()
        self.host_faults.check_votes()
        await asyncio.sleep(LAST_CHECK_S)
        late = [served for at, served in self.outcomes if at > recovered_at]
        if not late or sum(late) < MIN_SERVED * len(late):
            self.checks.violations.append(
                f"after the faults {sum(late)} of {len(late)} requests were served")

    @staticmethod
    def raise_errors(tasks):
        """Raises the error with which a caller or a check has ended."""
        for task in tasks:
            if task.done():
                task.result()


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=random.randrange(10**6))
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--gateways", type=int, default=2, choices=range(1, MAX_GATEWAYS + 1),
                        metavar=f"1..{MAX_GATEWAYS}")
    parser.add_argument("--fault", action="append", default=[],
                        help="inject only the faults with these names (repeatable)")
    parser.add_argument("--without", action="append", default=[],
                        help="leave out the faults with these names (repeatable)")
    parser.add_argument("--calls", action="store_true",
                        help="upstreams take their leases by calls instead of heartbeats")
    parser.add_argument("--distant-ms", type=float, default=0.0,
                        help="delay one way from and to two of the control hosts")
    parser.add_argument("--commands", action="store_true",
                        help="let the control group commit commands all the time")
    parser.add_argument("--max-resident-mb", type=int, default=MAX_RESIDENT_BYTES // 10**6,
                        help="memory that a gateway may use")
    return parser.parse_args()


def kinds_of(violations):
    """The first violation of each kind, with the number of its kind. Violations of one kind differ
    in names and numbers only."""
    kinds = {}
    for violation in violations:
        kinds.setdefault(re.sub(r"\w*\d[\w.]*", "N", violation), []).append(violation)
    return [f"{len(same)} times: {same[0]}" for same in kinds.values()]


def main():
    arguments = parse_arguments()
    soak = Soak(arguments.build, arguments.seed, arguments.seconds, arguments.gateways,
                arguments.calls, arguments.distant_ms / 1000)
    if arguments.commands:
        soak.extra_services = SERVICES
    soak.choose_faults(arguments.fault, arguments.without)
    soak.watches.max_resident_bytes = arguments.max_resident_mb * 10**6
    asyncio.run(soak.run())
    violations = soak.checks.violations
    print(f"soak seed {arguments.seed}: {'broken' if violations else 'held'}, {soak.counts}, "
          f"{len(soak.events)} faults, {len(soak.gone)} control hosts replaced, power lost "
          f"{soak.host_faults.power_losses} times, configuration {soak.version}, "
          f"{soak.watches.route_checks} checks of routes, at most "
          f"{soak.watches.peak_bytes / 1e6:.0f} MB")
    if violations:
        print(*kinds_of(violations), *soak.events, f"logs in {soak.folder}", sep="\n")
        sys.exit(1)
    shutil.rmtree(soak.folder)


if __name__ == "__main__":
    main()
