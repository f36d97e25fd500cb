"""All sends of a request to one service, until a searcher answers or no further send is allowed."""

from collections.abc import Callable
from typing import Protocol

from limpethollow_node.engine.messages import Reply
from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.engine.request.outgoing import Outgoing
from limpethollow_node.engine.request.sends import Send
from limpethollow_node.process import events
from limpethollow_policy.process.searchers import Replica
from limpethollow_policy.request.verdicts import Verdict

# Sends allowed beyond a route's attempts when searchers refused or never received the request and
# so have not run it. Two more reach a third and a fourth searcher while a service is replaced.
_EXTRA_SENDS = 2
# Fraction of the retry budget's slack that hedges leave to requests whose only send failed.
_HEDGE_RESERVE_FRACTION = 0.25
# Statuses with which a searcher refuses a request because it is at capacity.
_FULL_STATUSES = (429, 503)
# Reason for no retry: the request must not run twice, and it may already have run.
_MAY_HAVE_RUN = "may_have_run"
# Reason for no retry: the request crashed every searcher that it was sent to.
_QUARANTINED = "quarantined"
# Reason for no send: the request's key or the lease of the keys no longer allows it.
_NOT_PERMITTED = "not_permitted"
# Reason to wait before a retry: the request may crash searchers, and its trial runs elsewhere.
_ON_TRIAL_ELSEWHERE = "on_trial_elsewhere"


class Carrier(Protocol):
    """Takes over the first sends of requests if another instance can make them in a batch."""

    def offer(self, send: Send) -> bool:
        """Return whether the send is taken over; otherwise it is made directly."""


class Attempts:
    """Sends a request to a searcher of a service, with retries and hedges where these are safe.

    Args:
        dispatch: State shared by the process.
        outgoing: The request.
        service: The service.
        on_done: Called once with this object when the outcome is final.
        carrier: May take over the first send.

    Attributes:
        lost: Ids of the searchers whose connection closed during the request, in order.
    """

    __slots__ = (
        "_possible_arrivals",
        "_carrier",
        "_on_done",
        "_refused_as_full",
        "_possible_runs",
        "_sends",
        "_in_flight",
        "_searchers",
        "_is_waiting",
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
        on_done: Callable[["Attempts"], None],
        carrier: Carrier | None = None,
    ) -> None:
        self._carrier = carrier
        self.dispatch = dispatch
        self.outgoing = outgoing
        self._on_done = on_done
        self._in_flight: list[Send] = []
        self._searchers: list[str] = []
        self._sends = 0
        self._possible_runs = 0
        self._possible_arrivals = 0
        self._refused_as_full = False
        self._is_waiting = False
        self.service = service
        self.done = False
        self.hedges = 0
        self.lost: list[str] = []
        self.reply: Reply | None = None
        self.verdict = Verdict.NOT_SENT
        self.reason = ""

    @property
    def may_have_run(self) -> bool:
        """Return whether a searcher may have run the request, or may still run it."""
        waiting = sum(not send.is_sent for send in self._in_flight)
        return self._possible_runs > waiting

    @property
    def is_refused_at_capacity(self) -> bool:
        """Return whether the request failed because the searchers reported to be at capacity."""
        return self.verdict is Verdict.NOT_RUN and self._refused_as_full

    @property
    def searchers(self) -> list[str]:
        """Return the ids of the searchers that were chosen, in order."""
        return self._searchers

    def start(self) -> None:
        """Make the first send."""
        self.dispatch.budget.request(self.service, self.dispatch.loop.time())
        self.start_at(self._choose())

    def start_at(self, replica: Replica | None) -> None:
        """Make the first send of a request that the retry budget already counts.

        Args:
            replica: The chosen searcher; None if none is available.
        """
        if replica is None:
            self._finish(Verdict.NOT_SENT, "no_searcher")
        elif not self.outgoing.permit.may_send():
            self._finish(Verdict.NOT_SENT, _NOT_PERMITTED)
        elif self.outgoing.guard.may_send():
            self._launch(replica)
        else:
            self._wait()

    def hedge(self) -> bool:
        """Call a second searcher because the first is late; return whether both are in flight."""
        if self.done or not self.outgoing.route.idempotent or not self._in_flight:
            return False
        if not self.outgoing.guard.may_send() or not self.outgoing.permit.may_send():
            return False
        other = self._choose_other()
        if other is None:
            return False
        first = self._in_flight[0]
        if not first.is_sent:
            # The send still waits for a connection. The searcher received nothing, so sending it to
            # another one is not a retry.
            self._withdraw(first)
            self._launch(other)
            return False
        if not self._may_send() or not self._take_budget(_HEDGE_RESERVE_FRACTION):
            return False
        self.hedges += 1
        self.dispatch.metrics.count("hedges")
        self._launch(other)
        return True

    def is_in_flight(self, send: Send) -> bool:
        """Return whether an outcome of a send still counts."""
        return send in self._in_flight

    def abandon(self) -> None:
        """Cancel all sends and ignore their outcomes."""
        self.done = True
        self._drop_sends()
        self._release_owner()

    def _launch(self, replica: Replica) -> None:
        send = Send(self, replica, self.dispatch.loop.time())
        self._in_flight.append(send)
        self._searchers.append(replica.searcher.id)
        self._sends += 1
        self._possible_runs += 1
        self._possible_arrivals += 1
        carrier, self._carrier = self._carrier, None
        if carrier is None or send.on_trial or not carrier.offer(send):
            send.go()

    def _choose(self) -> Replica | None:
        now = self.dispatch.loop.time()
        usual = self.outgoing.timings.usual
        allowed = self.outgoing.domains
        return self.dispatch.fleet.choose(self.service, now, usual, self._searchers, allowed)

    def _choose_other(self) -> Replica | None:
        replica = self._choose()
        if replica is None or replica.searcher.id in self._searchers:
            return None
        return replica

    def _may_send(self) -> bool:
        attempts = self.outgoing.route.attempts
        return self._possible_runs < attempts and self._sends < attempts + _EXTRA_SENDS

    def _take_budget(self, reserve: float = 0.0) -> bool:
        if self._possible_arrivals == 0:
            return True
        taken = self.dispatch.budget.take(self.service, self.dispatch.loop.time(), reserve)
        if not taken:
            self.dispatch.metrics.count("repeats_refused")
        return taken

    def ended(self, send: Send, verdict: Verdict, reply: Reply | None, reason: str) -> None:
        """Handle the outcome of a send."""
        self._in_flight.remove(send)
        # The call refers to the send; see `_release_owner`.
        send.call = None
        if verdict is Verdict.NOT_SENT:
            self._possible_arrivals -= 1
        if verdict in (Verdict.NOT_SENT, Verdict.NOT_RUN):
            self._possible_runs -= 1
        self._notify_guard(send, verdict)
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
            self.log_additional_send(verdict.value)
        elif obstacle == _ON_TRIAL_ELSEWHERE:
            self._wait()
        elif obstacle == _MAY_HAVE_RUN or not self._in_flight:
            self._finish(verdict, reason)

    def _notify_guard(self, send: Send, verdict: Verdict) -> None:
        """Report the outcome of a send to the crash guard."""
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
            # Not deferred to the end of the request, whose other sends may last until its deadline.
            self.dispatch.quarantines.ended(guard)

    def _wait(self) -> None:
        """Wait until the crash guard allows a send: after an answer to another send, or in turn."""
        if not self._is_waiting:
            self._is_waiting = True
            self.outgoing.guard.wait(self._resume)

    def _resume(self) -> None:
        self._is_waiting = False
        if self.done:
            return
        other = self._choose()
        obstacle = self._obstacle(other)
        if obstacle is None:
            self._launch(other)
        elif not self._in_flight:
            self._finish(Verdict.LOST if self.lost else Verdict.NOT_SENT, obstacle)

    def _obstacle(self, other: Replica | None) -> str | None:
        """Return why the request can't be sent again; None if it can, with the budget taken.

        Args:
            other: The searcher that it would be sent to.
        """
        guard = self.outgoing.guard
        if not self.outgoing.route.idempotent and self._possible_runs:
            # Another send might run the request twice.
            return _MAY_HAVE_RUN
        if guard.is_quarantined:
            return _QUARANTINED
        if not self.outgoing.permit.may_send():
            return _NOT_PERMITTED
        if other is None:
            return "no_searcher"
        if not self._may_send():
            return "attempts"
        if not guard.may_send():
            return _ON_TRIAL_ELSEWHERE
        if not self._take_budget():
            return "budget"
        return None

    def log_additional_send(self, why: str) -> None:
        """Log that another searcher is called, and why."""
        now = self.dispatch.loop.time()
        first = self._in_flight[0].started
        events.ADDITIONAL_SEND.log(
            request=self.outgoing.id_text,
            service=self.service,
            why=why,
            searchers=list(self._searchers),
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
        self._release_owner()

    def _release_owner(self) -> None:
        """Drop the references to the owner, which refers to this object.

        Otherwise the bodies of the request and its reply would stay in memory until a garbage
        collection.
        """
        self._on_done = _ignore
        self._carrier = None

    def _drop_sends(self) -> None:
        dropped, self._in_flight = self._in_flight, []
        for send in dropped:
            if not send.is_sent:
                self._possible_runs -= 1
            self._drop(send)

    def _drop(self, send: Send) -> None:
        """Cancel a send; its call refers to it, as `_release_owner` says of owners."""
        send.drop()
        send.call = None
        self.outgoing.guard.ended(send.replica.searcher.run)

    def _withdraw(self, send: Send) -> None:
        self._in_flight.remove(send)
        self._drop(send)
        self._sends -= 1
        self._possible_runs -= 1
        self._possible_arrivals -= 1


def _ignore(_: Attempts) -> None:
    """Take no notice of the end of a request."""
