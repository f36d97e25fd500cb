"""Limits on what the clients of all listeners of a process may hold, and whom to disconnect.

A process whose descriptors or memory run out serves nobody. So clients share half of the process's
descriptors, and when their part of them is used up, those that have kept it waiting longest make
room for new ones. Clients inside the limits of the protocol need no room for long.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeVar

T = TypeVar("T")

# Under a crowd that reconnects at once, this is how long a new client has to send its request: a
# few round trips between distant sites.
MIN_WAIT_SECONDS = 0.5

_DESCRIPTORS_SHARE = 2
_OPERATORS_SHARE = 16
_PEERS_SHARE = 4
_MAX_OPERATORS = 64
_MIN_CONNECTIONS = 8
_MIB = 1024 * 1024


@dataclass(slots=True, frozen=True)
class ListenerLimits:
    """Limits of one listener.

    Attributes:
        connections: Connections open at once.
        request_bytes: Bytes of requests held at once, whether complete or not.
        reply_bytes: Bytes of replies held at once because their readers are slow.
    """

    connections: int
    request_bytes: int = 32 * _MIB
    reply_bytes: int = 64 * _MIB

    @property
    def kept_connections(self) -> int:
        """Connections open at once up to which they stay open after a reply."""
        return self.connections * 3 // 4


@dataclass(slots=True, frozen=True)
class ProcessLimits:
    """Limits of all listeners of a process.

    Attributes:
        callers: Limits of the callers' listener.
        operators: Limits of the operators' listener.
        peers: Connections of other instances.
    """

    callers: ListenerLimits
    operators: ListenerLimits
    peers: int

    @classmethod
    def of(cls, connections: int, descriptors: int) -> "ProcessLimits":
        """Divide the connections among the listeners.

        Args:
            connections: Connections allowed by the settings.
            descriptors: Descriptors that the process may have open. The other half is for calls to
                searchers, the platform and peers.
        """
        total = min(connections, descriptors // _DESCRIPTORS_SHARE)
        operators = min(max(total // _OPERATORS_SHARE, _MIN_CONNECTIONS), _MAX_OPERATORS)
        peers = max(total // _PEERS_SHARE, _MIN_CONNECTIONS)
        callers = max(total - operators - peers, _MIN_CONNECTIONS)
        return cls(
            ListenerLimits(callers),
            ListenerLimits(operators, request_bytes=8 * _MIB, reply_bytes=16 * _MIB),
            peers,
        )


def longest_waiting(waiting: Iterable[tuple[float, T]], now: float) -> T | None:
    """Return which client to disconnect to make room for a new one.

    Args:
        waiting: Since when the process waits for each client, in monotonic seconds. Clients whose
            requests are being handled are not among them.
        now: Monotonic second.

    Returns:
        The client, or None where all of them may still be about to send or read.
    """
    since, client = min(waiting, key=lambda entry: entry[0], default=(now, None))
    return client if now - since >= MIN_WAIT_SECONDS else None
