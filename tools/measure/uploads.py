"""Concurrent uploads in chunks."""
import threading
import time

from testsite import NoResponse, request

CHUNK = 4 << 20  # bytes, the largest body that entry hosts accept (max-body-kib)
TUS = {"Tus-Resumable": "1.0.0"}
PATCH = {**TUS, "Content-Type": "application/offset+octet-stream"}
RETRY_DELAY = 0.05  # seconds before a chunk that was refused as not run is sent again


class Uploads:
    """Uploads of `size` bytes for each key through one entry host, each in a thread of its own.
    They fail after `max_wait` seconds."""

    def __init__(self, address, service, keys, size, max_wait):
        self.address = address
        self.service = service
        self.size = size
        self.end = time.monotonic() + max_wait
        self.done = 0
        self.repeated = 0  # requests sent again
        self.failures = []
        self.threads = [threading.Thread(target=self.run, args=(key,), daemon=True)
                        for key in keys]

    def run_all(self):
        """Runs all uploads and returns the seconds that it took."""
        start = time.monotonic()
        for thread in self.threads:
            thread.start()
        for thread in self.threads:
            thread.join()
        return time.monotonic() - start

    def run(self, key):
        """Thread of one upload."""
        try:
            self.upload("/%s/%s/uploads" % (self.service, key))
            self.done += 1
        except (NoResponse, OSError) as error:
            self.failures.append(str(error))

    def send(self, *arguments):
        """Sends a request, and again while it is refused as not run. Returns the response."""
        while True:
            response = request(self.address, *arguments)
            if response.status < 300:
                return response
            if response.outcome != "not-run" or time.monotonic() > self.end:
                raise OSError("%s %s: %r" % (arguments[0], arguments[1], response))
            self.repeated += 1
            time.sleep(RETRY_DELAY)

    def upload(self, path):
        created = self.send("POST", path, {**TUS, "Upload-Length": str(self.size)}, b"")
        location = created.headers["location"]
        chunk = bytes(CHUNK)
        for offset in range(0, self.size, CHUNK):
            if time.monotonic() > self.end:
                raise OSError("not finished within the bound")
            self.send("PATCH", location, {**PATCH, "Upload-Offset": str(offset)},
                      chunk[:self.size - offset])
