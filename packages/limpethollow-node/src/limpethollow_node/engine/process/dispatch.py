"""State shared by all requests of a process: searchers, connections, send budget, timings."""

import asyncio
import math
import time
from collections.abc import Callable

from limpethollow_node.engine.connection.clients import ClientConnection
from limpethollow_node.engine.connection.replylimits import SEARCHER_LIMITS, ReplyLimits
from limpethollow_node.engine.messages import HeaderNames
from limpethollow_node.engine.process.pools import Call, Pool, is_own_shortage
from limpethollow_node.engine.process.quarantines import Quarantines
from limpethollow_node.process import events
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.connectionbudgets import ConnectionBudget
from limpethollow_policy.process.fleets import Fleet
from limpethollow_policy.process.homes import Regions
from limpethollow_policy.process.isolation import Isolation
from limpethollow_policy.process.searchers import Replica, Searcher
from limpethollow_policy.process.sendbudgets import SendBudget
from limpethollow_policy.process.timings import (
    AnswerDelayEstimator,
    CallPaceEstimator,
    RouteTimings,
)
from limpethollow_policy.request.permits import UNRESTRICTED, Permit
from limpethollow_policy.version.routes import Route, RoutingVersion

# Fraction of a searcher's connections that all instances together use. The rest is reserved for
# connections that were closed here but that the searcher still counts, and for starting instances.
_USABLE_CONNECTION_SHARE = 0.85
_DEFAULT_CONNECTIONS = 16
# No connection is opened in advance if fewer than this are allowed to a searcher.
_MIN_CONNECTIONS_TO_WARM = 2


class Dispatch:
    """Sends calls to searchers and tracks their health.

    Args:
        fleet: The searchers.
        budget: Limits repeated sends.
        names: The deployment's header names.
        metrics: The process's metrics.
        regions: Regions of the failure domains; None if they are not known.
        reply_limits: Limits on searchers' replies.
        max_connections: Connections to all searchers together.

    Attributes:
        clock: Returns the monotonic time in seconds. `loop.time` does not advance while a callback
            runs, so it cannot measure how long this instance takes for its own work.
        delegated_permit: Returns the permit of a request that another instance delegates, given the
            digest of its key, its team's name and the number of its version.
    """

    __slots__ = (
        "_connections",
        "_pools",
        "_probe_count",
        "_reply_limits",
        "_service_limits",
        "_services_in_use",
        "_sharers",
        "_timings",
        "budget",
        "clock",
        "delegated_permit",
        "fleet",
        "isolation",
        "loop",
        "metrics",
        "names",
        "own_delay",
        "own_pace",
        "quarantines",
        "regions",
    )

    def __init__(
        self,
        fleet: Fleet,
        budget: SendBudget,
        names: HeaderNames,
        metrics: Metrics,
        regions: Regions | None = None,
        reply_limits: ReplyLimits = SEARCHER_LIMITS,
        max_connections: float = math.inf,
    ) -> None:
        self._connections: ConnectionBudget[ClientConnection, Pool] = ConnectionBudget(
            max_connections
        )
        self._reply_limits = reply_limits
        self.fleet = fleet
        self.budget = budget
        self.names = names
        self.metrics = metrics
        self.regions = regions or Regions()
        self.loop = asyncio.get_running_loop()
        self.clock = time.monotonic
        self.delegated_permit: Callable[..., Permit] = lambda *_, **__: UNRESTRICTED
        self.isolation = Isolation()
        self.own_delay = AnswerDelayEstimator()
        self.own_pace = CallPaceEstimator()
        self.quarantines = Quarantines(metrics, self.loop.time)
        self._pools: dict[str, Pool] = {}
        self._timings: dict[str, RouteTimings] = {}
        self._service_limits: dict[str, int] = {}
        self._probe_count = 0
        self._services_in_use: frozenset[str] = frozenset()
        self._sharers = 1.0

    def timings(self, route: Route) -> RouteTimings:
        """Return the timings of a route, which are kept across configuration versions."""
        timings = self._timings.get(route.name)
        if timings is None:
            timings = self._timings[route.name] = RouteTimings(route.objective)
        return timings

    def send(self, replica: Replica, call: Call) -> None:
        """Send a call to a searcher."""
        self.isolation.called(self.loop.time())
        self._pool_of(replica).send(call)

    def probe(self) -> None:
        """Try to connect to a searcher; if that succeeds, this instance is no longer isolated."""
        pools = list(self._pools.values())
        if pools:
            self._probe_count += 1
            pools[self._probe_count % len(pools)].probe()

    def warm(self) -> None:
        """Open a connection to each searcher in use in this instance's failure domain.

        Otherwise the first calls of a search after a start or a new version would each wait for a
        handshake, 6 ms with the users' searchers, all at the same moment. Searchers of other
        failure domains are reached through instances there. Where instances share few connections,
        they are opened on demand.
        """
        for service in self._services_in_use:
            if self._connection_share(service) < _MIN_CONNECTIONS_TO_WARM:
                continue
            for replica in self.fleet.of(service):
                searcher = replica.searcher
                if searcher.failure_domain == self.fleet.own_domain and replica.is_in_service:
                    self._pool_of(replica).warm()

    def use_version(self, version: RoutingVersion) -> None:
        """Apply the limits of a new version."""
        self._service_limits = {
            name: limits.connections for name, limits in version.services.items()
        }
        self.fleet.apply_cold_start_limits(version.services)
        self._services_in_use = version.service_names()
        self._apply_limits()

    def share_among(self, share_divisor: float) -> None:
        """Divide repeated sends, connections and calls to cold searchers among instances.

        Args:
            share_divisor: Number of instances to divide by for this one's share; an instance that
                makes few calls counts as a fraction.
        """
        self._sharers = max(1.0, share_divisor)
        self.budget.share_among(self._sharers, self.loop.time())
        self.fleet.share_among(self._sharers)
        self._apply_limits()

    def put_searcher(self, searcher: Searcher) -> None:
        """Add or update a searcher; connections to one that restarted are closed."""
        if self.fleet.put(searcher, self.loop.time()) is not None:
            self._remove_pool(searcher.id)
        elif searcher.draining:
            self._fail_waiting(searcher.id)

    def remove_searcher(self, searcher_id: str) -> None:
        """Remove a searcher that is gone."""
        if self.fleet.remove(searcher_id) is not None:
            self._remove_pool(searcher_id)

    def evacuate(self, failure_domain: str) -> None:
        """Stop sending to a failure domain, including calls that still wait for a connection."""
        for replica in self.fleet.evacuate(failure_domain):
            self._fail_waiting(replica.searcher.id)

    def restore(self, failure_domain: str) -> None:
        """Resume sending to an evacuated failure domain."""
        self.fleet.restore(failure_domain, self.loop.time())

    def sweep(self, now: float) -> None:
        """Close connections that exceeded the idle timeout."""
        for pool in self._pools.values():
            pool.sweep(now)

    def _pool_of(self, replica: Replica) -> Pool:
        searcher_id = replica.searcher.id
        pool = self._pools.get(searcher_id)
        if pool is None:
            pool = self._pools[searcher_id] = self._new_pool(replica)
        return pool

    def _new_pool(self, replica: Replica) -> Pool:
        def unreachable(error: Exception) -> None:
            if is_own_shortage(error):
                self.metrics.count("connects_without_descriptor")
                events.NO_DESCRIPTOR.log(searcher=replica.searcher.id, error=repr(error))
                return
            is_first = self.fleet.unreachable(replica, self.loop.time())
            self.metrics.count("searcher_connect_failures")
            if not is_first:
                return
            events.SEARCHER_UNREACHABLE.log(
                searcher=replica.searcher.id,
                address=replica.searcher.address,
                state=replica.state,
                error=repr(error),
                blocked_s=round(replica.blocked_until - self.loop.time(), 3),
            )

        share = self._connection_share(replica.searcher.service)
        return Pool(
            replica.searcher.address,
            share,
            unreachable,
            self.isolation.answered,
            self._reply_limits,
            self._connections,
        )

    def _remove_pool(self, searcher_id: str) -> None:
        pool = self._pools.pop(searcher_id, None)
        if pool is not None:
            pool.close()

    def _fail_waiting(self, searcher_id: str) -> None:
        pool = self._pools.get(searcher_id)
        if pool is not None:
            pool.fail_unsent()

    def _connection_share(self, service: str) -> float:
        """Return this instance's share of the connections that a searcher accepts."""
        allowed = self._service_limits.get(service, _DEFAULT_CONNECTIONS)
        return allowed * _USABLE_CONNECTION_SHARE / self._sharers

    def _apply_limits(self) -> None:
        for searcher_id, pool in self._pools.items():
            replica = self.fleet.get(searcher_id)
            if replica is not None:
                pool.share = self._connection_share(replica.searcher.service)
