"""Messages about instances: the platform's list, routes and reported status."""

import msgspec


class InstanceInfo(msgspec.Struct, frozen=True):
    """An entry of the platform's instance list, which may be out of date.

    Attributes:
        id: Id of the instance.
        failure_domain: Failure domain in which it runs.
        address: `host:port` for callers.
        peer_address: `host:port` for other instances.
        operator_address: `host:port` for operators.
        state: `live` or `leaving`.
    """

    id: str
    failure_domain: str
    address: str
    peer_address: str
    operator_address: str = ""
    state: str = "live"


class SearcherListing(msgspec.Struct, frozen=True):
    """An entry of the platform's searcher list, which may be out of date.

    Attributes:
        address: `host:port` of the searcher.
        state: `live` or `leaving`.
    """

    address: str
    state: str = "live"


class InstanceList(msgspec.Struct, frozen=True):
    """The platform's list of instances, and of the searchers that the platform runs.

    Attributes:
        revision: Revision of the list; comparable across eras.
        instances: All listed instances.
        searchers: All listed searchers; empty if the platform does not run them.
    """

    revision: int
    instances: tuple[InstanceInfo, ...]
    searchers: tuple[SearcherListing, ...] = ()


class RouteInstance(msgspec.Struct, frozen=True):
    """An instance in a route answer.

    Attributes:
        id: Id of the instance.
        address: `host:port` for callers.
        failure_domain: Failure domain in which it runs.
        incarnation: Its current run; empty if unknown.
        token_prefix: Prefix of the booking tokens that it currently executes; empty if its run
            is unknown.
    """

    id: str
    address: str
    failure_domain: str
    incarnation: str = ""
    token_prefix: str = ""


class Route(msgspec.Struct, frozen=True):
    """The instances that a caller should use for a service, in order of preference.

    Attributes:
        service: Name of the service.
        ttl: Seconds for which the answer may be cached.
        instances: The instances, most preferred first.
    """

    service: str
    ttl: float
    instances: tuple[RouteInstance, ...]


class InstanceStatus(msgspec.Struct, frozen=True):
    """Status reported by an instance.

    Attributes:
        id: Id of the instance.
        incarnation: Its current run.
        state: `starting`, `serving`, `leaving` or `refusing`.
        failure_domain: Failure domain in which it runs.
        versions: Active configuration version by service, including tombstones.
        peers: State of each other instance as seen by this one.
    """

    id: str
    incarnation: str
    state: str
    failure_domain: str
    versions: dict[str, int]
    peers: dict[str, str] = {}
