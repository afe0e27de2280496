"""Registry of the proofs, and the waits and checks that they share."""
from .http import Traffic
from .journal import violations, late_runs, outcome_violations, repeated
from .process import ExpectationFailed, wait_for
from .site import Site

MAX_RECOVERY_TIME = 2.0  # seconds from a loss until the keys are served again
MAX_ELECTION_TIME = 0.6  # seconds from the loss of the leader to the next one
MAX_WAIT = 20.0  # seconds, for conditions without a limit of their own

PROOFS = []


class Proof:
    """A proof: the promises that it shows, the failure that it injects, and the function."""

    def __init__(self, promise, failure, run):
        self.promise = promise
        self.failure = failure
        self.run = run
        self.name = run.__name__


def proof(promise, failure):
    """Decorator that registers a function as a proof. The function gets a SiteMaker and returns a
    summary of what it showed, or raises ExpectationFailed."""

    def register(run):
        PROOFS.append(Proof(promise, failure, run))
        return run

    return register


def expect(condition, text):
    if not condition:
        raise ExpectationFailed(text)


class SiteMaker:
    """Creates the sites of one proof and chooses its keys."""

    def __init__(self, build, folder, seed):
        self.build = build
        self.folder = folder
        self.seed = seed

    def site(self, user="badia", **options):
        """A site, by default with three upstreams per zone; the options are those of Site."""
        options.setdefault("upstreams", {"bookings": 2, "fleeces": 1})
        return Site(self.build, self.folder, user, **options)

    def keys(self, site, service, region, count, owner=None):
        """Returns `count` keys that a region, or the upstream `owner`, owns. They depend on the
        seed."""
        found = []
        number = 0
        names = {host.name for host in site.upstreams(service, region)}
        while len(found) < count:
            key = "seed-%d-%d" % (self.seed, number)
            number += 1
            if site.owner(service, key, region) in ({owner} if owner else names):
                found.append(key)
        return found


def traffic(site, service, keys, region=None, method="POST", **options):
    """Traffic for the keys through the entry hosts of a region, or of all regions."""
    paths = ["/%s/%s/days" % (service, key) for key in keys]
    return Traffic(site.balancer(region), paths, site.now, method=method, **options)


def check_journals(site, sent=()):
    """Raises ExpectationFailed if a key had two owners, a request ran twice, or an outcome in
    `sent` was wrong."""
    for service in site.services:
        runs = site.runs(service)
        own = [one for one in sent if one.path.startswith("/%s/" % service)]
        found = violations(runs) + outcome_violations(own, runs)
        expect(not found, "%d faults, first: %s" % (len(found), "; ".join(found[:3])))


def check_journals_of_trusting(site, service, sent):
    """As check_journals(), for an upstream that does not check grants and therefore runs the
    requests that were written to its connections before it froze. Such a late run must belong to a
    request that was sent before the first run of the new owner and whose outcome at the caller is
    unknown. Returns the number of late runs."""
    runs = site.runs(service)
    found = repeated(runs) + outcome_violations(sent, runs)
    known = {one.request_id: one for one in sent}
    late = late_runs(runs)
    for run, taken_over in late:
        one = known.get(run["request"])
        if one is None or one.outcome != "unknown" or one.start * 1000 > taken_over:
            found.append("%s ran late: %s" % (run["request"], one and one.result))
    expect(not found, "%d faults, first: %s" % (len(found), "; ".join(found[:3])))
    return len(late)


def wait_until_served(running, since, max_wait=MAX_WAIT):
    """Waits until all paths are answered again; returns the seconds from `since` until then."""
    wait_for(lambda: running.are_all_served_since(since), max_wait, "keys are served again")
    return running.recovery_time(since)
