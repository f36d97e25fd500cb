"""Which route a request takes in one version of the configuration."""

from collections.abc import Iterable
from dataclasses import dataclass


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
    """How requests under one host and path prefix are served.

    Attributes:
        name: The operator's name for it.
        host: Host in lower case, without a port.
        prefix: Path prefix; begins and ends with a slash.
        idempotent: Whether a request may run more than once.
        timeout: Longest time in seconds that a caller is kept waiting.
        objective: Time in seconds within which an answer is worth most.
        attempts: Searchers to which one request may be sent; for a search, per shard.
        targets: Services of a route that forwards; empty for a search.
        shards: Services that each hold one shard; empty for a route that forwards.
        top: Records in a search's answer.
        floor: Least share of the shards, 0 to 1, that an answer must cover.
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

    @property
    def least_parts(self) -> int:
        """Return how many shards an answer must cover."""
        # The tolerance keeps a floor such as 0.6 of 5 from asking for a fourth shard, since the
        # product is a hair above 3 in binary floating point.
        return max(1, -int(-(self.floor * len(self.shards) - 1e-9) // 1))


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """What a caller may send, and how long it may take.

    The defaults hold until a configuration is known.

    Attributes:
        header_bytes: Longest request line and headers together.
        body_bytes: Longest body.
        header_timeout: Seconds from a request's first byte to the end of its headers.
        idle_timeout: Seconds that a connection may stay open without a request.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    header_timeout: float = 10.0
    idle_timeout: float = 60.0


@dataclass(slots=True, frozen=True)
class ServiceLimits:
    """What the searchers of a service accept.

    Attributes:
        connections: Connections to one searcher from all instances together.
        cold_seconds: How long a searcher is cold after its start.
        cold_rate: Requests a second that a cold searcher stands from all instances together; 0
            where it stands any number.
    """

    connections: int
    cold_seconds: float = 0.0
    cold_rate: float = 0.0


@dataclass(slots=True, frozen=True)
class RoutingVersion:
    """One version of the configuration; never changed once it is made.

    Attributes:
        number: The operator's version number.
        routes: All routes.
        services: Limits by service.
        limits: What callers may send.
    """

    number: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceLimits]
    limits: CallerLimits

    def service_names(self) -> frozenset[str]:
        """Return every service that some route sends requests to."""
        names = {target.name for route in self.routes for target in route.targets}
        for route in self.routes:
            names.update(route.shards)
        return frozenset(names)


class RouteTable:
    """The routes of one version, indexed by host and path prefix.

    Args:
        routes: The routes.
    """

    __slots__ = ("_by_host",)

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins a path.

        The cost grows with the depth of the path and not with the number of routes.

        Args:
            host: Value of the Host header.
            path: Path without the query.
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


class VersionBook:
    """The version in force at this instance; it only ever rises within one process.

    A slow reply of an earlier read, or a peer that lags, may offer an older version after a newer
    one was used. Callers would see a removed route come back; so an older version is ignored.
    """

    __slots__ = ("_confirmed_at", "_current", "_table")

    def __init__(self) -> None:
        self._current: RoutingVersion | None = None
        self._table = RouteTable(())
        self._confirmed_at = float("-inf")

    @property
    def current(self) -> RoutingVersion | None:
        """Return the version in force, None before one is known."""
        return self._current

    def offer(self, version: RoutingVersion) -> bool:
        """Put a version in force where it is newer; return whether it was."""
        if self._current is not None and version.number <= self._current.number:
            return False
        self._current = version
        self._table = RouteTable(version.routes)
        return True

    def find(self, host: str, path: str) -> Route | None:
        """Return the route in force for a host and path, None where there is none."""
        return self._table.find(host, path)

    def confirm(self, now: float) -> None:
        """Note that the platform's store had nothing newer at this monotonic second."""
        self._confirmed_at = max(self._confirmed_at, now)

    def age(self, now: float) -> float:
        """Return the seconds since the version was last known to be the newest."""
        return now - self._confirmed_at


class WeightedTurns:
    """Deals requests among a route's targets by weight, as evenly as can be.

    Each target gains its weight a turn and the richest pays for the turn (smooth weighted round
    robin), so that the shares hold over any few dozen requests and not only on average.
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
        """Start over, as when the weights have changed."""
        self._credits.clear()
