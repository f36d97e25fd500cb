"""Bounds on what all callers of a process may use together, and which connections to close."""

import heapq
from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import TypeVar

from limpethollow_policy.version.routes import CallerLimits

C = TypeVar("C", bound=Hashable)

# Descriptors that are not sockets: files, pipes and those of the event loop.
_FILE_DESCRIPTORS = 200
_MIN_SOCKETS = 32
# Parts of the memory for requests that are received or run, for replies that callers have not read,
# and for connections. The rest is for the program, searchers' replies and the store's objects.
_RECEIVED_SHARE = 1 / 8
_UNSENT_SHARE = 1 / 8
_CONNECTIONS_SHARE = 1 / 4
# The longest reply of a searcher has 16 MiB.
_MIN_UNSENT_BYTES = 17 * 1024 * 1024
# Bytes that each connection gets in any case, for its requests and for its replies. An ordinary
# request with ten headers takes 3 KB.
OWN_BYTES = 4 * 1024
# An idle connection takes 4 KB.
_CONNECTION_BYTES = 4 * 1024 + 2 * OWN_BYTES

# Memory that a header takes beside its text.
HEADER_BYTES = 160
# A header has at least four bytes: a name of one byte, a colon and the end of the line.
_MIN_HEADER_BYTES = 4
# A body is copied once into the request to a searcher.
BODY_COPIES = 2
# Memory of a request beside its headers and body.
REQUEST_BYTES = 1024


class ListenerKind(Enum):
    """What a listener for callers serves, and its share of the process's sockets.

    The rest of the sockets, 17 of 32, is for connections to searchers, the store and other
    instances.
    """

    FRONT = "front", 3 / 8
    DIRECTORY = "directory", 1 / 16
    INTERNAL = "internal", 1 / 64

    def __init__(self, label: str, share: float) -> None:
        self.label = label
        self.share = share


@dataclass(slots=True, frozen=True)
class CallerBounds:
    """Bounds on all callers' connections of a process.

    Attributes:
        received_bytes: Memory for their requests, beyond a part that each connection gets.
        unsent_bytes: Memory for replies that they have not read, beyond such a part.
        sockets: Sockets that the process may have, of which each listener has a share.
    """

    received_bytes: int
    unsent_bytes: int
    sockets: int

    @classmethod
    def of(cls, memory_bytes: float, descriptors: int) -> "CallerBounds":
        """Return the bounds of a process.

        Args:
            memory_bytes: Memory of the process.
            descriptors: Descriptors that it may have.
        """
        return cls(
            int(memory_bytes * _RECEIVED_SHARE),
            max(_MIN_UNSENT_BYTES, int(memory_bytes * _UNSENT_SHARE)),
            min(
                max(descriptors - _FILE_DESCRIPTORS, _MIN_SOCKETS),
                int(memory_bytes * _CONNECTIONS_SHARE / _CONNECTION_BYTES),
            ),
        )

    def connections(self, kind: ListenerKind) -> int:
        """Return how many connections a listener may have."""
        return max(1, int(self.sockets * kind.share))

    def received_for(self, limits: CallerLimits) -> int:
        """Return the memory for requests; one of the largest allowed size always fits."""
        headers = limits.header_bytes * (1 + HEADER_BYTES // _MIN_HEADER_BYTES)
        largest = REQUEST_BYTES + headers + BODY_COPIES * limits.body_bytes
        return max(self.received_bytes, largest)


class Standing(IntEnum):
    """What a connection does, in the order in which connections are closed.

    Attributes:
        IDLE: It has neither a request nor an unread reply.
        RECEIVING: Its request is incomplete and so has not run.
        UNREAD: Its requests are answered, and the caller has not read all replies.
        AT_WORK: It has a request that may be running at a searcher.
    """

    IDLE = 0
    RECEIVING = 1
    UNREAD = 2
    AT_WORK = 3


def connections_to_close(found: Iterable[tuple[C, Standing, float]], limit: int) -> list[C]:
    """Return the connections to close for a new one; none if all others are at work.

    Connections that do the same are closed in groups of a 64th of the limit, since each choice
    looks at all of them.

    Args:
        found: The other connections, what each does, and since when as a monotonic time in seconds.
        limit: How many connections there may be.
    """
    able = [
        (standing, since, each) for each, standing, since in found if standing < Standing.AT_WORK
    ]
    chosen = heapq.nsmallest(max(1, limit // 64), able, key=lambda one: one[:2])
    return [each for standing, _, each in chosen if standing == chosen[0][0]]
