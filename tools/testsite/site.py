"""A site of real processes on loopback: control groups, entry hosts, test upstreams and links."""
import json
import os
import subprocess
import time

from .http import Balancer, NoResponse, request
from .journal import read_journals
from .link import Link
from .ports import free_addresses
from .process import ExpectationFailed, Process, wait_for
from .settings import USERS, settings_text

ANNOUNCE_TOKEN = "announce-token-of-the-test-site"
OPERATOR_TOKEN = "operator-token-of-the-test-site"
ZONE_LATENCY_US = 1500
REGION_LATENCY_US = 20000
REGION_LINE_KBIT = 30000
MAX_START_TIME = 20.0  # seconds until every shard has an owner
MAX_STOP_TIME = 5.0


class Host:
    """A process of the site, or the host from which an operator runs commands, and its location."""

    def __init__(self, name, role, region, zone, group, listeners):
        self.name = name
        self.role = role  # entry, control, operator or the service of an upstream
        self.region = region
        self.zone = zone
        self.group = group  # region whose control group the host belongs to or uses
        self.listeners = listeners  # names
        self.addresses = {}  # by name of the listener
        self.number = 0  # of a control member
        self.journal = ""  # path, of an upstream
        self.process = None

    @property
    def place(self):
        """Part of the relays' names that stands for this host: region.zone.host."""
        return "%s.%s.%s" % (self.region, self.zone, self.name)


class Site:
    """Starts the processes of a user's site, injects faults and inspects them. Use as a context
    manager."""

    def __init__(self, build, folder, user, entries_per_zone=1, upstreams=None, shards=64,
                 tuning=None, upstream_options=None, trusting=(), relayed_services=()):
        """`upstreams`: number per zone of each service; `tuning`: settings by section;
        `upstream_options`: arguments of the upstreams of each service; `trusting`: names of
        upstreams that do not check grants; `relayed_services`: services whose upstreams are reached
        through relays, which accept connections even while the upstream refuses them."""
        self.build = os.path.abspath(build)
        self.folder = os.path.abspath(folder)
        self.user = user
        self.regions = USERS[user]["regions"]
        self.services = USERS[user]["services"]
        self.weights = USERS[user]["weights"]
        self.shards = shards
        self.tuning = tuning or {}
        self.upstream_options = upstream_options or {}
        self.trusting = set(trusting)
        self.relayed_services = set(relayed_services)
        self.hosts = {}
        self.link = None
        self.relays = {}
        self.place_members()
        self.place_entries(entries_per_zone)
        self.place_upstreams(upstreams or {service: 1 for service in self.services})
        for region, zones in self.regions.items():
            self.place(Host("desk-" + region, "operator", region, zones[0], region, []))

    def place(self, host):
        self.hosts[host.name] = host

    def place_members(self):
        """Adds the members of each control group: two in the zones of the region, one as a
        tie-breaker in another region."""
        names = list(self.regions)
        for index, region in enumerate(names):
            other = names[(index + 1) % len(names)]
            zones = self.regions[region]
            places = [(region, zones[0]), (region, zones[1]), (other, self.regions[other][0])]
            for number, (host_region, zone) in enumerate(places, 1):
                host = Host("%s-control-%d" % (region, number), "control", host_region, zone,
                            region, ["rpc", "operators"])
                host.number = number
                self.place(host)

    def place_entries(self, per_zone):
        for region, zones in self.regions.items():
            for number in range(per_zone * len(zones)):
                self.place(Host("%s-entry-%d" % (region, number + 1), "entry", region,
                                zones[number % len(zones)], region,
                                ["callers", "announce", "admin"]))

    def place_upstreams(self, per_zone):
        for service, count in per_zone.items():
            number = 0
            for region, zones in self.regions.items():
                for zone in zones * count:
                    number += 1
                    self.place(Host("%s-%d" % (service, number), service, region, zone, region,
                                    ["http"]))

    # Hosts

    def hosts_of_role(self, role, group=None):
        return [host for host in self.hosts.values()
                if host.role == role and group in (None, host.group)]

    def members(self, group):
        return self.hosts_of_role("control", group)

    def entries(self, region=None):
        return self.hosts_of_role("entry", region)

    def upstreams(self, service=None, region=None):
        return [host for host in self.hosts.values()
                if host.role in self.services and service in (None, host.role)
                and region in (None, host.region)]

    def balancer(self, region=None):
        return Balancer([host.addresses["callers"] for host in self.entries(region)])

    # Start and stop

    def __enter__(self):
        os.makedirs(self.folder, exist_ok=True)
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def start(self):
        """Starts all processes and waits until every shard has an owner."""
        self.link = Link(self.build)
        self.link.command("rate regions %d" % REGION_LINE_KBIT)
        wanted = [(host, name) for host in self.hosts.values() for name in host.listeners]
        for (host, name), address in zip(wanted, free_addresses(len(wanted))):
            host.addresses[name] = address
        self.write_files()
        for role in ("control", "entry", *self.services):
            for host in self.hosts_of_role(role):
                host.process = Process(host.name, self.arguments(host), self.path(host, "log"))
                bootstraps = host.role == "control" and host.number == 1
                host.process.start(["--bootstrap"] if bootstraps else [])
        for region in self.regions:
            wait_for(lambda region=region: self.is_assigned(region), MAX_START_TIME,
                     "every shard of %s has an owner" % region)

    def stop(self):
        """Kills every process that is running."""
        for host in self.hosts.values():
            if host.process is not None:
                if host.process.is_running() and host.process.paused:
                    host.process.resume()
                host.process.kill()
        if self.link is not None:
            self.link.stop()

    def path(self, host, suffix):
        return os.path.join(self.folder, "%s.%s" % (host.name, suffix))

    def write_files(self):
        for name, token in (("announce", ANNOUNCE_TOKEN), ("operator", OPERATOR_TOKEN)):
            with open(os.path.join(self.folder, name + ".token"), "w") as stream:
                stream.write(token + "\n")
        for host in self.hosts.values():
            if host.role in ("control", "entry", "operator"):
                with open(self.path(host, "ini"), "w") as stream:
                    stream.write(settings_text(
                        self, host,
                        lambda to, name, host=host: self.address_for(host, to, name)))

    def arguments(self, host):
        if host.role in ("control", "entry"):
            return [os.path.join(self.build, "cassiaroad"), host.role, "-c",
                    self.path(host, "ini")]
        host.journal = self.path(host, "journal")
        announced = host.addresses["http"]
        if host.role in self.relayed_services:
            announced = self.relay("any>%s.http" % host.place, announced, 0, "")
        arguments = [os.path.join(self.build, "test_upstream"), "--service", host.role, "--name",
                     host.name, "--zone", host.zone, "--listen", host.addresses["http"],
                     "--address", announced, "--token", ANNOUNCE_TOKEN, "--journal", host.journal,
                     "--trusts" if host.name in self.trusting else "--checks"]
        for entry in self.entries(host.region):
            arguments += ["--entry", self.address_for(host, entry, "announce")]
        return arguments + self.upstream_options.get(host.role, [])

    # Network lines

    def address_for(self, viewer, target, listener):
        """Address at which `viewer` reaches a listener of `target`: that of a relay, except for its
        own listeners."""
        address = target.addresses[listener]
        if viewer is target:
            return address
        latency, line = 0, ""
        if viewer.region != target.region:
            reverse = viewer.region != list(self.regions)[0]
            latency, line = REGION_LATENCY_US, "~regions" if reverse else "regions"
        elif viewer.zone != target.zone:
            latency = ZONE_LATENCY_US
        return self.relay("%s>%s.%s" % (viewer.place, target.place, listener), address, latency,
                          line)

    def relay(self, name, target, latency, line):
        if name not in self.relays:
            self.relays[name] = self.link.add(name, target, latency, line)
        return self.relays[name]

    def cut(self, *hosts, how="cut"):
        """Applies a command of `link` to all lines of the hosts: cut, hold, swallow, silence or
        heal."""
        for host in hosts:
            self.link.command("%s *%s>*" % (how, host.place))
            self.link.command("%s *>%s.*" % (how, host.place))

    def cut_regions(self, how="cut"):
        """As cut(), for the lines between the first two regions."""
        one, other = list(self.regions)[:2]
        self.link.command("%s %s.*>%s.*" % (how, one, other))
        self.link.command("%s %s.*>%s.*" % (how, other, one))

    def heal(self, *hosts):
        self.cut(*hosts, how="heal")

    # Faults of hosts

    def remove_data(self, host):
        """Removes the data folder of a control host that is not running."""
        data = self.path(host, "data")
        subprocess.run(["rm", "-rf", data], check=True)

    def kill(self, *hosts):
        for host in hosts:
            host.process.kill()

    def restart(self, *hosts):
        for host in hosts:
            host.process.start()

    # Operators

    @staticmethod
    def status_of(member):
        """Status that a member reports, or None if it is not the leader or does not respond."""
        headers = {"Authorization": "Bearer " + OPERATOR_TOKEN}
        try:
            response = request(member.addresses["operators"], "GET", "/v1/status", headers,
                               timeout=0.3)
        except NoResponse:
            return None
        return json.loads(response.body) if response.status == 200 else None

    def status(self, group):
        """Status that the leader of a group reports, or None if no leader responds."""
        for member in self.members(group):
            if member.process.is_running() and not member.process.paused:
                status = self.status_of(member)
                if status is not None:
                    return status
        return None

    @staticmethod
    def metrics(host):
        """Metrics without labels of a member or entry host, or None if it does not respond."""
        listener = "operators" if host.role == "control" else "admin"
        try:
            response = request(host.addresses[listener], "GET", "/metrics", timeout=1.0)
        except NoResponse:
            return None
        lines = [line.split() for line in response.body.decode().splitlines()]
        return {words[0]: float(words[1]) for words in lines
                if len(words) == 2 and "{" not in words[0]}

    def post(self, group, path, body):
        """Sends a request of an operator to the leader of a group and returns the JSON of the
        response. Raises ExpectationFailed if there is no leader."""
        text = json.dumps(body)
        headers = {"Authorization": "Bearer " + OPERATOR_TOKEN,
                   "Content-Type": "application/json"}
        for member in self.members(group):
            try:
                response = request(member.addresses["operators"], "POST", path, headers, text)
            except NoResponse as error:
                if error.connected:
                    raise
                continue
            if response.status not in (307, 503):
                return json.loads(response.body)
        raise ExpectationFailed("%s: no leader of %s answered" % (path, group))

    def is_assigned(self, group):
        """Whether every shard of the group has an owner, no shard is being released, and the leader
        knows all entry hosts."""
        status = self.status(group)
        if status is None or len(status["entry_hosts"]) < len(self.entries(group)):
            return False
        owned = {}
        for upstream in status["upstreams"]:
            owned[upstream["service"]] = owned.get(upstream["service"], 0) + upstream["shards"]
        share = self.shards // len(self.regions)
        return status["releasing"] == 0 and all(owned.get(service) == share
                                                for service in self.services)

    def leader(self, group):
        """The member that is leader, or None."""
        status = self.status(group)
        if status is None:
            return None
        return next(host for host in self.members(group) if host.number == status["member"])

    def wait_leader(self, group, max_wait, other_than=None):
        """Waits for a leader, which is not `other_than`; returns it and the seconds it took."""
        found = []

        def has_leader():
            leader = self.leader(group)
            if leader is not None and leader is not other_than:
                found.append(leader)
            return bool(found)

        elapsed = wait_for(has_leader, max_wait, "a leader of %s" % group)
        return found[0], elapsed

    def command(self, region, command, *arguments):
        """Runs a command of the operator interface; returns its exit status, its JSON output (None
        if there is none) and its error text."""
        operator_host = self.hosts["desk-" + region]
        completed = subprocess.run(
            [os.path.join(self.build, "cassiaroad"), command, "-c", self.path(operator_host, "ini"),
             "--json", *arguments], capture_output=True, text=True, timeout=30)
        try:
            output = json.loads(completed.stdout)
        except ValueError:
            output = None
        return completed.returncode, output, completed.stderr.strip()

    def plan(self, region, who, why, *intent):
        """Submits an intent and returns the plan. Raises ExpectationFailed if it is refused."""
        status, plan, error = self.command(region, "intent", "--who", who, "--why", why, *intent)
        if status != 0:
            raise ExpectationFailed("intent %s: status %d, %s %s"
                                    % (" ".join(intent), status, plan, error))
        return plan

    def confirm(self, region, who, number, plan):
        """Confirms a plan; returns the exit status of the command and its JSON output."""
        status, result, error = self.command(region, "confirm", "--who", who, "--number",
                                             str(number), str(plan))
        return status, result if result is not None else {"error": error}

    # Keys and journals

    def keys(self, service, region, count, prefix="key"):
        """Returns `count` keys that upstreams of `region` own, found by requests for the owner."""
        found = []
        number = 0
        names = {host.name for host in self.upstreams(service, region)}
        while len(found) < count:
            key = "%s-%d" % (prefix, number)
            number += 1
            if self.owner(service, key, region) in names:
                found.append(key)
        return found

    def owner(self, service, key, region=None):
        """Name of the upstream that answers requests for a key, or None if none does."""
        try:
            response = self.balancer(region).request("GET", "/%s/%s/owner" % (service, key))
        except NoResponse:
            return None
        if response.status != 200 or response.outcome != "answered":
            return None
        return json.loads(response.body)["upstream"]

    def runs(self, service=None):
        """Runs in the journals of one service or of all services."""
        return read_journals([host.journal for host in self.upstreams(service)])

    @staticmethod
    def pause(seconds):
        """Sleeps. To wait for a condition, use wait_for()."""
        time.sleep(seconds)

    @staticmethod
    def now():
        """Time in seconds on the clock that the journals use."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
