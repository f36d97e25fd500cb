"""What a group knows of one searcher, from its own calls first."""

from random import Random

from limpethollow_policy.connection.drains import DrainEvidence
from limpethollow_policy.request.events import Failure
from limpethollow_policy.request.snapshots import Inventory
from limpethollow_wire.searches import SearcherReply
from limpethollow_wire.services import SearcherSpec

_SMOOTHING = 0.2
_FIRST_GUESS = 0.005
_CUT_SHORT_FACTOR = 2.0
_FORGET_SECONDS = 10.0
_FIRST_PAUSE = 0.05
_LONGEST_PAUSE = 5.0
_FAILURES_BEFORE_PAUSE = 3


class SearcherState:
    """Evidence about one searcher and the use made of it.

    Args:
        spec: The searcher as configured.
        slots: Calls that this group may have on their way to it.
        rng: Source for jitter.

    Attributes:
        evacuated: Whether the operator wants nothing new sent to its failure domain.
    """

    __slots__ = (
        "_down_until",
        "_drain",
        "_failures",
        "_in_flight",
        "_inventory_at",
        "_latency",
        "_latency_at",
        "_pause",
        "_rng",
        "epoch",
        "evacuated",
        "slots",
        "spec",
        "versions",
    )

    def __init__(self, spec: SearcherSpec, slots: int, rng: Random) -> None:
        self.spec = spec
        self.slots = slots
        self._drain = DrainEvidence(spec.draining)
        self.evacuated = False
        self.epoch = 0
        self.versions: dict[int, frozenset[int]] = {}
        self._rng = rng
        self._in_flight: dict[str, float] = {}
        self._latency = _FIRST_GUESS
        self._latency_at = 0.0
        self._inventory_at: float | None = None
        self._down_until = 0.0
        self._pause = _FIRST_PAUSE
        self._failures = 0

    @property
    def draining(self) -> bool:
        """Whether it is leaving, by all evidence."""
        self._drain.configured = self.spec.draining
        return self._drain.is_leaving()

    @property
    def is_in_service(self) -> bool:
        """Whether it gets new work at all, now or after a pause."""
        return not self.draining and not self.evacuated

    @property
    def in_flight(self) -> int:
        """Calls on their way that take a slot."""
        return len(self._in_flight)

    @property
    def has_free_slot(self) -> bool:
        """Whether one more call may be sent."""
        return self.in_flight < self.slots

    @property
    def is_doubtful(self) -> bool:
        """Whether its last call failed, so that it may be gone."""
        return self._failures > 0

    @property
    def down_until(self) -> float:
        """Monotonic second before which the searcher is not tried."""
        return self._down_until

    def is_usable(self, now: float) -> bool:
        """Return whether new work may go to it."""
        return self.is_in_service and now >= self._down_until

    def inventory_is_fresh(self, now: float, max_age: float) -> bool:
        """Return whether its list of versions is young enough to pin a snapshot by."""
        return self._inventory_at is not None and now - self._inventory_at <= max_age

    def inventory(self, epoch: int) -> Inventory:
        """Return what it can serve at a partition epoch."""
        versions = self.versions if self.epoch == epoch else {}
        return Inventory(self.spec.id, versions)

    def can_serve(self, shard: int, epoch: int, version: int) -> bool:
        """Return whether it keeps this version of the shard, by its last word."""
        return self.epoch == epoch and version in self.versions.get(shard, frozenset())

    def expected_wait(self, now: float) -> float:
        """Return the seconds that one more call is expected to take.

        A call that has been on its way for long counts with its age, so a straggler is avoided
        before its first late reply. An old latency fades, so a searcher that was slow once is
        tried again.
        """
        oldest = min(self._in_flight.values(), default=now)
        fade = max(0.0, 1.0 - (now - self._latency_at) / _FORGET_SECONDS)
        latency = _FIRST_GUESS + (self._latency - _FIRST_GUESS) * fade
        return max(latency, now - oldest) * (self.in_flight + 1)

    def call_started(self, call_id: str, now: float) -> None:
        """Remember a call that takes a slot."""
        self._in_flight[call_id] = now

    def call_ended(self, call_id: str) -> None:
        """Give the call's slot back."""
        self._in_flight.pop(call_id, None)

    def drain_noted(self, draining: bool, said_at: float) -> None:
        """Take in what another instance heard from the searcher."""
        self._drain.said(draining, said_at)

    def drain_listed(self, draining: bool, now: float) -> None:
        """Take in what the platform's list says."""
        self._drain.listed(draining, now)

    def wants_probe(self, now: float) -> bool:
        """Return whether traffic should ask a leaving searcher if it is back."""
        if self.evacuated or now < self._down_until:
            return False
        return self.draining and self._drain.wants_probe(now)

    def answered(self, reply: SearcherReply, latency: float | None, now: float) -> bool:
        """Take in a reply, the best evidence there is.

        Args:
            reply: The reply.
            latency: Seconds the call took, None for an inventory call.
            now: Monotonic second.

        Returns:
            Whether other instances should hear of a change in `draining`.
        """
        news = self._drain.said(reply.draining, now)
        self.epoch = reply.epoch
        self.versions = {
            int(shard): frozenset(versions)
            for shard, versions in reply.versions.items()
            if shard.isdigit()
        }
        self._inventory_at = now
        self._failures = 0
        self._pause = _FIRST_PAUSE
        self._down_until = 0.0
        if latency is not None:
            self._latency += _SMOOTHING * (latency - self._latency)
            self._latency_at = now
        return news

    def cut_short(self, age: float, now: float) -> None:
        """Take in that a call was cancelled at an age, and would have taken longer.

        Mostly it lost to its hedge. Without this the calls of a straggler, which lose again and
        again, would leave no evidence, and the searcher would look as good as new. How much longer
        it would have taken is not known; a call still open is expected to take its age again.
        """
        self._latency = max(self._latency, _CUT_SHORT_FACTOR * age)
        self._latency_at = now

    def failed(self, failure: Failure, retry_after: float | None, now: float) -> None:
        """Take in a failed call.

        A timeout or a cut condemns the connection, not the searcher: an open connection can go
        silent while new ones work. Only a refusal, a shed, or several failures in a row pause the
        searcher itself, each time for longer and with jitter, so that a returning searcher is not
        met by every instance at once.
        """
        if failure is Failure.CANCELLED:
            return
        if failure is Failure.REFUSED:
            self._drain.refused()
        self._failures += 1
        if failure is Failure.SHED and retry_after is not None:
            self._down_until = now + retry_after
            return
        if failure in (Failure.REFUSED, Failure.SHED) or self._failures >= _FAILURES_BEFORE_PAUSE:
            self._down_until = now + self._pause * (0.5 + self._rng.random())
            self._pause = min(self._pause * 2, _LONGEST_PAUSE)
