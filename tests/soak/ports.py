"""Picks free ports of this machine."""

import os
import socket

# Below the ephemeral port range, so that no outgoing connection takes the port
# of a process that is down before it restarts.
PORTS = range(10000, 32000)
# More ports than a run uses, so that parallel runs do not share ports.
PORTS_PER_RUN = 500


class PortPicker:
    """Returns free ports; each run starts at a different port."""

    def __init__(self):
        runs = len(PORTS) // PORTS_PER_RUN
        self.next = PORTS.start + os.getpid() % runs * PORTS_PER_RUN

    def __call__(self):
        while True:
            self.next += 1
            if self.next not in PORTS:
                self.next = PORTS.start
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", self.next))
                    return self.next
                except OSError:
                    continue


free_port = PortPicker()
