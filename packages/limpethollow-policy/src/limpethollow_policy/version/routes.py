"""Routes of one configuration version, and the choice of the route for a request."""

from collections.abc import Iterable
from dataclasses import dataclass

from limpethollow_policy.version.tenants import Tenant, TenantTable


@dataclass(slots=True, frozen=True)
class WeightedService:
    """One target of a route.

    Attributes:
        name: The service.
        weight: Its share of the route's requests, relative to the other targets' weights.
    """

    name: str
    weight: float = 1.0


@dataclass(slots=True, frozen=True)
class Route:
    """Handling of requests under one host and path prefix.

    Attributes:
        name: Name given by the operator.
        host: Host in lower case, without a port.
        prefix: Path prefix; begins and ends with a slash.
        idempotent: Whether a request may run more than once.
        timeout: Maximum time in seconds that a caller waits for the answer.
        objective: Target time in seconds for the answer.
        attempts: Maximum number of searchers that a request is sent to; for a search, per shard.
        targets: Services that a forwarding route sends to; empty for a search route.
        shards: Services of a search route, each holding one shard; empty for a forwarding route.
        top: Number of records in a search's answer.
        floor: Minimum share of the shards, 0 to 1, that an answer must cover.
        public: Whether requests need no key.
        priority: Rank of its requests, 0 first.
        homes: Regions that may process its requests; empty for all.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout: float
    objective: float
    attempts: int
    targets: tuple[WeightedService, ...] = ()
    shards: tuple[str, ...] = ()
    top: int = 0
    floor: float = 0.0
    public: bool = False
    priority: int = 0
    homes: tuple[str, ...] = ()

    @property
    def min_parts(self) -> int:
        """Return the minimum number of shards that an answer must cover."""
        # The tolerance compensates for floating-point error: a floor such as 0.55 of 100 shards
        # would otherwise require one more, since the product is slightly above 55.
        return max(1, -int(-(self.floor * len(self.shards) - 1e-9) // 1))


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Size and time limits on callers' requests.

    The defaults apply until a configuration is known.

    Attributes:
        header_bytes: Maximum size of the request line and headers together.
        body_bytes: Maximum size of the body.
        header_timeout: Seconds from a request's first byte to the end of its headers.
        idle_timeout: Seconds that a connection may remain open without a request.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    header_timeout: float = 10.0
    idle_timeout: float = 60.0


@dataclass(slots=True, frozen=True)
class ServiceLimits:
    """Load limits of a service's searchers.

    Attributes:
        connections: Maximum connections to one searcher from all instances together.
        cold_seconds: Duration of a searcher's warm-up after its start.
        cold_rate: Requests per second that a searcher can handle during its warm-up, from all
            instances together; 0 for no limit.
    """

    connections: int
    cold_seconds: float = 0.0
    cold_rate: float = 0.0


@dataclass(slots=True, frozen=True)
class RoutingVersion:
    """One version of the configuration; immutable.

    Attributes:
        number: Version number given by the operator.
        routes: All routes.
        services: Limits by service.
        limits: Limits on callers' requests.
        tenants: The teams; without any, requests need no key.
    """

    number: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceLimits]
    limits: CallerLimits
    tenants: tuple[Tenant, ...] = ()

    def service_names(self) -> frozenset[str]:
        """Return all services that any route sends requests to."""
        names = {target.name for route in self.routes for target in route.targets}
        for route in self.routes:
            names.update(route.shards)
        return frozenset(names)


class RouteTable:
    """The routes of one version, indexed by host and path prefix.

    Args:
        routes: The routes.
    """

    __slots__ = ("_by_host", "_homes")

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route
        self._homes = {
            host: frozenset(frozenset(route.homes) for route in found.values() if route.homes)
            for host, found in self._by_host.items()
        }

    def homes_of(self, host: str) -> frozenset[frozenset[str]]:
        """Return the homes of each route of a host that has homes; empty if none has."""
        return self._homes.get(host.partition(":")[0].lower(), frozenset())

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a path.

        The cost depends on the depth of the path, not on the number of routes.

        Args:
            host: Value of the Host header.
            path: Path without the query string.
        """
        routes = self._by_host.get(host.partition(":")[0].lower())
        if routes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class CurrentVersion:
    """The configuration version in force at this instance; it never decreases within a process.

    A delayed reply to an earlier read, or a lagging peer, may offer an older version after a newer
    one was in use. Older versions are ignored; otherwise a removed route would reappear.
    """

    __slots__ = ("_confirmed_at", "_current", "_table", "_tenants")

    def __init__(self) -> None:
        self._current: RoutingVersion | None = None
        self._table = RouteTable(())
        self._tenants = TenantTable()
        self._confirmed_at = float("-inf")

    @property
    def current(self) -> RoutingVersion | None:
        """Return the version in force, None if none is known yet."""
        return self._current

    def offer(self, version: RoutingVersion) -> bool:
        """Put a version in force if it is newer; return whether it was."""
        if self._current is not None and version.number <= self._current.number:
            return False
        self._current = version
        self._table = RouteTable(version.routes)
        self._tenants = TenantTable(version.tenants)
        return True

    @property
    def tenants(self) -> TenantTable:
        """Return the teams of the version in force; empty if there are none."""
        return self._tenants

    def find(self, host: str, path: str) -> Route | None:
        """Return the route in force for a host and path, None if there is none."""
        return self._table.find(host, path)

    def homes_of(self, host: str) -> frozenset[frozenset[str]]:
        """Return the homes of each route in force for a host that has homes; empty if none has."""
        return self._table.homes_of(host)

    def confirm(self, now: float) -> None:
        """Record that the platform's store had no newer version at this monotonic second."""
        self._confirmed_at = max(self._confirmed_at, now)

    def age(self, now: float) -> float:
        """Return the seconds since the version was last confirmed to be the newest."""
        return now - self._confirmed_at


class WeightedRoundRobin:
    """Distributes requests among a route's targets by smooth weighted round robin.

    For each request, every target's credit is increased by its weight; the target with the highest
    credit is chosen, and its credit is reduced by the total weight. The shares therefore hold over
    any few dozen requests and not only on average.
    """

    __slots__ = ("_credits",)

    def __init__(self) -> None:
        self._credits: dict[str, dict[str, float]] = {}

    def next(self, route: Route) -> str:
        """Return the service for a route's next request."""
        if len(route.targets) == 1:
            return route.targets[0].name
        credits = self._credits.setdefault(route.name, {})
        total = 0.0
        for target in route.targets:
            credits[target.name] = credits.get(target.name, 0.0) + target.weight
            total += target.weight
        chosen = max(route.targets, key=lambda target: credits[target.name]).name
        credits[chosen] -= total
        return chosen

    def forget(self) -> None:
        """Reset all credits, for example after the weights have changed."""
        self._credits.clear()
