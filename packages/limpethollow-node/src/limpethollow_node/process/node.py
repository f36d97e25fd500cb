"""Wires the components of one instance together and runs them."""

import resource
import secrets
import sys
from contextlib import ExitStack
from random import Random

from limpethollow_node.connection.hangups import HangUpWatch
from limpethollow_node.connection.listeners import Listener
from limpethollow_node.connection.peer_listeners import PeerListener
from limpethollow_node.process import events
from limpethollow_node.process.configs import ConfigManager
from limpethollow_node.process.drains import DrainNotifier
from limpethollow_node.process.groups import LocalGroups
from limpethollow_node.process.lifecycles import Lifecycle, RouteSelector, ShutdownHooks
from limpethollow_node.process.links import PeerLinks
from limpethollow_node.process.members import MembershipTracker
from limpethollow_node.process.metrics import Metrics
from limpethollow_node.process.peersync import PeerSync
from limpethollow_node.process.platforms import PlatformClient
from limpethollow_node.process.timers import Timers
from limpethollow_node.request import callers, operators
from limpethollow_node.request import configs as _config_requests  # noqa: F401 - registers handlers
from limpethollow_node.request.bookings import BookingExecutor
from limpethollow_node.request.callers import CallerContext
from limpethollow_node.request.operators import OperatorContext
from limpethollow_node.request.peers import PeerContext, answer_peer
from limpethollow_node.request.searches import Coordinator
from limpethollow_node.version.planners import Planner
from limpethollow_policy.connection.listener_limits import ProcessLimits
from limpethollow_policy.process.shutdowns import InstanceState, OpenWork
from limpethollow_wire.instances import InstanceStatus
from limpethollow_wire.peers import Acknowledgement, Hello, Leaving, RouteHoldTime
from limpethollow_wire.settings import NodeSettings

_OPERATOR_THREADS = 4
_PEER_TIMEOUT_SECONDS = 0.5


class Node:
    """One run of an instance; its components are started and stopped in order.

    Usage:
        with Node(settings) as node:
            node.run()

    Args:
        settings: The validated settings.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings
        self._id = settings.instance.id
        self._incarnation = secrets.token_hex(4)
        self._rng = Random()
        self._lifecycle = Lifecycle(settings.shutdown.linger, settings.shutdown.bound)
        self._stack = ExitStack()
        self._metrics = Metrics()
        self._create_components()

    def __enter__(self) -> "Node":
        with ExitStack() as stack:
            for component in self._components:
                stack.enter_context(component)
            self._stack = stack.pop_all()
        self._lifecycle.started()
        events.STARTED.log(incarnation=self._incarnation, caller=self._callers.address)
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()
        events.STOPPED.log()

    @property
    def addresses(self) -> dict[str, str]:
        """The bound address of each listener, by listener name."""
        return {
            "caller": self._callers.address,
            "operator": self._operators.address,
            "peer": self._peers.address,
        }

    @property
    def lifecycle(self) -> Lifecycle:
        """The lifecycle of this run."""
        return self._lifecycle

    def run(self) -> None:
        """Serve until shutdown is requested, then shut down gracefully."""
        self._lifecycle.run(
            ShutdownHooks(
                refuse_tokens=self._refuse_tokens,
                notify_peer=self._notify_peer,
                peers=lambda: tuple(peer.id for peer in self._members.peers()),
                held=lambda: self._routes.withdraw_peer(self._id, self._incarnation),
                longest_ttl=self._longest_ttl,
                open_work=self._open_work,
                give_up=self._abort_open_requests,
            )
        )

    def status(self) -> InstanceStatus:
        """Return the status that this instance reports."""
        return InstanceStatus(
            id=self._id,
            incarnation=self._incarnation,
            state="refusing" if self._is_refusing else self._lifecycle.state,
            failure_domain=self._settings.instance.failure_domain,
            versions=self._configs.digest,
            peers=self._members.states(),
        )

    @property
    def _is_refusing(self) -> bool:
        return self._lifecycle.state is InstanceState.SERVING and self._configs.is_refusing

    def _create_components(self) -> None:
        settings, metrics = self._settings, self._metrics
        keys, listener_settings = settings.keys, settings.listeners
        platform = PlatformClient(settings.platform, metrics)
        timers = Timers()
        limits = ProcessLimits.of(listener_settings.connections, _descriptor_limit())
        self._members = MembershipTracker(
            self._id, settings.instance.failure_domain, platform, self._rng
        )
        self._routes = RouteSelector(self._members)
        self._configs = ConfigManager(platform, self._members, metrics, self._rng)
        self._links = PeerLinks(self._members, keys.peer, self._hello, self._rng, metrics)
        self._groups = LocalGroups(timers, metrics, f"{self._id}-{self._incarnation}")
        groups = self._groups
        self._configs.listen(groups.records_applied)
        hang_up_watch = HangUpWatch(metrics)
        coordinator = Coordinator(
            self._id, self._configs, self._members, self._links, groups, metrics
        )
        self._bookings = BookingExecutor(
            self._id, self._incarnation, self._configs, self._links, groups, metrics
        )
        sync = PeerSync(
            self._configs,
            self._members,
            self._links,
            metrics,
            settings.peers.seeds,
            keys.peer,
            self._hello,
            self._rng,
        )
        planner = Planner(platform, self._configs, self._members, sync, self._rng)
        peers = PeerContext(
            self._configs,
            self._members,
            self._routes,
            coordinator,
            self._bookings,
            self.status,
            sync,
            groups,
        )
        drains = DrainNotifier(self._members, self._configs, self._links, groups, metrics)
        groups.add_drain_listener(drains.heard)
        self._members.add_searcher_listener(drains.listed)
        caller_context = CallerContext(
            self._id,
            self._incarnation,
            self._configs,
            self._members,
            self._routes,
            coordinator,
            hang_up_watch,
            self._bookings,
            self._exchange_hellos,
        )
        operator_context = OperatorContext(
            keys.operator, self._configs, self._members, planner, metrics, self.status
        )
        self._peers = PeerListener(
            listener_settings.host,
            listener_settings.peer_port,
            keys.peer,
            self._hello,
            self._links.hello_received,
            lambda peer, kind, body: answer_peer(peers, kind, body),
            metrics,
            limits.peers,
        )
        self._callers = Listener(
            listener_settings.host,
            listener_settings.caller_port,
            listener_settings.threads,
            callers.ROUTES,
            caller_context,
            self._lifecycle,
            limits.callers,
            metrics,
        )
        self._operators = Listener(
            listener_settings.host,
            listener_settings.operator_port,
            _OPERATOR_THREADS,
            operators.ROUTES,
            operator_context,
            self._lifecycle,
            limits.operators,
            metrics,
        )
        self._components = (
            platform,
            timers,
            groups,
            self._bookings,
            drains,
            self._links,
            self._members,
            self._configs,
            self._peers,
            self._operators,
            hang_up_watch,
            self._callers,
            sync,
        )

    def _hello(self) -> Hello:
        state = self._lifecycle.state
        # A port that the system assigns is known only once the listener is bound.
        addresses = {} if state is InstanceState.STARTING else self.addresses
        return Hello(
            self._id,
            self._incarnation,
            self._settings.instance.failure_domain,
            state,
            self._bookings.age,
            addresses.get("caller", ""),
            addresses.get("peer", ""),
            addresses.get("operator", ""),
        )

    def _refuse_tokens(self) -> None:
        self._bookings.leave()

    def _notify_peer(self, peer_id: str) -> float:
        message = Leaving(self._id, self._incarnation)
        reply = self._links.request(
            peer_id, "instance.leaving", message, RouteHoldTime, _PEER_TIMEOUT_SECONDS
        )
        return reply.seconds

    def _exchange_hellos(self, peer_id: str) -> None:
        """Exchange hellos with a peer, opening a link if there is none."""
        self._links.request(
            peer_id, "instance.hello", self._hello(), Acknowledgement, _PEER_TIMEOUT_SECONDS
        )

    def _longest_ttl(self) -> float:
        return max((r.spec.route_ttl for r in self._configs.records if r.spec), default=0.0)

    def _open_work(self) -> OpenWork:
        listeners = (self._callers, self._operators, self._peers)
        requests = sum(listener.open_requests for listener in listeners)
        return OpenWork(requests, self._callers.last_arrival)

    def _abort_open_requests(self) -> None:
        self._groups.give_up()
        self._bookings.give_up()
        self._links.give_up()


def _descriptor_limit() -> int:
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if limit == resource.RLIM_INFINITY else limit
