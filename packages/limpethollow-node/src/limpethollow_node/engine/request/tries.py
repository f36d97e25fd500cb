"""The sends of one request to the searchers of one service, until one answers or none can."""

from collections.abc import Callable
from typing import Protocol

from limpethollow_node.engine.messages import Reply
from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.engine.request.outgoing import Outgoing
from limpethollow_node.engine.request.sends import Send
from limpethollow_node.process import events
from limpethollow_policy.process.searchers import Replica
from limpethollow_policy.request.verdicts import Verdict

# Sends beyond a route's attempts that searchers refused or never got; those have not run. Two more
# reach a third and a fourth searcher while a service is being replaced.
_SENDS_NOT_RUN = 2
# Part of the repeated sends' slack that hedges leave for requests whose only send has failed.
_HEDGE_RESERVE = 0.25
# Statuses with which a searcher refuses a request because it has too many.
_FULL_STATUSES = (429, 503)
# Why a request that may run once only is not sent again.
_MAY_HAVE_RUN = "may_have_run"
# Why a request that ended each searcher is not sent again.
_QUARANTINED = "quarantined"
# Why a request that may end its searchers waits before it is sent again.
_ON_TRIAL_ELSEWHERE = "on_trial_elsewhere"


class Carrier(Protocol):
    """Takes first sends that another instance may make as part of a batch."""

    def offer(self, send: Send) -> bool:
        """Return whether the send is taken over; it is made directly otherwise."""


class Tries:
    """Sends a request to one searcher of a service, and to others as far as that is safe.

    Args:
        dispatch: What the process shares.
        outgoing: The request.
        service: The service.
        on_done: Called once with this object when the outcome is settled.
        carrier: May take over the first send.

    Attributes:
        lost: Ids of the searchers whose connection ended under the request, in order.
    """

    __slots__ = (
        "_arrivals",
        "_carrier",
        "_on_done",
        "_refused_as_full",
        "_runs",
        "_sends",
        "_under_way",
        "_used",
        "_waits",
        "dispatch",
        "done",
        "hedges",
        "lost",
        "outgoing",
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
        self.dispatch = dispatch
        self.outgoing = outgoing
        self._on_done = on_done
        self._under_way: list[Send] = []
        self._used: list[str] = []
        self._sends = 0
        self._runs = 0
        self._arrivals = 0
        self._refused_as_full = False
        self._waits = False
        self.service = service
        self.done = False
        self.hedges = 0
        self.lost: list[str] = []
        self.reply: Reply | None = None
        self.verdict = Verdict.NOT_SENT
        self.reason = ""

    @property
    def may_have_run(self) -> bool:
        """Return whether some searcher may have run the request, or still may."""
        waiting = sum(not send.has_left for send in self._under_way)
        return self._runs > waiting

    @property
    def found_full(self) -> bool:
        """Return whether it ended because the searchers that were asked said that they are full."""
        return self.verdict is Verdict.NOT_RUN and self._refused_as_full

    @property
    def searchers(self) -> list[str]:
        """Return the ids of the searchers that were chosen, in order."""
        return self._used

    def start(self) -> None:
        """Make the first send."""
        self.dispatch.budget.request(self.service, self.dispatch.loop.time())
        self.start_at(self._choose())

    def start_at(self, replica: Replica | None) -> None:
        """Make the first send of a request that is counted already.

        Args:
            replica: The searcher chosen for it; None where none may be used.
        """
        if replica is None:
            self._finish(Verdict.NOT_SENT, "no_searcher")
        elif self.outgoing.guard.may_send():
            self._launch(replica)
        else:
            self._wait()

    def hedge(self) -> bool:
        """Ask a second searcher because the first is late; return whether both are asked now."""
        if self.done or not self.outgoing.route.idempotent or not self._under_way:
            return False
        if not self.outgoing.guard.may_send():
            return False
        other = self._choose_other()
        if other is None:
            return False
        first = self._under_way[0]
        if not first.has_left:
            # It still waits for a connection. Nothing has arrived, so moving it elsewhere is no
            # repeated send.
            self._withdraw(first)
            self._launch(other)
            return False
        if not self._may_send() or not self._take(_HEDGE_RESERVE):
            return False
        self.hedges += 1
        self.dispatch.metrics.count("hedges")
        self._launch(other)
        return True

    def is_under_way(self, send: Send) -> bool:
        """Return whether an outcome of a send still counts."""
        return send in self._under_way

    def abandon(self) -> None:
        """Want no outcome any more."""
        self.done = True
        self._drop_sends()

    def _launch(self, replica: Replica) -> None:
        send = Send(self, replica, self.dispatch.loop.time())
        self._under_way.append(send)
        self._used.append(replica.searcher.id)
        self._sends += 1
        self._runs += 1
        self._arrivals += 1
        carrier, self._carrier = self._carrier, None
        if carrier is None or send.on_trial or not carrier.offer(send):
            send.go()

    def _choose(self) -> Replica | None:
        now = self.dispatch.loop.time()
        usual = self.outgoing.timings.usual
        return self.dispatch.fleet.choose(self.service, now, usual, self._used)

    def _choose_other(self) -> Replica | None:
        replica = self._choose()
        if replica is None or replica.searcher.id in self._used:
            return None
        return replica

    def _may_send(self) -> bool:
        attempts = self.outgoing.route.attempts
        return self._runs < attempts and self._sends < attempts + _SENDS_NOT_RUN

    def _take(self, reserve: float = 0.0) -> bool:
        if self._arrivals == 0:
            return True
        taken = self.dispatch.budget.take(self.service, self.dispatch.loop.time(), reserve)
        if not taken:
            self.dispatch.metrics.count("repeats_refused")
        return taken

    def ended(self, send: Send, verdict: Verdict, reply: Reply | None, reason: str) -> None:
        """Take in the end of a send."""
        self._under_way.remove(send)
        if verdict is Verdict.NOT_SENT:
            self._arrivals -= 1
        if verdict in (Verdict.NOT_SENT, Verdict.NOT_RUN):
            self._runs -= 1
        self._tell_guard(send, verdict)
        if self.done:
            return
        if verdict is Verdict.ANSWERED:
            self.reply = reply
            self._finish(verdict, "")
            return
        if verdict is Verdict.FAILED:
            self.reply = reply
        self._refused_as_full = reply is not None and reply.status in _FULL_STATUSES
        self.dispatch.metrics.count("failed_sends", verdict.value)
        other = self._choose()
        obstacle = self._obstacle(other)
        self._log_failed(send, verdict, reply, reason, obstacle)
        if obstacle is None:
            self._launch(other)
            self.dispatch.metrics.count("retries", verdict.value)
            self.log_again(verdict.value)
        elif obstacle == _ON_TRIAL_ELSEWHERE:
            self._wait()
        elif obstacle == _MAY_HAVE_RUN or not self._under_way:
            self._finish(verdict, reason)

    def _tell_guard(self, send: Send, verdict: Verdict) -> None:
        """Tell what the end of a send says of the request."""
        guard, searcher = self.outgoing.guard, send.replica.searcher.run
        if verdict is Verdict.ANSWERED:
            guard.answered()
            return
        if verdict is not Verdict.LOST:
            guard.ended(searcher)
            return
        self.lost.append(send.replica.searcher.id)
        guard.lost(searcher)
        if guard.is_quarantined:
            # Now, not at the request's end: other sends of it may last until its deadline.
            self.dispatch.quarantines.ended(guard)

    def _wait(self) -> None:
        """Wait until a searcher has answered another send of the request, or it is this turn."""
        if not self._waits:
            self._waits = True
            self.outgoing.guard.wait(self._resume)

    def _resume(self) -> None:
        self._waits = False
        if self.done:
            return
        other = self._choose()
        obstacle = self._obstacle(other)
        if obstacle is None:
            self._launch(other)
        elif not self._under_way:
            self._finish(Verdict.LOST if self.lost else Verdict.NOT_SENT, obstacle)

    def _obstacle(self, other: Replica | None) -> str | None:
        """Return why the request can't be sent once more; None where the budget was taken for it.

        Args:
            other: The searcher that would get it.
        """
        guard = self.outgoing.guard
        if not self.outgoing.route.idempotent and self._runs:
            # Another send might run it twice, so the outcome stays as it is.
            return _MAY_HAVE_RUN
        if guard.is_quarantined:
            return _QUARANTINED
        if other is None:
            return "no_searcher"
        if not self._may_send():
            return "attempts"
        if not guard.may_send():
            return _ON_TRIAL_ELSEWHERE
        if not self._take():
            return "budget"
        return None

    def log_again(self, why: str) -> None:
        """Tell that another searcher is asked as well, and why."""
        now = self.dispatch.loop.time()
        first = self._under_way[0].started
        events.SENT_AGAIN.log(
            request=self.outgoing.id_text,
            service=self.service,
            why=why,
            searchers=list(self._used),
            after_ms=round((now - first) * 1000, 1),
            usual_ms=round(self.outgoing.timings.usual * 1000, 1),
            room=round(self.dispatch.budget.room(self.service, now), 1),
        )

    def _log_failed(
        self,
        send: Send,
        verdict: Verdict,
        reply: Reply | None,
        reason: str,
        obstacle: str | None,
    ) -> None:
        replica = send.replica
        events.SEND_FAILED.log(
            request=self.outgoing.id_text,
            service=self.service,
            searcher=replica.searcher.id,
            verdict=verdict.value,
            reason=reason,
            status=reply.status if reply is not None else None,
            after_ms=round((self.dispatch.loop.time() - send.started) * 1000, 1),
            searcher_slowness=round(replica.slowness, 2),
            searcher_failures=round(replica.failures, 2),
            not_sent_again=obstacle,
        )

    def _finish(self, verdict: Verdict, reason: str) -> None:
        self.done = True
        self.verdict = verdict
        self.reason = reason
        self._drop_sends()
        self._on_done(self)

    def _drop_sends(self) -> None:
        dropped, self._under_way = self._under_way, []
        for send in dropped:
            send.drop()
            self.outgoing.guard.ended(send.replica.searcher.run)

    def _withdraw(self, send: Send) -> None:
        self._under_way.remove(send)
        send.drop()
        self.outgoing.guard.ended(send.replica.searcher.run)
        self._sends -= 1
        self._runs -= 1
        self._arrivals -= 1
