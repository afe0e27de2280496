"""Free ports of the loopback interface."""
import random
import socket

# Below the range from which Linux chooses ports for outgoing connections and for port 0. A free
# port of that range was taken by a connection before the process that should listen on it had
# started.
FIRST = 10000
LAST = 32767


def free_addresses(count):
    """Returns `count` addresses that are free now. All stay bound until the last one is found, so
    that they differ."""
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
