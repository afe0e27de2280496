"""Proofs about zones that are lost or taken out, and about the link between the regions."""
from testsite import Traffic, request, wait_for
from testsite.proof import (MAX_WAIT, MAX_RECOVERY_TIME, check_journals, expect, proof, traffic,
                            wait_until_served)

REGION = "north-badia"
OTHER = "south-maan"
CUT_TIME = 6.0  # seconds for which the link fails


@proof("P1 P2 P5", "zone with the control leader lost")
def zone_lost(maker):
    with maker.site(upstreams={"bookings": 2, "fleeces": 1}) as site:
        zone = site.regions[REGION][0]
        expect(site.leader(REGION).zone == zone, "the leader stands in another zone")
        lost = [host for host in site.hosts.values() if host.zone == zone and host.process]
        owners = {host.name for host in lost}
        keys = [key for key in maker.keys(site, "bookings", REGION, 12)
                if site.owner("bookings", key, REGION) in owners]
        with traffic(site, "bookings", keys, REGION) as running:
            wait_for(lambda: running.count("answered") > 20, MAX_WAIT, "traffic")
            since = site.now()
            site.kill(*lost)
            elapsed = wait_until_served(running, since)
            wait_for(lambda: site.now() > since + 4, MAX_WAIT, "traffic after the loss")
        check_journals(site, running.sent)
        expect(elapsed < MAX_RECOVERY_TIME, "served again after %.2f s" % elapsed)
        return "%d processes killed, %d keys served again after %.2f s" % (len(lost), len(keys),
                                                                           elapsed)


def cross_traffic(site, key):
    """Traffic for a key of the other region through the entry hosts of this region."""
    return Traffic(site.balancer(REGION), ["/bookings/%s/days" % key], site.now)


@proof("P1 P4", "link between the regions cut")
def region_link_cut(maker):
    with maker.site() as site:
        own = {region: maker.keys(site, "bookings", region, 3) for region in (REGION, OTHER)}
        with traffic(site, "bookings", own[REGION], REGION) as here, \
                traffic(site, "bookings", own[OTHER], OTHER) as there, \
                cross_traffic(site, own[OTHER][0]) as across:
            wait_for(lambda: across.count("answered") > 10, MAX_WAIT, "traffic")
            site.cut_regions()
            cut = site.now()
            wait_for(lambda: site.now() > cut + CUT_TIME, MAX_WAIT, "time of the cut")
            site.cut_regions("heal")
            healed = site.now()
            elapsed = wait_until_served(across, healed)
        check_journals(site, here.sent + there.sent + across.sent)
        for name, running in (("this", here), ("the other", there)):
            failed = len(running.sent) - running.count("answered")
            expect(failed == 0, "%d own requests of %s region failed" % (failed, name))
        during = [sent for sent in across.sent if cut + 0.5 < sent.start < healed - 0.5]
        wrong = [sent for sent in during if sent.outcome != "not-run"]
        expect(during and not wrong, "%d of %d requests for the other region were not refused as "
               "not run" % (len(wrong), len(during)))
        return "%d own requests answered, %d across refused as not run, across again after %.2f s" \
            % (len(here.sent) + len(there.sent), len(during), elapsed)


@proof("P1 P4", "link between the regions swallows bytes")
def region_link_swallows(maker):
    with maker.site() as site:
        own = maker.keys(site, "bookings", REGION, 3)
        far = maker.keys(site, "bookings", OTHER, 1)
        with traffic(site, "bookings", own, REGION) as here, \
                cross_traffic(site, far[0]) as across:
            wait_for(lambda: across.count("answered") > 10, MAX_WAIT, "traffic")
            site.cut_regions("swallow")
            start = site.now()
            wait_for(lambda: site.now() > start + CUT_TIME, MAX_WAIT, "time of the fault")
            site.cut_regions("heal")
            healed = site.now()
            elapsed = wait_until_served(across, healed)
        check_journals(site, here.sent + across.sent)
        failed = len(here.sent) - here.count("answered")
        expect(failed == 0, "%d own requests failed" % failed)
        return "%d own requests answered; across again after %.2f s" % (len(here.sent), elapsed)


@proof("P6", "zone taken out by a plan")
def zone_taken_out(maker):
    with maker.site() as site:
        zone = site.regions[REGION][0]
        keys = maker.keys(site, "bookings", REGION, 6)
        with traffic(site, "bookings", keys, REGION) as running:
            plan = site.plan(REGION, "layla", "switch replaced tonight", "zone-out", zone)
            since = site.now()
            status, result = site.confirm(REGION, "layla", 1, plan["plan"])
            expect(status == 0, "confirm: %s" % result)
            wait_for(lambda: is_empty(site, zone), MAX_WAIT, "zone %s is empty" % zone)
            wait_for(lambda: site.now() > since + 4, MAX_WAIT, "traffic after the change")
        check_journals(site, running.sent)
        inside = {host.name for host in site.upstreams() if host.zone == zone}
        late = [run for run in site.runs("bookings")
                if run["upstream"] in inside and run["time"] / 1000 > since + MAX_RECOVERY_TIME]
        expect(not late, "%d requests ran in the zone after 2 s" % len(late))
        expect(running.count("answered") == len(running.sent), "requests were interrupted")
        health = [request(entry.addresses["admin"], "GET", "/healthz").status
                  for entry in site.entries(REGION) if entry.zone == zone]
        expect(health == [503], "health of the zone's entry hosts: %s" % health)
        return "%d moves, %d requests, none interrupted" % (len(plan["moves"]), len(running.sent))


def is_empty(site, zone):
    """Whether no upstream in the zone owns a shard and the leader is in another zone."""
    status = site.status(REGION)
    if status is None:
        return False
    shards = sum(one["shards"] for one in status["upstreams"] if one["zone"] == zone)
    leader = site.leader(REGION)
    return shards == 0 and leader is not None and leader.zone != zone
