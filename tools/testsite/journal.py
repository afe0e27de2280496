"""Journals of the test upstreams (one line per request that ran) and the checks on them."""
import collections
import json
import os


def read_journals(paths):
    """Returns the runs in all journals, sorted by time. A last line that is incomplete is
    skipped."""
    runs = []
    for path in paths:
        if os.path.exists(path):
            with open(path) as stream:
                runs += [json.loads(line) for line in stream if line.endswith("\n")]
    return sorted(runs, key=lambda run: run["time"])


def epoch_of(run):
    """Name and epoch of the grant that a request ran under: ("shard/7", 3) or ("key/<key>", 3)."""
    kind, *number, epoch = run["grant"].split("/")
    return "%s/%s" % (kind, number[0] if number else run["key"]), int(epoch)


def late_runs(runs):
    """Runs under an old epoch: those that started after a run of the same shard or key under a
    higher epoch. Each is paired with the time of the first run under a higher epoch."""
    found = []
    first = {}
    for run in runs:
        name, epoch = epoch_of(run)
        times = first.setdefault(name, {})
        times.setdefault(epoch, run["time"])
        higher = [time for other, time in times.items() if other > epoch]
        if higher:
            found.append((run, min(higher)))
    return found


def violations(runs):
    """Violations of P1 (one owner) and P5 (nothing runs twice) in the runs of one service."""
    found = []
    owners = {}
    for run in runs:
        name, epoch = epoch_of(run)
        owner = owners.setdefault((name, epoch), run["upstream"])
        if owner != run["upstream"]:
            found.append("%s epoch %d: run by %s and %s" % (name, epoch, owner, run["upstream"]))
    for run, _ in late_runs(runs):
        found.append("%s: epoch %d (%s) ran after a higher epoch" % (*epoch_of(run),
                                                                     run["upstream"]))
    return found + repeated(runs)


def repeated(runs):
    """Requests and idempotency keys that ran more than once."""
    ids = collections.Counter()
    for run in runs:
        if run["method"] in ("POST", "PATCH"):
            if run["request"]:
                ids["request " + run["request"]] += 1
            if run["idempotency_key"]:
                ids["idempotency key %s of %s" % (run["idempotency_key"], run["key"])] += 1
    return ["%s ran %d times" % (name, count) for name, count in ids.items() if count > 1]


def outcome_violations(sent, runs):
    """Requests whose outcome at the caller contradicts the journals (violations of P3 and P4)."""
    ran = collections.Counter(run["request"] for run in runs)
    found = []
    for one in sent:
        count = ran[one.request_id]
        if one.outcome == "not-run" and count:
            found.append("%s %s: reported as not run, ran" % (one.path, one.request_id))
        if one.outcome == "answered" and one.result.status < 300 and count != 1:
            found.append("%s %s: answered, ran %d times" % (one.path, one.request_id, count))
        if count > 1:
            found.append("%s %s: ran %d times" % (one.path, one.request_id, count))
    return found
