"""Durations of configuration changes and of recovery after losses of leaders and upstreams."""
import os
import time

from testsite import NoResponse, ExpectationFailed, request, wait_for

from . import usage
from .report import Table, quantile
from .sites import MeasuredSite

COLUMNS = ["figure", "count", "p50", "p99", "max", "unit", "note"]
FULL = {"sets": 20, "drains": 3, "sites": (2, 4, 8, 16), "leaders": 10, "upstreams": 20}
QUICK = {"sets": 5, "drains": 1, "sites": (2,), "leaders": 3, "upstreams": 3}
REST_PERIOD = {False: 3.0, True: 1.0}  # seconds of the measurement at rest; keyed by --quick
MAX_WAIT = 10.0  # seconds that a wait for a condition may take
PROBE_INTERVAL = 0.005  # seconds between two requests that check whether a key is served
ERRORS = (NoResponse, ExpectationFailed, OSError, ValueError, KeyError)


class Changes:
    """Measurements of changes and losses on one site."""

    def __init__(self, site, table, quick):
        self.site = site
        self.table = table
        self.quick = quick
        self.number = 0  # of the last confirmation

    def add(self, figure, values, unit, note=""):
        """Adds a row with the distribution of the values of several runs."""
        if not values:
            raise ExpectationFailed("no run gave a figure")
        self.table.add(figure, len(values), quantile(values, 0.5), quantile(values, 0.99),
                       max(values), unit, note)

    def confirm(self, *intent):
        """Submits an intent and confirms its plan. Returns the milliseconds from the confirmation
        to the response that the change is in effect on every entry host."""
        plan = self.site.post(self.site.region, "/v1/intent",
                              {"who": "measure", "why": "measurement", "intent": list(intent)})
        self.number += 1
        start = time.monotonic()
        result = self.site.post(self.site.region, "/v1/confirm",
                                {"who": "measure", "number": self.number, "plan": plan["plan"]})
        elapsed = (time.monotonic() - start) * 1000
        coverage = result.get("in_force")
        if not coverage or coverage["hosts"] != coverage["of_hosts"]:
            raise ExpectationFailed("%s: %s" % (" ".join(intent), result))
        return elapsed

    def sets(self, count):
        """Measures changes of a setting, and what one costs the leader and an entry host."""
        entry = self.site.entries(self.site.region)[-1]
        hosts = {"leader": self.site.wait_leader(self.site.region, MAX_WAIT)[0],
                 "entry host": entry}
        rest = {role: usage.Usage(self.site, host) for role, host in hosts.items()}
        time.sleep(REST_PERIOD[self.quick])
        rates = {role: sample.rates() for role, sample in rest.items()}
        samples = {role: usage.Usage(self.site, host) for role, host in hosts.items()}
        name = "%d entry hosts: " % len(self.site.entries(self.site.region))
        self.add(name + "set, confirm to in force",
                 [self.confirm("set", "timing.silence-ms", str(2000 + index))
                  for index in range(count)], "ms")
        for role, sample in samples.items():
            seconds, *used = sample.since_start()
            cost = [amount - seconds * rate for amount, rate in zip(used, rates[role])]
            for figure, unit, amount in (("processor time", "ms", cost[0] * 1000),
                                         ("bytes sent", "bytes", cost[1]),
                                         ("bytes received", "bytes", cost[2])):
                self.table.add("%s%s of the %s per set" % (name, figure, role), count,
                               amount / count, "", "", unit, "mean, less the use at rest")

    def drains(self, count):
        """Measures drains of one upstream after another; each is returned to service afterwards."""
        name = "%d entry hosts: " % len(self.site.entries(self.site.region))
        in_force, emptied, moved = [], [], []
        targets = self.site.upstreams("bookings", self.site.region)
        for index in range(count):
            target = targets[index % len(targets)].name
            moved.append(self.shards_of(target))
            in_force.append(self.confirm("drain", "bookings/" + target))
            wait = wait_for(lambda target=target: self.shards_of(target) == 0, MAX_WAIT,
                            target + " holds no shard")
            emptied.append(in_force[-1] + wait * 1000)
            self.confirm("return", "bookings/" + target)
        note = "shards moved: " + ", ".join(str(shards) for shards in moved)
        self.add(name + "drain, confirm to in force", in_force, "ms", note)
        self.add(name + "drain, confirm to the last shard moved", emptied, "ms", note)

    def shards_of(self, name):
        """Number of shards of an upstream, or None if no leader responds."""
        status = self.site.status(self.site.region)
        if status is None:
            return None
        return next(one["shards"] for one in status["upstreams"] if one["name"] == name)

    # Losses

    def leader_losses(self, count):
        """Measures the time from the loss of the leader to the next one."""
        times = []
        for _ in range(count):
            leader = self.site.wait_leader(self.site.region, MAX_WAIT)[0]
            self.site.kill(leader)
            start = time.monotonic()
            self.site.wait_leader(self.site.region, MAX_WAIT, leader)
            times.append((time.monotonic() - start) * 1000)
            self.site.restart(leader)
            wait_for(lambda leader=leader: self.has_caught_up(leader), MAX_WAIT,
                     leader.name + " has caught up")
        self.add("SIGKILL of the leader to a new leader with a lease", times, "ms")

    def has_caught_up(self, member):
        """Whether a member has all commits of the leader."""
        status, metrics = self.site.status(self.site.region), self.site.metrics(member)
        return (status is not None and metrics is not None
                and metrics["cassiaroad_control_commit_index"] >= status["commit_index"])

    def upstream_losses(self, count):
        """Measures the time for which a key is unavailable; each loss moves it to another
        upstream."""
        key = self.site.keys("bookings", self.site.region, 1)[0]
        entry = self.site.entries(self.site.region)[0].addresses["callers"]
        times = []
        for _ in range(count):
            owner = self.site.owner("bookings", key, self.site.region)
            host = next(host for host in self.site.upstreams("bookings") if host.name == owner)
            self.site.kill(host)
            start = time.monotonic()
            while not self.is_served(entry, key):
                if time.monotonic() - start > MAX_WAIT:
                    raise ExpectationFailed("%s is not served again" % key)
                time.sleep(PROBE_INTERVAL)
            times.append((time.monotonic() - start) * 1000)
            self.site.restart(host)
            wait_for(lambda host=host: self.is_up(host), MAX_WAIT, host.name + " is up")
        self.add("SIGKILL of an upstream to the next answer for its key", times, "ms")

    @staticmethod
    def is_served(entry, key):
        try:
            response = request(entry, "GET", "/bookings/%s/page" % key, timeout=MAX_WAIT)
        except NoResponse:
            return False
        return response.status == 200 and response.outcome == "answered"

    def is_up(self, host):
        status = self.site.status(self.site.region)
        return status is not None and any(one["name"] == host.name and one["state"] == "up"
                                          for one in status["upstreams"])


def run(table, figure, step, *arguments):
    """Runs a measurement; adds a row with the reason if it fails."""
    try:
        step(*arguments)
    except ERRORS as error:
        table.add_failure(figure, error)


def measure(context):
    """Returns the table of this part."""
    table = Table("changes", "Changes and losses of one region's group", COLUMNS)
    counts = QUICK if context.quick else FULL
    for entries in counts["sites"]:
        folder = os.path.join(context.folder, "changes-%d" % entries)
        name = "%d entry hosts: " % entries
        try:
            with MeasuredSite(context.build, folder, entries, 6) as site:
                changes = Changes(site, table, context.quick)
                run(table, name + "set", changes.sets, counts["sets"])
                run(table, name + "drain", changes.drains, counts["drains"])
                if entries == counts["sites"][0]:
                    run(table, "loss of the leader", changes.leader_losses, counts["leaders"])
                    run(table, "loss of an upstream", changes.upstream_losses,
                        counts["upstreams"])
        except ERRORS as error:
            table.add_failure(name + "site", error)
    return [table]
