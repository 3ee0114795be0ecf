"""Free ports, disjoint between scenarios that run at once."""

import os
import random
import socket

BLOCK_SIZE = 200
FIRST_PORT, LAST_PORT = (int(each) for each in
               os.environ.get("SCENARIO_PORTS", "26000-29999").split("-"))


def try_bind(port):
    bound_socket = socket.socket()
    try:
        bound_socket.bind(("127.0.0.1", port))
        return bound_socket
    except OSError:
        bound_socket.close()
        return None


class PortBlock:
    """Ports below the range the kernel gives to outgoing connections; the
    first of the block stays bound, so that no other scenario takes it."""

    def __init__(self):
        blocks = list(range(FIRST_PORT, LAST_PORT - BLOCK_SIZE + 2, BLOCK_SIZE))
        random.shuffle(blocks)
        for first in blocks:
            self._lock = try_bind(first)
            if self._lock is not None:
                break
        else:
            raise RuntimeError("no free ports; set SCENARIO_PORTS=FIRST-LAST")
        self._next = first + 1
        self._end = first + BLOCK_SIZE

    def allocate(self):
        while self._next < self._end:
            port = self._next
            self._next += 1
            bound_socket = try_bind(port)
            if bound_socket is not None:
                bound_socket.close()
                return port
        raise RuntimeError("the scenario needs too many ports")

    def release(self):
        self._lock.close()
