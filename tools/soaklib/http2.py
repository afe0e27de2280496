"""Frames of HTTP/2, as far as clients that send requests by prior knowledge need them."""
import struct

DATA, HEADERS, SETTINGS = 0, 1, 4
END_HEADERS = 4
MAX_FRAME_BYTES = 16384


def frame(kind, flags, stream, payload=b""):
    return struct.pack(">I", len(payload))[1:] + struct.pack(">BBI", kind, flags, stream) + payload


def literal(name, value):
    """A header field that is not indexed. Both texts are shorter than 127 bytes."""
    return bytes([0, len(name)]) + name.encode() + bytes([len(value)]) + value.encode()


def post_header_block(path, host):
    """The pseudo header fields of a POST request."""
    return (b"\x83\x86" + bytes([4, len(path)]) + path.encode()
            + bytes([1, len(host)]) + host.encode())


PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(SETTINGS, 0, 0)
