"""One send of a request to one searcher."""

import itertools
from typing import Protocol

from limpethollow_node.engine.messages import Reply
from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.engine.process.pools import Call, ConnectionAge
from limpethollow_node.engine.request.judging import judge, judge_failure, read_load, render_call
from limpethollow_node.engine.request.leaving import tell_if_leaving
from limpethollow_node.engine.request.outgoing import Outgoing
from limpethollow_policy.process.loadreports import LoadReport
from limpethollow_policy.process.searchers import Replica
from limpethollow_policy.request.verdicts import Verdict

# A searcher whose address belongs to another one now is left alone this long. Its entry lapses some
# four seconds after its end, and one with a new address is another searcher here. Each call until
# then would count as one too many at the service that has the address.
_MISDIRECTED_BLOCK = 10.0
_MISDIRECTED = 421
# Deadlines that are noticed later than this were missed by this instance itself, which was frozen
# or starved; that says nothing of a searcher.
_AWAKE_SECONDS = 0.2


# A call that was given up on counts as one that would have taken this many times its age. It lost
# to a second send, so its age alone says "a little slow" even of a searcher that takes ten times as
# long, and that one is chosen again.
_LOST_AGES = 2.0


class SendOwner(Protocol):
    """What makes sends and takes in how they end.

    Attributes:
        dispatch: What the process shares.
        outgoing: The request.
        service: The service that the request goes to.
    """

    dispatch: Dispatch
    outgoing: Outgoing
    service: str

    def ended(self, send: "Send", verdict: Verdict, reply: Reply | None, reason: str) -> None:
        """Take in the end of a send."""

    def is_under_way(self, send: "Send") -> bool:
        """Return whether an outcome of the send still counts."""


class OpenCall(Protocol):
    """A call to a searcher, made here or by another instance.

    Attributes:
        sent: Whether it has left this instance.
    """

    sent: bool

    def cancel(self) -> None:
        """Want no reply any more."""


class Send:
    """One send to one searcher.

    Attributes:
        replica: The searcher.
        started: Monotonic second at which the searcher was chosen.
        call: The call; None until `go`, or until another instance is asked to make it.
        on_trial: Whether it shows if the request ends its searchers.
    """

    __slots__ = ("_number", "_owner", "call", "on_trial", "replica", "started")

    _numbers = itertools.count(1)

    def __init__(self, owner: SendOwner, replica: Replica, now: float) -> None:
        self._owner = owner
        self._number = next(self._numbers)
        self.replica = replica
        self.started = now
        self.call: OpenCall | None = None
        self.on_trial = owner.outgoing.guard.begin(
            replica.searcher.run, doubtful=replica.is_doubtful
        )
        replica.in_flight[self._number] = now
        replica.sent(now)

    def go(self) -> None:
        """Make the call from here."""
        outgoing = self._owner.outgoing
        call = Call(
            self._render,
            self._replied,
            self._failed,
            age=self._connection_age(),
            head=outgoing.is_head,
            request_id=outgoing.request_id,
        )
        self.call = call
        self._owner.dispatch.send(self.replica, call)

    def _connection_age(self) -> ConnectionAge:
        if self.on_trial:
            return ConnectionAge.NEW
        return ConnectionAge.ANY if self._owner.outgoing.route.idempotent else ConnectionAge.RECENT

    @property
    def service(self) -> str:
        """Return the service that the send is for."""
        return self._owner.service

    @property
    def has_left(self) -> bool:
        """Return whether the request may be on its way to the searcher."""
        return self.call is not None and self.call.sent

    def carried(self, seconds: float, load: LoadReport | None) -> None:
        """Take in that another instance made the call, and has merged the answer with others.

        Args:
            seconds: How long the searcher took. Until the merged answer is here, as long has passed
                for all of them as for the slowest: by that, each searcher was four times as slow
                as it is, and second sends went out as late as they may.
            load: What the searcher said of its load; None where it said nothing.
        """
        if load is not None:
            self.replica.reported(load, self._now())
        if self.is_open:
            self._observe(Verdict.ANSWERED, 200, seconds)
            self._owner.ended(self, Verdict.ANSWERED, None, "")

    def carried_failed(self, verdict: Verdict, status: int, reason: str) -> None:
        """Take in that another instance made the send and has no answer.

        Args:
            verdict: What is known of it.
            status: Status of the searcher's reply; 0 where there was none.
            reason: What happened.
        """
        if self.is_open:
            self._observe(verdict, status, self._age())
            self._owner.ended(self, verdict, None, reason)

    @property
    def is_open(self) -> bool:
        """Return whether an outcome of the send still counts."""
        return self._owner.is_under_way(self)

    def drop(self) -> None:
        """Give up on the send; it would have taken longer still."""
        now, seconds = self._now(), self._age()
        replica, outgoing = self.replica, self._owner.outgoing
        replica.in_flight.pop(self._number, None)
        replica.observe_at_least(_LOST_AGES * seconds / outgoing.timings.usual, now)
        if self.has_left and 0 <= now - outgoing.deadline < _AWAKE_SECONDS:
            replica.window.late(seconds, len(replica.in_flight), now)
        if self.call is not None:
            self.call.cancel()

    def _now(self) -> float:
        return self._owner.dispatch.loop.time()

    def _age(self) -> float:
        return self._now() - self.started

    def _render(self) -> bytes:
        outgoing = self._owner.outgoing
        names = self._owner.dispatch.names
        tell_if_leaving(self._owner.dispatch, self.replica, outgoing.request_id, self.started)
        left = outgoing.deadline - self._now()
        return render_call(outgoing.head, outgoing.body, names, self.replica.searcher.id, left)

    def _replied(self, reply: Reply) -> None:
        names = self._owner.dispatch.names
        verdict = judge(reply, names, self._owner.outgoing.request_id)
        if verdict is Verdict.UNKNOWN:
            self.call.distrust()
        load = read_load(reply, names)
        if load is not None:
            self.replica.reported(load, self._now())
        self._observe(verdict, reply.status, self._age())
        self._owner.ended(self, verdict, reply, f"status_{reply.status}")

    def _failed(self, error: Exception) -> None:
        verdict = judge_failure(error, sent=self.has_left)
        self._observe(verdict, 0, self._age())
        self._owner.ended(self, verdict, None, repr(error))

    def _observe(self, verdict: Verdict, status: int, seconds: float) -> None:
        now = self._now()
        self.replica.in_flight.pop(self._number, None)
        timings = self._owner.outgoing.timings
        if verdict is Verdict.ANSWERED:
            self.replica.observe(seconds / timings.usual, now)
            self.replica.window.answered(seconds, now)
            timings.add(seconds)
        elif verdict is Verdict.LOST:
            self.replica.lost(now)
        elif verdict is not Verdict.NOT_SENT:
            self.replica.failed(now)
        if status == _MISDIRECTED:
            self.replica.blocked_until = now + _MISDIRECTED_BLOCK
