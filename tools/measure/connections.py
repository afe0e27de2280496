"""Idle caller connections to one entry host."""
import resource
import socket

RESERVED_DESCRIPTORS = 500  # file descriptors for other uses
BATCH_SIZE = 250  # connections that are opened before their responses are read
REQUEST = b"GET /%s/%s/page HTTP/1.1\r\nHost: measure\r\n\r\n"


def allowed_connections(wanted):
    """Raises the soft limit of open files to the hard limit, for this process and those that it
    starts from now on. Returns how many of the wanted connections the limit permits."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return wanted if hard == resource.RLIM_INFINITY else min(wanted, hard - RESERVED_DESCRIPTORS)


class IdleConnections:
    """Connections that stay open after one request each. Use as a context manager."""

    def __init__(self, address, count, service, key):
        host, port = address.split(":")
        self.address = (host, int(port))
        self.count = count
        self.request = REQUEST % (service.encode(), key.encode())
        self.sockets = []

    def __enter__(self):
        try:
            while len(self.sockets) < self.count:
                self.open_batch(min(BATCH_SIZE, self.count - len(self.sockets)))
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        for one in self.sockets:
            one.close()

    def open_batch(self, count):
        batch = []
        for _ in range(count):
            one = socket.create_connection(self.address, timeout=10)
            self.sockets.append(one)
            batch.append(one)
        for one in batch:
            one.sendall(self.request)
        for one in batch:
            if not one.recv(65536).startswith(b"HTTP/1.1 "):
                raise OSError("a connection was closed instead of answered")
