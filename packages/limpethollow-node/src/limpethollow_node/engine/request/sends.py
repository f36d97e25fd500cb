"""A single send of a request to one searcher."""

import itertools
from typing import Protocol

from limpethollow_node.engine.connection.clients import ReplyCutOff
from limpethollow_node.engine.connection.replylimits import ReplyLimit, report_exceeded
from limpethollow_node.engine.messages import Reply
from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.engine.process.pools import Call, ConnectionAge
from limpethollow_node.engine.request.leaving import report_if_leaving
from limpethollow_node.engine.request.outgoing import Outgoing
from limpethollow_node.engine.request.replychecks import (
    judge,
    load_report_of,
    record_cold_statement,
    render_head,
    take_cold_statement,
    verdict_on_failure,
)
from limpethollow_policy.process.loadreports import LoadReport
from limpethollow_policy.process.searchers import Replica
from limpethollow_policy.request.verdicts import Verdict

# Seconds for which a searcher is not called after its address was found to belong to another one.
# Its entry expires about four seconds after its end, and an entry with a new address counts as
# another searcher. Until then, each call would be an excess call to the service that now has the
# address.
_MISDIRECTED_BLOCK = 10.0
_MISDIRECTED = 421
# A deadline that is handled later than this was missed because this instance was frozen or short of
# CPU, so it is not counted against the searcher.
_MAX_TIMER_DELAY = 0.2


# The duration of an abandoned call is estimated as this multiple of its age. A call that lost
# against a hedge is only a little older than usual even at a searcher that takes ten times as long,
# which would then be chosen again.
_ABANDONED_AGE_FACTOR = 2.0


class SendOwner(Protocol):
    """The object that creates sends and handles their outcomes.

    Attributes:
        dispatch: What the process shares.
        outgoing: The request.
        service: The service that the request goes to.
    """

    dispatch: Dispatch
    outgoing: Outgoing
    service: str

    def ended(self, send: "Send", verdict: Verdict, reply: Reply | None, reason: str) -> None:
        """Handle the outcome of a send."""

    def is_in_flight(self, send: "Send") -> bool:
        """Return whether an outcome of the send still counts."""


class OpenCall(Protocol):
    """A pending call to a searcher, made by this or another instance.

    Attributes:
        sent: Whether it has been sent by this instance.
        is_in_reply: Whether this instance has received a part of the reply, but not all of it.
    """

    sent: bool
    is_in_reply: bool

    def cancel(self) -> None:
        """Cancel the call."""


class Send:
    """A send to one searcher.

    Attributes:
        replica: The searcher.
        started: Monotonic time in seconds at which the searcher was chosen.
        call: The call; None until `go`, or until it is delegated to another instance.
        on_trial: Whether it is a trial of whether the request crashes searchers.
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
        """Make the call directly from this instance."""
        outgoing = self._owner.outgoing
        call = Call(
            self._render,
            self._replied,
            self._failed,
            age=self._connection_age(),
            head=outgoing.is_head,
            body=outgoing.body,
            request_id=outgoing.request_id,
            may_send=outgoing.permit.may_send,
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
    def is_sent(self) -> bool:
        """Return whether the request may have been sent to the searcher."""
        return self.call is not None and self.call.sent

    def delegated_call_answered(self, seconds: float, load: LoadReport | None) -> None:
        """Handle the result of a delegated call, which was merged with others.

        Args:
            seconds: Duration of the call as measured by the other instance. The time until the
                merged result arrives here is that of the slowest call: when that was used, each
                searcher seemed four times as slow as it is, and hedges were sent as late as
                possible.
            load: The searcher's load report; None if it sent none.
        """
        if load is not None:
            self.replica.reported(load, self._now())
        if self.is_open:
            self._record(Verdict.ANSWERED, 200, seconds)
            self._owner.ended(self, Verdict.ANSWERED, None, "")

    def delegated_call_failed(self, verdict: Verdict, status: int, reason: str) -> None:
        """Handle a delegated call that failed.

        Args:
            verdict: The call's verdict.
            status: Status of the searcher's reply; 0 if there was none.
            reason: Cause of the failure.
        """
        if self.is_open:
            self._record(verdict, status, self._age())
            self._owner.ended(self, verdict, None, reason)

    @property
    def is_open(self) -> bool:
        """Return whether an outcome of the send still counts."""
        return self._owner.is_in_flight(self)

    def delegated_call_cold(self, milliseconds: int) -> None:
        """Record for how long the searcher stays cold by its reply to a delegated call.

        Args:
            milliseconds: How much longer it stays cold; 0 if it is warm.
        """
        record_cold_statement(milliseconds, self.replica, self._owner.dispatch)

    def drop(self) -> None:
        """Cancel the send, and record that it would have taken longer than its age."""
        now, seconds = self._now(), self._age()
        replica, outgoing = self.replica, self._owner.outgoing
        replica.in_flight.pop(self._number, None)
        replica.observe_lower_bound(_ABANDONED_AGE_FACTOR * seconds / outgoing.timings.usual, now)
        if self.is_sent and 0 <= now - outgoing.deadline < _MAX_TIMER_DELAY:
            replica.window.late(seconds, len(replica.in_flight), now)
            if self.call.is_in_reply:
                replica.failed(now)
                report_exceeded(self._owner.dispatch.metrics, replica.searcher.id, ReplyLimit.TIME)
        if self.call is not None:
            self.call.cancel()

    def _now(self) -> float:
        return self._owner.dispatch.loop.time()

    def _age(self) -> float:
        return self._now() - self.started

    def _render(self) -> bytes:
        outgoing = self._owner.outgoing
        names = self._owner.dispatch.names
        report_if_leaving(self._owner.dispatch, self.replica, outgoing.request_id, self.started)
        left = outgoing.deadline - self._now()
        return render_head(outgoing.head, names, self.replica.searcher.id, left)

    def _replied(self, reply: Reply) -> None:
        names = self._owner.dispatch.names
        verdict = judge(reply, names, self._owner.outgoing.request_id)
        if verdict is Verdict.UNKNOWN:
            self.call.close_reply_connection()
        load = load_report_of(reply, names)
        if load is not None:
            self.replica.reported(load, self._now())
        take_cold_statement(reply, self.replica, self._owner.dispatch)
        self._record(verdict, reply.status, self._age())
        self._owner.ended(self, verdict, reply, f"status_{reply.status}")

    def _failed(self, error: Exception) -> None:
        if isinstance(error, ReplyCutOff):
            report_exceeded(self._owner.dispatch.metrics, self.replica.searcher.id, error.limit)
        verdict = verdict_on_failure(error, sent=self.is_sent)
        self._record(verdict, 0, self._age())
        self._owner.ended(self, verdict, None, repr(error))

    def _record(self, verdict: Verdict, status: int, seconds: float) -> None:
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
