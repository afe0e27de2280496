#!/usr/bin/env python3
"""Runs the sites of both users on loopback and shows, step by step, what the router does."""
import argparse
import hashlib
import json
import os
import random
import shutil
import sys
import tempfile
import time

from testsite import (NoResponse, ExpectationFailed, Site, Traffic, announce_body, violations,
                      outcome_violations, request, wait_for)

MAX_RECOVERY_TIME = 2.0  # seconds; the promises allow no more after a loss
CHUNK = 1 << 20  # bytes of an upload in one request
KEYED = {"Content-Type": "application/json"}


def expect(condition, text):
    """Raises ExpectationFailed with `text` unless the condition is true."""
    if not condition:
        raise ExpectationFailed(text)


class Steps:
    """Runs steps, prints one line for each, and collects the names of those that failed."""

    def __init__(self):
        self.failed = []
        self.start = time.monotonic()
        print("%-5s %-12s %-34s %-7s %s" % ("time", "site", "step", "result", "what it showed"))

    def run(self, site, name, step):
        """Runs `step()`, which returns a summary of what it showed or raises an exception."""
        try:
            result, summary = "held", step()
        except (ExpectationFailed, NoResponse, KeyError, TypeError, ValueError) as error:
            result, summary = "BROKEN", "%s: %s" % (type(error).__name__, error)
            self.failed.append(name)
        print("%5.1f %-12s %-34s %-7s %s"
              % (time.monotonic() - self.start, site, name, result, summary), flush=True)


class Demo:
    """The steps on the site of one user. Each returns a summary of what it showed."""

    def __init__(self, site, steps, work, files):
        """`work`: the service of orders or bookings and the last part of their paths; `files`: the
        service of uploads."""
        self.site = site
        self.steps = steps
        self.service, self.action = work
        self.files = files
        self.region = list(site.regions)[0]
        self.balancer = site.balancer()
        self.random = random.Random(7)
        self.sent = []  # requests of all traffic

    def step(self, name, function):
        self.steps.run(self.site.user, name, function)

    def path(self, key, subpath=None):
        """Path of a key in the service, by default that of its orders or bookings."""
        return "/%s/%s/%s" % (self.service, key, subpath or self.action)

    def keyed(self, entry, key, idempotency_key):
        """Sends a POST request with an idempotency key through one entry host."""
        headers = {**KEYED, "Idempotency-Key": idempotency_key}
        return request(entry.addresses["callers"], "POST", self.path(key), headers, b'{"n":40}')

    def runs_of(self, key, method="POST"):
        """Runs of the requests for a key in the journals."""
        return [run for run in self.site.runs(self.service)
                if run["key"] == key and run["method"] == method]

    # Steps

    def place_one(self):
        """Places one order or booking, which must run once."""
        response = self.balancer.request("POST", self.path("first-1"), KEYED, b'{"n":40}')
        expect(response.status == 201, "answered %r" % response)
        runs = self.runs_of("first-1")
        expect(len(runs) == 1, "%d runs in the journals" % len(runs))
        return "run once by %s under %s" % (runs[0]["upstream"], runs[0]["grant"])

    def read_everywhere(self):
        """Reads a key through every entry host; one upstream must answer all reads."""
        owners = set()
        for entry in self.site.entries():
            response = request(entry.addresses["callers"], "GET", self.path("first-1", "page"))
            expect(response.status == 200, "%s answered %r" % (entry.name, response))
            owners.add(json.loads(response.body)["upstream"])
        expect(len(owners) == 1, "owners: %s" % owners)
        return "%d entry hosts in 2 regions, one owner" % len(self.site.entries())

    def send_twice(self):
        """Repeats a keyed request at another entry host, which must replay the response."""
        first, second = self.site.entries()[0], self.site.entries()[-1]
        responses = [self.keyed(first, "twice-1", "idem-1"),
                     self.keyed(second, "twice-1", "idem-1")]
        expect(responses[0].status == 201 and responses[0].body == responses[1].body,
               "answers %r" % responses)
        expect(responses[1].headers.get("cassiaroad-replayed") == "true", "second was not replayed")
        expect(len(self.runs_of("twice-1")) == 1, "%d runs" % len(self.runs_of("twice-1")))
        other = request(second.addresses["callers"], "POST", self.path("twice-1"),
                        {**KEYED, "Idempotency-Key": "idem-1"}, b'{"n":41}')
        expect(other.status == 422, "another body was answered with %r" % other)
        return "run once; replayed by another host; other body: 422"

    def refuse(self):
        """Sends requests that must be refused without running."""
        entry = self.site.entries()[0].addresses["callers"]
        too_large = announce_body(entry, "POST", self.path("large-1"), 5 * CHUNK)
        bad_key = self.balancer.request("POST", "/%s/b%%20d/%s" % (self.service, self.action))
        expect(too_large.status == 413 and too_large.outcome == "not-run", "%r" % too_large)
        expect(bad_key.status == 400 and bad_key.outcome == "not-run", "%r" % bad_key)
        expect(not self.runs_of("large-1"), "a refused request ran")
        return "413 and 400, both reported as not run and not run"

    def upload(self):
        """Uploads a file in chunks; the entry host in use is killed after half of them."""
        content = self.random.randbytes(8 * CHUNK)
        entries = [entry for entry in self.site.entries(self.region) if entry.process.is_running()]
        first, second = entries[0].addresses["callers"], entries[1].addresses["callers"]
        created = request(first, "POST", "/%s/base-1/uploads" % self.files,
                          {"Upload-Length": str(len(content)), "Tus-Resumable": "1.0.0"}, b"")
        expect(created.status == 201, "creation: %r" % created)
        path = created.headers["location"]
        half = self.send_chunks(first, path, content, 0, len(content) // 2)
        self.site.kill(entries[0])
        head = request(second, "HEAD", path)
        expect(head.headers.get("upload-offset") == str(half), "offset after the loss: %r" % head)
        self.send_chunks(second, path, content, half, len(content))
        report = json.loads(request(second, "GET", path).body)
        expect(report["sha256"] == hashlib.sha256(content).hexdigest(), "content differs")
        self.site.restart(entries[0])
        return "8 MiB in 1 MiB pieces, resumed by %s after the loss of %s" % (entries[1].name,
                                                                           entries[0].name)

    @staticmethod
    def send_chunks(address, path, content, start, end):
        """Uploads content[start:end] in chunks; returns `end`."""
        for offset in range(start, end, CHUNK):
            response = request(address, "PATCH", path,
                               {"Upload-Offset": str(offset), "Tus-Resumable": "1.0.0",
                                "Content-Type": "application/offset+octet-stream"},
                               content[offset:offset + CHUNK])
            expect(response.status == 204, "piece at %d: %r" % (offset, response))
        return end

    def drain(self):
        """Drains an upstream under traffic; no request may be interrupted, or run there
        afterwards."""
        target = "%s/%s" % (self.service, self.site.upstreams(self.service, self.region)[0].name)
        keys = self.site.keys(self.service, self.region, 8)
        traffic = Traffic(self.site.balancer(self.region), [self.path(key) for key in keys],
                          self.site.now)
        with traffic:
            plan = self.site.plan(self.region, "aino", "disk replacement", "drain", target)
            status, first = self.site.confirm(self.region, "aino", 1, plan["plan"])
            confirmed = self.site.now()
            expect(status == 0 and first["status"] == "accepted", "confirm: %s" % first)
            wait_for(lambda: self.shards_of(target) == 0, 10.0, "%s holds no shard" % target)
            wait_for(lambda: self.site.now() > confirmed + 3, 5.0, "traffic after the drain")
        self.sent += traffic.sent
        expect(traffic.count("answered") == len(traffic.sent), "of %d requests %d not run, %d "
               "unknown" % (len(traffic.sent), traffic.count("not-run"), traffic.count("unknown")))
        late = [run for run in self.site.runs(self.service)
                if target.endswith("/" + run["upstream"])
                and run["time"] / 1000 > confirmed + MAX_RECOVERY_TIME]
        expect(not late, "%d requests ran there more than 2 s later" % len(late))
        self.resend(plan, first)
        coverage = first["in_force"]
        return "%d moves; in force on %d of %d; %d requests, none interrupted" % (
            len(plan["moves"]), coverage["hosts"], coverage["of_hosts"], len(traffic.sent))

    def resend(self, plan, first):
        """Repeats a confirmation, which must have the same result, and confirms the plan as a
        second operator, which must be a conflict."""
        _, again = self.site.confirm(self.region, "aino", 1, plan["plan"])
        expect(again["confirmed_wall_ms"] == first["confirmed_wall_ms"], "resent: %s" % again)
        status, other = self.site.confirm(self.region, "eero", 1, plan["plan"])
        expect(status == 1 and other["status"] == "conflict" and other["winner"]["who"] == "aino",
               "second operator: %s" % other)
        _, record, _ = self.site.command(self.region, "record", "--who", "aino")
        expect(record["record"][0]["why"] == "disk replacement", "record: %s" % record)

    def shards_of(self, target):
        """Number of shards and moved keys of an upstream, or None if no leader responds."""
        status = self.site.status(self.region)
        if status is None:
            return None
        return next(one["shards"] + one["moved_keys"] for one in status["upstreams"]
                    if "%s/%s" % (one["service"], one["name"]) == target)

    def kill_leader(self):
        """Kills the control leader under traffic, which must not be affected."""
        leader = self.site.leader(self.region)
        keys = self.site.keys(self.service, self.region, 4, "lead")
        traffic = Traffic(self.site.balancer(self.region), [self.path(key) for key in keys],
                          self.site.now)
        with traffic:
            self.site.kill(leader)
            successor, elapsed = self.site.wait_leader(self.region, MAX_RECOVERY_TIME, leader)
            response = self.keyed(self.site.entries(self.region)[1], keys[0], "after-the-leader")
        self.sent += traffic.sent
        expect(response.status == 201, "keyed request after the loss: %r" % response)
        expect(traffic.count("answered") == len(traffic.sent), "requests failed meanwhile")
        self.site.restart(leader)
        return "%s leads after %.2f s; %d requests meanwhile, none failed" % (
            successor.name, elapsed, len(traffic.sent))

    def kill_upstream(self):
        """Kills an upstream; its keys must be served again by others in time."""
        lost = self.site.upstreams(self.service, self.region)[-1]
        keys = [key for key in self.site.keys(self.service, self.region, 8, "lost")
                if self.site.owner(self.service, key) == lost.name]
        expect(keys, "%s owns none of the keys tried" % lost.name)
        traffic = Traffic(self.site.balancer(self.region), [self.path(key) for key in keys],
                          self.site.now)
        with traffic:
            wait_for(lambda: traffic.count("answered") > 5, 5.0, "traffic")
            killed = self.site.now()
            self.site.kill(lost)
            wait_for(lambda: traffic.are_all_served_since(killed), 10.0, "served again")
        elapsed = traffic.recovery_time(killed)
        self.sent += traffic.sent
        self.site.restart(lost)
        expect(elapsed < MAX_RECOVERY_TIME, "served again only after %.2f s" % elapsed)
        return "keys of %s served again after %.2f s" % (lost.name, elapsed)

    def check_journals(self):
        """Checks the journals of all upstreams and the outcomes of all traffic."""
        runs = self.site.runs(self.service)
        found = violations(runs) + outcome_violations(self.sent, runs)
        found += violations(self.site.runs(self.files))
        expect(not found, "; ".join(found[:3]))
        return "%d runs: one owner at a time, nothing twice, every outcome true" % len(runs)


def rastikartta(build, folder, steps):
    """Runs all steps."""
    with Site(build, folder, "rastikartta", upstreams={"orders": 2, "basemaps": 1}) as site:
        demo = Demo(site, steps, ("orders", "prints"), "basemaps")
        demo.step("order of maps", demo.place_one)
        demo.step("proof read through every host", demo.read_everywhere)
        demo.step("keyed order sent twice", demo.send_twice)
        demo.step("refused requests", demo.refuse)
        demo.step("base map upload, host killed", demo.upload)
        demo.step("intent, plan, confirm: drain", demo.drain)
        demo.step("control leader killed", demo.kill_leader)
        demo.step("upstream killed", demo.kill_upstream)
        demo.step("journals", demo.check_journals)


def badia(build, folder, steps):
    """Runs fewer steps on the smaller site."""
    with Site(build, folder, "badia") as site:
        demo = Demo(site, steps, ("bookings", "days"), "fleeces")
        demo.step("booking of a gang", demo.place_one)
        demo.step("calendar read through every host", demo.read_everywhere)
        demo.step("keyed booking sent twice", demo.send_twice)
        demo.step("fleece photo upload, host killed", demo.upload)
        demo.step("journals", demo.check_journals)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--keep", action="store_true", help="keep logs and journals")
    options = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="cassiaroad-demo-")
    steps = Steps()
    for user, course in (("rastikartta", rastikartta), ("badia", badia)):
        try:
            course(options.build, os.path.join(folder, user), steps)
        except ExpectationFailed as error:
            steps.failed.append(user)
            print("%s: the site did not start: %s" % (user, error))
    if options.keep or steps.failed:
        print("logs and journals: " + folder)
    else:
        shutil.rmtree(folder)
    print("%d steps did not hold" % len(steps.failed) if steps.failed else "every step held")
    return 1 if steps.failed else 0


if __name__ == "__main__":
    sys.exit(main())
