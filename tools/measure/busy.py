"""Cost of control under load, when entry hosts report health and load with their watch calls."""
import os
import threading
import time

from testsite import NoResponse, ExpectationFailed, request

from . import loadtool, usage
from .report import Table
from .sites import MeasuredSite

ENTRIES = 4
UPSTREAMS = {False: (8, 32), True: (8,)}  # keyed by --quick; half of them get requests
SHARDS = 1024
RATE = 400  # requests a second over all entry hosts of the region
KEYS = 20000  # enough for load on every shard
SAMPLE_PERIOD = {False: 4.0, True: 1.0}  # seconds between two samples; keyed by --quick
SETTLE_TIME = 1.0  # seconds after a change of the load before the first sample
COLUMNS = ["role", "figure", "busy upstreams", "at rest", "with requests", "difference", "unit",
           "note"]
ERRORS = (NoResponse, ExpectationFailed, OSError, ValueError, KeyError)


def control_bytes(host):
    """Bytes that an entry host sent to and received from control members, by its own counter. The
    counters of the relays also include the requests that it forwards to the other region."""
    text = request(host.addresses["admin"], "GET", "/metrics", timeout=1.0).body.decode()
    found = {}
    for line in text.splitlines():
        if line.startswith("cassiaroad_control_bytes{"):
            found["sent" if 'direction="sent"' in line else "received"] = float(line.split()[-1])
    return found["sent"], found["received"]


def rates(site, leader, entry, period):
    """Measures for `period` seconds; returns processor time (ms), bytes sent and bytes received of
    the leader, and bytes sent and received of the entry host, each per second."""
    sample, before, start = usage.Usage(site, leader), control_bytes(entry), time.monotonic()
    time.sleep(period)
    seconds, after = time.monotonic() - start, control_bytes(entry)
    processor, sent, received = sample.rates()
    entry_rates = [(now - then) / seconds for now, then in zip(after, before)]
    return [processor * 1000, sent, received, *entry_rates]


def run(context, site, table):
    """Measures a site at rest and with requests and adds the rows of both."""
    period = SAMPLE_PERIOD[context.quick]
    leader = site.wait_leader(site.region, 5.0)[0]
    entries = site.entries(site.region)
    time.sleep(SETTLE_TIME)
    rest = rates(site, leader, entries[0], period)
    targets = [entry.addresses["callers"] for entry in entries]
    reports = []
    load = threading.Thread(target=lambda: reports.append(loadtool.run_load(
        context.build, targets, int(period + 2 * SETTLE_TIME), RATE, "--service", "bookings",
        "--keys", KEYS, seed=31)))
    load.start()
    time.sleep(SETTLE_TIME)
    with_requests = rates(site, leader, entries[0], period)
    load.join()
    if not reports:
        raise ExpectationFailed("the load tool gave no report")
    note = "%d/s, answered %.4f" % (RATE, loadtool.answered_share(reports[0]))
    names = (("leader", "processor time", "ms/s"), ("leader", "bytes sent", "bytes/s"),
             ("leader", "bytes received", "bytes/s"), ("entry host", "bytes sent", "bytes/s"),
             ("entry host", "bytes received", "bytes/s"))
    for (role, figure, unit), before, after in zip(names, rest, with_requests):
        table.add(role, figure, len(site.upstreams("bookings", site.region)), before, after,
                  after - before, unit, note)


def measure(context):
    """Returns the table of this part."""
    table = Table("busy", "Control with requests: %d entry hosts, %d shards" % (ENTRIES, SHARDS),
                  COLUMNS)
    for upstreams in UPSTREAMS[context.quick]:
        folder = os.path.join(context.folder, "busy-%d" % upstreams)
        try:
            with MeasuredSite(context.build, folder, ENTRIES, upstreams, shards=SHARDS) as site:
                run(context, site, table)
        except ERRORS as error:
            table.add_failure("site with %d upstreams" % upstreams, error)
    return [table]
