"""Faults of the control hosts, of the gateways and of the connections to the control hosts."""
import asyncio
import signal

from soaklib.hosts import TOLERATED_LOSSES
from soaklib.watches import APPLY_S, IN_TOUCH_S

MAX_ROLLING = 4  # gateways of one rolling restart; each takes up to its grace period to end
CATCH_UP_S = 4.0  # after which a control host that lost its data counts as present again
RECOVERY_S = 15  # after the faults, before requests must be served again
SERIES_RESTARTS = 3
SERIES_INTERVAL_S = 1.5
MARGIN_S = 0.2


class HostFaults:
    """Injects faults into the processes of a site."""

    def __init__(self, site, random, record_event):
        self.site = site
        self.random = random
        self.record_event = record_event
        self.rolling_restart = None  # task that restarts the gateways one after the other

    def actions(self):
        """The faults as pairs of weight and coroutine function."""
        return [(6, self.inject_control_fault), (2, self.inject_gateway_fault),
                (4, self.change_configuration), (2, self.reset_connections),
                (2, self.silence_connections), (6, self.repair_random_host),
                (0.5, self.kill_all_controls), (0.5, self.lose_disks_and_kill_all),
                (1, self.begin_rolling_restart), (1, self.restart_gateways_beside_refusals),
                (1, self.change_configuration_in_calm)]

    def impaired_controls(self):
        """Control hosts that are down, suspended or behind a relay with a fault."""
        return [host for host in self.site.controls if host.has_fault()]

    async def inject_control_fault(self):
        """Injects a fault into a control host, unless as many as are tolerated have one."""
        if len(self.impaired_controls()) >= TOLERATED_LOSSES:
            return
        host = self.random.choice([h for h in self.site.controls if not h.has_fault()])
        kind = self.random.choice(["kill", "wipe", "pause", "term", "silent", "half", "delay",
                                   "refuse"])
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
        if self.impaired_controls() or not all(host.is_up() for host in self.site.gateways):
            return
        await asyncio.sleep(CATCH_UP_S)
        await self.site.put_configuration(3.0)
        lost = self.random.sample(self.site.controls, TOLERATED_LOSSES)
        self.record_event("kill all processes, data lost on " + ", ".join(h.name for h in lost))
        hosts = self.site.controls + self.site.gateways
        for host in hosts:  # before the wait for any of them, so that all end at the same moment
            host.signal(signal.SIGKILL)
        for host in hosts:
            host.end()
        for host in lost:
            host.lose_data()
        await asyncio.sleep(0.5)
        for host in hosts:
            host.start()
        acknowledged = self.site.version
        read = await self.site.read_version(RECOVERY_S)
        if read < acknowledged:
            self.site.checks.violations.append(
                f"version {acknowledged} was acknowledged before the loss of {len(lost)} disks, a "
                f"read gave {read}")
