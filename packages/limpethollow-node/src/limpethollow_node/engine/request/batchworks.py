"""A batch of calls that this instance makes for another one, near its own searchers."""

import itertools
from collections.abc import Callable

from limpethollow_node.engine.connection.peerlinks import PeerLink
from limpethollow_node.engine.frames import Batch, BatchFailure, BatchParts
from limpethollow_node.engine.messages import Reply
from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.engine.process.pools import Call
from limpethollow_node.engine.request.judging import judge, judge_failure, read_load, render_call
from limpethollow_node.engine.request.leaving import tell_if_leaving
from limpethollow_policy.process.loadreports import LoadReport
from limpethollow_policy.process.searchers import Replica
from limpethollow_policy.request.parts import PartSet
from limpethollow_policy.request.verdicts import Verdict

# Parts that come after the time for merging wait this share of it for others: each frame costs both
# ends as much as a call, and those that come late come together, as when a searcher's pause ends.
_GATHER_SHARE = 0.15


class WorkedBatch:
    """Makes the calls of a batch, and sends back merged parts and single failures.

    Args:
        dispatch: What the process shares.
        link: Link to the instance that asked.
        batch: What it asked for.
        done: Called once all calls have ended.
    """

    __slots__ = (
        "_batch",
        "_calls",
        "_deadline",
        "_dispatch",
        "_done",
        "_link",
        "_loads",
        "_merging",
        "_milliseconds",
        "_parts",
        "_telling",
        "_timer",
    )

    def __init__(
        self, dispatch: Dispatch, link: PeerLink, batch: Batch, done: Callable[[], None]
    ) -> None:
        self._dispatch = dispatch
        self._link = link
        self._batch = batch
        self._done = done
        self._calls: dict[str, _Call] = {}
        self._parts = PartSet(batch.top)
        self._milliseconds: list[int] = []
        self._loads: list[LoadReport | None] = []
        self._merging = True
        self._deadline = dispatch.loop.time() + batch.left
        self._timer = None
        self._telling = None

    @property
    def request_id(self) -> bytes:
        """Return the caller's id for the request."""
        return self._batch.request_id

    def start(self) -> None:
        """Make the calls."""
        loop = self._dispatch.loop
        self._timer = loop.call_later(self._batch.merge_for, self._merge_over)
        for call in self._batch.calls:
            replica = self._dispatch.fleet.get(call.searcher)
            if replica is None:
                self._fail(call.shard, Verdict.NOT_SENT, 0, "searcher_not_known_there")
                continue
            if not replica.is_in_service:
                self._fail(call.shard, Verdict.NOT_SENT, 0, "searcher_not_in_service")
                continue
            self._calls[call.shard] = _Call(self, call.shard, replica, loop.time())
        for call in list(self._calls.values()):
            self._dispatch.send(call.replica, call.call)
        self._check()

    def end(self) -> None:
        """Stop: nobody waits for the rest."""
        self._timer.cancel()
        if self._telling is not None:
            self._telling.cancel()
        for call in self._calls.values():
            call.drop()
        self._calls.clear()

    def replied(self, shard: str, reply: Reply) -> None:
        """Take in a searcher's reply."""
        names = self._dispatch.names
        verdict = judge(reply, names, self.request_id)
        call = self._calls.pop(shard)
        if verdict is Verdict.UNKNOWN:
            call.call.distrust()
        load = read_load(reply, names)
        if load is not None:
            call.replica.reported(load, self._dispatch.loop.time())
        if verdict is not Verdict.ANSWERED:
            self._fail(shard, verdict, reply.status, f"status_{reply.status}")
        elif self._parts.add(shard, reply.header(names.proof), reply.body):
            passed = self._dispatch.loop.time() - call.started
            self._milliseconds.append(round(passed * 1000))
            self._loads.append(load)
        else:
            self._fail(shard, Verdict.UNKNOWN, 0, "signature_of_another_shard")
        self._check()

    def broke(self, shard: str, error: Exception, *, sent: bool) -> None:
        """Take in that a call gets no reply."""
        del self._calls[shard]
        self._fail(shard, judge_failure(error, sent=sent), 0, repr(error))
        self._check()

    def render(self, replica: Replica, chosen_at: float) -> bytes:
        """Return the request to one searcher.

        Args:
            replica: The searcher.
            chosen_at: Monotonic second at which the call was taken in.
        """
        tell_if_leaving(self._dispatch, replica, self.request_id, chosen_at)
        left = self._deadline - self._dispatch.loop.time()
        names = self._dispatch.names
        return render_call(self._batch.head, self._batch.body, names, replica.searcher.id, left)

    def _fail(self, shard: str, verdict: Verdict, status: int, reason: str) -> None:
        failure = BatchFailure(self._batch.number, shard, verdict.value, status, reason)
        self._link.send(failure)

    def _merge_over(self) -> None:
        self._merging = False
        self._tell()

    def _check(self) -> None:
        if not self._calls:
            self._timer.cancel()
            self._tell()
            self._done()
        elif not self._merging and self._telling is None:
            later = self._dispatch.loop.call_later
            self._telling = later(_GATHER_SHARE * self._batch.merge_for, self._tell)

    def _tell(self) -> None:
        if self._telling is not None:
            self._telling.cancel()
            self._telling = None
        if not self._milliseconds:
            return
        parts = self._parts
        frame = BatchParts(
            self._batch.number, parts.by_shard, self._milliseconds, parts.merged(), self._loads
        )
        self._link.send(frame)
        self._parts, self._milliseconds, self._loads = PartSet(self._batch.top), [], []


class _Call:
    """One call of a batch that this instance works on."""

    __slots__ = ("_number", "_shard", "_worked", "call", "replica", "started")

    _numbers = itertools.count(-1, -1)

    def __init__(self, worked: WorkedBatch, shard: str, replica: Replica, now: float) -> None:
        self._worked = worked
        self._shard = shard
        # Negative, so that it differs from the numbers of this instance's own sends.
        self._number = next(self._numbers)
        self.replica = replica
        self.started = now
        replica.in_flight[self._number] = now
        self.call = Call(
            lambda: worked.render(replica, now),
            self._replied,
            self._broke,
            head=False,
            request_id=worked.request_id,
        )

    def drop(self) -> None:
        """Want no reply any more."""
        self.replica.in_flight.pop(self._number, None)
        self.call.cancel()

    def _replied(self, reply: Reply) -> None:
        self.replica.in_flight.pop(self._number, None)
        self._worked.replied(self._shard, reply)

    def _broke(self, error: Exception) -> None:
        self.replica.in_flight.pop(self._number, None)
        self._worked.broke(self._shard, error, sent=self.call.sent)
