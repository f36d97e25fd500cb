"""State that a group keeps about one searcher, mainly from the results of its own calls."""

from random import Random

from limpethollow_policy.connection.drains import DrainEvidence
from limpethollow_policy.request.events import Failure
from limpethollow_policy.request.snapshots import Inventory
from limpethollow_wire.searches import SearcherReply
from limpethollow_wire.services import SearcherSpec

_SMOOTHING = 0.2
_DEFAULT_LATENCY = 0.005
_CANCELLED_AGE_FACTOR = 2.0
_LATENCY_DECAY_SECONDS = 10.0
_INITIAL_BACKOFF = 0.05
_MAX_BACKOFF = 5.0
_FAILURES_BEFORE_BACKOFF = 3


class SearcherState:
    """Availability, load and index versions of one searcher.

    Args:
        spec: The searcher's configuration.
        slots: Number of calls that this group may have in flight to it.
        rng: Random source for the jitter.

    Attributes:
        evacuated: Whether the operator has evacuated its failure domain, so that it gets no new
            work.
    """

    __slots__ = (
        "_down_until",
        "_drain",
        "_failures",
        "_in_flight",
        "_inventory_at",
        "_latency",
        "_latency_at",
        "_backoff",
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
        self._latency = _DEFAULT_LATENCY
        self._latency_at = 0.0
        self._inventory_at: float | None = None
        self._down_until = 0.0
        self._backoff = _INITIAL_BACKOFF
        self._failures = 0

    @property
    def draining(self) -> bool:
        """Whether it is draining, according to all sources."""
        self._drain.configured = self.spec.draining
        return self._drain.is_leaving()

    @property
    def is_in_service(self) -> bool:
        """Whether it may get new work at all, now or after a backoff."""
        return not self.draining and not self.evacuated

    @property
    def in_flight(self) -> int:
        """Number of calls in flight that take a slot."""
        return len(self._in_flight)

    @property
    def has_free_slot(self) -> bool:
        """Whether a slot is free."""
        return self.in_flight < self.slots

    @property
    def is_doubtful(self) -> bool:
        """Whether its last call failed, so that it may be down."""
        return self._failures > 0

    @property
    def down_until(self) -> float:
        """Monotonic second until which the searcher gets no calls."""
        return self._down_until

    def is_usable(self, now: float) -> bool:
        """Return whether it may get new work now."""
        return self.is_in_service and now >= self._down_until

    def inventory_is_fresh(self, now: float, max_age: float) -> bool:
        """Return whether its list of versions is recent enough to choose a snapshot from."""
        return self._inventory_at is not None and now - self._inventory_at <= max_age

    def inventory(self, epoch: int) -> Inventory:
        """Return the index versions that it can serve at a partition epoch."""
        versions = self.versions if self.epoch == epoch else {}
        return Inventory(self.spec.id, versions)

    def can_serve(self, shard: int, epoch: int, version: int) -> bool:
        """Return whether it holds this version of the shard, according to its last reply."""
        return self.epoch == epoch and version in self.versions.get(shard, frozenset())

    def expected_wait(self, now: float) -> float:
        """Return the seconds that another call is expected to take.

        The age of the oldest call in flight is a lower bound on the latency, so a straggler is
        avoided before its first late reply. The measured latency decays towards the default over
        time, so that a searcher that was slow is tried again.
        """
        oldest = min(self._in_flight.values(), default=now)
        decay = max(0.0, 1.0 - (now - self._latency_at) / _LATENCY_DECAY_SECONDS)
        latency = _DEFAULT_LATENCY + (self._latency - _DEFAULT_LATENCY) * decay
        return max(latency, now - oldest) * (self.in_flight + 1)

    def call_started(self, call_id: str, now: float) -> None:
        """Record the start of a call that takes a slot."""
        self._in_flight[call_id] = now

    def call_ended(self, call_id: str) -> None:
        """Release the call's slot."""
        self._in_flight.pop(call_id, None)

    def drain_reported(self, draining: bool, reported_at: float) -> None:
        """Process a drain report that another instance received from the searcher."""
        self._drain.said(draining, reported_at)

    def drain_listed(self, draining: bool, now: float) -> None:
        """Process the drain state in the platform's list."""
        self._drain.listed(draining, now)

    def wants_probe(self, now: float) -> bool:
        """Return whether to probe a draining searcher, to learn if it is back."""
        if self.evacuated or now < self._down_until:
            return False
        return self.draining and self._drain.wants_probe(now)

    def answered(self, reply: SearcherReply, latency: float | None, now: float) -> bool:
        """Process a reply, the most reliable information about the searcher.

        Args:
            reply: The reply.
            latency: Duration of the call in seconds, None for an inventory call.
            now: Monotonic second.

        Returns:
            Whether `draining` changed, so that other instances should be notified.
        """
        changed = self._drain.said(reply.draining, now)
        self.epoch = reply.epoch
        self.versions = {
            int(shard): frozenset(versions)
            for shard, versions in reply.versions.items()
            if shard.isdigit()
        }
        self._inventory_at = now
        self._failures = 0
        self._backoff = _INITIAL_BACKOFF
        self._down_until = 0.0
        if latency is not None:
            self._latency += _SMOOTHING * (latency - self._latency)
            self._latency_at = now
        return changed

    def call_cancelled(self, age: float, now: float) -> None:
        """Record that a call was cancelled `age` seconds after its start, without a reply.

        Usually its hedge answered first. If such calls were ignored, a straggler whose calls always
        lose to their hedges would keep the default latency. The remaining time is unknown; a call
        is expected to take as long again as it already has.
        """
        self._latency = max(self._latency, _CANCELLED_AGE_FACTOR * age)
        self._latency_at = now

    def failed(self, failure: Failure, retry_after: float | None, now: float) -> None:
        """Process a failed call.

        A timeout or a lost connection is held against the connection, not the searcher: an open
        connection can go silent while new ones work. The searcher itself is backed off only after
        a refused connection, a shed call, or several consecutive failures. The delay grows
        exponentially and has jitter, so that not all instances return to a recovered searcher at
        the same time.
        """
        if failure is Failure.CANCELLED:
            return
        if failure is Failure.REFUSED:
            self._drain.refused()
        self._failures += 1
        if failure is Failure.SHED and retry_after is not None:
            self._down_until = now + retry_after
            return
        if failure in (Failure.REFUSED, Failure.SHED) or self._failures >= _FAILURES_BEFORE_BACKOFF:
            self._down_until = now + self._backoff * (0.5 + self._rng.random())
            self._backoff = min(self._backoff * 2, _MAX_BACKOFF)
