"""Faults of the upstreams, and requests that crash them."""
import asyncio

from soaklib import endless

MIN_SERVING = 2  # upstreams that neither leave nor are down
DEADLY = b"deadly"  # in the body of a request under which upstreams crash
DEADLY_SENDS = 16
DEADLY_INTERVAL_S = 0.7
DOWN_S = 2.0  # before a crashed upstream is back
KEY = 7  # of the requests that crash upstreams


class UpstreamFaults:
    """Injects faults into the upstreams of a site."""

    def __init__(self, site, random, record_event):
        self.site = site
        self.random = random
        self.record_event = record_event
        self.tasks = []  # faults that go on beside others
        self.deadly_requests = 0
        site.crashes_under = DEADLY

    def actions(self):
        """The faults as pairs of weight and coroutine function."""
        late = [(3, self.change_late_calls)] if self.site.calls else []
        return late + [(6, self.inject_upstream_fault), (3, self.leave_in_answers_only),
                       (3, self.ask_for_pauses), (3, self.answer_endlessly),
                       (1.5, self.send_deadly_requests)]

    def serving(self):
        return [upstream for upstream in self.site.upstreams if upstream.is_serving()]

    async def restart(self, upstream):
        """Starts a new incarnation of an upstream."""
        if upstream.up:
            await upstream.crash()
        await self.site.add_upstream(upstream.name, upstream.address)

    async def inject_upstream_fault(self):
        """Crashes, restarts or drains an upstream. Starts one that is down or leaving instead, if
        the choice is a drain or at most MIN_SERVING serve."""
        upstream = self.random.choice(self.site.upstreams)
        kind = self.random.choice(["crash", "restart", "drain"])
        if kind == "drain" or len(self.serving()) <= MIN_SERVING:
            others = [u for u in self.site.upstreams if not u.is_serving()]
            if others:
                back = self.random.choice(others)
                self.record_event(f"restart upstream {back.name}")
                await self.restart(back)
                return
        self.record_event(f"{kind} {upstream.name}")
        if kind == "drain":
            upstream.draining = True
        elif kind == "restart":
            await self.restart(upstream)
        elif upstream.up:
            await upstream.crash()

    async def leave_in_answers_only(self):
        """An upstream says in its answers that it leaves; its heartbeats say that it is ready."""
        if len(self.serving()) <= MIN_SERVING:
            return
        upstream = self.random.choice(self.serving())
        self.record_event(f"{upstream.name} leaves in its answers only")
        upstream.says_leaving = True

    def begin_for_a_while(self, upstream, text):
        """Ends what the upstream does after some seconds, while other faults continue."""
        self.record_event(f"{upstream.name} {text}")
        self.tasks.append(asyncio.create_task(
            self.end_later(upstream, self.random.uniform(2.0, 5.0))))

    async def end_later(self, upstream, wait_s):
        await asyncio.sleep(wait_s)
        upstream.behave()

    async def ask_for_pauses(self):
        """An upstream turns some or all requests away for a while and asks for pauses."""
        upstream = self.random.choice(self.site.upstreams)
        upstream.pause_s = self.random.randrange(1, 5)
        upstream.pause_share = self.random.choice([0.2, 0.6, 1.0])
        self.begin_for_a_while(upstream, f"asks for pauses of {upstream.pause_s} s with "
                                         f"{upstream.pause_share:.0%} of the requests")

    async def answer_endlessly(self):
        """The answers of an upstream do not end for a while."""
        upstream = self.random.choice(self.site.upstreams)
        upstream.endless_part = self.random.choice(list(endless.PARTS))
        self.begin_for_a_while(upstream, f"answers with an endless {upstream.endless_part}")

    async def change_late_calls(self):
        """Begins or ends that upstreams leave calls unanswered and apply them late."""
        late = not any(upstream.applies_late for upstream in self.site.upstreams)
        self.record_event(f"calls are {'applied late' if late else 'answered'}")
        for upstream in self.site.upstreams:
            upstream.applies_late = late

    async def send_deadly_requests(self):
        """Begins to repeat a request under which upstreams crash at all gateways."""
        self.deadly_requests += 1
        self.record_event(f"a request that crashes upstreams, number {self.deadly_requests}")
        body = f"{DEADLY.decode()}{self.deadly_requests}"
        method, path = self.random.choice([("GET", "/read/x"), ("POST", "/order/x")])
        self.tasks.append(asyncio.create_task(self.repeat_deadly_request(method, path, body)))

    async def repeat_deadly_request(self, method, path, body):
        for number in range(DEADLY_SENDS):
            gateway = self.site.gateways[number % len(self.site.gateways)]
            before = [upstream for upstream in self.site.upstreams if upstream.up]
            connection = self.site.connect(gateway)
            await self.site.send(connection, gateway, method, path, body, KEY)
            connection.close()
            for upstream in before:
                if not upstream.up:
                    self.tasks.append(asyncio.create_task(self.restart_later(upstream)))
            await asyncio.sleep(DEADLY_INTERVAL_S)

    async def restart_later(self, upstream):
        """Starts an upstream again that has crashed, unless another fault has done so."""
        await asyncio.sleep(DOWN_S)
        if upstream in self.site.upstreams and not upstream.up:
            await self.restart(upstream)

    async def heal(self):
        """Ends all faults; every upstream is up afterwards."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for upstream in list(self.site.upstreams):
            upstream.behave()
            if not upstream.is_serving():
                await self.restart(upstream)
