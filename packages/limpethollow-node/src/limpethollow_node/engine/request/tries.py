"""The sends of one request to the searchers of one service, until one answers or none can."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from limpethollow_node.engine.messages import (
    Reply,
    Request,
    end_to_end,
    find_header,
    render_headers,
)
from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.engine.process.pools import Call
from limpethollow_node.engine.request.judging import judge, render_call
from limpethollow_node.process import events
from limpethollow_policy.process.fleets import Replica
from limpethollow_policy.process.timings import RouteTimings
from limpethollow_policy.request.verdicts import Verdict
from limpethollow_policy.version.routes import Route

# Sends beyond a route's attempts that searchers refused or never got; those have not run. Two more
# reach a third and a fourth searcher while a service is being replaced.
_SENDS_NOT_RUN = 2
# A searcher that says its address belongs to another one now is left alone this long; by then the
# list of searchers has the change.
_MISDIRECTED_BLOCK = 1.0
# Part of the repeated sends' slack that hedges leave for requests whose only send has failed.
_HEDGE_RESERVE = 0.25


@dataclass(slots=True)
class Outgoing:
    """What the sends of one caller's request have in common.

    Attributes:
        head: Request line and headers, without those that differ between sends.
        body: The request's body.
        request_id: The caller's id for the request; None where it sent none.
        deadline: Monotonic second after which nobody waits for an answer.
        spent: Seconds that the caller had waited when it sent the request.
        route: The route.
        timings: The route's timings.
        is_head: Whether the method is HEAD.
    """

    head: bytes
    body: bytes
    request_id: bytes | None
    deadline: float
    spent: float
    route: Route
    timings: RouteTimings
    is_head: bool

    @classmethod
    def of(cls, request: Request, route: Route, deadline: float, dispatch: Dispatch) -> "Outgoing":
        """Prepare a caller's request to be sent on."""
        names = dispatch.names
        timings = dispatch.timings(route)
        stated = request.header(names.time_left)
        own = frozenset({names.time_left, names.expected_searcher})
        headers = end_to_end(request.headers, own)
        if request.body or find_header(request.headers, b"content-length") is not None:
            headers.append((b"Content-Length", b"%d" % len(request.body)))
        return cls(
            b"%b %b HTTP/1.1\r\n%b" % (request.method, request.target, render_headers(headers)),
            request.body,
            request.header(names.request_id),
            deadline,
            0.0 if stated is None else timings.patience.spent(int(stated) / 1000),
            route,
            timings,
            request.method == b"HEAD",
        )


class Carrier(Protocol):
    """Takes first sends that another instance may make as part of a batch."""

    def offer(self, send: "Send") -> bool:
        """Return whether the send is taken over; it is made directly otherwise."""


class Tries:
    """Sends a request to one searcher of a service, and to others as far as that is safe.

    Args:
        dispatch: What the process shares.
        outgoing: The request.
        service: The service.
        on_done: Called once with this object when the outcome is settled.
        carrier: May take over the first send.
    """

    __slots__ = (
        "_arrivals",
        "_carrier",
        "_dispatch",
        "_on_done",
        "_outgoing",
        "_runs",
        "_sends",
        "_under_way",
        "_used",
        "done",
        "hedges",
        "reason",
        "reply",
        "service",
        "verdict",
    )

    def __init__(
        self,
        dispatch: Dispatch,
        outgoing: Outgoing,
        service: str,
        on_done: Callable[["Tries"], None],
        carrier: Carrier | None = None,
    ) -> None:
        self._carrier = carrier
        self._dispatch = dispatch
        self._outgoing = outgoing
        self._on_done = on_done
        self._under_way: list[Send] = []
        self._used: list[str] = []
        self._sends = 0
        self._runs = 0
        self._arrivals = 0
        self.service = service
        self.done = False
        self.hedges = 0
        self.reply: Reply | None = None
        self.verdict = Verdict.NOT_SENT
        self.reason = ""

    @property
    def may_have_run(self) -> bool:
        """Return whether some searcher may have run the request, or still may."""
        return self._runs > 0

    @property
    def searchers(self) -> list[str]:
        """Return the ids of the searchers that were chosen, in order."""
        return self._used

    def start(self) -> None:
        """Make the first send."""
        self._dispatch.budget.request(self.service, self._dispatch.loop.time())
        if not self._launch():
            self._finish(Verdict.NOT_SENT, "no_searcher")

    def hedge(self) -> None:
        """Ask a second searcher because the first is late."""
        if self.done or not self._outgoing.route.idempotent or not self._under_way:
            return
        first = self._under_way[0]
        if not first.call.sent:
            # It still waits for a connection. Nothing has arrived, so moving it elsewhere is no
            # repeated send.
            if self._choose_other() is not None:
                self._withdraw(first)
                self._launch()
            return
        if self._may_send() and self._choose_other() is not None and self._take(_HEDGE_RESERVE):
            self.hedges += 1
            self._dispatch.metrics.count("hedges")
            self._launch()
            self._log_again("hedge")

    def abandon(self, *, at_once: bool = False) -> None:
        """Want no outcome any more.

        Args:
            at_once: Whether searchers shall stop now; otherwise replies that come within a moment
                save their connections.
        """
        self.done = True
        self._drop_sends(at_once=at_once)

    def _launch(self) -> bool:
        dispatch = self._dispatch
        now = dispatch.loop.time()
        usual = self._outgoing.timings.usual
        replica = dispatch.fleet.choose(self.service, now, usual, self._used)
        if replica is None:
            return False
        send = Send(self, replica, now)
        self._under_way.append(send)
        self._used.append(replica.searcher.id)
        self._sends += 1
        self._runs += 1
        self._arrivals += 1
        carrier, self._carrier = self._carrier, None
        if carrier is None or not carrier.offer(send):
            dispatch.send(replica, send.call)
        return True

    def _choose_other(self) -> Replica | None:
        now = self._dispatch.loop.time()
        usual = self._outgoing.timings.usual
        replica = self._dispatch.fleet.choose(self.service, now, usual, self._used)
        if replica is None or replica.searcher.id in self._used:
            return None
        return replica

    def _may_send(self) -> bool:
        attempts = self._outgoing.route.attempts
        return self._runs < attempts and self._sends < attempts + _SENDS_NOT_RUN

    def _take(self, reserve: float = 0.0) -> bool:
        if self._arrivals == 0:
            return True
        taken = self._dispatch.budget.take(self.service, self._dispatch.loop.time(), reserve)
        if not taken:
            self._dispatch.metrics.count("repeats_refused")
        return taken

    def ended(self, send: "Send", verdict: Verdict, reply: Reply | None, reason: str) -> None:
        """Take in the end of a send."""
        self._under_way.remove(send)
        if verdict is Verdict.NOT_SENT:
            self._arrivals -= 1
        if verdict in (Verdict.NOT_SENT, Verdict.NOT_RUN):
            self._runs -= 1
        if self.done:
            return
        if verdict is Verdict.ANSWERED:
            self.reply = reply
            self._finish(verdict, "")
            return
        if verdict is Verdict.FAILED:
            self.reply = reply
        self._dispatch.metrics.count("failed_sends", verdict.value)
        self._log_failed(send, verdict, reply, reason)
        self._after_failure(verdict, reason)

    def _after_failure(self, verdict: Verdict, reason: str) -> None:
        if not self._outgoing.route.idempotent and self._runs:
            # It may have run. Another send might run it twice, so the outcome stays as it is.
            self._finish(verdict, reason)
            return
        if self._may_send() and self._take() and self._launch():
            self._dispatch.metrics.count("retries", verdict.value)
            self._log_again(verdict.value)
            return
        if not self._under_way:
            self._finish(verdict, reason)

    def _log_again(self, why: str) -> None:
        now = self._dispatch.loop.time()
        first = self._under_way[0].started
        events.SENT_AGAIN.log(
            request=_text(self._outgoing.request_id),
            service=self.service,
            why=why,
            searchers=list(self._used),
            after_ms=round((now - first) * 1000, 1),
            usual_ms=round(self._outgoing.timings.usual * 1000, 1),
            room=round(self._dispatch.budget.room(self.service, now), 1),
        )

    def _log_failed(self, send: "Send", verdict: Verdict, reply: Reply | None, reason: str) -> None:
        replica = send.replica
        events.SEND_FAILED.log(
            request=_text(self._outgoing.request_id),
            service=self.service,
            searcher=replica.searcher.id,
            verdict=verdict.value,
            reason=reason,
            status=reply.status if reply is not None else None,
            after_ms=round((self._dispatch.loop.time() - send.started) * 1000, 1),
            searcher_slowness=round(replica.slowness, 2),
            searcher_failures=round(replica.failures, 2),
        )

    def _finish(self, verdict: Verdict, reason: str) -> None:
        self.done = True
        self.verdict = verdict
        self.reason = reason
        self._drop_sends(at_once=False)
        self._on_done(self)

    def _drop_sends(self, *, at_once: bool) -> None:
        for send in self._under_way:
            send.drop(at_once=at_once)
        self._under_way.clear()

    def _withdraw(self, send: "Send") -> None:
        self._under_way.remove(send)
        send.drop(at_once=True)
        self._sends -= 1
        self._runs -= 1
        self._arrivals -= 1


class Send:
    """One send to one searcher."""

    __slots__ = ("_number", "_tries", "call", "replica", "started")

    _count = 0

    def __init__(self, tries: Tries, replica: Replica, now: float) -> None:
        Send._count += 1
        outgoing = tries._outgoing
        self._tries = tries
        self._number = Send._count
        self.replica = replica
        self.started = now
        replica.in_flight[self._number] = now
        self.call = Call(
            self._render,
            self._replied,
            self._failed,
            fresh=not outgoing.route.idempotent,
            head=outgoing.is_head,
        )

    @property
    def service(self) -> str:
        """Return the service that the send is for."""
        return self._tries.service

    def carried(self, proof: bytes) -> None:
        """Take in that another instance made the send and has the answer.

        Args:
            proof: The searcher's signature under the answer.
        """
        if self.is_open:
            self._observe(Verdict.ANSWERED, 200)
            reply = Reply(200, [(self._tries._dispatch.names.proof, proof)])
            self._tries.ended(self, Verdict.ANSWERED, reply, "")

    def carried_failed(self, verdict: Verdict, reason: str) -> None:
        """Take in that another instance made the send and has no answer."""
        if self.is_open:
            self._observe(verdict, 0)
            self._tries.ended(self, verdict, None, reason)

    @property
    def is_open(self) -> bool:
        """Return whether an outcome of the send still counts."""
        return self in self._tries._under_way

    def drop(self, *, at_once: bool) -> None:
        """Give up on the send; it took at least this long."""
        now = self._now()
        self.replica.in_flight.pop(self._number, None)
        usual = self._tries._outgoing.timings.usual
        self.replica.observe_at_least((now - self.started) / usual, now)
        if at_once:
            self.call.cancel()
        else:
            self.call.abandon()

    def _now(self) -> float:
        return self._tries._dispatch.loop.time()

    def _render(self) -> bytes:
        outgoing = self._tries._outgoing
        names = self._tries._dispatch.names
        left = outgoing.deadline - self._now()
        return render_call(outgoing.head, outgoing.body, names, self.replica.searcher.id, left)

    def _replied(self, reply: Reply) -> None:
        names = self._tries._dispatch.names
        verdict = judge(reply, names, self._tries._outgoing.request_id)
        self._observe(verdict, reply.status)
        self._tries.ended(self, verdict, reply, f"status_{reply.status}")

    def _failed(self, error: Exception) -> None:
        verdict = Verdict.UNKNOWN if self.call.sent else Verdict.NOT_SENT
        self._observe(verdict, 0)
        self._tries.ended(self, verdict, None, repr(error))

    def _observe(self, verdict: Verdict, status: int) -> None:
        now = self._now()
        seconds = now - self.started
        self.replica.in_flight.pop(self._number, None)
        timings = self._tries._outgoing.timings
        if verdict is Verdict.ANSWERED:
            self.replica.observe(seconds / timings.usual, now)
            timings.add(seconds)
        elif verdict is not Verdict.NOT_SENT:
            self.replica.failed(now)
        if status == 421:
            self.replica.blocked_until = now + _MISDIRECTED_BLOCK


def _text(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")
