"""Whether an instance may rely on the keys of its configuration version.

A key that the operator removes must stop working everywhere within a bound, also at an instance
that is cut off or suspended. An instance therefore uses keys only for a limited time after a moment
at which the store had no newer version than its own. All times are seconds of a clock that also
counts while the machine is suspended.
"""

from collections.abc import Sequence
from dataclasses import dataclass

# Longest pause of the event loop between the check and the write to the socket.
SEND_MARGIN_SECONDS = 0.4
# Interval between two rounds of asks.
ROUND_SECONDS = 1.0
# Further peers are asked when the earlier ones have not answered for this long.
ANSWER_SECONDS = 0.3
# A reader of the store asks peers, too, once its confirmation is older than this: two of its reads,
# one per second, have failed.
READS_FAIL_SECONDS = 1.6
# Peers asked at once, after the first one of a round gave no usable answer.
_NEXT_PEERS = 3
# Age stated by an instance that has never confirmed its version; larger than any lease.
NEVER_SECONDS = 1e9


@dataclass(slots=True, frozen=True)
class PeerAsk:
    """An ask to send.

    Attributes:
        peer: Name of the instance to ask.
        number: Number that its answer repeats.
    """

    peer: str
    number: int


class KeyLease:
    """Tracks when the version in force was last known to be the store's newest.

    Only round trips that this instance started count, from their start. A peer states how old its
    own confirmation is, and a delay of the answer only makes the result older than it is.

    Args:
        duration: Seconds from the acceptance of a version by the store within which a key that it
            removes must have stopped working.

    Attributes:
        duration: See above.
    """

    __slots__ = (
        "_asked",
        "_confirmed_at",
        "_last_ask_at",
        "_number",
        "_round_at",
        "_tried",
        "duration",
    )

    def __init__(self, duration: float = 5.0) -> None:
        self.duration = duration
        self._confirmed_at = float("-inf")
        self._number = 0
        self._asked: dict[int, tuple[str, float]] = {}
        self._tried: set[str] = set()
        self._round_at = float("-inf")
        self._last_ask_at = float("-inf")

    def age(self, now: float) -> float:
        """Return the seconds since the version was last known to be the newest."""
        return now - self._confirmed_at

    def holds(self, now: float) -> bool:
        """Return whether a request with a key may be sent now."""
        return now - self._confirmed_at <= self.duration - SEND_MARGIN_SECONDS

    def store_answered(self, started_at: float) -> None:
        """Record that the store had no newer version than the one in force.

        Args:
            started_at: Time at which the read was started.
        """
        self._confirmed_at = max(self._confirmed_at, started_at)

    def stated_age(self, now: float) -> float:
        """Return the age of the confirmation to state to a peer that asks now."""
        return min(self.age(now), NEVER_SECONDS)

    def granted(self, peer: str, number: int, *, same_version: bool, age: float) -> None:
        """Handle a peer's answer; late, duplicated and unknown ones have no effect.

        Args:
            peer: Name of the peer.
            number: Number of the ask.
            same_version: Whether the peer's version is the one in force here.
            age: Age of the peer's confirmation when it answered.
        """
        asked = self._asked.get(number)
        if asked is None or asked[0] != peer:
            return
        del self._asked[number]
        if not same_version or not age >= 0:
            return
        self._confirmed_at = max(self._confirmed_at, asked[1] - age)
        if age <= self.duration / 2:
            self._asked.clear()

    def asks(self, peers: Sequence[str], now: float, *, reads_store: bool) -> list[PeerAsk]:
        """Return the asks to send now; called several times a second.

        Args:
            peers: The linked peers, in the order in which to ask them.
            now: The time.
            reads_store: Whether this instance reads the store itself.
        """
        if reads_store and self.age(now) <= READS_FAIL_SECONDS:
            self._asked.clear()
            return []
        if now - self._round_at >= ROUND_SECONDS:
            self._round_at = now
            self._asked.clear()
            self._tried.clear()
            return self._ask(peers[:1], now)
        if self._confirmed_at >= self._round_at - self.duration / 2:
            return []
        self._drop_lost(peers)
        if self._asked and now - self._last_ask_at < ANSWER_SECONDS:
            return []
        return self._ask([name for name in peers if name not in self._tried][:_NEXT_PEERS], now)

    def _drop_lost(self, peers: Sequence[str]) -> None:
        """Stop waiting for peers whose link is lost."""
        for number in [n for n, (peer, _) in self._asked.items() if peer not in peers]:
            del self._asked[number]

    def _ask(self, peers: Sequence[str], now: float) -> list[PeerAsk]:
        asks = []
        for peer in peers:
            self._number += 1
            self._asked[self._number] = (peer, now)
            self._tried.add(peer)
            self._last_ask_at = now
            asks.append(PeerAsk(peer, self._number))
        return asks
