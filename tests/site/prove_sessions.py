"""Proofs that compare complete sessions of callers and operators with the files in golden/."""
import json
import os
import re

from testsite import announce_body, request, wait_for
from testsite.proof import MAX_WAIT, expect, proof

REGION = "etela"
GOLDEN = os.path.join(os.path.dirname(os.path.abspath(__file__)), "golden")
CONTENT = bytes(range(256)) * 1024
# Response headers that are recorded.
HEADERS = ("cassiaroad-outcome", "cassiaroad-replayed", "location", "retry-after", "tus-resumable",
           "upload-offset", "upload-length", "content-type")
# Values that differ between runs, and what is recorded instead.
VARYING = (
    (re.compile(r"uploads/[0-9a-f]{24}"), "uploads/<upload>"),
    (re.compile(r'("[a-z_]*_wall_ms": )\d+'), r"\1<time>"),
    (re.compile(r"\b(orders|basemaps|bookings)-\d+\b"), r"\1-<n>"),
    (re.compile(r'("(?:basis|revision|plan)": )\d+'), r"\1<n>"),
    (re.compile(r"plan \d+"), "plan <n>"),
    (re.compile(r'("expected_ms": )\d+'), r"\1<time>"),
    (re.compile(r'("subject": )"[^"]*"'), r'\1"<shard>"'),
    (re.compile(r'("reason": )"[^"]*"'), r'\1"<reason>"'),
)


class Session:
    """Records requests and commands with their responses, as text without values that vary."""

    def __init__(self, site):
        self.site = site
        self.lines = []

    def add(self, text):
        for pattern, replacement in VARYING:
            text = pattern.sub(replacement, text)
        self.lines.append(text.rstrip())

    def http(self, method, path, headers=None, body=None, entry=0):
        """Sends a request through an entry host and records it with its response."""
        response = request(self.site.entries(REGION)[entry].addresses["callers"], method, path,
                           headers, body)
        return self.show(response, "%s %s" % (method, path), headers, len(body or b""))

    def show(self, response, what, headers, length):
        """Records a request, with a body of `length` bytes, and its response."""
        self.add("> %s" % what)
        for name, value in (headers or {}).items():
            self.add("> %s: %s" % (name, value))
        self.add("> (%d bytes)" % length)
        self.add("< %d" % response.status)
        for name in HEADERS:
            if name in response.headers:
                self.add("< %s: %s" % (name, response.headers[name]))
        self.add("< " + response.body.decode().strip())
        self.add("")
        return response

    def operator(self, command, *arguments):
        """Runs a command of an operator and records it with its output."""
        status, output, error = self.site.command(REGION, command, *arguments)
        self.add("$ cassiaroad %s %s" % (command, " ".join(arguments)))
        shown = dict(output or {})
        if len(shown.get("moves", [])) > 1:
            shown["moves"] = shown["moves"][:1] + ["%d moves" % len(shown["moves"])]
        for line in json.dumps(shown, indent=1, sort_keys=True).splitlines():
            self.add(line)
        self.add("(status %d) %s" % (status, error))
        self.add("")
        return output

    def compare(self, name):
        """Compares the record with a golden file; writes the file first if the environment variable
        CASSIAROAD_WRITE_GOLDEN is set."""
        text = "\n".join(self.lines) + "\n"
        path = os.path.join(GOLDEN, name + ".txt")
        if os.environ.get("CASSIAROAD_WRITE_GOLDEN"):
            with open(path, "w") as stream:
                stream.write(text)
        with open(path) as stream:
            golden = stream.read().splitlines()
        for number, (expected, seen) in enumerate(zip(golden, text.splitlines()), 1):
            expect(expected == seen, "%s.txt:%d: expected %r, saw %r" % (name, number, expected,
                                                                        seen))
        expect(len(golden) == len(text.splitlines()), "%s.txt: another length" % name)


@proof("P3 P4 P5 P8", "none: golden sessions of an order, an upload, refusals and a plan")
def golden_sessions(maker):
    with maker.site("rastikartta", upstreams={"orders": 1, "basemaps": 1}) as site:
        sessions = {"order": order, "upload": upload, "refused": refused, "operator": operator}
        for name, run in sessions.items():
            session = Session(site)
            run(session)
            session.compare(name)
        return "%d sessions as recorded" % len(sessions)


@proof("P3 P5", "none: golden session of a booking")
def golden_booking(maker):
    with maker.site("badia") as site:
        session = Session(site)
        keyed = {"Content-Type": "application/json", "Idempotency-Key": "booking-1"}
        entry = site.entries("north-badia")
        for number in (0, 1):
            response = request(entry[number].addresses["callers"], "POST", "/bookings/flock-1/days",
                               keyed, b'{"day":"2026-03-02"}')
            session.show(response, "POST /bookings/flock-1/days", keyed, 20)
        response = request(entry[0].addresses["callers"], "GET", "/bookings/flock-1/days")
        session.show(response, "GET /bookings/flock-1/days", {}, 0)
        session.compare("booking")
        return "as recorded"


def order(session):
    headers = {"Content-Type": "application/json"}
    session.http("GET", "/orders/club-7/proof")
    session.http("POST", "/orders/club-7/prints", headers, b'{"copies":120}')
    keyed = {**headers, "Idempotency-Key": "order-1"}
    session.http("POST", "/orders/club-7/prints", keyed, b'{"copies":40}')
    session.http("POST", "/orders/club-7/prints", keyed, b'{"copies":40}', entry=1)
    session.http("POST", "/orders/club-7/prints", keyed, b'{"copies":41}', entry=1)


def upload(session):
    tus = {"Tus-Resumable": "1.0.0"}
    half = len(CONTENT) // 2
    created = session.http("POST", "/basemaps/forest-3/uploads",
                           {**tus, "Upload-Length": str(len(CONTENT))}, b"")
    path = created.headers["location"]
    chunk = {**tus, "Content-Type": "application/offset+octet-stream"}
    session.http("PATCH", path, {**chunk, "Upload-Offset": "0"}, CONTENT[:half])
    session.http("PATCH", path, {**chunk, "Upload-Offset": "0"}, CONTENT[:half], entry=1)
    session.http("HEAD", path, tus, entry=1)
    session.http("PATCH", path, {**chunk, "Upload-Offset": str(half)}, CONTENT[half:], entry=1)
    session.http("GET", path, tus)


def refused(session):
    session.http("GET", "/orders/b%20d/proof")
    session.http("GET", "/nothing/club-7/proof")
    session.http("GET", "/orders/club-7/proof", {"Cassiaroad-Deadline-Ms": "0"})
    entry = session.site.entries(REGION)[0].addresses["callers"]
    response = announce_body(entry, "POST", "/orders/club-7/prints", 5 << 20)
    session.show(response, "POST /orders/club-7/prints", {}, 5 << 20)


def operator(session):
    plan = session.operator("intent", "--who", "aino", "--why", "disk replacement", "drain",
                            "orders/orders-1")
    number = str(plan["plan"])
    session.operator("plan", number)
    session.operator("confirm", "--who", "aino", "--number", "1", number)
    session.operator("confirm", "--who", "aino", "--number", "1", number)
    session.operator("confirm", "--who", "eero", "--number", "1", number)
    wait_for(lambda: session.site.status(REGION)["active_plans"] == [], MAX_WAIT, "plan completed")
    session.operator("record", "--who", "aino")
    session.operator("intent", "--who", "aino", "--why", "unknown", "drain", "orders/nobody")
    session.operator("confirm", "--who", "aino", "--number", "2", "999")
