"""Uploads in pieces that run at once."""
import threading
import time

from testsite import NoAnswer, request

PIECE = 4 << 20  # bytes, max-body of the entry hosts
TUS = {"Tus-Resumable": "1.0.0"}
PATCH = {**TUS, "Content-Type": "application/offset+octet-stream"}
PAUSE = 0.05  # seconds before a piece that was not run is sent again


class Uploads:
    """An upload of `size` bytes for each key through one entry host, each in its own thread."""

    def __init__(self, address, service, keys, size, bound):
        self.address = address
        self.service = service
        self.size = size
        self.end = time.monotonic() + bound
        self.done = 0
        self.repeated = 0  # pieces sent again
        self.failures = []
        self.threads = [threading.Thread(target=self.run, args=(key,), daemon=True)
                        for key in keys]

    def run_all(self):
        """Runs all uploads; they end at the bound at the latest. Returns the seconds it took."""
        start = time.monotonic()
        for thread in self.threads:
            thread.start()
        for thread in self.threads:
            thread.join()
        return time.monotonic() - start

    def run(self, key):
        try:
            self.upload("/%s/%s/uploads" % (self.service, key))
            self.done += 1
        except (NoAnswer, OSError) as error:
            self.failures.append(str(error))

    def send(self, *arguments):
        """Sends one request again while it is refused as not run."""
        while True:
            answer = request(self.address, *arguments)
            if answer.status < 300:
                return answer
            if answer.outcome != "not-run" or time.monotonic() > self.end:
                raise OSError("%s %s: %r" % (arguments[0], arguments[1], answer))
            self.repeated += 1
            time.sleep(PAUSE)

    def upload(self, path):
        created = self.send("POST", path, {**TUS, "Upload-Length": str(self.size)}, b"")
        location = created.headers["location"]
        piece = bytes(PIECE)
        for offset in range(0, self.size, PIECE):
            if time.monotonic() > self.end:
                raise OSError("not finished within the bound")
            self.send("PATCH", location, {**PATCH, "Upload-Offset": str(offset)},
                      piece[:self.size - offset])
