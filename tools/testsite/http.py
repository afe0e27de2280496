"""HTTP requests to the processes of a test site."""
import http.client
import itertools
import threading
import uuid


class Answer:
    """A whole answer."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers  # names in lower case
        self.body = body

    @property
    def outcome(self):
        """"answered", "not-run" or "unknown"."""
        return self.headers.get("cassiaroad-outcome", "answered")

    def __repr__(self):
        return "%d %s %r" % (self.status, self.outcome, self.body[:120])


class NoAnswer(Exception):
    """The connection failed or timed out; `connected` tells whether the request was sent."""

    def __init__(self, connected, reason):
        super().__init__(reason)
        self.connected = connected


def request(address, method, path, headers=None, body=None, timeout=12.0):
    """Sends one request on a connection of its own and returns the answer, or raises NoAnswer."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        try:
            connection.connect()
        except OSError as error:
            raise NoAnswer(False, "%s: %s" % (address, error)) from error
        try:
            connection.request(method, path, body, headers or {})
            response = connection.getresponse()
            names = {name.lower(): value for name, value in response.getheaders()}
            return Answer(response.status, names, response.read())
        except (OSError, http.client.HTTPException) as error:
            raise NoAnswer(True, "%s: %s %r" % (address, type(error).__name__, error)) from error
    finally:
        connection.close()


def announce_body(address, method, path, length, timeout=12.0):
    """Sends only the head of a request with a body of `length` bytes and returns the answer."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.putrequest(method, path)
        connection.putheader("Content-Length", str(length))
        connection.endheaders()
        response = connection.getresponse()
        names = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, names, response.read())
    except (OSError, http.client.HTTPException) as error:
        raise NoAnswer(True, "%s: %r" % (address, error)) from error
    finally:
        connection.close()


class Balancer:
    """Spreads requests over entry hosts in turn; one that refuses connections is passed over."""

    def __init__(self, addresses):
        self.addresses = list(addresses)
        self.turn = itertools.count()

    def request(self, method, path, headers=None, body=None, timeout=12.0):
        failure = None
        first = next(self.turn)  # threads share the turn, so the rest is counted from here
        for step in range(len(self.addresses)):
            address = self.addresses[(first + step) % len(self.addresses)]
            try:
                return request(address, method, path, headers, body, timeout)
            except NoAnswer as error:
                if error.connected:
                    raise
                failure = error
        raise failure


class Sent:
    """One request of the traffic and how it ended."""

    def __init__(self, request_id, path, start, end, result):
        self.request_id = request_id
        self.path = path
        self.start = start
        self.end = end
        self.result = result  # Answer or NoAnswer

    @property
    def outcome(self):
        if isinstance(self.result, NoAnswer):
            return "unknown" if self.result.connected else "not-run"
        return self.result.outcome


class Traffic:
    """One thread for each path that sends requests, each with an id of its own, until stopped."""

    def __init__(self, balancer, paths, clock, pause=0.01, method="POST", headers=None):
        self.balancer = balancer
        self.clock = clock
        self.method = method
        self.pause = pause
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
        while not self.stopping.is_set():
            request_id = uuid.uuid4().hex
            start = self.clock()
            try:
                body = None if self.method == "GET" else b"{}"
                result = self.balancer.request(self.method, path,
                                               {"Request-Id": request_id, **self.headers}, body)
            except NoAnswer as error:
                result = error
            self.sent.append(Sent(request_id, path, start, self.clock(), result))
            self.stopping.wait(self.pause)

    def count(self, outcome):
        return sum(1 for sent in list(self.sent) if sent.outcome == outcome)

    def answered_since(self, since):
        """First answer by path among the requests that began after `since`."""
        first = {}
        for sent in list(self.sent):
            if sent.start > since and sent.outcome == "answered" and sent.result.status < 500:
                first[sent.path] = min(sent.end, first.get(sent.path, sent.end))
        return first

    def serves_all_since(self, since):
        return len(self.answered_since(since)) == len(self.paths)

    def served_again(self, since):
        """Seconds from `since` until each path was answered again. Precondition: all were."""
        return max(self.answered_since(since).values()) - since
