"""Which searchers exist, and which one a call goes to."""

from collections.abc import Collection, Iterable, Mapping, Sequence
from random import Random

from limpethollow_policy.process.coldstarts import ColdStart, ColdStartLimits
from limpethollow_policy.process.searchers import FIRST_BLOCK, Replica, Searcher
from limpethollow_policy.version.routes import ServiceLimits


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
        is_first = replica.block == FIRST_BLOCK
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
