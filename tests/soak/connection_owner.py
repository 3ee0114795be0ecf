"""Finds the process at the other end of a connection on this machine."""

import os


def socket_inode(local_port, remote_port):
    """Returns the inode of the socket with these ports, or None."""
    local, remote = f":{local_port:04X}", f":{remote_port:04X}"
    with open("/proc/net/tcp") as table:
        for line in table:
            fields = line.split()
            if fields[1].endswith(local) and fields[2].endswith(remote):
                return fields[9]
    return None


def holds(pid, inode):
    folder = f"/proc/{pid}/fd"
    try:
        return any(os.readlink(f"{folder}/{each}") == f"socket:[{inode}]"
                   for each in os.listdir(folder))
    except OSError:  # the process or the descriptor is gone
        return False


def owner_of(writer, instances):
    """Returns the instance whose process holds the far end of a connection, or
    None if it cannot be told."""
    peer, own = (writer.get_extra_info(name)
                 for name in ("peername", "sockname"))
    if peer is None or own is None:
        return None
    inode = socket_inode(peer[1], own[1])
    return next((each for each in instances
                 if each.process is not None and inode is not None
                 and holds(each.process.pid, inode)), None)
