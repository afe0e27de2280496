"""Registration of proofs and the checks that they share."""
from .http import Traffic
from .journal import faults, late_runs, outcome_faults, repeated
from .process import NotHeld, wait_for
from .site import Site

SERVED_AGAIN = 2.0  # seconds after a loss
NEW_LEADER = 0.6  # seconds after the loss of a control member
PATIENCE = 20.0  # seconds after which a proof stops waiting for what has no bound of its own

PROOFS = []


class Proof:
    """One proof: which promise it shows under which failure."""

    def __init__(self, promise, failure, run):
        self.promise = promise
        self.failure = failure
        self.run = run
        self.name = run.__name__


def proof(promise, failure):
    """Registers the function below as a proof; it takes a SiteMaker and returns what it showed."""

    def register(run):
        PROOFS.append(Proof(promise, failure, run))
        return run

    return register


def expect(condition, text):
    if not condition:
        raise NotHeld(text)


class SiteMaker:
    """Makes the sites of one proof."""

    def __init__(self, build, folder, seed):
        self.build = build
        self.folder = folder
        self.seed = seed

    def site(self, user="badia", **options):
        options.setdefault("upstreams", {"bookings": 2, "fleeces": 1})
        return Site(self.build, self.folder, user, **options)

    def keys(self, site, service, region, count, owner=None):
        """Keys of a region, or of one upstream, that depend on the seed."""
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
    """Requests for the keys through the entry hosts of a region."""
    paths = ["/%s/%s/days" % (service, key) for key in keys]
    return Traffic(site.balancer(region), paths, site.now, method=method, **options)


def check_journals(site, sent=()):
    """Raises NotHeld if a key had two owners, anything ran twice, or an outcome was wrong."""
    for service in site.services:
        runs = site.runs(service)
        own = [one for one in sent if one.path.startswith("/%s/" % service)]
        found = faults(runs) + outcome_faults(own, runs)
        expect(not found, "%d faults, first: %s" % (len(found), "; ".join(found[:3])))


def check_journals_of_trusting(site, service, sent):
    """As check_journals() for a trusting upstream, which runs what was written to it before it
    froze. Such a run must belong to a request that was sent before the new owner's first run and
    whose caller was not told that it was answered or not run."""
    runs = site.runs(service)
    found = repeated(runs) + outcome_faults(sent, runs)
    known = {one.request_id: one for one in sent}
    late = late_runs(runs)
    for run, taken_over in late:
        one = known.get(run["request"])
        if one is None or one.outcome != "unknown" or one.start * 1000 > taken_over:
            found.append("%s ran late: %s" % (run["request"], one and one.result))
    expect(not found, "%d faults, first: %s" % (len(found), "; ".join(found[:3])))
    return len(late)


def wait_served(running, since, bound=PATIENCE):
    """Waits until all paths are answered again and returns the seconds since the loss."""
    wait_for(lambda: running.serves_all_since(since), bound, "keys are served again")
    return running.served_again(since)
