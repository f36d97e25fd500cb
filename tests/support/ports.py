"""Ports for processes that are yet to start, reserved among all test runs on a machine."""

import itertools
import os
import socket

HOST = "127.0.0.1"
# Below the range from which the system draws ports for outgoing connections.
_FIRST_PORT, _LAST_PORT = 10_000, 29_999
# Runs side by side begin to look at different places.
_STRIDE = 97


class ReservedPorts:
    """Ports that nobody else gets for as long as this object is open.

    Each is held by a socket that is bound and doesn't listen, so a process that binds it with
    `SO_REUSEADDR`, as listeners do, can take it, and another reservation can't.

    Usage:
        with ReservedPorts(2) as (front, ready):
            ...

    Args:
        count: How many.
    """

    _next = itertools.count(os.getpid() * _STRIDE)

    def __init__(self, count: int) -> None:
        self._sockets: list[socket.socket] = []
        while len(self._sockets) < count:
            holder = _hold(_FIRST_PORT + next(self._next) % (_LAST_PORT - _FIRST_PORT))
            if holder is not None:
                self._sockets.append(holder)

    def __enter__(self) -> list[int]:
        return self.numbers

    def __exit__(self, *_: object) -> None:
        self.close()

    @property
    def numbers(self) -> list[int]:
        """Return the ports."""
        return [holder.getsockname()[1] for holder in self._sockets]

    def close(self) -> None:
        """Give the ports back."""
        for holder in self._sockets:
            holder.close()


def _hold(port: int) -> socket.socket | None:
    """Return a socket that is bound to a port; None where anybody has it."""
    holder = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        # Without reuse at this point, so that it fails where the port is reserved.
        holder.bind((HOST, port))
    except OSError:
        holder.close()
        return None
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return holder
