"""Faults of the control hosts, of the gateways and of the connections to the control hosts."""
import asyncio
import signal
import time

from soaklib.hosts import TOLERATED_LOSSES
from soaklib.membership import newest_voters
from soaklib.watches import APPLY_S, IN_TOUCH_S

MAX_ROLLING = 4  # gateways of one rolling restart; each takes up to its grace period to end
CATCH_UP_S = 4.0  # after which a control host that lost its data counts as present again
RECOVERY_S = 15  # after the faults, before requests must be served again
SERIES_RESTARTS = 3
SERIES_INTERVAL_S = 1.5
MARGIN_S = 0.2
VOTE_S = 6.0  # after which an empty control host votes in the place of one that is gone


class HostFaults:
    """Injects faults into the processes of a site."""

    def __init__(self, site, random, record_event):
        self.site = site
        self.random = random
        self.record_event = record_event
        self.rolling_restart = None  # task that restarts the gateways one after the other
        self.power_losses = 0

    def actions(self):
        """The faults as pairs of weight and coroutine function."""
        return [(6, self.inject_control_fault), (2, self.inject_gateway_fault),
                (4, self.change_configuration), (2, self.reset_connections),
                (2, self.silence_connections), (6, self.repair_random_host),
                (0.5, self.kill_all_controls), (0.5, self.lose_disks_and_kill_all),
                (3, self.replace_control_host), (1, self.lose_power_everywhere),
                (1, self.begin_rolling_restart), (1, self.restart_gateways_beside_refusals),
                (1, self.change_configuration_in_calm)]

    def impaired_controls(self):
        """Control hosts that are down, suspended, behind a relay with a fault, or in the place of
        another one without a vote so far."""
        return [host for host in self.site.controls
                if host.has_fault() or (host.is_replacement and not host.votes())]

    def hosts_without_vote(self):
        """Control hosts that do not vote, so that they may be without acknowledged data. The slot of
        a host that is down can have been given to a replacement of another."""
        logs = {host: host.membership() for host in self.site.controls}
        voters = newest_voters(logs.values())
        return [host for host, log in logs.items() if log.identity() not in voters]

    async def inject_control_fault(self):
        """Injects a fault into a control host, unless as many as are tolerated have one."""
        if len(self.impaired_controls()) >= TOLERATED_LOSSES:
            return
        host = self.random.choice([h for h in self.site.controls if not h.has_fault()])
        kind = self.random.choice(["kill", "wipe", "pause", "term", "silent", "half", "delay",
                                   "refuse"])
        if kind == "wipe" and len(self.hosts_without_vote()) >= TOLERATED_LOSSES:
            kind = "kill"  # more hosts without data than the group tolerates could lose a change
        self.record_event(f"{kind} {host.name}")
        if kind in ("kill", "wipe"):
            host.end()
            if kind == "wipe":
                host.lose_data()
        elif kind == "pause":
            host.suspend()
        elif kind == "term":
            host.signal(signal.SIGTERM)
        else:
            host.set_relays(kind)

    async def repair_random_host(self):
        """Ends the fault of one control host or gateway."""
        hosts = [host for host in self.site.controls + self.site.gateways
                 if host in self.impaired_controls() or not host.is_up()]
        if hosts:
            self.restore(self.random.choice(hosts))

    def restore(self, host):
        self.record_event(f"restore {host.name}")
        host.restore()

    async def inject_gateway_fault(self):
        """Kills, stops or suspends a gateway, if all are up."""
        if not all(host.is_up() for host in self.site.gateways):
            return
        host = self.random.choice(self.site.gateways)
        kind = self.random.choice([signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP])
        self.record_event(f"{kind.name} {host.name}")
        if kind == signal.SIGSTOP:
            host.suspend()
        else:
            host.signal(kind)

    def is_rolling(self):
        return self.rolling_restart is not None and not self.rolling_restart.done()

    async def begin_rolling_restart(self):
        """Begins to restart all gateways one after the other, while other faults continue."""
        if not self.is_rolling():
            self.record_event("rolling restart of the gateways")
            self.rolling_restart = asyncio.create_task(self.restart_gateways())

    async def restart_gateways(self):
        for host in self.site.gateways[:MAX_ROLLING]:
            host.signal(signal.SIGTERM)
            while not await host.ends_within(0.5):
                # Another fault may suspend the gateway while it stops; seed 38 waited forever.
                host.resume()
            if host.process.poll() is not None:
                host.start()

    async def restart_gateways_beside_refusals(self):
        """Kills and starts all gateways several times while all upstreams turn requests away."""
        if self.is_rolling():
            return
        self.record_event("restarts of the gateways in series beside upstreams that refuse")
        upstreams = list(self.site.upstreams)
        for upstream in upstreams:
            upstream.pause_s = 0
        for _ in range(SERIES_RESTARTS):
            await asyncio.sleep(SERIES_INTERVAL_S)
            for gateway in self.site.gateways:
                gateway.end()
            for gateway in self.site.gateways:
                gateway.start()
        for upstream in upstreams:
            upstream.pause_s = None

    async def change_configuration(self):
        self.record_event("put a configuration")
        await self.site.put_configuration(3.0)

    async def change_configuration_in_calm(self):
        """Changes the configuration while all hosts are up and in touch, also when the open
        connections to the control hosts have gone silent before."""
        if self.is_rolling():
            await self.rolling_restart
        self.record_event("calm")
        await self.restore_all()
        if self.random.random() < 0.5:
            self.record_event("silence all connections to the control hosts")
            for host in self.site.controls:
                host.silence_connections()
        await asyncio.sleep(IN_TOUCH_S + MARGIN_S)
        await self.change_configuration()
        await asyncio.sleep(APPLY_S + 1.0)

    async def restore_all(self):
        """Ends the faults of all hosts."""
        for host in self.site.controls + self.site.gateways:
            if not host.has_fault():
                continue
            # A gateway that is still stopping must have ended, or restore() does not start it
            # again; seeds 29, 36 and 38 failed so.
            host.resume()
            await host.wait_until_ended()
            self.restore(host)

    async def reset_connections(self):
        """Resets the connections to one control host."""
        host = self.random.choice(self.site.controls)
        self.record_event(f"reset connections of {host.name}")
        host.reset_connections()

    async def silence_connections(self):
        """Makes the open connections to some control hosts silent for good."""
        hosts = self.random.sample(self.site.controls,
                                   self.random.choice([1, 2, len(self.site.controls)]))
        self.record_event("silence connections of " + ", ".join(host.name for host in hosts))
        for host in hosts:
            host.silence_connections()

    async def kill_all_controls(self):
        """Kills all control hosts and starts them again, if none has a fault."""
        if self.impaired_controls():
            return
        self.record_event("kill all control hosts")
        for host in self.site.controls:
            host.end()
        await asyncio.sleep(0.5)
        for host in self.site.controls:
            host.start()

    async def lose_disks_and_kill_all(self):
        """Kills every process of the system right after a change was acknowledged, deletes the data
        of as many control hosts as are tolerated, and starts all again, if no host has a fault."""
        if self.impaired_controls() or self.is_rolling():
            return
        await asyncio.sleep(CATCH_UP_S)
        if not self.can_lose_power():
            return
        await self.site.put_configuration(3.0)
        await self.lose_power(self.random.sample(self.site.controls, TOLERATED_LOSSES), 0.5)

    async def lose_power_everywhere(self):
        """Kills every process of the system and starts all again within a second, all with their
        disks or up to the tolerated number without, if no host has a fault."""
        if not self.can_lose_power():
            return
        lost = self.random.sample(self.site.controls, self.random.randint(0, TOLERATED_LOSSES))
        await self.lose_power(lost, self.random.uniform(0.1, 0.9))

    def can_lose_power(self):
        return (not self.impaired_controls() and not self.hosts_without_vote()
                and not self.is_rolling() and all(host.is_up() for host in self.site.gateways))

    async def lose_power(self, lost, down_s):
        """Kills all control hosts and gateways at the same moment, deletes the data of the control
        hosts `lost`, starts all after `down_s`, and checks what was acknowledged. SIGKILL stands in
        for the loss of power, but what a process has written without a sync survives it, unlike
        such bytes on a real machine."""
        self.power_losses += 1
        self.record_event("kill all processes, data lost on "
                          + (", ".join(host.name for host in lost) or "none"))
        hosts = self.site.controls + self.site.gateways
        for host in hosts:  # before the wait for any of them, so that all end at the same moment
            host.signal(signal.SIGKILL)
        for host in hosts:
            host.end()
        for host in lost:
            host.lose_data()
        self.site.rewrite_seeds([host for host in hosts if self.site.needs_seeds(host, lost)])
        await asyncio.sleep(down_s)
        for host in hosts:
            host.start()
        await self.check_power_recovery(self.site.version, len(lost), time.monotonic())

    async def check_power_recovery(self, acknowledged, losses, started_at):
        """Checks that the configuration can be read and changed within the bound."""
        violations = self.site.checks.violations
        read = await self.site.read_version(RECOVERY_S)
        if read < acknowledged:
            violations.append(
                f"version {acknowledged} was acknowledged before the loss of {losses} disks, a "
                f"read gave {read}; {self.describe_members()}")
            return
        left_s = started_at + RECOVERY_S - time.monotonic()
        await self.site.put_configuration(max(left_s, 0.0))
        if self.site.acknowledged_at is None:
            violations.append(f"no change was acknowledged within {RECOVERY_S} s of a start with "
                              f"{losses} disks lost; {self.describe_members()}")

    async def replace_control_host(self):
        """Kills or stops a control host for good and starts an empty one at another address, which
        takes its place. The settings files of the other hosts name the new addresses, or remain as
        they are for as long as they name a present host."""
        site = self.site
        without_vote = self.hosts_without_vote()
        without_fault = [host for host in site.controls
                         if not host.has_fault() and host not in without_vote]
        if len(site.controls) - len(without_fault) >= TOLERATED_LOSSES:
            return
        old = self.random.choice(without_fault)
        number = self.random.choice([signal.SIGTERM, signal.SIGKILL])
        rewrites = self.random.random() < 0.5
        self.record_event(f"{number.name} {old.name} for good, settings "
                          + ("rewritten" if rewrites else "not rewritten"))
        old.signal(number)
        await old.wait_until_ended()
        old.leave_for_good()
        host = await site.start_empty_control(old)
        site.list_control_instead(host, old)
        self.record_event(f"{host.name} takes the place of {old.name}")
        others = [other for other in site.controls + site.gateways if other is not host]
        site.rewrite_seeds(others if rewrites
                           else [other for other in others if site.needs_seeds(other)])

    def check_votes(self):
        """Checks that each control host votes and takes part since its latest start. Expected when
        the faults have ended RECOVERY_S before."""
        for host in self.site.controls:
            if not host.membership(since_start=True).takes_part():
                self.site.checks.violations.append(
                    f"{host.name} takes no part in the group {RECOVERY_S} s after the faults: "
                    f"{host.membership().describe()}")

    def describe_members(self):
        return "; ".join(f"{host.name} {host.membership().describe()}"
                         for host in self.site.controls)
