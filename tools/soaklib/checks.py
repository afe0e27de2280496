"""Checks of what callers and upstreams see of requests."""
import time

DRAIN_S = 2.5  # after which a gateway that has passed on that an upstream leaves sends it nothing
PAUSE_BEGIN_S = 0.5  # time in which requests that are on their way may still arrive
MAX_ARRIVALS_IN_PAUSE = 2
MAX_CRASHES = 3  # of upstreams under one request, after which gateways may send it on few times
CONTACT_S = 3.0  # time in which all gateways must know of the last of these crashes
MAX_LATE_CRASHES = 3  # of upstreams later than that
# Bounds of the settings of the site.
RETRY_SHARE = 0.2
RETRY_SLACK = 50
RETRY_WINDOW_S = 10.0
STEP_S = 0.5  # by which the window slides
# What a cold upstream may get in any second. Bounds of the settings and the stated rate.
COLD_RATE = 5.5
COLD_OVER = 1.5
COLD_SLACK = 8
COLD_LIMIT = COLD_RATE * COLD_OVER + COLD_SLACK


class Checks:
    """Records what callers and upstreams see of requests, and every violation of a promise as a
    line."""

    def __init__(self):
        self.violations = []
        self.runs = {}  # request id -> number of runs
        self.refused = set()  # ids of requests whose response says that they were not run
        self.sent = {}  # request id -> (gateway, time at which its caller sent it)
        self.leaving = {}  # (gateway, upstream) -> time of the first response that said so
        self.pauses = {}  # (gateway, upstream) -> [start, end, arrivals] of the latest pause
        self.arrivals = []  # (time, request id) of every request that reached an upstream
        self.cold_arrivals = {}  # upstream -> times of requests that reached it while it was cold
        self.crashes = {}  # body of a request -> times at which upstreams crashed under it

    def record_sent(self, request_id, gateway):
        """Records that a caller sends a request to a gateway."""
        self.sent[request_id] = (gateway, time.monotonic())

    def record_response(self, request_id, headers):
        """Records what the response to a caller tells of its upstream."""
        upstream = headers.get("x-cassiaroad-instance-id")
        if headers.get("server-leaving") == "1" and upstream:
            gateway, _ = self.sent[request_id]
            self.leaving.setdefault((gateway, upstream), time.monotonic())

    def forget_gateway(self, gateway):
        """The gateway restarts or stands still: it need not remember what upstreams have said."""
        for known in (self.leaving, self.pauses):
            for key in [key for key in known if key[0] == gateway]:
                del known[key]

    def forget_upstream(self, upstream):
        """A later incarnation of the upstream starts: what the earlier one has said is void."""
        for known in (self.leaving, self.pauses):
            for key in [key for key in known if key[1] == upstream]:
                del known[key]

    def record_arrival(self, request_id, upstream, is_misdirected):
        """Records that a request has reached an upstream, and checks that it may have."""
        now = time.monotonic()
        self.arrivals.append((now, request_id))
        gateway, sent_at = self.sent.get(request_id, (None, now))
        left_at = self.leaving.get((gateway, upstream))
        if left_at is not None and sent_at > left_at + DRAIN_S and not is_misdirected:
            self.violations.append(
                f"{upstream} got {request_id}, which was sent {sent_at - left_at:.2f} s after "
                f"{gateway} had passed on that the upstream leaves")
        pause = self.pauses.get((gateway, upstream))
        if pause is not None and pause[0] <= now <= pause[1]:
            pause[2] += 1
            if pause[2] > MAX_ARRIVALS_IN_PAUSE:
                self.violations.append(f"{upstream} got {request_id} of {gateway}, the request "
                                       f"number {pause[2]} in its pause")

    def record_cold_arrival(self, upstream):
        """Records that a request has reached a cold upstream, and checks how many have in the second
        that ends now."""
        now = time.monotonic()
        arrivals = self.cold_arrivals.setdefault(upstream, [])
        arrivals.append(now)
        recent = sum(at > now - 1.0 for at in arrivals)
        if recent > COLD_LIMIT:
            self.violations.append(f"{upstream} is cold and got {recent} requests in a second, "
                                   f"{COLD_LIMIT:.1f} are allowed")

    def record_pause(self, request_id, upstream, seconds):
        """Records that an upstream has asked a gateway for a pause."""
        now = time.monotonic()
        gateway, _ = self.sent.get(request_id, (None, now))
        start, end, arrivals = self.pauses.get((gateway, upstream), [now + PAUSE_BEGIN_S, 0, 0])
        if now > end:
            start, arrivals = now + PAUSE_BEGIN_S, 0
        self.pauses[(gateway, upstream)] = [start, max(end, now + seconds), arrivals]

    def record_crash(self, body, upstream):
        """Records that an upstream crashes under a request with this body."""
        now = time.monotonic()
        crashes = self.crashes.setdefault(body, [])
        crashes.append(now)
        if len(crashes) <= MAX_CRASHES:
            return
        late = sum(at > crashes[MAX_CRASHES - 1] + CONTACT_S for at in crashes)
        if late > MAX_LATE_CRASHES:
            self.violations.append(f"{upstream} crashed under {body.decode()}, number {late} later "
                                   f"than {CONTACT_S} s after the crash number {MAX_CRASHES}")

    def count_repeats(self, start, end):
        """Number of arrivals between two times beyond the first of each request."""
        seen, repeats = set(), 0
        for at, request_id in self.arrivals:
            if start <= at < end and request_id in seen:
                repeats += 1
            seen.add(request_id)
        return repeats

    def count_requests(self, start):
        """Number of requests that callers sent in the window that begins at `start`."""
        return sum(start <= at < start + RETRY_WINDOW_S for _, at in self.sent.values())

    def check_repeats(self, begun_at, ended_at):
        """Checks the repeats of all gateways together in every window that begins between two
        times."""
        start = begun_at
        while start < ended_at:
            repeats = self.count_repeats(start, start + RETRY_WINDOW_S)
            requests = max(self.count_requests(start - shift)
                           for shift in (0.0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S))
            allowed = RETRY_SHARE * requests + RETRY_SLACK
            if repeats > allowed:
                self.violations.append(f"{start - begun_at:.1f} s: {repeats} repeats for {requests} "
                                       f"requests, {allowed:.0f} are allowed")
            start += STEP_S

    def record_run(self, request_id, idempotent):
        """Records that an upstream runs a request; only an idempotent one may run more than
        once."""
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        if not idempotent and self.runs[request_id] > 1:
            self.violations.append(f"request {request_id} ran twice")
        if request_id in self.refused:
            self.violations.append(f"request {request_id} ran after it was refused")

    def record_refusal(self, request_id):
        """Records that a caller was told that its request was not run."""
        self.refused.add(request_id)
        if self.runs.get(request_id):
            self.violations.append(f"request {request_id} was refused but has run")
