"""Proofs about operators who confirm concurrently or again, and about changes that survive
restarts."""
import threading

from testsite import wait_for
from testsite.proof import MAX_WAIT, check_journals, expect, proof

REGION = "north-badia"
CHANGES = 300  # before the restart


def confirm_together(site, plans, number):
    """Lets several operators confirm their plans at the same time; returns the results by
    operator."""
    results = {}
    barrier = threading.Barrier(len(plans))

    def run(who, plan):
        barrier.wait()
        results[who] = site.confirm(REGION, who, number, plan)

    threads = [threading.Thread(target=run, args=item) for item in plans.items()]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


@proof("P2 P8", "two operators confirm at the same moment with equal numbers, and resend")
def operators_race(maker):
    with maker.site() as site:
        for round_number in range(1, 6):
            plans = {who: site.plan(REGION, who, "race", "set", "limits.queue-time-ms", value)["plan"]
                     for who, value in (("layla", "1000"), ("omar", "1100"))}
            results = confirm_together(site, plans, round_number)
            accepted = [who for who, (_, one) in results.items() if one.get("status") == "accepted"]
            expect(len(accepted) == 1, "round %d: %s" % (round_number, results))
            loser = "omar" if accepted == ["layla"] else "layla"
            lost = results[loser][1]
            expect(lost["status"] == "conflict" and lost["winner"]["who"] == accepted[0],
                   "the conflict names another winner: %s" % lost)
        site.kill(site.leader(REGION))
        site.wait_leader(REGION, MAX_WAIT)
        for who, (_, first) in results.items():
            _, again = site.confirm(REGION, who, round_number, plans[who])
            expect(again["status"] == first["status"], "resent by %s: %s" % (who, again))
            if first["status"] == "accepted":
                expect(again["confirmed_wall_ms"] == first["confirmed_wall_ms"], "%s" % again)
        return "5 rounds, one accepted in each; same results from the next leader"


def change(site, number):
    """Confirms a change of a setting over HTTP, as the commands do."""
    plan = site.post(REGION, "/v1/intent", {"who": "sami", "why": "change %d" % number,
                                            "intent": ["set", "limits.queue-time-ms",
                                                       str(1000 + number)]})
    result = site.post(REGION, "/v1/confirm", {"who": "sami", "number": number,
                                               "plan": plan["plan"]})
    expect(result["status"] == "accepted", "change %d: %s" % (number, result))


@proof("P2 P8", "everything killed and restarted after several hundred changes")
def everything_restarted(maker):
    with maker.site() as site:
        for number in range(1, CHANGES + 1):
            change(site, number)
        keys = maker.keys(site, "bookings", REGION, 8)
        owners = {key: site.owner("bookings", key, REGION) for key in keys}
        own = [host for host in site.hosts.values() if host.process is not None]
        site.kill(*own)
        site.restart(*own)
        start = site.now()
        wait_for(lambda: site.is_assigned(REGION), MAX_WAIT, "assigned after the restart")
        elapsed = site.now() - start
        status = site.status(REGION)
        expect(status["overrides"].get("limits.queue-time-ms") == str(1000 + CHANGES),
               "overrides: %s" % status["overrides"])
        record = site.post(REGION, "/v1/record", {"who": "sami", "limit": 1000})["record"]
        expect(len(record) == CHANGES and all(one["confirmation"] for one in record),
               "%d entries in the record" % len(record))
        changed = [key for key in keys if site.owner("bookings", key, REGION) != owners[key]]
        check_journals(site)
        expect(not changed, "%d of %d keys changed owner" % (len(changed), len(keys)))
        return "%d changes kept; assigned again after %.2f s; no key changed owner" % (CHANGES,
                                                                                       elapsed)


@proof("P8", "a change is confirmed")
def change_in_force(maker):
    with maker.site() as site:
        plan = site.plan(REGION, "layla", "shorter queue", "set", "limits.queue-time-ms", "900")
        start = site.now()
        _, result = site.confirm(REGION, "layla", 1, plan["plan"])
        elapsed = site.now() - start
        coverage = result["in_force"]
        expect(coverage and coverage["hosts"] == coverage["of_hosts"] == len(site.entries(REGION)),
               "in force: %s" % coverage)
        expect(elapsed < 8.0, "answered after %.2f s" % elapsed)
        return "in force on %d of %d after %.2f s" % (coverage["hosts"], coverage["of_hosts"],
                                                      elapsed)
