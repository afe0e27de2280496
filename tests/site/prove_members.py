"""Proofs about control members that are lost, repaired, disconnected or paused."""
from testsite import wait_for
from testsite.proof import (MAX_ELECTION_TIME, MAX_WAIT, MAX_RECOVERY_TIME, check_journals,
                            expect, proof, traffic, wait_until_served)

REGION = "north-badia"
CUT_TIME = 12.0  # seconds for which a member is cut off


def change(site, number):
    """Confirms a change of a setting and returns its number."""
    plan = site.plan(REGION, "sami", "change %d" % number, "set", "limits.queue-time-ms",
                     str(1000 + number))
    status, result = site.confirm(REGION, "sami", number, plan["plan"])
    expect(status == 0 and result["status"] == "accepted", "change %d: %s" % (number, result))
    return number


def check_changes(site, numbers):
    """Raises ExpectationFailed unless every change is in the record as confirmed and the last one
    is in effect."""
    record = site.post(REGION, "/v1/record", {"who": "sami", "limit": 1000})["record"]
    kept = {one["confirmation"]["number"] for one in record if one["confirmation"]}
    expect(kept == set(numbers), "kept %s of %s" % (sorted(kept), sorted(numbers)))
    overrides = site.status(REGION)["overrides"]
    expect(overrides.get("limits.queue-time-ms") == str(1000 + max(numbers)),
           "overrides: %s" % overrides)


def wait_repaired(site, member):
    """Waits until the member votes, with the data folder that it created last, and has all commits
    of the leader."""

    def repaired():
        with open(member.process.log) as stream:
            log = stream.read()
        newest = log[max(log.rfind("creates data folder"), 0):]
        metrics = site.metrics(member)
        leader = site.status(REGION)
        return ("is follower" in newest and metrics is not None and leader is not None
                and metrics["cassiaroad_control_commit_index"] >= leader["commit_index"])

    return wait_for(repaired, MAX_WAIT, "%s is repaired" % member.name)


@proof("P2", "member lost with its disk, repaired, then a second member lost with its disk")
def second_member_lost_after_repair(maker):
    with maker.site() as site:
        first, second, _ = site.members(REGION)
        numbers = [change(site, 1)]
        for lost in (first, second):
            site.kill(lost)
            site.remove_data(lost)
            site.wait_leader(REGION, MAX_WAIT)
            numbers.append(change(site, len(numbers) + 1))
            site.restart(lost)
            wait_repaired(site, lost)
        numbers.append(change(site, len(numbers) + 1))
        check_changes(site, numbers)
        check_journals(site)
        return "%d changes kept" % len(numbers)


@proof("P8", "control leader killed")
def leader_killed(maker):
    with maker.site() as site:
        keys = maker.keys(site, "bookings", REGION, 4)
        leader = site.leader(REGION)
        with traffic(site, "bookings", keys, REGION) as running:
            since = site.now()
            site.kill(leader)
            _, elapsed = site.wait_leader(REGION, MAX_WAIT, leader)
            change(site, 1)
            wait_for(lambda: site.now() > since + 2, MAX_WAIT, "traffic")
        check_journals(site, running.sent)
        expect(running.count("answered") == len(running.sent), "%d of %d requests failed, first: %r" % (
            len(running.sent) - running.count("answered"), len(running.sent),
            next((one.result for one in running.sent if one.outcome != "answered"), None)))
        expect(elapsed < MAX_ELECTION_TIME, "new leader after %.2f s" % elapsed)
        return "new leader after %.2f s, %d requests all answered" % (elapsed, len(running.sent))


@proof("P2 P8", "control member alone behind a cut for long, then back")
def member_cut_off(maker):
    with maker.site() as site:
        leader = site.leader(REGION)
        alone = next(host for host in site.members(REGION) if host is not leader)
        numbers = [change(site, 1)]
        term = site.status(REGION)["term"]
        site.cut(alone)
        start = site.now()
        while site.now() < start + CUT_TIME:
            numbers.append(change(site, len(numbers) + 1))
            site.pause(0.5)
        site.heal(alone)
        back = site.now()
        wait_repaired(site, alone)
        wait_for(lambda: site.now() > back + 2, MAX_WAIT, "time after the cut")
        status = site.status(REGION)
        check_changes(site, numbers)
        expect(site.leader(REGION) is leader and status["term"] == term,
               "the return of %s changed the term from %d to %d" % (alone.name, term,
                                                                    status["term"]))
        return "%d changes kept, same leader and term" % len(numbers)


@proof("P2 P8", "control leader alone behind a cut for long, then back")
def leader_cut_off(maker):
    with maker.site() as site:
        keys = maker.keys(site, "bookings", REGION, 4)
        leader = site.leader(REGION)
        numbers = [change(site, 1)]
        with traffic(site, "bookings", keys, REGION) as running:
            since = site.now()
            site.cut(leader)
            site.wait_leader(REGION, MAX_WAIT, leader)
            while site.now() < since + CUT_TIME:
                numbers.append(change(site, len(numbers) + 1))
                site.pause(0.5)
            alone = site.status_of(leader)
            site.heal(leader)
            wait_repaired(site, leader)
        check_changes(site, numbers)
        check_journals(site, running.sent)
        expect(alone is None, "the leader behind the cut still answers operators: %s" % alone)
        expect(running.count("answered") == len(running.sent), "%d of %d requests failed, first: %r" % (
            len(running.sent) - running.count("answered"), len(running.sent),
            next((one.result for one in running.sent if one.outcome != "answered"), None)))
        return "%d changes kept, %d requests all answered" % (len(numbers), len(running.sent))


@proof("P1 P8", "control leader paused past its lease while an owner changes, then resumed")
def leader_paused(maker):
    with maker.site() as site:
        leader = site.leader(REGION)
        lost = site.hosts["bookings-1"]
        keys = maker.keys(site, "bookings", REGION, 4, lost.name)
        numbers = [change(site, 1)]
        with traffic(site, "bookings", keys, REGION) as running:
            wait_for(lambda: running.count("answered") > 20, MAX_WAIT, "traffic")
            leader.process.pause()
            since = site.now()
            site.wait_leader(REGION, MAX_WAIT, leader)
            lost.process.pause()
            paused = site.now()
            elapsed = wait_until_served(running, paused)
            numbers.append(change(site, 2))
            leader.process.resume()
            lost.process.resume()
            back = site.now()
            wait_for(lambda: site.now() > back + 3, MAX_WAIT, "traffic after the return")
        check_changes(site, numbers)
        check_journals(site, running.sent)
        # Twice the limit, since both losses coincide: the keys can only be moved after the lease of
        # the old leader has expired.
        expect(elapsed < 2 * MAX_RECOVERY_TIME, "served again after %.2f s" % elapsed)
        return "leader silent for %.1f s, keys served again after %.2f s" % (back - since, elapsed)
