"""Picks free ports of this machine; runs in parallel never share one."""

import random
import socket

# Below the ephemeral port range, so that no outgoing connection takes the port
# of a process that is down before it restarts; below those of the scenarios.
PORTS = range(10000, 26000)
BLOCK_SIZE = 250


def try_bind(port):
    """Returns a socket that is bound to the port, or None."""
    probe = socket.socket()
    try:
        probe.bind(("127.0.0.1", port))
        return probe
    except OSError:
        probe.close()
        return None


class PortPicker:
    """Returns free ports of blocks that belong to this run. The first port of
    a block stays bound, as a lock."""

    def __init__(self):
        self.locks = []
        self.free = iter(())

    def __call__(self):
        while True:
            for port in self.free:
                probe = try_bind(port)
                if probe is not None:
                    probe.close()
                    return port
            self.take_block()

    def take_block(self):
        blocks = list(PORTS[::BLOCK_SIZE])
        random.SystemRandom().shuffle(blocks)
        for first in blocks:
            lock = try_bind(first)
            if lock is not None:
                self.locks.append(lock)
                self.free = iter(range(first + 1, first + BLOCK_SIZE))
                return
        raise RuntimeError(f"no block of {BLOCK_SIZE} ports is free")


free_port = PortPicker()
