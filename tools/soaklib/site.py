"""A site of gateways, registries and upstreams on loopback, its callers and its operator."""
import asyncio
import json
import pathlib
import random
import tempfile
import time

from soaklib.caller import KeptConnection
from soaklib.checks import Checks
from soaklib.hosts import Host
from soaklib.upstreams import HEALTH_PATH, Upstream, http

CONTROLS, UPSTREAMS = 5, 5
DISTANT_CONTROLS = 2  # the last ones, in the region that is `distant_s` away
FIRST_REPLACEMENT = 250  # number of the first control host that replaces another one
SEEDS_IN_FILE = 3  # hosts know that many control addresses
CALLERS_PER_GATEWAY = 6
CALLER_TIMEOUT_S = 3.0


class Site:
    """Processes, upstreams and what callers have observed."""

    def __init__(self, build, seed, gateways=2, calls=False, distant_s=0.0):
        self.calls = calls  # upstreams take their leases by calls
        self.random = random.Random(seed)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="cassiaroad-soak-"))
        base = 20000 + seed % 2000 * 4  # so that neighbouring seeds can run at the same time
        self.ports = {"internal": base, "control": base + 1, "callers": base + 2,
                      "ready": base + 3}
        self.binary = str(pathlib.Path(build) / "cassiaroad")
        near = CONTROLS - DISTANT_CONTROLS
        self.controls = [
            self.make_host(f"core-{i}", "registry", i, distant_s if i > near else 0.0)
            for i in range(1, CONTROLS + 1)]
        self.gateways = [self.make_host(f"front-{i}", "gateway", 10 + i)
                         for i in range(1, gateways + 1)]
        self.next_control = FIRST_REPLACEMENT
        self.gone = []  # control hosts that were replaced
        self.extra_services = {}  # of all configurations
        self.seeds = [host.control_address() for host in self.controls]  # of the present hosts
        self.control_list = self.folder / "controls"  # file with the present control addresses
        self.control_list.write_text("\n".join(self.seeds))
        self.checks = Checks()
        for gateway in self.gateways:
            gateway.on_touch = self.checks.forget_gateway
        self.upstreams = []
        self.zones = {}  # of upstreams by name; the others are in zone a
        self.crashes_under = None  # bytes in the body of a request under which upstreams crash
        self.route_timeout_s = 1.5
        self.is_keyed = True  # the service has keys
        self.cold_rate = 0.0  # requests/s that its upstreams can handle while they are cold; 0: any
        self.cold_s = 0.0  # how long its upstreams are cold after their start
        self.attempts = 2  # most upstreams that a request without a key may reach
        self.version = 0  # last acknowledged configuration
        self.is_version_unknown = False  # an accepted configuration may have had no response
        self.dropped_version = 0  # the one before
        self.acknowledged_at = None  # None: it is not known when `version` came into force
        self.counts = {"served": 0, "refused": 0, "unknown": 0}
        self.connections = []  # of callers
        self.outcomes = []  # (time, whether served)
        self.next_id = 0

    def make_host(self, name, role, number, delay_s=0.0):
        return Host(name, role, number, self.ports, self.folder, self.binary, delay_s)

    async def start_site(self):
        """Starts all processes and waits until the first configuration should be in effect."""
        for host in self.controls + self.gateways:
            host.write_settings(self.seeds[:SEEDS_IN_FILE], True)
            for relay in host.relays if host.role == "registry" else []:
                await relay.start()
            host.start()
        # Without this wait a process that starts slowly reads the settings that are written for
        # later starts; seeds 7, 9 and 11 failed so.
        for host in self.controls + self.gateways:
            await host.wait_until_started()
        for host in self.controls:
            host.write_settings(self.seeds[:SEEDS_IN_FILE], False)
        for i in range(UPSTREAMS):
            await self.add_upstream(f"i-{i}", f"127.0.3.{i + 1}:{self.ports['callers']}")
        await self.put_configuration(20.0)
        await asyncio.sleep(3.0)

    async def start_empty_control(self, old):
        """Starts an empty control host at a new address, as far away as `old`; returns it. Only its
        own settings file has the present addresses."""
        host = self.make_host(f"core-{self.next_control}", "registry", self.next_control,
                              old.delay_s)
        self.next_control += 1
        host.is_replacement = True
        host.write_settings([seed for seed in self.seeds if seed != old.control_address()]
                            [:SEEDS_IN_FILE], False)
        for relay in host.relays:
            await relay.start()
        host.start()
        return host

    def list_control_instead(self, host, old):
        """Puts a control host in the place of one that is gone. Upstreams and operators use the new
        list at once; settings files are written by rewrite_seeds()."""
        self.controls[self.controls.index(old)] = host
        self.gone.append(old)
        self.seeds[:] = [control.control_address() for control in self.controls]
        self.control_list.write_text("\n".join(self.seeds))
        host.touch()

    def rewrite_seeds(self, hosts):
        """Writes the present control addresses into the settings files of hosts."""
        for host in hosts:
            host.write_settings(self.seeds[:SEEDS_IN_FILE], False)

    def needs_seeds(self, host, lost=()):
        """Whether the settings file of a host names no other present control host with data, so that
        the host could find nobody. The hosts `lost` are without data."""
        known = [control for control in self.controls
                 if control is not host and control not in lost
                 and control.control_address() in host.seeds]
        return not known

    async def add_upstream(self, name, address):
        """Starts a new incarnation of the upstream at an address."""
        upstream = Upstream(name, address, "orders", self.seeds, self.checks, self.upstreams)
        upstream.takes_calls = self.calls
        upstream.is_keyed = self.is_keyed
        upstream.zone = self.zones.get(name, upstream.zone)
        upstream.crashes_under = self.crashes_under
        upstream.warm_at = time.monotonic() + self.cold_s
        self.checks.forget_upstream(name)
        await upstream.start()
        self.upstreams[:] = [u for u in self.upstreams if u.address != address] + [upstream]

    def configuration(self, version):
        """Document of a configuration, with a route that no other version has."""
        route_types = {"/read/": "safe", "/order/": "unsafe", f"/v{version}/": "safe"}
        return json.dumps({
            "version": f"{version:08x}",
            "routes": {prefix.strip("/"): {
                "host": "maps.example", "pathPrefix": prefix, "routeType": kind,
                "timeoutS": self.route_timeout_s, "targetLatencyS": 0.5, "priority": 1,
                "service": "orders", "attempts": self.attempts}
                for prefix, kind in route_types.items()},
            "services": {"orders": self.service_settings(),
                         **self.extra_services}})

    def service_settings(self):
        """The service in a configuration."""
        settings = {"healthPath": HEALTH_PATH, "maxConnections": 100, "sharded": self.is_keyed,
                    "warmS": 0, "grants": "call" if self.calls else "heartbeat"}
        if self.cold_rate:
            settings |= {"warmupPerS": self.cold_rate, "warmupS": self.cold_s}
        return settings

    async def put_configuration(self, max_wait):
        """Sends the next configuration until it is acknowledged, at most `max_wait` seconds."""
        if self.is_version_unknown and not await self.learn_version(max_wait):
            return
        version = self.version + self.random.randrange(1, 4)
        self.acknowledged_at = None
        end = time.monotonic() + max_wait
        while time.monotonic() < end:
            status = await self.call_control("POST", "/-/Config.Put", self.configuration(version),
                                             {"X-Cassiaroad-Base-Version": f"{self.version:08x}"})
            if status[0] == 200:
                self.dropped_version, self.version = self.version, version
                self.acknowledged_at = time.monotonic()
                return
            if status[0] in (400, 412):
                self.checks.violations.append(f"version {version} was refused: {status[0]}")
                return
            await asyncio.sleep(0.2)
        # The configuration may have been accepted without a response; the next one must be based on
        # the version that a read returns.
        self.is_version_unknown = True
        await self.learn_version(10.0)

    async def learn_version(self, max_wait):
        """Reads the version on which the next configuration must be based; returns whether a read
        has succeeded. Without it, seed 101 built on a version that was not the newest."""
        read = await self.read_version(max_wait)
        self.is_version_unknown = read == 0
        self.version = max(self.version, read)
        return not self.is_version_unknown

    async def call_control(self, method, path, body="", headers=None):
        """Sends a request to a random control host and follows redirects; returns status and
        body."""
        target = self.random.choice(self.seeds)
        for _ in range(3):
            status, received, text = await http(method, target, path, body, headers or {}, 2.0)
            if status != 307:
                break
            target = received["location"].split("/")[2]
        return status, text

    async def read_version(self, max_wait):
        """Version of the present configuration; 0 if no read succeeds within `max_wait` seconds."""
        end = time.monotonic() + max_wait
        while time.monotonic() < end:
            status, text = await self.call_control("GET", "/-/Config.Get")
            if status == 200:
                return int(json.loads(text)["version"], 16)
            await asyncio.sleep(0.2)
        return 0

    def connect(self, gateway):
        """A connection of a caller to a gateway, which opens with the first request."""
        connection = KeptConnection(f"{gateway.ip}:{self.ports['callers']}")
        self.connections.append(connection)
        return connection

    async def send(self, connection, gateway, method, path, body="abc", key=None):
        """Sends a request and records what it tells; returns its id, status and response body."""
        self.next_id += 1
        request_id = f"r{self.next_id:07d}"
        self.checks.record_sent(request_id, gateway.name)
        key = self.random.randrange(65536) if key is None else key
        status, headers, text = await connection.send(
            method, path, body,
            {"X-Cassiaroad-Request-Id": request_id, "X-Cassiaroad-Deadline-Ms": "1500",
             "X-Cassiaroad-Shard-Key": str(key)}, CALLER_TIMEOUT_S)
        self.checks.record_response(request_id, headers)
        if status in (503, 429, 421, 408):
            self.checks.record_refusal(request_id)
        return request_id, status, text

    async def call_forever(self, gateway, keeps_connection):
        """Sends requests to a gateway one after another and records their outcomes. With
        `keeps_connection` they share a connection for as long as the gateway keeps it open."""
        connection = self.connect(gateway)
        pause_s = 0.05 * len(self.gateways)  # so that the load does not grow with the gateways
        while True:
            await asyncio.sleep(self.random.uniform(0.1, 1.0) * pause_s)
            method, path = self.random.choice([("GET", "/read/x"), ("POST", "/order/x")])
            request_id, status, text = await self.send(connection, gateway, method, path)
            if not keeps_connection:
                connection.close()
            self.outcomes.append((time.monotonic(), status == 200))
            if status == 200:
                self.counts["served"] += 1
                if text != f"{request_id}:3":
                    self.checks.violations.append(f"{request_id} got the response {text}")
            elif status in (503, 429, 421, 408):
                self.counts["refused"] += 1
            else:
                self.counts["unknown"] += 1
            if status == 404:
                self.checks.violations.append(f"{request_id} got 404 on a route of all versions")

    async def stop(self):
        """Ends all processes, upstreams, relays and connections. What is still open while the event
        loop closes would leave errors behind, which hide the verdict (seed 37)."""
        for host in self.gone + self.controls + self.gateways:
            for relay in host.relays:
                relay.stop()
            host.end()
            host.log.close()
        for upstream in self.upstreams:
            if upstream.up:
                await upstream.crash()
        for connection in self.connections:
            connection.close()
        await asyncio.sleep(0.1)
