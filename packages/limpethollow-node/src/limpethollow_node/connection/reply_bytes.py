"""Memory for bodies of replies that are being read, bounded for all of them together."""

import threading
from types import TracebackType


class ReplyTooLarge(Exception):
    """A body is over its limit, or no memory is left for it."""


class ReplyBytes:
    """Memory that all bodies of one kind of server may take.

    Args:
        each: Largest body in bytes.
        own: Bytes of each body that are accepted whatever the others take.
        shared: Bytes beyond that for all bodies together.
    """

    __slots__ = ("_free", "_lock", "each", "own")

    def __init__(self, each: int, own: int, shared: int) -> None:
        self._lock = threading.Lock()
        self._free = shared
        self.each = each
        self.own = own

    def body(self) -> "ReplyBody":
        """Return the buffer of one body, to be used as a context manager."""
        return ReplyBody(self)

    def take(self, count: int) -> bool:
        """Take shared bytes; return false if too few are free."""
        with self._lock:
            if count > self._free:
                return False
            self._free -= count
            return True

    def give_back(self, count: int) -> None:
        """Return shared bytes."""
        with self._lock:
            self._free += count


class ReplyBody:
    """The buffer of one body; its bytes count until the context ends.

    Attributes:
        data: What was read.
    """

    __slots__ = ("_limits", "_shared", "data")

    def __init__(self, limits: ReplyBytes) -> None:
        self._limits = limits
        self._shared = 0
        # One buffer: a list of pieces takes 50 bytes for a chunk of two.
        self.data = bytearray()

    def __enter__(self) -> "ReplyBody":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.data = bytearray()
        self._limits.give_back(self._shared)

    def add(self, piece: bytes) -> None:
        """Add a piece.

        Raises:
            ReplyTooLarge: The body is over its limit, or no memory is left for it.
        """
        size = len(self.data) + len(piece)
        more = max(size - self._limits.own, 0) - self._shared
        if size > self._limits.each or (more > 0 and not self._limits.take(more)):
            raise ReplyTooLarge
        self._shared += max(more, 0)
        self.data += piece
