"""Free ports of this machine."""

import os
import socket

# Below the range of which connections get their own ports, so that a process
# that is down finds its ports free at its return.
PORTS = range(10000, 32000)
# More than one run takes, so that runs side by side do not share ports.
PORTS_PER_RUN = 500


class PortPicker:
    """Free ports, from a different place for each run."""

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
