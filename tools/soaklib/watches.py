"""Checks that run beside the faults: the configuration in force, the memory of the gateways, and
processes that end by themselves."""
import asyncio
import json
import pathlib
import time

APPLY_S = 2.5  # after the acknowledgement of a change all gateways must serve by it
IN_TOUCH_S = 3.0  # after the latest fault a host is in touch with the others
MAX_RESIDENT_BYTES = 160 * 10**6
INTERVAL_S = 0.3
SANITIZER_MARKS = ("runtime error: ", "ERROR: AddressSanitizer", "ERROR: LeakSanitizer")


class Watches:
    """Checks a site until their tasks are cancelled."""

    def __init__(self, site, max_resident_bytes):
        self.site = site
        self.max_resident_bytes = max_resident_bytes
        self.peak_bytes = 0  # of any gateway
        self.route_checks = 0  # that were made in calm

    def start(self):
        """Starts the watches; returns their tasks."""
        watches = [self.read_forever(), self.watch_memory(), self.watch_processes()]
        watches += [self.check_routes_forever(gateway) for gateway in self.site.gateways]
        return [asyncio.create_task(watch) for watch in watches]

    async def read_forever(self):
        """Reads the configuration repeatedly and checks that no acknowledged version is lost."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            known = self.site.version
            status, text = await self.site.call_control("GET", "/-/Config.Get")
            if status == 200 and int(json.loads(text)["version"], 16) < known:
                self.site.checks.violations.append(
                    f"version {known} was acknowledged, a read gave less")

    async def watch_memory(self):
        """Checks the memory of the gateways."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            for gateway in self.site.gateways:
                used = gateway.resident_bytes()
                self.peak_bytes = max(self.peak_bytes, used)
                if used > self.max_resident_bytes:
                    self.site.checks.violations.append(
                        f"{gateway.name} uses {used / 1e6:.0f} MB of memory")

    async def watch_processes(self):
        """Checks that no process ends without a signal of the soak."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            for host in self.site.controls + self.site.gateways:
                if host.has_ended_by_itself():
                    self.site.checks.violations.append(
                        f"{host.name} ended by itself with {host.process.returncode}")
                    host.start()

    def check_logs(self):
        """Checks that no sanitizer has reported a fault; each place in the code counts once."""
        found = set()
        for host in self.site.gone + self.site.controls + self.site.gateways:
            lines = pathlib.Path(host.log.name).read_text(errors="replace").splitlines()
            found |= {line for line in lines if any(mark in line for mark in SANITIZER_MARKS)}
        self.site.checks.violations += sorted(found)

    def is_in_touch(self, gateway):
        """Whether the gateway and all control hosts have been without a fault for IN_TOUCH_S."""
        hosts = self.site.controls + [gateway]
        since = max(host.touched_at for host in hosts)
        return time.monotonic() > since + IN_TOUCH_S and not any(h.has_fault() for h in hosts)

    def must_be_in_force(self, gateway):
        """Whether the gateway must serve by the latest configuration."""
        acknowledged_at = self.site.acknowledged_at
        return (acknowledged_at is not None and time.monotonic() > acknowledged_at + APPLY_S
                and self.is_in_touch(gateway))

    async def check_routes_forever(self, gateway):
        """Checks that the gateway serves the route that the latest change added and not the one
        that it dropped."""
        connection = self.site.connect(gateway)
        while True:
            await asyncio.sleep(INTERVAL_S)
            version, dropped = self.site.version, self.site.dropped_version
            age_s = time.monotonic() - (self.site.acknowledged_at or 0)
            for number, is_added in ((version, True), (dropped, False)):
                if not self.must_be_in_force(gateway) or number == 0:
                    break
                _, status, _ = await self.site.send(connection, gateway, "GET", f"/v{number}/x")
                if self.site.version != version or not self.must_be_in_force(gateway):
                    break
                self.route_checks += 1
                if status == 404 if is_added else status == 200:
                    self.site.checks.violations.append(
                        f"{gateway.name} answered {status} on the route that version {version} "
                        f"{'added' if is_added else 'dropped'}, {age_s:.2f} s after it was "
                        "acknowledged")
