"""Finds the process at the other end of a connection on this machine."""

import os
import time

ESTABLISHED = "01"
# A look at all connections takes a while, in which nothing else runs.
LOOK_INTERVAL_S = 0.25


def established():
    """Returns the inodes of all connections, by their ports in hexadecimal."""
    inodes = {}
    with open("/proc/net/tcp") as table:
        next(table)
        for line in table:
            fields = line.split(None, 10)
            if fields[3] == ESTABLISHED:
                inodes[fields[1][-4:], fields[2][-4:]] = fields[9]
    return inodes


def sockets_of(pid):
    folder = f"/proc/{pid}/fd"
    names = []
    try:
        names = [os.readlink(f"{folder}/{each}") for each in os.listdir(folder)]
    except OSError:  # the process or a descriptor is gone
        pass
    return [each[8:-1] for each in names if each.startswith("socket:")]


class ConnectionOwners:
    """Which instance holds the far end of a connection."""

    def __init__(self):
        self.instances = []
        self.looked_s = 0.0
        self.owners = {}  # ports of a connection -> instance

    def look(self):
        inodes = established()
        by_inode = {inode: each for each in self.instances
                    if each.process is not None
                    for inode in sockets_of(each.process.pid)}
        self.owners = {ports: by_inode[inode]
                       for ports, inode in inodes.items() if inode in by_inode}
        self.looked_s = time.monotonic()

    def owner_of(self, writer):
        """Returns None while the owner is not known yet."""
        peer, own = (writer.get_extra_info(name)
                     for name in ("peername", "sockname"))
        if peer is None or own is None:
            return None
        ports = f"{peer[1]:04X}", f"{own[1]:04X}"
        if (ports not in self.owners
                and time.monotonic() - self.looked_s > LOOK_INTERVAL_S):
            self.look()
        return self.owners.get(ports)
