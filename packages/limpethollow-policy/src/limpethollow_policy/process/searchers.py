"""One searcher as it is listed, and what this instance knows of it."""

from dataclasses import dataclass, field

from limpethollow_policy.process.callwindows import CallWindow
from limpethollow_policy.process.coldstarts import ColdStart, ColdStartLimits
from limpethollow_policy.process.loadreports import LoadReport

# Evidence on a slow or failing searcher loses half its weight in this many seconds. Troubles last
# 5 to 10 s; with 3 s a searcher that has recovered is tried again 10 s after its last bad call.
EVIDENCE_HALF_LIFE = 3.0
# Weight of the newest observation: five calls make up two thirds of the estimate.
_NEWEST = 0.2
# A searcher in another failure domain must promise to be this much faster. Each call across costs
# bytes between failure domains and two more network hops.
OTHER_DOMAIN_FACTOR = 1.35
# A searcher whose oldest call is this many times the usual time under way is paused or stuck.
_STUCK_AFTER = 2.5
_STUCK_FACTOR = 4.0
_FAILURE_WEIGHT = 8.0
# A searcher whose entry is gone is asked only where every other one is far slower.
_UNLISTED_FACTOR = 6.0
_SLOWEST, _FASTEST = 30.0, 0.3
# A cold searcher counts as this much slower than usual until its own calls show more.
_COLD_SLOWNESS = 1.5
# Pauses after connects that failed, in seconds: the first, and the longest.
FIRST_BLOCK, _LONGEST_BLOCK = 0.25, 2.0


@dataclass(slots=True, frozen=True)
class Searcher:
    """A searcher (backend server) as its entry in the platform's store describes it.

    Attributes:
        id: Its id; a request that names it is refused by any other searcher.
        service: The service that it serves.
        address: Host and port.
        failure_domain: Where it runs.
        slots: Requests that it runs at once.
        draining: Whether it is about to leave.
        incarnation: Start of its process; another value means that it has started anew.
        cold_left: Seconds for which it was still slow after its start when it wrote its entry.
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
        """Return what tells this run of its process from others under the same id."""
        return f"{self.id}/{self.incarnation}" if self.incarnation else self.id


@dataclass(slots=True)
class Replica:
    """A searcher and the evidence on it since it started.

    Attributes:
        searcher: Its newest description.
        in_flight: Start times of the calls under way, oldest first, by call number.
        slowness: Its calls' time over the usual time, smoothed; 1 is as usual.
        failures: Share of its calls that failed, smoothed.
        evidence_at: When the last observation was made.
        blocked_until: It takes no calls before this monotonic second.
        block: Length of the next block in seconds.
        unlisted: Its entry is gone, but it may be back in a moment.
        evacuated: The operator wants nothing sent to its failure domain.
        window: Bounds the calls under way where it answers too late.
        cold_start: Paces the calls while it is cold.
        load: What it last said of its own load; None where it never did.
        load_at: When it said so.
        is_doubtful: Whether a connection to it ended under its last call, so that it may be gone.
        leaving_since: When it was first known to drain or to have no entry; None where neither
            holds.
    """

    searcher: Searcher
    in_flight: dict[int, float] = field(default_factory=dict)
    slowness: float = 1.0
    failures: float = 0.0
    evidence_at: float = 0.0
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
        """Return what its entry says, as a word for log lines."""
        if self.searcher.draining:
            return "draining"
        return "unlisted" if self.unlisted else "ready"

    @property
    def is_in_service(self) -> bool:
        """Return whether it gets new calls at all, now or in a moment."""
        return not self.searcher.draining and not self.evacuated

    def takes_calls(self, now: float) -> bool:
        """Return whether it may get a call now."""
        if self.blocked_until > now or self.searcher.draining or self.evacuated:
            return False
        if not self.cold_start.is_open(now):
            return False
        return self.window.is_open(len(self.in_flight), now)

    def wait(self, now: float) -> float:
        """Return in how many seconds it may get a call; 0 where that is now."""
        blocked = self.blocked_until - now
        window = self.window.wait(len(self.in_flight), now)
        return max(blocked, window, self.cold_start.wait(now), 0.0)

    def listed(self, searcher: Searcher, now: float) -> None:
        """Take in its newest description."""
        self.searcher = searcher
        self.unlisted = False
        self._note_leaving(now)

    def entry_gone(self, now: float) -> None:
        """Take in that it has no entry any more."""
        self.unlisted = True
        self._note_leaving(now)

    def sent(self, now: float) -> None:
        """Note that a call is sent to it."""
        self.window.sent(now)
        self.cold_start.sent(now)

    def turned_cold(self, seconds: float, phase: float, now: float) -> None:
        """Take in that it is cold.

        Args:
            seconds: How much longer it is cold.
            phase: As for `ColdStart.begin`.
            now: Monotonic second.
        """
        if not self.cold_start.is_cold(now):
            self._fade(now)
            self.slowness = max(self.slowness, _COLD_SLOWNESS)
        self.cold_start.begin(seconds, phase, now)

    def reported(self, load: LoadReport, now: float) -> None:
        """Take in what it says of its own load."""
        self.load = load
        self.load_at = now

    def observe(self, ratio: float, now: float) -> None:
        """Take in a call's time as a multiple of the usual time."""
        self._fade(now)
        self.is_doubtful = False
        self.cold_start.answered(now)
        ratio = min(max(ratio, _FASTEST), _SLOWEST)
        self.slowness += _NEWEST * (ratio - self.slowness)
        self.failures -= _NEWEST * self.failures
        self.block = FIRST_BLOCK

    def observe_at_least(self, ratio: float, now: float) -> None:
        """Take in a call that was given up on: it would have taken this long or longer."""
        self._fade(now)
        if ratio > self.slowness:
            self.slowness += _NEWEST * (min(ratio, _SLOWEST) - self.slowness)

    def failed(self, now: float) -> None:
        """Take in a call that got no usable answer."""
        self._fade(now)
        self.failures += _NEWEST * (1.0 - self.failures)

    def lost(self, now: float) -> None:
        """Take in a call whose connection ended before any byte of a reply."""
        self.is_doubtful = True
        self.failed(now)

    def unreachable(self, phase: float, now: float) -> None:
        """Take in a connection that could not be opened; the searcher is left alone for a while.

        Args:
            phase: As for `ColdStart.begin`.
            now: Monotonic second.
        """
        self.cold_start.lost(phase, now)
        self.blocked_until = now + self.block
        self.block = min(self.block * 2, _LONGEST_BLOCK)

    def cost(self, now: float, own_domain: str, usual: float) -> float:
        """Return how long a call would take, relative to the usual time.

        Args:
            now: Monotonic second.
            own_domain: Failure domain of this instance.
            usual: The usual time of such a call in seconds.
        """
        self._fade(now)
        cost = self.slowness * (1.0 + len(self.in_flight) / self.searcher.slots)
        cost *= 1.0 + _FAILURE_WEIGHT * self.failures
        if self.searcher.failure_domain != own_domain:
            cost *= OTHER_DOMAIN_FACTOR
        if self.unlisted:
            cost *= _UNLISTED_FACTOR
        if self.in_flight:
            oldest = next(iter(self.in_flight.values()))
            if now - oldest > _STUCK_AFTER * usual:
                cost *= _STUCK_FACTOR
        return cost

    def _note_leaving(self, now: float) -> None:
        if not (self.searcher.draining or self.unlisted):
            self.leaving_since = None
        elif self.leaving_since is None:
            self.leaving_since = now

    def _fade(self, now: float) -> None:
        passed = now - self.evidence_at
        if passed <= 0:
            return
        self.evidence_at = now
        left = 0.5 ** (passed / EVIDENCE_HALF_LIFE)
        self.slowness = 1.0 + (self.slowness - 1.0) * left
        self.failures *= left
