"""Free ports of the loopback interface."""
import random
import socket

# Below the range from which Linux takes ports for outgoing connections and for port 0. A port of
# that range, free now, was taken by a connection before its process had started.
FIRST = 10000
LAST = 32767


def free_addresses(count):
    """Returns `count` addresses that are free now; all are held until the last one is found."""
    held = []
    try:
        while len(held) < count:
            one = socket.socket()
            try:
                one.bind(("127.0.0.1", random.randint(FIRST, LAST)))
                held.append(one)
            except OSError:
                one.close()
        return ["127.0.0.1:%d" % one.getsockname()[1] for one in held]
    finally:
        for one in held:
            one.close()
