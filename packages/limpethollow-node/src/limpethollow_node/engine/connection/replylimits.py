"""Limits on the size of replies, so that a faulty server can't exhaust this instance's memory."""

from dataclasses import dataclass
from enum import Enum
from typing import Any

from limpethollow_node.process import events
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.memorypools import MemoryPool

# Bytes of a head, including interim replies. Received bytes are counted per piece, so up to one
# piece more is accepted.
MAX_HEAD_BYTES = 16 * 1024
# All bytes of a reply except those of its body: head, chunk lines and trailers. A chunk costs at
# least five of these. Without the limit, a reply in chunks of two bytes kept the event loop busy
# for 0.2 s. A body of 1 MB may have chunks of 50 bytes and more.
MAX_FRAMING_BYTES = 128 * 1024
# Received data is parsed in pieces of at most this size, between which the limits are checked.
PIECE_BYTES = 16 * 1024
# A header costs about 160 bytes of memory, but may take only four bytes on the wire.
MAX_HEADERS = 512
HEADER_BYTES = 160


class ReplyLimit(Enum):
    """The limits of a reply, as they are named in events and metrics.

    Attributes:
        HEAD: Bytes or number of headers, from the first byte up to the end of the final head.
        FRAMING: Bytes that are not part of the body, such as chunk lines and trailers.
        BODY: Bytes of the body.
        MEMORY: Memory of all replies that are being read, of which this one held the most for the
            longest.
        TIME: The request's deadline passed in the middle of a reply.
    """

    HEAD = "head"
    FRAMING = "framing"
    BODY = "body"
    MEMORY = "memory"
    TIME = "time"


class SharedBytes:
    """Memory that long replies being read may use together, beyond a part of their own.

    Args:
        limit: Bytes for all of them.
    """

    __slots__ = ("_limit", "_used")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._used = 0

    @property
    def limit(self) -> int:
        """Return the bytes for all replies."""
        return self._limit

    @property
    def used(self) -> int:
        """Return the bytes in use."""
        return self._used

    def take(self, count: int) -> bool:
        """Take bytes for a reply; return False if too few are left."""
        if self._used + count > self._limit:
            return False
        self._used += count
        return True

    def free(self, count: int) -> None:
        """Return bytes that a reply no longer uses."""
        self._used -= count


@dataclass(slots=True, frozen=True)
class ReplyLimits:
    """Limits on one server's replies.

    Attributes:
        body_bytes: Largest accepted body.
        own_bytes: Bytes of a body that are accepted whatever long replies use.
        shared: Bytes beyond that for all long replies together.
        memory: Memory for all replies together, long or not.
    """

    body_bytes: int
    own_bytes: int
    shared: SharedBytes
    memory: MemoryPool[Any]


_MEGABYTE = 1024 * 1024
_MAX_BODY_BYTES = 16 * _MEGABYTE
# Bytes that a reply may hold however much memory others hold. Most replies have a few kilobytes,
# and a process has at most some 2,000 connections to searchers.
_OWN_MEMORY_BYTES = 16 * 1024
# The rest is for the program itself, callers and other instances. Buffers are up to an
# eighth larger than what they hold, and a reply is copied once while it is delivered.
_MEMORY_SHARE = 1 / 8
_DEFAULT_MEMORY_MB = 256


def searcher_limits(memory_mb: float) -> ReplyLimits:
    """Return the limits on searchers' replies.

    Args:
        memory_mb: Memory of the process in megabytes. On the smallest instances, one reply of the
            largest size is still read.
    """
    memory = max(int(memory_mb * _MEMORY_SHARE * _MEGABYTE), _MAX_BODY_BYTES + _MEGABYTE)
    return ReplyLimits(
        body_bytes=_MAX_BODY_BYTES,
        # Most valid replies have up to 1 MB, and single ones up to 16 MiB.
        own_bytes=3 * 512 * 1024,
        shared=SharedBytes(16 * _MEGABYTE),
        memory=MemoryPool(memory, _OWN_MEMORY_BYTES),
    )


SEARCHER_LIMITS = searcher_limits(_DEFAULT_MEMORY_MB)
# A watch answer may contain several objects of up to 1 MB each. The six connections to the store
# together hold at most 54 MB.
STORE_LIMITS = ReplyLimits(
    body_bytes=8 * _MEGABYTE,
    own_bytes=8 * _MEGABYTE,
    shared=SharedBytes(0),
    memory=MemoryPool(6 * 9 * _MEGABYTE, 0),
)


def report_exceeded(metrics: Metrics, server: str, limit: ReplyLimit) -> None:
    """Log and count a reply that was cut off at a limit.

    Args:
        metrics: The process's metrics.
        server: Id of the searcher, or the server's kind.
        limit: The limit.
    """
    metrics.count("replies_cut_off", limit.value)
    events.REPLY_CUT_OFF.log(searcher=server, limit=limit.value)
