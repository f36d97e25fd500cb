"""Messages about instances: the platform's list, routes, and what peers say of themselves."""

import msgspec


class InstanceInfo(msgspec.Struct, frozen=True):
    """One instance in the platform's lagging list.

    Attributes:
        id: Name of the instance.
        failure_domain: Where it runs.
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
    """One searcher in the platform's lagging list: `live` or `leaving`."""

    address: str
    state: str = "live"


class InstanceList(msgspec.Struct, frozen=True):
    """The platform's list of instances; searchers are in it where the platform runs them.

    Attributes:
        revision: Its revision, which orders lists of all eras.
        instances: The instances.
        searchers: The searchers.
    """

    revision: int
    instances: tuple[InstanceInfo, ...]
    searchers: tuple[SearcherListing, ...] = ()


class RouteInstance(msgspec.Struct, frozen=True):
    """One address in a route answer.

    Attributes:
        id: Name of the instance.
        address: `host:port` for callers.
        failure_domain: Where it runs.
        incarnation: Its current run; empty where not known.
        token_prefix: First parts of the booking tokens that it executes now; empty where its run
            is not known.
    """

    id: str
    address: str
    failure_domain: str
    incarnation: str = ""
    token_prefix: str = ""


class Route(msgspec.Struct, frozen=True):
    """Which instances a caller should use for a service, best first.

    Attributes:
        service: Name of the service.
        ttl: Seconds for which the answer may be kept.
        instances: The instances, best first.
    """

    service: str
    ttl: float
    instances: tuple[RouteInstance, ...]


class InstanceStatus(msgspec.Struct, frozen=True):
    """What an instance says of itself.

    Attributes:
        id: Name of the instance.
        incarnation: Its current run.
        state: `starting`, `serving`, `leaving` or `refusing`.
        failure_domain: Where it runs.
        versions: Configuration version in force, by service; tombstones included.
        peers: State of the other instances as seen from here.
    """

    id: str
    incarnation: str
    state: str
    failure_domain: str
    versions: dict[str, int]
    peers: dict[str, str] = {}
