"""Forwarding of a request to one searcher, whose reply is returned unchanged."""

from limpethollow_node.engine.connection.callers import Exchange, error_reply
from limpethollow_node.engine.messages import Reply, end_to_end
from limpethollow_node.engine.process.admissioncontrol import SingleAdmission
from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.engine.request.attempts import Attempts
from limpethollow_node.engine.request.outcomes import Outcome, OutcomeLog
from limpethollow_node.engine.request.outgoing import Outgoing
from limpethollow_node.engine.request.searches import RETRY_ELSEWHERE, STOPPING
from limpethollow_policy.request.verdicts import Verdict, may_return_failure
from limpethollow_wire.exceptions import AnswerLate, LimpethollowError, NoUsableReply, Unavailable

# `Retry-After` values in seconds. A searcher that refused a request has a free slot after about the
# duration of one request; if there is no searcher, a new one registers within about a heartbeat.
_RETRY_WHEN_FULL = 0.2
_RETRY_WITHOUT_SEARCHER = 0.5


class Forward:
    """Sends a request to a searcher and returns its reply to the caller.

    Args:
        dispatch: State shared by the process.
        exchange: The caller's request.
        outgoing: The request as it is sent to searchers.
        service: The service that serves it.
        admission: Is notified of the progress of the request.
        log: Called with the outcome.
    """

    __slots__ = ("_admission", "_dispatch", "_exchange", "_log", "_outgoing", "_timers", "_tries")

    def __init__(
        self,
        dispatch: Dispatch,
        exchange: Exchange,
        outgoing: Outgoing,
        service: str,
        admission: SingleAdmission,
        log: OutcomeLog,
    ) -> None:
        self._admission = admission
        self._dispatch = dispatch
        self._exchange = exchange
        self._outgoing = outgoing
        self._log = log
        self._timers: list = []
        self._tries = Attempts(dispatch, outgoing, service, self._on_done)

    def start(self) -> None:
        """Make the first send and start the timers for hedge, objective and deadline."""
        self._exchange.on_disconnect = self._on_disconnect
        loop = self._dispatch.loop
        self._timers = [
            loop.call_at(self._outgoing.reply_by, self._admission.due),
            loop.call_at(self._outgoing.deadline, self._deadline_passed),
        ]
        if self._outgoing.route.idempotent:
            late_at = loop.time() + self._outgoing.timings.hedge_delay
            self._timers.append(loop.call_at(late_at, self._hedge))
        self._tries.start()

    @property
    def may_have_run(self) -> bool:
        """Return whether a searcher may have run the request."""
        return self._tries.may_have_run

    def cut_off(self) -> None:
        """Fail the request if it is idempotent, because this instance is isolated."""
        if self._outgoing.route.idempotent:
            self._tries.abandon()
            error = NoUsableReply(
                "This instance is isolated from peers and searchers.",
                retry_after=RETRY_ELSEWHERE,
            )
            self._fail(error, "isolated")

    def end_if_forbidden(self) -> None:
        """Fail the request if it is no longer allowed and no searcher may have run it."""
        permit = self._outgoing.permit
        if not permit.may_send() and not self._tries.may_have_run:
            self._tries.abandon()
            self._fail_forbidden()

    def finish_for_shutdown(self) -> None:
        """Fail the request because this instance stops; it may have run only if it was sent."""
        kind = NoUsableReply if self._tries.may_have_run else Unavailable
        self._tries.abandon()
        self._fail(kind(STOPPING, retry_after=RETRY_ELSEWHERE), "stopping")

    def _hedge(self) -> None:
        if self._tries.hedge():
            self._tries.log_additional_send("hedge")

    def _on_done(self, tries: Attempts) -> None:
        if tries.verdict is Verdict.ANSWERED:
            self._admission.answered()
            self._relay(tries.reply, "answered")
        elif tries.reply is not None and self._may_relay(tries.reply):
            self._relay(tries.reply, "searcher_failed")
        elif tries.may_have_run:
            error = NoUsableReply(
                "The searcher sent no usable reply.", retry_after=_RETRY_WHEN_FULL
            )
            self._fail(error, tries.reason)
        elif not self._outgoing.permit.may_send():
            self._fail_forbidden()
        elif tries.verdict is Verdict.NOT_RUN:
            if tries.is_refused_at_capacity:
                self._admission.full()
            error = Unavailable(
                "All searchers that were tried are at capacity.", retry_after=_RETRY_WHEN_FULL
            )
            self._fail(error, tries.reason)
        else:
            error = Unavailable("No searcher is reachable.", retry_after=_RETRY_WITHOUT_SEARCHER)
            self._fail(error, tries.reason)

    def _may_relay(self, reply: Reply) -> bool:
        return may_return_failure(reply.status, idempotent=self._outgoing.route.idempotent)

    def _relay(self, reply: Reply, reason: str) -> None:
        self._release()
        self._exchange.respond(Reply(reply.status, end_to_end(reply.headers), reply.body))
        self._report(reply.status, reason)

    def _fail(self, error: LimpethollowError, reason: str) -> None:
        self._release()
        self._exchange.respond(error_reply(error))
        self._report(error.status, reason)

    def _fail_forbidden(self) -> None:
        error = self._outgoing.permit.refusal()
        self._fail(error, error.code)

    def _deadline_passed(self) -> None:
        self._tries.abandon()
        self._fail(AnswerLate("The searcher did not reply before the deadline."), "deadline")

    def _on_disconnect(self) -> None:
        self._release()
        self._tries.abandon()
        self._report(0, "caller_gone")

    def _release(self) -> None:
        for timer in self._timers:
            timer.cancel()
        self._outgoing.guard.close()

    def _report(self, status: int, reason: str) -> None:
        # Called once; the function refers to this object, and the bodies of the request and its
        # reply would stay in memory until a garbage collection.
        log, self._log = self._log, _ignore
        log(
            Outcome(
                status,
                reason,
                searchers=list(self._tries.searchers),
                hedges=self._tries.hedges,
                lost=self._tries.lost,
            )
        )


def _ignore(_: Outcome) -> None:
    """Take no notice of a second end of a request."""
