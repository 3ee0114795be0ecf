"""Free ports, disjoint between scenarios that run at once."""

import os
import random
import socket

BLOCK = 200
FIRST, LAST = (int(each) for each in
               os.environ.get("SCENARIO_PORTS", "26000-29999").split("-"))


def bind(port):
    held = socket.socket()
    try:
        held.bind(("127.0.0.1", port))
        return held
    except OSError:
        held.close()
        return None


class PortBlock:
    """Ports below the range the kernel gives to outgoing connections; the
    first of the block stays bound, so that no other scenario takes it."""

    def __init__(self):
        blocks = list(range(FIRST, LAST - BLOCK + 2, BLOCK))
        random.shuffle(blocks)
        for first in blocks:
            self._lock = bind(first)
            if self._lock is not None:
                break
        else:
            raise RuntimeError("no free ports; set SCENARIO_PORTS=FIRST-LAST")
        self._next = first + 1
        self._end = first + BLOCK

    def take(self):
        while self._next < self._end:
            port = self._next
            self._next += 1
            held = bind(port)
            if held is not None:
                held.close()
                return port
        raise RuntimeError("the scenario needs too many ports")

    def release(self):
        self._lock.close()
