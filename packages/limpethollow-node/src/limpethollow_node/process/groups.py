"""The group actors of this instance, started when first needed."""

import itertools
import threading
import time
from collections.abc import Callable
from concurrent.futures import Future
from functools import partial
from typing import Any

import pykka

from limpethollow_node.connection.pools import ConnectionPools
from limpethollow_node.connection.searchers import SearcherClient
from limpethollow_node.process.actors import (
    AbandonMessage,
    DrainMessage,
    GroupActor,
    ReleaseMessage,
    RetireMessage,
    SearchMessage,
    SlotMessage,
)
from limpethollow_node.process.metrics import Metrics
from limpethollow_node.process.timers import Timers
from limpethollow_policy.request.events import Failure, Search, SlotRequest
from limpethollow_policy.version.groups import Group, cut_groups
from limpethollow_wire.exceptions import Unavailable
from limpethollow_wire.peers import DrainNotice
from limpethollow_wire.services import SearcherSpec, ServiceRecord

_RETRY_AFTER = 0.1


class LocalGroup:
    """One group served by this instance, and the version of its service that it serves."""

    def __init__(
        self,
        record: ServiceRecord,
        group: Group,
        pools: ConnectionPools,
        waiting: set[Future[Any]],
        timers: Timers,
        metrics: Metrics,
        prefix: str,
        tell_drain: Callable[[str, bool], None],
    ) -> None:
        assert record.spec is not None
        self.version = record.version
        self._clients = {
            searcher.id: SearcherClient(pools, searcher, timers, metrics)
            for searcher in group.searchers
        }
        self._waiting = waiting
        self._ref = GroupActor.start(
            record.spec, group, self._clients, timers, metrics, prefix, tell_drain
        )

    def search(self, search: Search) -> Future[Any]:
        """Start a search; the future gets a `GroupAnswer`, `ServableVersions` or a typed error."""
        future: Future[Any] = Future()
        self._waiting.add(future)
        future.add_done_callback(self._waiting.discard)
        self._tell(SearchMessage(search, future), future)
        return future

    def abandon(self, search_id: str) -> None:
        """Drop a search whose caller left."""
        self._tell(AbandonMessage(search_id), None)

    def take_slot(self, request: SlotRequest) -> Future[str]:
        """Ask for a slot; the future gets the searcher's id or a typed error."""
        future: Future[str] = Future()
        self._tell(SlotMessage(request, future), future)
        return future

    def release_slot(
        self, request_id: str, failure: Failure | None = None, retry_after: float | None = None
    ) -> None:
        """Give a slot back and say how its dispatch ended."""
        self._tell(ReleaseMessage(request_id, failure, retry_after), None)

    def client(self, searcher_id: str) -> SearcherClient:
        """Return the client of one searcher."""
        return self._clients[searcher_id]

    def drain_noted(self, notice: DrainNotice) -> None:
        """Take in what is known elsewhere of a leaving or returning searcher."""
        said_at = time.monotonic() - notice.age
        message = DrainMessage(notice.searcher, notice.draining, said_at, notice.listed)
        self._tell(message, None)

    def retire(self) -> None:
        """End the actor once nothing is open, so that a new version cuts off no request."""
        self._tell(RetireMessage(), None)

    def _tell(self, message: Any, future: Future[Any] | None) -> None:
        try:
            self._ref.tell(message)
        except pykka.ActorDeadError:
            if future is not None:
                error = Unavailable("The group has just been replaced.", retry_after=_RETRY_AFTER)
                future.set_exception(error)


class LocalGroups:
    """All groups served by this instance.

    Args:
        timers: Where actors set their wake-ups.
        metrics: Where counters are kept.
        incarnation: This run of the instance, part of all call ids.
    """

    def __init__(self, timers: Timers, metrics: Metrics, incarnation: str) -> None:
        self._timers = timers
        self._metrics = metrics
        self._incarnation = incarnation
        self._lock = threading.Lock()
        self._numbers = itertools.count(1)
        self._groups: dict[tuple[str, int], LocalGroup] = {}
        self._pools = ConnectionPools(timers, metrics)
        self._waiting: set[Future[Any]] = set()
        self._gave_up = False
        self._drain_listeners: list[Callable[[DrainNotice], None]] = []

    def __enter__(self) -> "LocalGroups":
        return self

    def __exit__(self, *_: object) -> None:
        with self._lock:
            groups, self._groups = self._groups, {}
        for group in groups.values():
            group.retire()
        self._pools.close()

    def listen_for_drains(self, listener: Callable[[DrainNotice], None]) -> None:
        """Have a callable told of searchers that said that they are leaving or back."""
        self._drain_listeners.append(listener)

    def drain_noted(self, notice: DrainNotice) -> None:
        """Take in what is known elsewhere of a searcher, if its group runs here."""
        with self._lock:
            group = self._groups.get((notice.service, notice.group))
        if group is not None:
            group.drain_noted(notice)

    def client(self, searcher: SearcherSpec) -> SearcherClient:
        """Return a client of any searcher, within this instance's budget of connections."""
        return SearcherClient(self._pools, searcher, self._timers, self._metrics)

    def give_up(self) -> None:
        """End everything that is open because the process is about to exit."""
        self._gave_up = True
        self._pools.close()
        for future in tuple(self._waiting):
            future.cancel()

    def get(self, record: ServiceRecord, index: int) -> LocalGroup:
        """Return a group of a service, started at this version if it was not running."""
        assert record.spec is not None
        if self._gave_up:
            raise Unavailable("The instance exits.", retry_after=_RETRY_AFTER)
        with self._lock:
            group = self._groups.get((record.name, index))
            if group is None or group.version < record.version:
                if group is not None:
                    group.retire()
                prefix = f"{self._incarnation}-{next(self._numbers)}"
                cut = cut_groups(record.spec)[index]
                group = LocalGroup(
                    record,
                    cut,
                    self._pools,
                    self._waiting,
                    self._timers,
                    self._metrics,
                    prefix,
                    partial(self._drain_heard, record.name, index),
                )
                self._groups[record.name, index] = group
            return group

    def _drain_heard(self, service: str, index: int, searcher_id: str, draining: bool) -> None:
        for listener in self._drain_listeners:
            listener(DrainNotice(service, index, searcher_id, draining, age=0.0))

    def records_applied(self, records: tuple[ServiceRecord, ...]) -> None:
        """End the groups of services that changed; they start anew with the next request."""
        with self._lock:
            for record in records:
                for key in [key for key in self._groups if key[0] == record.name]:
                    if self._groups[key].version < record.version:
                        self._groups.pop(key).retire()
