"""The known searchers, and the selection of one for each call."""

from collections.abc import Collection, Iterable, Mapping, Sequence
from collections.abc import Set as AbstractSet
from random import Random

from limpethollow_policy.process.coldstarts import ColdStart, ColdStartLimits
from limpethollow_policy.process.searchers import FIRST_BLOCK, Replica, Searcher
from limpethollow_policy.version.routes import ServiceLimits


class Fleet:
    """All known searchers, by service.

    Args:
        own_domain: Failure domain of this instance.
        rng: Random generator for the times of the first calls to cold searchers.
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

    def apply_cold_start_limits(self, services: Mapping[str, ServiceLimits]) -> None:
        """Apply the cold-start limits of each service."""
        self._cold_rates = {name: limits.cold_rate for name, limits in services.items()}
        in_use = services.keys() | {name for name, found in self._by_service.items() if found}
        self._cold_starts = {n: limits for n, limits in self._cold_starts.items() if n in in_use}
        for name, limits in services.items():
            self._cold_limits(name).seconds = limits.cold_seconds
        self._update_cold_intervals()

    def share_among(self, share_divisor: float) -> None:
        """Set the number of instances that share the call rate of cold searchers.

        Args:
            share_divisor: Number by which the rate is divided to get the part of this instance.
        """
        self._sharers = share_divisor
        self._update_cold_intervals()

    def unreachable(self, replica: Replica, now: float) -> bool:
        """Record that no connection to a searcher could be opened.

        Returns:
            Whether this is the first failure since it last answered a call.
        """
        is_first = replica.block == FIRST_BLOCK
        replica.unreachable(self._rng.random(), now)
        return is_first

    def evacuate(self, failure_domain: str) -> list[Replica]:
        """Stop sending calls to a failure domain; return its searchers."""
        self._evacuated.add(failure_domain)
        return self._set_evacuated(failure_domain, True)

    def restore(self, failure_domain: str, now: float) -> list[Replica]:
        """Use an evacuated failure domain again; return its searchers.

        The searchers have had no calls for a while and are treated as cold: their previous load,
        arriving at once from all instances, would overload them.
        """
        self._evacuated.discard(failure_domain)
        restored = self._set_evacuated(failure_domain, False)
        for replica in restored:
            cold = self._cold_limits(replica.searcher.service).seconds
            replica.mark_cold(cold, self._rng.random(), now)
        return restored

    def _set_evacuated(self, failure_domain: str, evacuated: bool) -> list[Replica]:
        found = [r for r in self._by_id.values() if r.searcher.failure_domain == failure_domain]
        for replica in found:
            replica.evacuated = evacuated
        return found

    def _cold_limits(self, service: str) -> ColdStartLimits:
        """Return the limits object that all searchers of a service share."""
        return self._cold_starts.setdefault(service, ColdStartLimits())

    def _update_cold_intervals(self) -> None:
        for name, limits in self._cold_starts.items():
            rate = self._cold_rates.get(name, 0.0)
            limits.interval = self._sharers / rate if rate > 0 else 0.0

    def put(self, searcher: Searcher, now: float) -> Replica | None:
        """Add or update a searcher.

        Returns:
            The replica that it replaces, if that was another process, whose connections and
            measurements no longer apply.
        """
        known = self._by_id.get(searcher.id)
        if known is not None and _same_process(known.searcher, searcher):
            is_repeated = known.searcher.cold_left == searcher.cold_left
            known.listed(searcher, now)
            # An entry that changed only in other fields may repeat a statement that is older than
            # the one in the searcher's last reply.
            if not (is_repeated and known.cold_start.is_stated):
                self._update_cold_start(known, now)
            return None
        replaced = self.remove(searcher.id)
        replica = Replica(searcher, observed_at=now)
        replica.listed(searcher, now)
        replica.evacuated = searcher.failure_domain in self._evacuated
        replica.cold_start = ColdStart(self._cold_limits(searcher.service))
        self._update_cold_start(replica, now)
        self._by_id[searcher.id] = replica
        self._by_service.setdefault(searcher.service, {})[searcher.id] = replica
        return replaced

    def _update_cold_start(self, replica: Replica, now: float) -> None:
        if replica.searcher.cold_left > 0:
            # The newer one of the entry's statement and that of the last reply counts.
            is_stated = replica.cold_start.is_stated
            record = replica.cold_stated if is_stated else replica.mark_cold
            record(replica.searcher.cold_left, self._rng.random(), now)

    def cold_stated(self, replica: Replica, seconds: float, now: float) -> bool:
        """Record for how long a searcher stays cold according to its reply.

        Args:
            replica: The searcher.
            seconds: How much longer it stays cold; 0 if it is warm.
            now: Monotonic time in seconds.

        Returns:
            Whether it was not known to be cold and now is.
        """
        was_cold = replica.cold_start.is_cold(now)
        replica.cold_stated(seconds, self._rng.random() if seconds > 0 else 0.0, now)
        return seconds > 0 and not was_cold

    def remove(self, searcher_id: str) -> Replica | None:
        """Remove a searcher; return it if it was known."""
        replica = self._by_id.pop(searcher_id, None)
        if replica is not None:
            del self._by_service[replica.searcher.service][searcher_id]
        return replica

    def of(self, service: str) -> Collection[Replica]:
        """Return the searchers of a service, including leaving ones."""
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

    def _permitted(self, service: str, allowed: AbstractSet[str] | None) -> Collection[Replica]:
        """Return the searchers of a service in the allowed failure domains; None allows all."""
        found = self.of(service)
        if allowed is None:
            return found
        return [replica for replica in found if replica.searcher.failure_domain in allowed]

    def has_searcher(self, service: str, allowed: AbstractSet[str]) -> bool:
        """Return whether a service has a searcher in service in the allowed failure domains.

        It may be blocked, unreachable or full at the moment.
        """
        return any(
            replica.searcher.failure_domain in allowed and replica.is_in_service
            for replica in self.of(service)
        )

    def queue_depth(
        self,
        services: Sequence[str],
        max_age: float,
        now: float,
        allowed: AbstractSet[str] | None = None,
    ) -> float | None:
        """Return the mean number of waiting calls per slot of the searchers.

        Args:
            services: The services.
            max_age: Maximum age of a searcher's load report, in seconds.
            now: Monotonic time in seconds.
            allowed: Failure domains whose searchers count; None for all.

        Returns:
            The mean over the services; None if fewer than half of them have a recent report.
        """
        since = now - max_age
        depths = []
        for service in services:
            replicas = self._permitted(service, allowed)
            reported = [r.load.queue_depth for r in replicas if r.load_at >= since]
            if reported:
                depths.append(sum(reported) / len(reported))
        if 2 * len(depths) < len(services):
            return None
        return sum(depths) / len(depths)

    def wait(self, service: str, now: float, allowed: AbstractSet[str] | None = None) -> float:
        """Return the seconds until a service can get a call; infinite without a searcher.

        Args:
            service: The service.
            now: Monotonic time in seconds.
            allowed: Failure domains that may get the call; None for all.
        """
        waits = [r.wait(now) for r in self._permitted(service, allowed) if r.is_in_service]
        return min(waits, default=float("inf"))

    def choose(
        self,
        service: str,
        now: float,
        usual: float,
        avoid: Collection[str] = (),
        allowed: AbstractSet[str] | None = None,
    ) -> Replica | None:
        """Return the searcher with the lowest expected cost; None if none may be used.

        Args:
            service: The service.
            now: Monotonic time in seconds.
            usual: Usual duration of such a call in seconds.
            avoid: Ids of searchers that already had this request; used only if there is no other.
            allowed: Failure domains that may get the call; None for all.
        """
        best, best_cost = None, float("inf")
        fallback, fallback_cost = None, float("inf")
        for replica in self._permitted(service, allowed):
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
