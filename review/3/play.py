"""Open connections to the core go silent for good, more than once, while new ones work."""
import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from fleet import BOUNDS, Client, Server, Site, main, route, service  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EVENTS = 6
EVENT_INTERVAL_S = 9.0


class Views:
    """Requests of the changed route, with the service that ran each."""

    def __init__(self, site):
        self.site = site
        self.rows = []  # (front, time sent, service that ran it or None)

    async def send_forever(self, front, number):
        client = Client(self.site, front)
        at = 0
        while True:
            at += 1
            request_id = f"view-{front.number}-{number}-{at}"
            sent = self.site.record.now()
            await client.send(request_id, "GET", "/proof/x", key=at % 65536)
            ran = [s.service for s in self.site.servers
                   if any(run[0] == request_id for run in s.runs)]
            self.rows.append((front.name, sent, ran[0] if ran else None))
            await asyncio.sleep(0.05)

    def are_in_force(self, old, sent, acknowledged):
        """Whether no request that was sent after the bound, and until now, was run by the old
        service of the change."""
        bound = acknowledged + BOUNDS["configApplyS"]
        texts, held = [], True
        for front in self.site.fronts:
            rows = [row[1] for row in self.rows
                    if row[0] == front.name and row[1] > acknowledged and row[2] == old]
            late = sum(at > bound for at in rows)
            held = held and late == 0
            texts.append(f"{front.name} {max(rows, default=acknowledged) - acknowledged:.2f} s ({late})")
        self.site.record.say(
            f"{acknowledged:6.2f} s: acknowledged, {acknowledged - sent:.2f} s after it was sent, "
            f"that /proof/ does not go to {old} any more. The last request that {old} ran was sent "
            f"so long after that (in brackets: how many later than {BOUNDS['configApplyS']} s): "
            + ", ".join(texts))
        return held


def routes(target):
    return {"r-proof": route("/proof/", "safe", target), "r-order": route("/order/", "unsafe", "tilaus")}


async def play(record):
    site = Site(record, cores=5, fronts=4, tolerated=2, relayed=True)
    services = {"tilaus": service(True), "karttavarasto": service(False)}
    try:
        await site.start_relays()
        site.start_nodes()
        await site.settle()
        for number in range(1, 4):
            site.servers.append(Server(site, number, "tilaus"))
        for number in range(4, 6):
            site.servers.append(Server(site, number, "karttavarasto", sharded=False))
        for server in site.servers:
            await server.start()
        await site.put(routes("tilaus"), services)
        await site.wait_until_ready(["tilaus"])
        await asyncio.sleep(5.0)
        views = Views(site)
        for front in site.fronts:
            for number in range(2):
                site.tasks.append(asyncio.create_task(views.send_forever(front, number)))
        held = True
        for number in range(EVENTS):
            event = record.now()
            if TROUBLE:
                for relay in site.relays:
                    relay.silence()
                record.say(f"{event:6.2f} s: all open connections to the core go silent")
            # contactS after the event the core is stable and all machines are in touch.
            await asyncio.sleep(BOUNDS["contactS"] + 0.2)
            old, new = ("tilaus", "karttavarasto") if number % 2 == 0 else ("karttavarasto", "tilaus")
            sent = record.now()
            await site.put(routes(new), services)
            acknowledged = record.now()
            await asyncio.sleep(event + EVENT_INTERVAL_S - record.now())
            held = views.are_in_force(old, sent, acknowledged) and held
        return held
    finally:
        site.stop()


main(FOLDER, play)
