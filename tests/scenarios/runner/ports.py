"""Allocates free ports; scenarios that run in parallel never share one."""

import os
import random
import socket

BLOCK_SIZE = 200
FIRST_PORT, LAST_PORT = (int(each) for each in
                         os.environ.get("SCENARIO_PORTS",
                                        "26000-29999").split("-"))


def try_bind(port):
    bound_socket = socket.socket()
    try:
        bound_socket.bind(("127.0.0.1", port))
        return bound_socket
    except OSError:
        bound_socket.close()
        return None


class PortBlock:
    """A block of ports below the kernel's ephemeral port range.

    The first port of the block stays bound as a lock, so that no other
    scenario takes the same block."""

    def __init__(self):
        blocks = list(range(FIRST_PORT, LAST_PORT - BLOCK_SIZE + 2, BLOCK_SIZE))
        random.shuffle(blocks)
        for first in blocks:
            self._lock = try_bind(first)
            if self._lock is not None:
                break
        else:
            raise RuntimeError(
                "no free block of ports; set SCENARIO_PORTS=FIRST-LAST")
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
        raise RuntimeError("the scenario needs more ports than its block holds")

    def release(self):
        self._lock.close()
