"""Answers of HTTP/1.1 that never end, each in another part."""
import asyncio

BLOCK_BYTES = 128 * 1024
INTERVAL_S = 0.005  # between blocks, so that the callers in the same process get their turn

# Part that does not end -> bytes before it, and the bytes that are repeated. HEAD stands for the
# lines of the head without an empty line.
PARTS = {
    "status line": (b"HTTP/1.1 200 ", b"S"),
    "header line": (b"HTTP/1.1 200 S\r\nX-Fill: ", b"a"),
    "header lines": (b"HTTP/1.1 200 S\r\n", b"X-Fill: a\r\n"),
    "interim answers": (b"", b"HTTP/1.1 102 S\r\n\r\n"),
    "chunk size": (b"HEADTransfer-Encoding: chunked\r\n\r\n", b"0"),
    "chunks": (b"HEADTransfer-Encoding: chunked\r\n\r\n", b"10\r\n0123456789abcdef\r\n"),
    "trailers": (b"HEADTransfer-Encoding: chunked\r\n\r\n0\r\n", b"X-Fill: a\r\n"),
    "body": (b"HEADConnection: close\r\n\r\n", b"a"),
}


async def answer(writer, part, head):
    """Writes an answer whose `part` does not end, until the peer closes the connection."""
    beginning, repeated = PARTS[part]
    writer.write(beginning.replace(b"HEAD", head))
    block = repeated * (BLOCK_BYTES // len(repeated))
    while not writer.is_closing():
        writer.write(block)
        await writer.drain()
        await asyncio.sleep(INTERVAL_S)
