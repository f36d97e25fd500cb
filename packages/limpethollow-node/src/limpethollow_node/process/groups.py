"""The group actors of this instance, started when first needed."""

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
    ReleaseMessage,
    RetireMessage,
    SearchMessage,
    SlotMessage,
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
class GroupParts:
    """What all groups of an instance share.

    Attributes:
        pools: Connections to all searchers.
        timers: Where actors set their wake-ups.
        metrics: Where counters are kept.
        waiting: Futures of all searches that have no answer yet.
        drain_listeners: Told of searchers that said that they are leaving or back.
    """

    pools: ConnectionPools
    timers: Timers
    metrics: Metrics
    waiting: set[Future[Any]] = field(default_factory=set)
    drain_listeners: list[Callable[[DrainNotice], None]] = field(default_factory=list)

    def drain_heard(self, service: str, index: int, searcher_id: str, draining: bool) -> None:
        """Pass on a searcher's word."""
        for listener in self.drain_listeners:
            listener(DrainNotice(service, index, searcher_id, draining, age=0.0))


class LocalGroup:
    """One group served by this instance, as one version of its service describes it.

    A later version is another handle on the same actor, so what was started under this one goes on
    and no slot of a searcher is used twice.

    Args:
        record: The service's record.
        group: The group.
        parts: What all groups share.
        mailbox: Where the group's actor takes messages.
        clients: Client of each searcher.
    """

    def __init__(
        self,
        record: ServiceRecord,
        group: Group,
        parts: GroupParts,
        mailbox: Mailbox,
        clients: dict[str, SearcherClient],
    ) -> None:
        self.version = record.version
        self._group = group
        self._parts = parts
        self._mailbox = mailbox
        self._clients = clients
        self._left: tuple[SearcherClient, ...] = ()

    @classmethod
    def start(
        cls, record: ServiceRecord, group: Group, parts: GroupParts, prefix: str
    ) -> "LocalGroup":
        """Start a group's actor."""
        assert record.spec is not None
        clients = {searcher.id: _client(parts, searcher) for searcher in group.searchers}
        tell_drain = partial(parts.drain_heard, record.name, group.index)
        ref = GroupActor.start(
            record.spec, group, clients, parts.timers, parts.metrics, prefix, tell_drain
        )
        return cls(record, group, parts, Mailbox(ref), clients)

    @property
    def is_alive(self) -> bool:
        """Whether the group takes requests."""
        return self._mailbox.is_open

    def moved_to(self, record: ServiceRecord, group: Group) -> "LocalGroup":
        """Have the actor go over to a newer version of the service; return the new handle."""
        assert record.spec is not None
        old = {searcher.id: searcher for searcher in self._group.searchers}
        clients = {
            searcher.id: (
                self._clients[searcher.id]
                if _same_connections(old.get(searcher.id), searcher)
                else _client(self._parts, searcher)
            )
            for searcher in group.searchers
        }
        moved = LocalGroup(record, group, self._parts, self._mailbox, clients)
        kept = set(clients.values())
        moved._left = tuple(c for c in self._clients.values() if c not in kept)
        self._mailbox.tell(ReconfigureMessage(record.spec, group, clients))
        _close(self._left)
        return moved

    def search(self, search: Search) -> Future[Any]:
        """Start a search; the future gets a `GroupAnswer`, `ServableVersions` or a typed error."""
        future: Future[Any] = Future()
        self._parts.waiting.add(future)
        future.add_done_callback(self._parts.waiting.discard)
        self._ask(SearchMessage(search, future), future)
        return future

    def abandon(self, search_id: str) -> None:
        """Drop a search whose caller left."""
        self._mailbox.tell(AbandonMessage(search_id))

    def take_slot(self, request: SlotRequest) -> Future[str]:
        """Ask for a slot; the future gets the searcher's id or a typed error.

        Only searchers that this version names for the shard are granted: a booking's outcome is
        looked for at those, whatever the configuration becomes while it waits.
        """
        future: Future[str] = Future()
        holders = frozenset(
            (s.id, s.address) for s in self._group.searchers if request.shard in s.shards
        )
        self._ask(SlotMessage(replace(request, holders=holders), future), future)
        return future

    def release_slot(
        self, request_id: str, failure: Failure | None = None, retry_after: float | None = None
    ) -> None:
        """Give a slot back and say how its dispatch ended."""
        self._mailbox.tell(ReleaseMessage(request_id, failure, retry_after))

    def client(self, searcher_id: str) -> SearcherClient:
        """Return the client of one searcher."""
        return self._clients[searcher_id]

    def drain_reported(self, notice: DrainNotice) -> None:
        """Take in what is known elsewhere of a leaving or returning searcher."""
        reported_at = time.monotonic() - notice.age
        self._mailbox.tell(
            DrainMessage(notice.searcher, notice.draining, reported_at, notice.listed)
        )

    def retire(self) -> None:
        """End the actor once nothing is open, so that no request is cut off."""
        self._mailbox.close(RetireMessage())
        _close(self._left)

    def _ask(self, message: Any, future: Future[Any]) -> None:
        if not self._mailbox.ask(message):
            error = Unavailable("The group has just been replaced.", retry_after=_RETRY_AFTER)
            future.set_exception(error)


def _client(parts: GroupParts, searcher: SearcherSpec) -> SearcherClient:
    return SearcherClient(parts.pools, searcher, parts.timers, parts.metrics)


def _same_connections(old: SearcherSpec | None, new: SearcherSpec) -> bool:
    return old is not None and (old.address, old.connections) == (new.address, new.connections)


def _close(clients: Iterable[SearcherClient]) -> None:
    """Release clients that left one version ago, when their calls have surely ended."""
    for client in clients:
        client.__exit__()


class LocalGroups:
    """All groups served by this instance.

    Args:
        timers: Where actors set their wake-ups.
        metrics: Where counters are kept.
        incarnation: This run of the instance, part of all call ids.
    """

    def __init__(self, timers: Timers, metrics: Metrics, incarnation: str) -> None:
        self._incarnation = incarnation
        self._lock = threading.Lock()
        self._numbers = itertools.count(1)
        self._groups: dict[tuple[str, int], LocalGroup] = {}
        self._versions: dict[str, int] = {}
        self._pools = ConnectionPools(timers, metrics)
        self._parts = GroupParts(self._pools, timers, metrics)
        self._gave_up = False

    def __enter__(self) -> "LocalGroups":
        return self

    def __exit__(self, *_: object) -> None:
        with self._lock:
            groups, self._groups = self._groups, {}
        for group in groups.values():
            group.retire()
        self._pools.close()

    def client(self, searcher: SearcherSpec) -> SearcherClient:
        """Return a client of any searcher, within this instance's budget of connections."""
        return _client(self._parts, searcher)

    def listen_for_drains(self, listener: Callable[[DrainNotice], None]) -> None:
        """Have a callable told of searchers that said that they are leaving or back."""
        self._parts.drain_listeners.append(listener)

    def drain_reported(self, notice: DrainNotice) -> None:
        """Take in what is known elsewhere of a searcher, if its group runs here."""
        with self._lock:
            group = self._groups.get((notice.service, notice.group))
        if group is not None:
            group.drain_reported(notice)

    def give_up(self) -> None:
        """End everything that is open because the process is about to exit."""
        self._gave_up = True
        self._pools.close()
        for future in tuple(self._parts.waiting):
            future.cancel()

    def get(self, record: ServiceRecord, index: int) -> LocalGroup:
        """Return a group of a service at this version of it, or at a newer one it has gone over to.

        Raises:
            VersionGone: A newer version of the service has no such group.
        """
        assert record.spec is not None
        if self._gave_up:
            raise Unavailable("The instance exits.", retry_after=_RETRY_AFTER)
        with self._lock:
            group = self._groups.get((record.name, index))
            if group is None or not group.is_alive:
                if record.version < self._versions.get(record.name, 0):
                    raise VersionGone(f"Service '{record.name}' has a newer version in force.")
                prefix = f"{self._incarnation}-{next(self._numbers)}"
                cut = partition_service(record.spec)[index]
                group = LocalGroup.start(record, cut, self._parts, prefix)
                self._groups[record.name, index] = group
            elif group.version < record.version:
                group = group.moved_to(record, partition_service(record.spec)[index])
                self._groups[record.name, index] = group
            return group

    def records_applied(self, records: tuple[ServiceRecord, ...]) -> None:
        """Have the groups of services that changed go over to the new version at once."""
        with self._lock:
            for record in records:
                self._versions[record.name] = record.version
                for name, index in [key for key in self._groups if key[0] == record.name]:
                    self._go_over(record, name, index)

    def _go_over(self, record: ServiceRecord, name: str, index: int) -> None:
        group = self._groups[name, index]
        if group.version >= record.version:
            return
        cut = partition_service(record.spec) if record.spec else ()
        if index < len(cut):
            self._groups[name, index] = group.moved_to(record, cut[index])
        else:
            self._groups.pop((name, index)).retire()
