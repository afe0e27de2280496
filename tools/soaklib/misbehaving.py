"""Clients that no operator controls: uploads that stop short of their end, bodies over the limit,
uploads that another request follows, streams of HTTP/2 that stop short, documents of many values for
control hosts, and lookups whose answers are not read. Each connects again when the gateway closes its connection."""
import asyncio
import itertools
import select
import socket

from soaklib import http2

RECEIVE_BUFFER_BYTES = 4096  # so that answers stay in the gateway
CHECK_S = 0.1  # between looks whether the gateway has closed the connection
PIECE_BYTES = 65536
LARGE_CHUNK_BYTES = 1 << 20
SMALL_CHUNK_BYTES = 1
LOOKUPS = 200  # on each connection
STREAMS = 4  # with a body, on each connection of HTTP/2
HEADS = 100  # of requests whose body does not come, on each connection of HTTP/2
HEAD_FIELDS, HEAD_FIELD_BYTES = 90, 100  # of each of these
DEADLINE_MS = 1500
numbers = itertools.count(1)


def request_fields(checks, gateway, deadline_ms=DEADLINE_MS):
    """Header fields of a request with an id of its own, which the checks of the site know."""
    request_id = f"m{next(numbers):07d}"
    checks.record_sent(request_id, gateway.name)
    return {"X-Cassiaroad-Request-Id": request_id, "X-Cassiaroad-Deadline-Ms": str(deadline_ms),
            "X-Cassiaroad-Shard-Key": str(next(numbers) % 65536)}


def head(checks, gateway, method, path, lines, deadline_ms=DEADLINE_MS):
    """Head of a request of HTTP/1.1."""
    fields = "".join(f"{name}: {value}\r\n"
                     for name, value in request_fields(checks, gateway, deadline_ms).items())
    return f"{method} {path} HTTP/1.1\r\nHost: maps.example\r\n{fields}{lines}\r\n".encode()


def http2_head(checks, gateway, stream, more=b""):
    """Head of a POST request of HTTP/2 whose body follows; `more` header fields."""
    fields = b"".join(http2.literal(name.lower(), value)
                      for name, value in request_fields(checks, gateway).items())
    return http2.frame(http2.HEADERS, http2.END_HEADERS, stream,
                       http2.post_header_block("/order/x", "maps.example") + fields + more)


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def pieces_of(size):
    """The pieces of a body of `size` bytes."""
    for start in range(0, size, PIECE_BYTES):
        yield b"a" * min(PIECE_BYTES, size - start)


def whole_body(size):
    return f"Content-Length: {size}\r\n", [b"a" * (size - 1)], b"a"


def body_in_pieces(size):
    return f"Content-Length: {size}\r\n", pieces_of(size - 1), b"a"


def chunked_body(chunk_bytes):
    """A body that is sent in chunks of this size and lacks only the last chunk."""
    def make(size):
        one = chunk(b"a" * chunk_bytes)
        block = one * max(PIECE_BYTES // len(one), 1)
        count = size // (len(block) // len(one) * chunk_bytes)
        return "Transfer-Encoding: chunked\r\n", [block] * count, b"0\r\n\r\n"
    return make


UPLOADS = {
    "whole": whole_body,
    "pieces": body_in_pieces,
    "large_chunks": chunked_body(LARGE_CHUNK_BYTES),
    "small_chunks": chunked_body(SMALL_CHUNK_BYTES),
}


class Crowd:
    """Clients of one listener of a gateway that behave alike, until they are stopped."""

    def __init__(self, site, gateway, port="callers"):
        self.site, self.gateway = site, gateway
        self.address = (gateway.ip, site.ports[port])
        self.tasks = []
        self.sent = 0  # connections on which a client has sent all that it wants to send
        self.closed = 0  # connections that the gateway has closed

    def start(self, count, behave):
        """Starts `count` clients; `behave(sock, number)` sends what one sends on a connection."""
        self.tasks = [asyncio.create_task(self.run(behave, number)) for number in range(count)]

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def run(self, behave, number):
        while True:
            with socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                sock.setblocking(False)
                try:
                    loop = asyncio.get_running_loop()
                    await loop.sock_connect(sock, self.address)
                    sending = asyncio.create_task(self.send(behave, sock, number))
                    try:
                        await self.wait_until_closed(sock)
                    finally:
                        sending.cancel()
                        await asyncio.gather(sending, return_exceptions=True)
                except OSError:
                    pass
            self.closed += 1
            await asyncio.sleep(CHECK_S)

    async def send(self, behave, sock, number):
        await behave(sock, number)
        self.sent += 1

    @staticmethod
    async def wait_until_closed(sock):
        """Waits until the gateway has closed the connection. Reads nothing."""
        poll = select.poll()
        poll.register(sock, select.POLLRDHUP)
        while not poll.poll(0):
            await asyncio.sleep(CHECK_S)

    def upload(self, kind, size, every_complete):
        """Clients that send a body; each `every_complete`th one completes it."""
        async def behave(sock, number):
            loop = asyncio.get_running_loop()
            lines, pieces, end = UPLOADS[kind](size)
            await loop.sock_sendall(sock, head(self.site.checks, self.gateway, "POST", "/order/x",
                                               lines))
            for piece in pieces:
                await loop.sock_sendall(sock, piece)
                await asyncio.sleep(0)
            if number % every_complete == 0:
                await loop.sock_sendall(sock, end)
        return behave

    def followed_uploads(self, kind, size, pause_s):
        """Clients that complete a body and send the first byte of another request, one after another
        with `pause_s` between two."""
        async def behave(sock, number):
            loop = asyncio.get_running_loop()
            await asyncio.sleep(number * pause_s)
            lines, pieces, end = UPLOADS[kind](size)
            await loop.sock_sendall(sock, head(self.site.checks, self.gateway, "POST", "/order/x",
                                               lines))
            for piece in pieces:
                await loop.sock_sendall(sock, piece)
                await asyncio.sleep(0)
            await loop.sock_sendall(sock, end + b"G")
        return behave

    def http2_uploads(self, size):
        """Clients of HTTP/2 that send several bodies at the same time, all but the last byte."""
        streams = range(1, 2 * STREAMS, 2)

        async def behave(sock, _number):
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(sock, http2.PREFACE + b"".join(
                http2_head(self.site.checks, self.gateway, stream) for stream in streams))
            for start in range(0, size - 1, http2.MAX_FRAME_BYTES):
                piece = b"a" * min(http2.MAX_FRAME_BYTES, size - 1 - start)
                for stream in streams:
                    await loop.sock_sendall(sock, http2.frame(http2.DATA, 0, stream, piece))
                await asyncio.sleep(0)
        return behave

    def http2_heads(self):
        """Clients of HTTP/2 that send the heads of many requests and none of their bodies."""
        more = http2.literal("x-more", "b" * HEAD_FIELD_BYTES) * HEAD_FIELDS

        async def behave(sock, _number):
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(sock, http2.PREFACE)
            for stream in range(1, 2 * HEADS, 2):
                await loop.sock_sendall(
                    sock, http2_head(self.site.checks, self.gateway, stream, more))
                await asyncio.sleep(0)
        return behave

    def documents(self, size, every_complete):
        """Clients that send operators' calls whose documents consist of many empty objects; each
        `every_complete`th one completes it."""
        count = (size - len("[{}]")) // len(",{}")
        body = b"[{}" + b",{}" * count + b"]"
        lines = f"X-Cassiaroad-Base-Version: 00000001\r\nContent-Length: {len(body)}\r\n"

        async def behave(sock, number):
            text = head(self.site.checks, self.gateway, "POST", "/-/Config.Put", lines) + body
            end = len(text) if number % every_complete == 0 else len(text) - 1
            await asyncio.get_running_loop().sock_sendall(sock, memoryview(text)[:end])
        return behave

    def lookups(self):
        """Clients that pipeline lookups and read none of the answers."""
        async def behave(sock, _number):
            text = b"".join(head(self.site.checks, self.gateway, "GET", f"/read/{i}", "")
                            for i in range(LOOKUPS))
            await asyncio.get_running_loop().sock_sendall(sock, text)
        return behave
