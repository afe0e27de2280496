"""Free ports of the loopback interface."""
import socket


def free_addresses(count):
    """Returns `count` addresses that are free now; all are held until the last one is found."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind(("127.0.0.1", 0))
        return ["127.0.0.1:%d" % one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()
