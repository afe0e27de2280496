"""Callers that keep one connection open for many requests."""
import asyncio

FAILED = (0, {}, "")  # status, headers and body when there was no complete response


class KeptConnection:
    """Sends one request after another on a connection that stays open until the peer closes it."""

    def __init__(self, address):
        self.ip, port = address.split(":")
        self.port = int(port)
        self.reader = None
        self.writer = None

    async def send(self, method, path, body, headers, timeout):
        """Sends one request; returns status, headers and body of the response, or FAILED."""
        try:
            async with asyncio.timeout(timeout):
                return await self.exchange(method, path, body, headers)
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError, IndexError):
            self.close()
            return FAILED

    async def exchange(self, method, path, body, headers):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(self.ip, self.port)
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        self.writer.write(f"{method} {path} HTTP/1.1\r\nHost: maps.example\r\n"
                          f"Content-Length: {len(body)}\r\n{lines}\r\n{body}".encode())
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        received = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
        length = received.get("content-length")
        text = await (self.reader.read() if length is None else self.reader.readexactly(int(length)))
        if received.get("connection") == "close":
            self.close()
        return int(head[0].split(" ")[1]), received, text.decode()

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
