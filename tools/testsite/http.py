"""HTTP client, load balancer and continuous traffic for the processes of a test site."""
import http.client
import itertools
import threading
import uuid


class Response:
    """A complete HTTP response."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers  # names in lower case
        self.body = body

    @property
    def outcome(self):
        """What the entry host reports: "answered", "not-run" or "unknown"."""
        return self.headers.get("cassiaroad-outcome", "answered")

    def __repr__(self):
        return "%d %s %r" % (self.status, self.outcome, self.body[:120])


class NoResponse(Exception):
    """A request got no complete response. `connected` is false if the connection could not be
    opened, so that the request was certainly not sent."""

    def __init__(self, connected, reason):
        super().__init__(reason)
        self.connected = connected


def request(address, method, path, headers=None, body=None, timeout=12.0):
    """Sends one request on a new connection. Returns the response or raises NoResponse."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        try:
            connection.connect()
        except OSError as error:
            raise NoResponse(False, "%s: %s" % (address, error)) from error
        try:
            connection.request(method, path, body, headers or {})
            response = connection.getresponse()
            names = {name.lower(): value for name, value in response.getheaders()}
            return Response(response.status, names, response.read())
        except (OSError, http.client.HTTPException) as error:
            raise NoResponse(True, "%s: %s %r" % (address, type(error).__name__, error)) from error
    finally:
        connection.close()


def announce_body(address, method, path, length, timeout=12.0):
    """Sends only the head of a request that announces a body of `length` bytes. Returns the
    response or raises NoResponse."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.putrequest(method, path)
        connection.putheader("Content-Length", str(length))
        connection.endheaders()
        response = connection.getresponse()
        names = {name.lower(): value for name, value in response.getheaders()}
        return Response(response.status, names, response.read())
    except (OSError, http.client.HTTPException) as error:
        raise NoResponse(True, "%s: %r" % (address, error)) from error
    finally:
        connection.close()


class Balancer:
    """Sends requests to the entry hosts in round-robin order; skips those that refuse
    connections."""

    def __init__(self, addresses):
        self.addresses = list(addresses)
        self.counter = itertools.count()

    def request(self, method, path, headers=None, body=None, timeout=12.0):
        """As request(); raises NoResponse if no entry host accepts a connection."""
        failure = None
        first = next(self.counter)  # other threads advance the counter meanwhile
        for step in range(len(self.addresses)):
            address = self.addresses[(first + step) % len(self.addresses)]
            try:
                return request(address, method, path, headers, body, timeout)
            except NoResponse as error:
                if error.connected:
                    raise
                failure = error
        raise failure


class SentRequest:
    """A request of the traffic with the times of its start and end, and its result."""

    def __init__(self, request_id, path, start, end, result):
        self.request_id = request_id
        self.path = path
        self.start = start
        self.end = end
        self.result = result  # Response or NoResponse

    @property
    def outcome(self):
        """Outcome as the client knows it; without a response, whether the request may have been
        sent."""
        if isinstance(self.result, NoResponse):
            return "unknown" if self.result.connected else "not-run"
        return self.result.outcome


class Traffic:
    """Sends requests for each path from a thread of its own while the context is entered. Each
    request has a unique id. `clock` returns the times that are recorded; `delay` is the time in
    seconds between two requests for a path."""

    def __init__(self, balancer, paths, clock, delay=0.01, method="POST", headers=None):
        self.balancer = balancer
        self.clock = clock
        self.method = method
        self.delay = delay
        self.headers = headers or {}
        self.paths = list(paths)
        self.sent = []
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(path,), daemon=True)
                        for path in self.paths]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def run(self, path):
        """Thread of one path."""
        while not self.stopping.is_set():
            request_id = uuid.uuid4().hex
            start = self.clock()
            try:
                body = None if self.method == "GET" else b"{}"
                result = self.balancer.request(self.method, path,
                                               {"Request-Id": request_id, **self.headers}, body)
            except NoResponse as error:
                result = error
            self.sent.append(SentRequest(request_id, path, start, self.clock(), result))
            self.stopping.wait(self.delay)

    def count(self, outcome):
        """Number of requests with an outcome so far."""
        return sum(1 for sent in list(self.sent) if sent.outcome == outcome)

    def answered_since(self, since):
        """Time of the first response for each path, among the requests that started after
        `since`."""
        first = {}
        for sent in list(self.sent):
            if sent.start > since and sent.outcome == "answered" and sent.result.status < 500:
                first[sent.path] = min(sent.end, first.get(sent.path, sent.end))
        return first

    def are_all_served_since(self, since):
        """Whether every path got a response to a request that started after `since`."""
        return len(self.answered_since(since)) == len(self.paths)

    def recovery_time(self, since):
        """Seconds from `since` until the last path was answered. Precondition: all were
        answered."""
        return max(self.answered_since(since).values()) - since
