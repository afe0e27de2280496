"""Proofs about entry hosts that are killed, paused or stopped, and about requests that they
refuse."""
import json
import threading

from testsite import NoResponse, request, wait_for
from testsite.proof import MAX_WAIT, check_journals, expect, proof, traffic

REGION = "north-badia"
SLOW = {"bookings": ["--service-ms", "1500"]}
HEADERS = {"Content-Type": "application/json"}


class Background:
    """Sends one request from a thread of its own."""

    def __init__(self, entry, path, headers):
        self.result = None
        self.thread = threading.Thread(target=self.run, args=(entry, path, headers), daemon=True)
        self.thread.start()

    def run(self, entry, path, headers):
        try:
            self.result = request(entry.addresses["callers"], "POST", path, headers, b"{}",
                                  timeout=30)
        except NoResponse as error:
            self.result = error

    def wait(self):
        """Waits for the end of the request; returns its Response or NoResponse."""
        self.thread.join(MAX_WAIT)
        return self.result


def runs_of(site, key):
    """Runs of the POST requests for a key in the journals."""
    return [run for run in site.runs("bookings") if run["key"] == key and run["method"] == "POST"]


def owner_by(entry, key):
    """Upstream that answers for a key through one entry host, or None."""
    response = request(entry.addresses["callers"], "GET", "/bookings/%s/owner" % key)
    return json.loads(response.body)["upstream"] if response.status == 200 else None


@proof("P3 P5", "entry host killed in a keyed request")
def entry_killed_in_request(maker):
    with maker.site(upstream_options=SLOW) as site:
        first, second = site.entries(REGION)
        key = maker.keys(site, "bookings", REGION, 1)[0]
        path = "/bookings/%s/days" % key
        headers = {**HEADERS, "Idempotency-Key": "k-1"}
        running = Background(first, path, headers)
        wait_for(lambda: runs_of(site, key), MAX_WAIT, "the request runs")
        site.kill(first)
        running.wait()
        responses = [request(second.addresses["callers"], "POST", path, headers, b"{}", timeout=30)
                     for _ in range(3)]
        site.restart(first)
        wait_for(lambda: site.is_assigned(REGION), MAX_WAIT, "entry host is back")
        responses.append(request(first.addresses["callers"], "POST", path, headers, b"{}"))
        expect(len(runs_of(site, key)) == 1, "ran %d times" % len(runs_of(site, key)))
        expect(responses[-1].outcome == "unknown", "resent: %r" % responses[-1])
        expect(all(one.outcome in ("unknown", "not-run") or one.status == 409
                   for one in responses), "resent: %r" % responses)
        check_journals(site)
        return "run once; resent 4 times: %s" % ", ".join(
            "%d %s" % (one.status, one.outcome) for one in responses)


@proof("P1 P3 P5", "entry host paused in a request while an owner changes, then resumed")
def entry_paused_in_request(maker):
    with maker.site(trusting=("bookings-1",),
                    upstream_options={"bookings": ["--service-ms", "100"]}) as site:
        first, second = site.entries(REGION)
        owner = site.hosts["bookings-1"]
        key = maker.keys(site, "bookings", REGION, 1, owner.name)[0]
        path = "/bookings/%s/days" % key
        running = Background(first, path, HEADERS)
        wait_for(lambda: runs_of(site, key), MAX_WAIT, "the request runs")
        first.process.pause()
        # These requests wait in the socket of the paused host, whose route table has the old owner.
        late = [Background(first, path, HEADERS) for _ in range(3)]
        plan = site.plan(REGION, "omar", "repair", "drain", "bookings/bookings-1")
        site.confirm(REGION, "omar", 1, plan["plan"])
        wait_for(lambda: owner_by(second, key) not in (None, owner.name), MAX_WAIT,
                 "the key has another owner")
        expect(request(second.addresses["callers"], "POST", path, HEADERS, b"{}").status == 201,
               "the new owner does not answer")
        taken_over = site.now()
        first.process.resume()
        results = [running.wait()] + [one.wait() for one in late]
        check_journals(site)
        old = [run for run in runs_of(site, key)
               if run["upstream"] == owner.name and run["time"] / 1000 > taken_over]
        expect(not old, "%d requests ran at the old owner" % len(old))
        return "after the pause: %s" % ", ".join(
            str(one) if isinstance(one, NoResponse) else "%d %s" % (one.status, one.outcome)
            for one in results)


@proof("P7", "entry host stopped for maintenance under traffic")
def entry_stopped(maker):
    with maker.site() as site:
        first = site.entries(REGION)[0]
        keys = maker.keys(site, "bookings", REGION, 4)
        with traffic(site, "bookings", keys, REGION) as running:
            wait_for(lambda: running.count("answered") > 50, MAX_WAIT, "traffic")
            first.process.terminate()
            status = first.process.wait_exit(MAX_WAIT)
        check_journals(site, running.sent)
        expect(status == 0, "the entry host ended with %d" % status)
        expect(running.count("answered") == len(running.sent), "%d of %d requests failed, first: %r" % (
            len(running.sent) - running.count("answered"), len(running.sent),
            next((one.result for one in running.sent if one.outcome != "answered"), None)))
        return "%d requests, none interrupted" % len(running.sent)


@proof("P4", "body larger than the limit, sent whole by a client that reads no answer before")
def large_body_refused(maker):
    with maker.site() as site:
        key = maker.keys(site, "bookings", REGION, 1)[0]
        response = request(site.entries(REGION)[0].addresses["callers"], "POST",
                           "/bookings/%s/days" % key, HEADERS, b"x" * (5 << 20))
        expect(response.status == 413 and response.outcome == "not-run", "%r" % response)
        expect(not runs_of(site, key), "a refused request ran")
        return "413, not run"
