"""Connections between instances: failure detection, reconnects and request limits."""

from random import Random

from limpethollow_policy.process.backoffs import Backoff

_INITIAL_DELAY = 0.05
_MAX_DELAY = 1.0


class LinkHealth:
    """Distinguishes a dead connection to a peer from a single slow request.

    If any frame arrived after a request was sent, the connection works and only that request is
    slow. Closing it would fail all other requests on it and leave the outcome of forwarded
    bookings unknown.
    """

    __slots__ = ("_last_frame_at",)

    def __init__(self) -> None:
        self._last_frame_at = float("-inf")

    def heard(self, now: float) -> None:
        """Record that a frame was received."""
        self._last_frame_at = now

    def is_silent(self, sent_at: float) -> bool:
        """Return whether no frame has arrived since a request was sent that has timed out.

        Args:
            sent_at: Monotonic second at which the request was sent.
        """
        return self._last_frame_at < sent_at


class DialBackoff:
    """Limits the rate of connection attempts to a peer by backoff.

    Requests that wait for a failed attempt fail with it. Otherwise each would make its own attempt
    in turn, past its own timeout. The delays have jitter, so that not all instances reconnect to a
    recovered peer at the same time.

    Args:
        rng: Random source for the jitter.
    """

    __slots__ = ("_backoff", "_not_before")

    def __init__(self, rng: Random) -> None:
        self._backoff = Backoff(_INITIAL_DELAY, _MAX_DELAY, rng)
        self._not_before = float("-inf")

    def wait(self, now: float) -> float:
        """Return the seconds to wait before the next attempt, 0 if it may be made now."""
        return max(self._not_before - now, 0.0)

    def failed(self, now: float) -> None:
        """Record a failed attempt."""
        self._not_before = now + self._backoff.failed()

    def succeeded(self) -> None:
        """Record that a connection was established."""
        self._backoff.succeeded()
        self._not_before = float("-inf")


class PeerRequestLimiter:
    """Limits the number of concurrent requests from each peer.

    Otherwise a single peer with slow requests could occupy every thread and delay the requests of
    all other peers.

    Args:
        limit: Maximum number of concurrent requests from one peer.
    """

    __slots__ = ("_limit", "_open")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._open: dict[str, int] = {}

    @property
    def total(self) -> int:
        """Number of requests in progress from all peers."""
        return sum(self._open.values())

    def begin(self, peer: str) -> bool:
        """Start a request; return False if the peer has reached its limit."""
        if self._open.get(peer, 0) >= self._limit:
            return False
        self._open[peer] = self._open.get(peer, 0) + 1
        return True

    def end(self, peer: str) -> None:
        """Record that a request was answered."""
        self._open[peer] -= 1
        if not self._open[peer]:
            del self._open[peer]
