"""Ids of requests already answered on a connection, to which duplicate replies may arrive."""

from collections import deque

# A duplicate of a successful reply is read as the reply to one of the next requests. Its id then
# differs and the connection is closed, unless that request has the same id.
_MAX_SUCCEEDED = 16
# Only requests without a successful reply are retried automatically, so none of these is evicted.
_MAX_FAILED = 64


class CarriedRequests:
    """Ids of requests that must not be sent on a connection again.

    A searcher may send a late duplicate reply, and only the echoed id shows which request it is
    for. If a request were retried on the same connection, the duplicate would pass for its reply.
    """

    __slots__ = ("_failed", "_succeeded")

    def __init__(self) -> None:
        self._failed: set[bytes] = set()
        self._succeeded: deque[bytes] = deque(maxlen=_MAX_SUCCEEDED)

    def __contains__(self, request_id: bytes) -> bool:
        return request_id in self._failed or request_id in self._succeeded

    @property
    def is_full(self) -> bool:
        """Return whether to replace the connection instead of storing more ids."""
        return len(self._failed) > _MAX_FAILED

    def add(self, request_id: bytes, status: int) -> None:
        """Add a request that got a reply.

        Args:
            request_id: Its id.
            status: Status of the reply.
        """
        if 200 <= status < 300:
            self._succeeded.append(request_id)
        else:
            self._failed.add(request_id)
