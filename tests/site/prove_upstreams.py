"""Proofs about upstreams that are killed, frozen, drained or behind silent connections."""
from testsite import wait_for
from testsite.proof import (MAX_WAIT, MAX_RECOVERY_TIME, check_journals,
                            check_journals_of_trusting, expect, proof, traffic, wait_until_served)

REGION = "north-badia"


def lose_upstream(maker, lose, bring_back, trusting=()):
    """Makes the owner of some keys fail under traffic, and brings it back when its keys are served
    by others. `lose` and `bring_back` are called with its host."""
    with maker.site(trusting=trusting) as site:
        lost = site.hosts["bookings-1"]
        keys = maker.keys(site, "bookings", REGION, 4, lost.name)
        with traffic(site, "bookings", keys, REGION) as running:
            wait_for(lambda: running.count("answered") > 20, MAX_WAIT, "traffic")
            since = site.now()
            lose(lost)
            elapsed = wait_until_served(running, since)
            bring_back(lost)
            back = site.now()
            wait_for(lambda: site.now() > back + 2, MAX_WAIT, "traffic after the return")
        late = 0
        if trusting:
            late = check_journals_of_trusting(site, "bookings", running.sent)
        else:
            check_journals(site, running.sent)
        expect(elapsed < MAX_RECOVERY_TIME, "served again after %.2f s" % elapsed)
        return "served again after %.2f s, %d requests, %d unknown, %d ran late" % (
            elapsed, len(running.sent), running.count("unknown"), late)


@proof("P1 P5", "upstream killed")
def upstream_killed(maker):
    return lose_upstream(maker, lambda host: host.process.kill(),
                         lambda host: host.process.start())


@proof("P1 P5", "checking upstream frozen past its lease, then resumed")
def checking_upstream_frozen(maker):
    return lose_upstream(maker, lambda host: host.process.pause(),
                         lambda host: host.process.resume())


@proof("P1 P5", "trusting upstream frozen past its lease, then resumed")
def trusting_upstream_frozen(maker):
    return lose_upstream(maker, lambda host: host.process.pause(),
                         lambda host: host.process.resume(), trusting=("bookings-1",))


@proof("P3 P5", "open connections to an upstream go silent, new ones work")
def connections_go_silent(maker):
    with maker.site(relayed_services=("bookings",)) as site:
        owner = site.hosts["bookings-1"]
        keys = maker.keys(site, "bookings", REGION, 4, owner.name)
        with traffic(site, "bookings", keys, REGION) as running, \
                traffic(site, "bookings", keys, REGION, method="GET") as reading:
            wait_for(lambda: running.count("answered") > 50, MAX_WAIT, "traffic")
            since = site.now()
            site.link.command("silence any>%s.http" % owner.place)
            # A request that is in flight first waits for the silence timeout of 2 s.
            elapsed = wait_until_served(running, since)
            wait_for(lambda: site.now() > since + 4, MAX_WAIT, "traffic after the silence")
        check_journals(site, running.sent)
        late = [sent for sent in reading.sent if sent.outcome != "answered"]
        expect(not late, "%d reads failed, first: %r" % (len(late), late and late[0].result))
        expect(elapsed < 2 * MAX_RECOVERY_TIME, "served again after %.2f s" % elapsed)
        expect(all(site.owner("bookings", key) == owner.name for key in keys), "keys moved")
        return "served again after %.2f s; %d unknown of %d; all reads answered; no key moved" % (
            elapsed, running.count("unknown"), len(running.sent))


@proof("P6 P7", "upstream announces that it leaves")
def upstream_leaves(maker):
    with maker.site() as site:
        leaving = site.hosts["bookings-1"]
        keys = maker.keys(site, "bookings", REGION, 4, leaving.name)
        with traffic(site, "bookings", keys, REGION) as running:
            wait_for(lambda: running.count("answered") > 20, MAX_WAIT, "traffic")
            since = site.now()
            leaving.process.terminate()
            status = leaving.process.wait_exit(MAX_WAIT)
            wait_for(lambda: site.now() > since + 3, MAX_WAIT, "traffic after the drain")
        check_journals(site, running.sent)
        expect(status == 0, "the upstream ended with %d" % status)
        expect(running.count("answered") == len(running.sent), "%d not run, %d unknown of %d" % (
            running.count("not-run"), running.count("unknown"), len(running.sent)))
        late = [run for run in site.runs("bookings")
                if run["upstream"] == leaving.name
                and run["time"] / 1000 > since + MAX_RECOVERY_TIME]
        expect(not late, "%d requests ran there after 2 s" % len(late))
        return "%d requests, none interrupted, none there after 2 s" % len(running.sent)
