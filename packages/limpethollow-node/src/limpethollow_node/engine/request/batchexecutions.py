"""Execution of a batch that another instance sent."""

import itertools
from collections.abc import Callable

from limpethollow_node.engine.connection.clients import ReplyCutOff
from limpethollow_node.engine.connection.peerlinks import PeerLink
from limpethollow_node.engine.connection.replylimits import report_exceeded
from limpethollow_node.engine.frames import Batch, BatchFailure, BatchParts
from limpethollow_node.engine.messages import Reply
from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.engine.process.pools import Call
from limpethollow_node.engine.request.leaving import report_if_leaving
from limpethollow_node.engine.request.replychecks import (
    judge,
    load_report_of,
    render_head,
    take_cold_statement,
    verdict_on_failure,
)
from limpethollow_policy.process.loadreports import LoadReport
from limpethollow_policy.process.searchers import Replica
from limpethollow_policy.request.parts import PartSet
from limpethollow_policy.request.verdicts import Verdict

# Parts that arrive after the merge window wait for this fraction of it to be sent together: each
# frame costs both instances as much as a call, and late parts tend to arrive at the same time, such
# as when a searcher's pause ends.
_LATE_MERGE_FRACTION = 0.15


class BatchExecution:
    """Makes the calls of a batch, and returns merged parts and individual failures.

    Args:
        dispatch: State shared by the process.
        link: Link to the instance that sent the batch.
        batch: The batch.
        done: Called once all calls have completed.

    Attributes:
        permit: What the request may do by this instance's own version and lease.
    """

    __slots__ = (
        "_batch",
        "_calls",
        "_cold_ms",
        "_deadline",
        "_dispatch",
        "_done",
        "_link",
        "_loads",
        "_merging",
        "_durations_ms",
        "_parts",
        "_flush_timer",
        "_merge_timer",
        "permit",
    )

    def __init__(
        self, dispatch: Dispatch, link: PeerLink, batch: Batch, done: Callable[[], None]
    ) -> None:
        self._dispatch = dispatch
        self._link = link
        self._batch = batch
        self.permit = dispatch.delegated_permit(
            batch.digest, batch.tenant, batch.version, public=batch.public
        )
        self._done = done
        self._calls: dict[str, _Call] = {}
        self._parts = PartSet(batch.top)
        self._durations_ms: list[int] = []
        self._loads: list[LoadReport | None] = []
        self._cold_ms: dict[str, int] = {}
        self._merging = True
        self._deadline = dispatch.loop.time() + batch.left
        self._merge_timer = None
        self._flush_timer = None

    @property
    def request_id(self) -> bytes:
        """Return the caller's id for the request."""
        return self._batch.request_id

    @property
    def body(self) -> bytes:
        """Return the request's body."""
        return self._batch.body

    def start(self) -> None:
        """Make the calls."""
        loop = self._dispatch.loop
        self._merge_timer = loop.call_later(self._batch.merge_window, self._end_merging)
        # By a newer entry than the sender's, a searcher may be in another region.
        homes = self._batch.homes
        allowed = None if homes is None else self._dispatch.regions.domains_in(frozenset(homes))
        for call in self._batch.calls:
            if not self.permit.may_send():
                self._send_failure(call.shard, Verdict.NOT_SENT, 0, "not_permitted_there")
                continue
            replica = self._dispatch.fleet.get(call.searcher)
            if replica is None:
                self._send_failure(call.shard, Verdict.NOT_SENT, 0, "searcher_not_known_there")
                continue
            if not replica.is_in_service:
                self._send_failure(call.shard, Verdict.NOT_SENT, 0, "searcher_not_in_service")
                continue
            if allowed is not None and replica.searcher.failure_domain not in allowed:
                self._send_failure(call.shard, Verdict.NOT_SENT, 0, "searcher_not_in_homes")
                continue
            self._calls[call.shard] = _Call(self, call.shard, replica, loop.time())
        for call in list(self._calls.values()):
            self._dispatch.send(call.replica, call.call)
        self._check_completion()

    def end(self) -> None:
        """Cancel all pending calls."""
        self._merge_timer.cancel()
        if self._flush_timer is not None:
            self._flush_timer.cancel()
        for call in self._calls.values():
            call.drop()
        self._calls.clear()

    def replied(self, shard: str, reply: Reply) -> None:
        """Handle a searcher's reply."""
        names = self._dispatch.names
        verdict = judge(reply, names, self.request_id)
        call = self._calls.pop(shard)
        if verdict is Verdict.UNKNOWN:
            call.call.close_reply_connection()
        load = load_report_of(reply, names)
        if load is not None:
            call.replica.reported(load, self._dispatch.loop.time())
        cold_ms = take_cold_statement(reply, call.replica, self._dispatch)
        if verdict is not Verdict.ANSWERED:
            self._send_failure(shard, verdict, reply.status, f"status_{reply.status}", cold_ms)
        elif self._parts.add(shard, reply.header(names.proof), reply.body):
            passed = self._dispatch.loop.time() - call.started
            self._durations_ms.append(round(passed * 1000))
            self._loads.append(load)
            if cold_ms is not None:
                self._cold_ms[shard] = cold_ms
        else:
            self._send_failure(shard, Verdict.UNKNOWN, 0, "signature_of_another_shard", cold_ms)
        self._check_completion()

    def call_failed(self, shard: str, error: Exception, *, sent: bool) -> None:
        """Handle a call that failed without a reply."""
        call = self._calls.pop(shard)
        if isinstance(error, ReplyCutOff):
            report_exceeded(self._dispatch.metrics, call.replica.searcher.id, error.limit)
        self._send_failure(shard, verdict_on_failure(error, sent=sent), 0, repr(error))
        self._check_completion()

    def render(self, replica: Replica, chosen_at: float) -> bytes:
        """Return the request line and headers to a searcher.

        Args:
            replica: The searcher.
            chosen_at: Monotonic time in seconds at which the batch was received.
        """
        report_if_leaving(self._dispatch, replica, self.request_id, chosen_at)
        left = self._deadline - self._dispatch.loop.time()
        names = self._dispatch.names
        return render_head(self._batch.head, names, replica.searcher.id, left)

    def _send_failure(
        self, shard: str, verdict: Verdict, status: int, reason: str, cold_ms: int | None = None
    ) -> None:
        failure = BatchFailure(self._batch.number, shard, verdict.value, status, reason, cold_ms)
        self._link.send(failure)

    def _end_merging(self) -> None:
        self._merging = False
        self._send_parts()

    def _check_completion(self) -> None:
        if not self._calls:
            self._merge_timer.cancel()
            self._send_parts()
            self._done()
        elif not self._merging and self._flush_timer is None:
            later = self._dispatch.loop.call_later
            self._flush_timer = later(
                _LATE_MERGE_FRACTION * self._batch.merge_window, self._send_parts
            )

    def _send_parts(self) -> None:
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        if not self._durations_ms:
            return
        parts = self._parts
        frame = BatchParts(
            self._batch.number,
            parts.by_shard,
            self._durations_ms,
            parts.merged(),
            self._loads,
            self._cold_ms,
        )
        self._link.send(frame)
        self._parts, self._durations_ms, self._loads = PartSet(self._batch.top), [], []
        self._cold_ms = {}


class _Call:
    """One call of a batch that this instance executes."""

    __slots__ = ("_number", "_shard", "_batch_work", "call", "replica", "started")

    _numbers = itertools.count(-1, -1)

    def __init__(self, worked: BatchExecution, shard: str, replica: Replica, now: float) -> None:
        self._batch_work = worked
        self._shard = shard
        # Negative, to be distinct from the numbers of this instance's own sends.
        self._number = next(self._numbers)
        self.replica = replica
        self.started = now
        replica.in_flight[self._number] = now
        self.call = Call(
            lambda: worked.render(replica, now),
            self._replied,
            self._failed,
            head=False,
            body=worked.body,
            request_id=worked.request_id,
            may_send=worked.permit.may_send,
        )

    def drop(self) -> None:
        """Cancel the call."""
        self.replica.in_flight.pop(self._number, None)
        self.call.cancel()

    def _replied(self, reply: Reply) -> None:
        self.replica.in_flight.pop(self._number, None)
        self._batch_work.replied(self._shard, reply)

    def _failed(self, error: Exception) -> None:
        self.replica.in_flight.pop(self._number, None)
        self._batch_work.call_failed(self._shard, error, sent=self.call.sent)
