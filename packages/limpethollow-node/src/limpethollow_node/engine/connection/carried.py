"""The requests that a connection has carried, whose replies might come a second time."""

from collections import deque

# A second reply to a success comes where that to one of the next requests is due; the connection is
# closed then, unless the request has the same id.
_SUCCESSES_REMEMBERED = 16
# Only a request that got no success is sent again by itself, so none of these is forgotten.
_MOST_FAILED = 64


class CarriedRequests:
    """Ids of requests that must not use a connection again.

    A searcher may reply a second time, late, and only the echoed id tells to which request. Where
    the connection has carried a request before, that reply would pass for the one to its next send.
    """

    __slots__ = ("_failed", "_succeeded")

    def __init__(self) -> None:
        self._failed: set[bytes] = set()
        self._succeeded: deque[bytes] = deque(maxlen=_SUCCESSES_REMEMBERED)

    def __contains__(self, request_id: bytes) -> bool:
        return request_id in self._failed or request_id in self._succeeded

    @property
    def is_full(self) -> bool:
        """Return whether the connection should be replaced rather than remember more."""
        return len(self._failed) > _MOST_FAILED

    def add(self, request_id: bytes, status: int) -> None:
        """Note a request that was replied to.

        Args:
            request_id: Its id.
            status: Status of the reply.
        """
        if 200 <= status < 300:
            self._succeeded.append(request_id)
        else:
            self._failed.add(request_id)
