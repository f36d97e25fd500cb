"""A searcher as the platform lists it, and its state as observed by this instance."""

from dataclasses import dataclass, field

from limpethollow_policy.process.callwindows import CallWindow
from limpethollow_policy.process.coldstarts import ColdStart, ColdStartLimits
from limpethollow_policy.process.loadreports import LoadReport

# Observations of a slow or failing searcher lose half their weight in this many seconds. Typical
# faults last 5 to 10 s; with 3 s, a searcher that has recovered is tried again 10 s after its last
# bad call.
OBSERVATION_HALF_LIFE = 3.0
# Smoothing factor: the newest five calls make up two thirds of the estimate.
_SMOOTHING = 0.2
# A searcher in another failure domain must be expected to be this much faster. Each call to another
# failure domain costs cross-domain traffic and two more network hops.
OTHER_DOMAIN_FACTOR = 1.35
# A searcher counts as stuck once its oldest open call has taken this multiple of the usual time.
_STUCK_TIME_RATIO = 2.5
_STUCK_COST_FACTOR = 4.0
_FAILURE_COST_WEIGHT = 8.0
# A searcher whose entry is gone is called only if every other one is far slower.
_UNLISTED_COST_FACTOR = 6.0
_MAX_SLOWNESS, _MIN_SLOWNESS = 30.0, 0.3
# Assumed slowness of a cold searcher until its own calls are measured.
_COLD_SLOWNESS = 1.5
# The first and the longest pause after failed connection attempts, in seconds.
FIRST_BLOCK, _MAX_BLOCK = 0.25, 2.0


@dataclass(slots=True, frozen=True)
class Searcher:
    """A searcher (backend server) as described by its entry in the platform's store.

    Attributes:
        id: Id of the searcher; any other searcher refuses a request that names it.
        service: Name of the service that it serves.
        address: Host and port.
        failure_domain: Failure domain that it runs in.
        slots: Number of requests that it runs concurrently.
        draining: Whether it is about to leave.
        incarnation: Start of its process; a different value means that it has restarted.
        cold_left: Seconds for which it was going to remain cold when it wrote its entry.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool = False
    incarnation: int = 0
    cold_left: float = 0.0

    @property
    def run(self) -> str:
        """Return an id that distinguishes this run of the process from others with the same id."""
        return f"{self.id}/{self.incarnation}" if self.incarnation else self.id


@dataclass(slots=True)
class Replica:
    """A searcher and its state, observed since it started.

    Attributes:
        searcher: Its most recent description.
        in_flight: Start times of its open calls by call number, oldest first.
        slowness: Smoothed ratio of its call times to the usual time; 1 is normal.
        failures: Smoothed fraction of its calls that failed.
        observed_at: Time of the last observation.
        blocked_until: Monotonic time in seconds before which it gets no calls.
        block: Length of the next block in seconds.
        unlisted: Whether its entry is gone; the entry may reappear shortly.
        evacuated: Whether the operator has evacuated its failure domain.
        window: Limits its open calls while it answers too late.
        cold_start: Paces its calls while it is cold.
        load: Its last load report; None if it never sent one.
        load_at: Time of the last load report.
        is_doubtful: Whether its connection ended during its last call, so that it may be gone.
        leaving_since: When it was first known to be draining or unlisted; None if it is neither.
    """

    searcher: Searcher
    in_flight: dict[int, float] = field(default_factory=dict)
    slowness: float = 1.0
    failures: float = 0.0
    observed_at: float = 0.0
    blocked_until: float = 0.0
    block: float = FIRST_BLOCK
    unlisted: bool = False
    evacuated: bool = False
    window: CallWindow = field(default_factory=CallWindow)
    cold_start: ColdStart = field(default_factory=lambda: ColdStart(ColdStartLimits()))
    load: LoadReport | None = None
    load_at: float = float("-inf")
    is_doubtful: bool = False
    leaving_since: float | None = None

    @property
    def state(self) -> str:
        """Return the state of its entry as a word for log lines."""
        if self.searcher.draining:
            return "draining"
        return "unlisted" if self.unlisted else "ready"

    @property
    def is_in_service(self) -> bool:
        """Return whether it may get new calls, now or after a pause."""
        return not self.searcher.draining and not self.evacuated

    def takes_calls(self, now: float) -> bool:
        """Return whether it may get a call now."""
        if self.blocked_until > now or self.searcher.draining or self.evacuated:
            return False
        if not self.cold_start.is_open(now):
            return False
        return self.window.is_open(len(self.in_flight), now)

    def wait(self, now: float) -> float:
        """Return the seconds until it may get a call; 0 if it may get one now."""
        blocked = self.blocked_until - now
        window = self.window.wait(len(self.in_flight), now)
        return max(blocked, window, self.cold_start.wait(now), 0.0)

    def listed(self, searcher: Searcher, now: float) -> None:
        """Update its description from its entry."""
        self.searcher = searcher
        self.unlisted = False
        self._update_leaving_since(now)

    def entry_gone(self, now: float) -> None:
        """Record that its entry is gone."""
        self.unlisted = True
        self._update_leaving_since(now)

    def sent(self, now: float) -> None:
        """Record that a call is sent to it."""
        self.window.sent(now)
        self.cold_start.sent(now)

    def mark_cold(self, seconds: float, phase: float, now: float) -> None:
        """Record that it is cold.

        Args:
            seconds: How much longer it stays cold.
            phase: As for `ColdStart.begin`.
            now: Current monotonic time in seconds.
        """
        self._assume_cold_slowness(now)
        self.cold_start.begin(seconds, phase, now)

    def cold_stated(self, seconds: float, phase: float, now: float) -> None:
        """Record for how much longer it stays cold according to its reply; 0 if it is warm.

        Args:
            seconds: How much longer it stays cold.
            phase: As for `ColdStart.begin`.
            now: Current monotonic time in seconds.
        """
        if seconds > 0:
            self._assume_cold_slowness(now)
        self.cold_start.state(seconds, phase, now)

    def reported(self, load: LoadReport, now: float) -> None:
        """Record its load report."""
        self.load = load
        self.load_at = now

    def observe(self, ratio: float, now: float) -> None:
        """Record the time of an answered call as a multiple of the usual time."""
        self._decay_observations(now)
        self.is_doubtful = False
        self.cold_start.answered(now)
        ratio = min(max(ratio, _MIN_SLOWNESS), _MAX_SLOWNESS)
        self.slowness += _SMOOTHING * (ratio - self.slowness)
        self.failures -= _SMOOTHING * self.failures
        self.block = FIRST_BLOCK

    def observe_lower_bound(self, ratio: float, now: float) -> None:
        """Record the age of a call that was given up, a lower bound of its time."""
        self._decay_observations(now)
        if ratio > self.slowness:
            self.slowness += _SMOOTHING * (min(ratio, _MAX_SLOWNESS) - self.slowness)

    def failed(self, now: float) -> None:
        """Record a call that got no usable answer."""
        self._decay_observations(now)
        self.failures += _SMOOTHING * (1.0 - self.failures)

    def lost(self, now: float) -> None:
        """Record a call whose connection ended before any byte of a reply."""
        self.is_doubtful = True
        self.failed(now)

    def unreachable(self, phase: float, now: float) -> None:
        """Block calls to it for a while after a failed connection attempt.

        Args:
            phase: As for `ColdStart.begin`.
            now: Current monotonic time in seconds.
        """
        self.cold_start.lost(phase, now)
        self.blocked_until = now + self.block
        self.block = min(self.block * 2, _MAX_BLOCK)

    def cost(self, now: float, own_domain: str, usual: float) -> float:
        """Return the expected time of a call relative to the usual time.

        Args:
            now: Current monotonic time in seconds.
            own_domain: Failure domain of this instance.
            usual: The usual time of such a call in seconds.
        """
        self._decay_observations(now)
        cost = self.slowness * (1.0 + len(self.in_flight) / self.searcher.slots)
        cost *= 1.0 + _FAILURE_COST_WEIGHT * self.failures
        if self.searcher.failure_domain != own_domain:
            cost *= OTHER_DOMAIN_FACTOR
        if self.unlisted:
            cost *= _UNLISTED_COST_FACTOR
        if self.in_flight:
            oldest = next(iter(self.in_flight.values()))
            if now - oldest > _STUCK_TIME_RATIO * usual:
                cost *= _STUCK_COST_FACTOR
        return cost

    def _assume_cold_slowness(self, now: float) -> None:
        if not self.cold_start.is_cold(now):
            self._decay_observations(now)
            self.slowness = max(self.slowness, _COLD_SLOWNESS)

    def _update_leaving_since(self, now: float) -> None:
        if not (self.searcher.draining or self.unlisted):
            self.leaving_since = None
        elif self.leaving_since is None:
            self.leaving_since = now

    def _decay_observations(self, now: float) -> None:
        elapsed = now - self.observed_at
        if elapsed <= 0:
            return
        self.observed_at = now
        weight = 0.5 ** (elapsed / OBSERVATION_HALF_LIFE)
        self.slowness = 1.0 + (self.slowness - 1.0) * weight
        self.failures *= weight
