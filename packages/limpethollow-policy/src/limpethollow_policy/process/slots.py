"""Grants searcher slots to bookings, which take precedence over searches."""

from collections.abc import Callable

from limpethollow_policy.connection.searchers import SearcherState
from limpethollow_policy.process.calls import CallTable
from limpethollow_policy.process.replicas import ReplicaSet
from limpethollow_policy.process.waitestimates import WaitEstimate
from limpethollow_policy.request.events import DenySlot, Failure, GrantSlot, SlotRequest
from limpethollow_policy.request.outboxes import Outbox
from limpethollow_wire.exceptions import LimpethollowError, Overloaded, Unavailable


class SlotGranter:
    """Grants slots to bookings and releases them.

    Args:
        replicas: The group's searchers.
        waits: Estimates when a refused caller should retry.
        outbox: Collects the actions.
        calls: The open calls.
        ask_inventory: Starts an inventory call to a searcher.
    """

    __slots__ = (
        "_ask_inventory",
        "_calls",
        "_granted",
        "_outbox",
        "_replicas",
        "_waiting",
        "_waits",
    )

    def __init__(
        self,
        replicas: ReplicaSet,
        waits: WaitEstimate,
        outbox: Outbox,
        calls: CallTable,
        ask_inventory: Callable[[SearcherState, float], None],
    ) -> None:
        self._calls = calls
        self._ask_inventory = ask_inventory
        self._replicas = replicas
        self._waits = waits
        self._outbox = outbox
        self._waiting: dict[str, SlotRequest] = {}
        self._granted: dict[str, SearcherState] = {}

    @property
    def is_idle(self) -> bool:
        """Whether no booking waits for a slot or uses one."""
        return not (self._waiting or self._granted)

    def deadlines(self) -> list[float]:
        """Return the monotonic times in seconds at which waiting bookings must be answered."""
        return [request.deadline for request in self._waiting.values()]

    def wanted(self, request: SlotRequest) -> None:
        """Add a booking's slot request to the waiting ones."""
        self._waiting[request.id] = request

    def released(
        self, request_id: str, failure: Failure | None, retry_after: float | None, now: float
    ) -> None:
        """Release a booking's slot and record the outcome of its dispatch."""
        self._waiting.pop(request_id, None)
        searcher = self._granted.pop(request_id, None)
        if searcher is None:
            return
        searcher.call_ended(request_id)
        if failure is not None:
            searcher.failed(failure, retry_after, now)

    def serve(self, now: float) -> None:
        """Grant free slots, and deny the requests that can't be granted in time."""
        for request in tuple(self._waiting.values()):
            if self._serve(request, now):
                del self._waiting[request.id]

    def _serve(self, request: SlotRequest, now: float) -> bool:
        holders = [s for s in self._holders(request) if s.is_usable(now)]
        free = self._free(holders, now)
        if now >= request.deadline:
            self._deny(request, self._overloaded(now))
        elif free:
            self._grant(request, free, now)
        elif not holders:
            message = f"No usable searcher holds shard {request.shard}."
            self._deny(request, Unavailable(message, retry_after=self._waits.retry_after(now)))
        else:
            return False
        return True

    def _free(self, holders: list[SearcherState], now: float) -> list[SearcherState]:
        """Return the free holders with a fresh inventory; if there are none, query the others.

        Without this, after an hour without traffic, a searcher that left long ago would get new
        work, and a dead connection would leave the booking's outcome unknown. The inventory call
        detects both before the booking is sent.
        """
        fresh = self._replicas.fresh(holders, now)
        free = [s for s in fresh if s.has_free_slot]
        if not free:
            for searcher in holders:
                if searcher not in fresh and not self._calls.has_inventory_call(searcher):
                    self._ask_inventory(searcher, now)
        return free

    def _holders(self, request: SlotRequest) -> list[SearcherState]:
        """Return the searchers that may run a booking.

        A booking is accepted under one version of the configuration, and its outcome is looked up
        at the searchers of that version. Searchers added by a newer version are excluded.
        """
        holders = self._replicas.holders(request.shard)
        if not request.holders:
            return holders
        return [s for s in holders if (s.spec.id, s.spec.address) in request.holders]

    def _grant(self, request: SlotRequest, free: list[SearcherState], now: float) -> None:
        best = min(free, key=lambda s: (s.spec.id in request.exclude, s.expected_wait(now)))
        best.call_started(request.id, now)
        self._granted[request.id] = best
        self._outbox.add(GrantSlot(request.id, best.spec.id))

    def _overloaded(self, now: float) -> Overloaded:
        message = "No slot became free in time."
        return Overloaded(message, retry_after=self._waits.retry_after(now))

    def _deny(self, request: SlotRequest, error: LimpethollowError) -> None:
        self._outbox.add(DenySlot(request.id, error))
        self._outbox.count("bookings_refused", error.code)
