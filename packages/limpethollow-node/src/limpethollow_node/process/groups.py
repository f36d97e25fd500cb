"""Group actors of this instance, each started on first use."""

import itertools
import threading
import time
from collections.abc import Callable, Iterable
from concurrent.futures import Future
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

from limpethollow_node.connection.pools import ConnectionPools
from limpethollow_node.connection.searchers import SearcherClient
from limpethollow_node.process.actors import (
    AbandonMessage,
    DrainMessage,
    GroupActor,
    Mailbox,
    ReconfigureMessage,
    ReleaseSlotMessage,
    RequestSlotMessage,
    RetireMessage,
    SearchMessage,
)
from limpethollow_node.process.metrics import Metrics
from limpethollow_node.process.timers import Timers
from limpethollow_policy.request.events import Failure, Search, SlotRequest
from limpethollow_policy.version.groups import Group, partition_service
from limpethollow_wire.exceptions import Unavailable, VersionGone
from limpethollow_wire.peers import DrainNotice
from limpethollow_wire.services import SearcherSpec, ServiceRecord

_RETRY_AFTER = 0.1


@dataclass(slots=True, frozen=True)
class GroupResources:
    """Resources shared by all groups of an instance.

    Attributes:
        pools: Connection pools for all searchers.
        timers: Schedules the wake-ups of the actors.
        metrics: Registry for counters and timings.
        waiting: Futures of all searches that have not completed.
        drain_listeners: Called when a searcher reports that it is draining or in service again.
    """

    pools: ConnectionPools
    timers: Timers
    metrics: Metrics
    waiting: set[Future[Any]] = field(default_factory=set)
    drain_listeners: list[Callable[[DrainNotice], None]] = field(default_factory=list)

    def notify_drain_listeners(
        self, service: str, index: int, searcher_id: str, draining: bool
    ) -> None:
        """Call the drain listeners with what a searcher reported."""
        for listener in self.drain_listeners:
            listener(DrainNotice(service, index, searcher_id, draining, age=0.0))


class LocalGroup:
    """Handle for one group served by this instance, at one version of its service.

    The handle for a later version refers to the same actor, so work started under this version
    continues and no slot of a searcher is used twice.

    Args:
        record: Record of the service.
        group: The group.
        resources: Resources shared by all groups.
        mailbox: Mailbox of the group's actor.
        clients: Client for each searcher, by searcher id.
    """

    def __init__(
        self,
        record: ServiceRecord,
        group: Group,
        resources: GroupResources,
        mailbox: Mailbox,
        clients: dict[str, SearcherClient],
    ) -> None:
        self.version = record.version
        self._group = group
        self._resources = resources
        self._mailbox = mailbox
        self._clients = clients
        self._removed_clients: tuple[SearcherClient, ...] = ()

    @classmethod
    def start(
        cls, record: ServiceRecord, group: Group, resources: GroupResources, prefix: str
    ) -> "LocalGroup":
        """Start the actor of a group and return a handle for it."""
        assert record.spec is not None
        clients = {searcher.id: _make_client(resources, searcher) for searcher in group.searchers}
        notify_drain = partial(resources.notify_drain_listeners, record.name, group.index)
        ref = GroupActor.start(
            record.spec, group, clients, resources.timers, resources.metrics, prefix, notify_drain
        )
        return cls(record, group, resources, Mailbox(ref), clients)

    @property
    def is_alive(self) -> bool:
        """Whether the group accepts requests."""
        return self._mailbox.is_open

    def reconfigure(self, record: ServiceRecord, group: Group) -> "LocalGroup":
        """Switch the actor to a newer version of the service and return the new handle."""
        assert record.spec is not None
        old = {searcher.id: searcher for searcher in self._group.searchers}
        clients = {
            searcher.id: (
                self._clients[searcher.id]
                if _same_connections(old.get(searcher.id), searcher)
                else _make_client(self._resources, searcher)
            )
            for searcher in group.searchers
        }
        reconfigured = LocalGroup(record, group, self._resources, self._mailbox, clients)
        kept = set(clients.values())
        reconfigured._removed_clients = tuple(c for c in self._clients.values() if c not in kept)
        self._mailbox.tell(ReconfigureMessage(record.spec, group, clients))
        _close_clients(self._removed_clients)
        return reconfigured

    def search(self, search: Search) -> Future[Any]:
        """Start a search.

        Returns:
            Future of a `GroupAnswer` or `ServableVersions`; fails with a typed error.
        """
        future: Future[Any] = Future()
        self._resources.waiting.add(future)
        future.add_done_callback(self._resources.waiting.discard)
        self._ask(SearchMessage(search, future), future)
        return future

    def abandon(self, search_id: str) -> None:
        """Abandon a search whose caller disconnected."""
        self._mailbox.tell(AbandonMessage(search_id))

    def take_slot(self, request: SlotRequest) -> Future[str]:
        """Request a slot for a booking.

        Only searchers that hold the shard in this version are granted, even if the configuration
        changes while the request waits, because the outcome of the booking is later looked up at
        those searchers.

        Returns:
            Future of the searcher's id; fails with a typed error.
        """
        future: Future[str] = Future()
        holders = frozenset(
            (s.id, s.address) for s in self._group.searchers if request.shard in s.shards
        )
        self._ask(RequestSlotMessage(replace(request, holders=holders), future), future)
        return future

    def release_slot(
        self, request_id: str, failure: Failure | None = None, retry_after: float | None = None
    ) -> None:
        """Release a slot and report how its dispatch ended."""
        self._mailbox.tell(ReleaseSlotMessage(request_id, failure, retry_after))

    def client(self, searcher_id: str) -> SearcherClient:
        """Return the client of one searcher."""
        return self._clients[searcher_id]

    def drain_reported(self, notice: DrainNotice) -> None:
        """Apply a notice that a searcher is draining or in service again."""
        reported_at = time.monotonic() - notice.age
        self._mailbox.tell(
            DrainMessage(notice.searcher, notice.draining, reported_at, notice.listed)
        )

    def retire(self) -> None:
        """Stop the actor once it has no open work, so that no request is interrupted."""
        self._mailbox.close(RetireMessage())
        _close_clients(self._removed_clients)

    def _ask(self, message: Any, future: Future[Any]) -> None:
        if not self._mailbox.ask(message):
            error = Unavailable("The group no longer accepts requests.", retry_after=_RETRY_AFTER)
            future.set_exception(error)


def _make_client(resources: GroupResources, searcher: SearcherSpec) -> SearcherClient:
    return SearcherClient(resources.pools, searcher, resources.timers, resources.metrics)


def _same_connections(old: SearcherSpec | None, new: SearcherSpec) -> bool:
    return old is not None and (old.address, old.connections) == (new.address, new.connections)


def _close_clients(clients: Iterable[SearcherClient]) -> None:
    """Close clients removed by the previous version change; their calls have ended by now."""
    for client in clients:
        client.__exit__()


class LocalGroups:
    """All groups served by this instance.

    Args:
        timers: Schedules the wake-ups of the actors.
        metrics: Registry for counters and timings.
        incarnation: Identifies this run of the instance; part of all call ids.
    """

    def __init__(self, timers: Timers, metrics: Metrics, incarnation: str) -> None:
        self._incarnation = incarnation
        self._lock = threading.Lock()
        self._start_numbers = itertools.count(1)
        self._groups: dict[tuple[str, int], LocalGroup] = {}
        self._versions: dict[str, int] = {}
        self._pools = ConnectionPools(timers, metrics)
        self._resources = GroupResources(self._pools, timers, metrics)
        self._is_aborted = False

    def __enter__(self) -> "LocalGroups":
        return self

    def __exit__(self, *_: object) -> None:
        with self._lock:
            groups, self._groups = self._groups, {}
        for group in groups.values():
            group.retire()
        self._pools.close()

    def client(self, searcher: SearcherSpec) -> SearcherClient:
        """Return a client for any searcher, subject to this instance's connection limits."""
        return _make_client(self._resources, searcher)

    def add_drain_listener(self, listener: Callable[[DrainNotice], None]) -> None:
        """Register a callable for reports that a searcher is draining or in service again."""
        self._resources.drain_listeners.append(listener)

    def drain_reported(self, notice: DrainNotice) -> None:
        """Apply a notice about a searcher if its group runs on this instance."""
        with self._lock:
            group = self._groups.get((notice.service, notice.group))
        if group is not None:
            group.drain_reported(notice)

    def give_up(self) -> None:
        """Close all connections and cancel all open searches before the process exits."""
        self._is_aborted = True
        self._pools.close()
        for future in tuple(self._resources.waiting):
            future.cancel()

    def get(self, record: ServiceRecord, index: int) -> LocalGroup:
        """Return a group of a service at the version of the record, or at a newer one in force.

        Raises:
            Unavailable: The process is about to exit.
            VersionGone: The group isn't running, and a newer version of the service is in force.
        """
        assert record.spec is not None
        if self._is_aborted:
            raise Unavailable("The instance is shutting down.", retry_after=_RETRY_AFTER)
        with self._lock:
            group = self._groups.get((record.name, index))
            if group is None or not group.is_alive:
                if record.version < self._versions.get(record.name, 0):
                    raise VersionGone(f"Service '{record.name}' has a newer version in force.")
                prefix = f"{self._incarnation}-{next(self._start_numbers)}"
                definition = partition_service(record.spec)[index]
                group = LocalGroup.start(record, definition, self._resources, prefix)
                self._groups[record.name, index] = group
            elif group.version < record.version:
                group = group.reconfigure(record, partition_service(record.spec)[index])
                self._groups[record.name, index] = group
            return group

    def records_applied(self, records: tuple[ServiceRecord, ...]) -> None:
        """Switch the running groups of changed services to their new version."""
        with self._lock:
            for record in records:
                self._versions[record.name] = record.version
                for name, index in [key for key in self._groups if key[0] == record.name]:
                    self._update_group(record, name, index)

    def _update_group(self, record: ServiceRecord, name: str, index: int) -> None:
        group = self._groups[name, index]
        if group.version >= record.version:
            return
        definitions = partition_service(record.spec) if record.spec else ()
        if index < len(definitions):
            self._groups[name, index] = group.reconfigure(record, definitions[index])
        else:
            self._groups.pop((name, index)).retire()
