"""A fault-injecting proxy that can cut off named processes only.

`POST /control` with `{"blocked": [pid, ...]}` makes connections from these processes silent, open
and new ones, as a network partition does; an empty list heals it for new connections.
"""

import argparse
import os
import socket
from pathlib import Path
from typing import Any

from tests.standins.https import Reply
from tests.standins.proxy import ProxyStandIn


class PartitionProxy(ProxyStandIn):
    """Knows the process at the near end of each connection."""

    def __init__(self, target: str) -> None:
        super().__init__(target)
        self.blocked: list[int] = []

    def connect(self, near: socket.socket) -> None:
        if self.is_blocked(near):
            near.settimeout(None)
            with near:
                while near.recv(1024):
                    pass
            return
        super().connect(near)

    def registered(self, pair: Any) -> None:
        """Freeze a connection whose process was blocked while the connection was being made."""
        if self.is_blocked(pair.near):
            pair.frozen.set()

    def control(self, body: dict[str, Any], names: dict[str, str]) -> Reply:
        reply = super().control(body, names)
        with self.lock:
            pairs = tuple(self.pairs)
        for pair in pairs:
            if self.is_blocked(pair.near):
                pair.frozen.set()
        return reply

    def is_blocked(self, near: socket.socket) -> bool:
        if not self.blocked:
            return False
        try:
            inode = _inode(near.getpeername()[1], self.entry.getsockname()[1])
        except OSError:
            return True
        return any(inode in _sockets(pid) for pid in self.blocked)


def _inode(local: int, remote: int) -> str:
    """Return the inode of the loopback socket between two ports.

    One port alone names no socket: the system uses it again towards other targets.
    """
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        ports = [int(field.rpartition(":")[2], 16) for field in fields[1:3]]
        if ports == [local, remote] and fields[9] != "0":
            return fields[9]
    return ""


def _sockets(pid: int) -> set[str]:
    """Return the inodes of a process's sockets."""
    found = set()
    try:
        for entry in Path(f"/proc/{pid}/fd").iterdir():
            link = os.readlink(entry)
            if link.startswith("socket:["):
                found.add(link[8:-1])
    except OSError:
        return found
    return found


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("target")
    PartitionProxy(parser.parse_args().target).run()
