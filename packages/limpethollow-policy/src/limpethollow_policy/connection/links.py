"""Decisions on the links between instances: silent or only slow, and when to dial again."""

from random import Random

from limpethollow_policy.process.backoffs import Backoff

_FIRST_PAUSE = 0.05
_LONGEST_PAUSE = 1.0


class LinkHealth:
    """Tells a link that went silent from a peer that is slow with one request.

    A link over which any frame came after a request was sent works; only that request is slow.
    Closing it would fail all other requests on it, and make forwarded bookings unknown.
    """

    __slots__ = ("_heard_at",)

    def __init__(self) -> None:
        self._heard_at = float("-inf")

    def heard(self, now: float) -> None:
        """Take in that a frame came."""
        self._heard_at = now

    def is_silent(self, sent_at: float) -> bool:
        """Return whether nothing came since a request was sent that got no reply in time."""
        return self._heard_at < sent_at


class Dialling:
    """Decides when a peer may be dialled again.

    Requests that wait for one failed attempt fail with it, instead of each trying on its own, one
    after the other, past their own timeouts. Pauses have jitter, so that a peer that comes back is
    not met by all instances at once.

    Args:
        rng: Source for jitter.
    """

    __slots__ = ("_backoff", "_not_before")

    def __init__(self, rng: Random) -> None:
        self._backoff = Backoff(_FIRST_PAUSE, _LONGEST_PAUSE, rng)
        self._not_before = float("-inf")

    def wait(self, now: float) -> float:
        """Return the seconds to wait before the next attempt, 0 where it may be made now."""
        return max(self._not_before - now, 0.0)

    def failed(self, now: float) -> None:
        """Take in a failed attempt."""
        self._not_before = now + self._backoff.failed()

    def succeeded(self) -> None:
        """Take in a link."""
        self._backoff.succeeded()
        self._not_before = float("-inf")


class OpenRequests:
    """Bounds the requests of each peer that one instance handles at once.

    One peer whose requests are slow would otherwise take every thread, and the requests of all
    others would wait behind them.

    Args:
        limit: Requests of one peer at once.
    """

    __slots__ = ("_limit", "_open")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._open: dict[str, int] = {}

    @property
    def total(self) -> int:
        """Requests of all peers that are open."""
        return sum(self._open.values())

    def begin(self, peer: str) -> bool:
        """Take in a request; false where the peer has too many open."""
        if self._open.get(peer, 0) >= self._limit:
            return False
        self._open[peer] = self._open.get(peer, 0) + 1
        return True

    def end(self, peer: str) -> None:
        """Take in that a request was answered."""
        self._open[peer] -= 1
        if not self._open[peer]:
            del self._open[peer]
