"""Which searchers exist, what is known of each, and which one a call goes to."""

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random

from limpethollow_policy.process.callwindows import CallWindow
from limpethollow_policy.process.coldstarts import ColdStart, ColdStartLimits
from limpethollow_policy.process.loadreports import LoadReport
from limpethollow_policy.version.routes import ServiceLimits

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
_FIRST_BLOCK, _LONGEST_BLOCK = 0.25, 2.0


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
    block: float = _FIRST_BLOCK
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
        self.block = _FIRST_BLOCK

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


class Fleet:
    """All searchers that may be used, by service.

    Args:
        own_domain: Failure domain of this instance.
        rng: Source for the moments at which calls to cold searchers begin.
    """

    __slots__ = (
        "_by_id",
        "_by_service",
        "_cold_rates",
        "_cold_starts",
        "_evacuated",
        "_own_domain",
        "_rng",
        "_sharers",
    )

    def __init__(self, own_domain: str, rng: Random) -> None:
        self._own_domain = own_domain
        self._rng = rng
        self._by_id: dict[str, Replica] = {}
        self._by_service: dict[str, dict[str, Replica]] = {}
        self._evacuated: set[str] = set()
        self._cold_starts: dict[str, ColdStartLimits] = {}
        self._cold_rates: dict[str, float] = {}
        self._sharers = 1.0

    def __len__(self) -> int:
        return len(self._by_id)

    @property
    def own_domain(self) -> str:
        """Return the failure domain of this instance."""
        return self._own_domain

    @property
    def evacuated(self) -> frozenset[str]:
        """Return the failure domains whose searchers get no new calls."""
        return frozenset(self._evacuated)

    def get(self, searcher_id: str) -> Replica | None:
        """Return a searcher by its id."""
        return self._by_id.get(searcher_id)

    def use_limits(self, services: Mapping[str, ServiceLimits]) -> None:
        """Take over what the searchers of each service stand while they are cold."""
        self._cold_rates = {name: limits.cold_rate for name, limits in services.items()}
        in_use = services.keys() | {name for name, found in self._by_service.items() if found}
        self._cold_starts = {n: limits for n, limits in self._cold_starts.items() if n in in_use}
        for name, limits in services.items():
            self._cold_limits(name).seconds = limits.cold_seconds
        self._set_intervals()

    def share_among(self, sharers: float) -> None:
        """Divide the calls to cold searchers among instances.

        Args:
            sharers: Instances among which they are divided, for this one's part.
        """
        self._sharers = sharers
        self._set_intervals()

    def unreachable(self, replica: Replica, now: float) -> bool:
        """Take in that no connection to a searcher could be opened.

        Returns:
            Whether this is the first time since it last answered a call.
        """
        is_first = replica.block == _FIRST_BLOCK
        replica.unreachable(self._rng.random(), now)
        return is_first

    def evacuate(self, failure_domain: str) -> list[Replica]:
        """Send nothing new to a failure domain; return its searchers."""
        self._evacuated.add(failure_domain)
        return self._set_evacuated(failure_domain, True)

    def restore(self, failure_domain: str, now: float) -> list[Replica]:
        """Use an evacuated failure domain again; return its searchers.

        They have had no calls for a while, and count as cold: as much as they stood before, at
        once and from all instances, would bring them down.
        """
        self._evacuated.discard(failure_domain)
        restored = self._set_evacuated(failure_domain, False)
        for replica in restored:
            cold = self._cold_limits(replica.searcher.service).seconds
            replica.turned_cold(cold, self._rng.random(), now)
        return restored

    def _set_evacuated(self, failure_domain: str, evacuated: bool) -> list[Replica]:
        found = [r for r in self._by_id.values() if r.searcher.failure_domain == failure_domain]
        for replica in found:
            replica.evacuated = evacuated
        return found

    def _cold_limits(self, service: str) -> ColdStartLimits:
        """Return what all searchers of a service share."""
        return self._cold_starts.setdefault(service, ColdStartLimits())

    def _set_intervals(self) -> None:
        for name, limits in self._cold_starts.items():
            rate = self._cold_rates.get(name, 0.0)
            limits.interval = self._sharers / rate if rate > 0 else 0.0

    def put(self, searcher: Searcher, now: float) -> Replica | None:
        """Add or update a searcher.

        Returns:
            The replica that it replaces, where the old one is another process: its connections
            and the evidence on it are worth nothing now.
        """
        known = self._by_id.get(searcher.id)
        if known is not None and _same_process(known.searcher, searcher):
            known.listed(searcher, now)
            self._note_cold(known, now)
            return None
        replaced = self.remove(searcher.id)
        replica = Replica(searcher, evidence_at=now)
        replica.listed(searcher, now)
        replica.evacuated = searcher.failure_domain in self._evacuated
        replica.cold_start = ColdStart(self._cold_limits(searcher.service))
        self._note_cold(replica, now)
        self._by_id[searcher.id] = replica
        self._by_service.setdefault(searcher.service, {})[searcher.id] = replica
        return replaced

    def _note_cold(self, replica: Replica, now: float) -> None:
        if replica.searcher.cold_left > 0:
            replica.turned_cold(replica.searcher.cold_left, self._rng.random(), now)

    def remove(self, searcher_id: str) -> Replica | None:
        """Forget a searcher; return it where it was known."""
        replica = self._by_id.pop(searcher_id, None)
        if replica is not None:
            del self._by_service[replica.searcher.service][searcher_id]
        return replica

    def of(self, service: str) -> Collection[Replica]:
        """Return the searchers of a service, leaving ones included."""
        return self._by_service.get(service, {}).values()

    def domains(self, services: Iterable[str]) -> dict[str, int]:
        """Count the usable searchers of some services by failure domain."""
        found: dict[str, int] = {}
        for service in services:
            for replica in self.of(service):
                if replica.is_in_service:
                    domain = replica.searcher.failure_domain
                    found[domain] = found.get(domain, 0) + 1
        return found

    def queue_depth(self, services: Sequence[str], max_age: float, now: float) -> float | None:
        """Return how many calls wait for each slot of a service's searchers.

        Args:
            services: The services.
            max_age: Seconds for which a searcher's word counts.
            now: Monotonic second.

        Returns:
            The mean over the services; None where under half of them have said it of late.
        """
        since = now - max_age
        depths = []
        for service in services:
            reported = [r.load.queue_depth for r in self.of(service) if r.load_at >= since]
            if reported:
                depths.append(sum(reported) / len(reported))
        if 2 * len(depths) < len(services):
            return None
        return sum(depths) / len(depths)

    def wait(self, service: str, now: float) -> float:
        """Return in how many seconds a service can get a call; infinite without a searcher."""
        waits = [r.wait(now) for r in self.of(service) if r.is_in_service]
        return min(waits, default=float("inf"))

    def choose(
        self, service: str, now: float, usual: float, avoid: Collection[str] = ()
    ) -> Replica | None:
        """Return the searcher that promises the earliest answer; None where none may be used.

        Args:
            service: The service.
            now: Monotonic second.
            usual: The usual time of such a call in seconds.
            avoid: Ids of searchers that had this request already; used only where no other is.
        """
        best, best_cost = None, float("inf")
        fallback, fallback_cost = None, float("inf")
        for replica in self.of(service):
            if not replica.takes_calls(now):
                continue
            cost = replica.cost(now, self._own_domain, usual)
            if replica.searcher.id in avoid:
                if cost < fallback_cost:
                    fallback, fallback_cost = replica, cost
            elif cost < best_cost:
                best, best_cost = replica, cost
        return best or fallback


def _same_process(old: Searcher, new: Searcher) -> bool:
    return (
        old.incarnation == new.incarnation
        and old.address == new.address
        and old.service == new.service
    )
