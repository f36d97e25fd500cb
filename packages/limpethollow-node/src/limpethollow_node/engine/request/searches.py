"""A search: calls to all shards, merged into one reply that states how many are missing."""

from collections.abc import Sequence

from limpethollow_node.engine.connection.callers import Exchange, error_reply
from limpethollow_node.engine.messages import Reply
from limpethollow_node.engine.process.admissioncontrol import SearchAdmission
from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.engine.request.attempts import Attempts
from limpethollow_node.engine.request.batches import BatchManager
from limpethollow_node.engine.request.carriers import BatchingCarrier
from limpethollow_node.engine.request.outcomes import Outcome, OutcomeLog
from limpethollow_node.engine.request.outgoing import Outgoing
from limpethollow_node.process import events
from limpethollow_policy.process.searchers import Replica
from limpethollow_policy.request.parts import PartSet
from limpethollow_policy.request.verdicts import Verdict
from limpethollow_wire.exceptions import AnswerLate, LimpethollowError, NoUsableReply, Unavailable

# Maximum fraction of a search's shards that are hedged. If more are late, the instance or the whole
# service is slow, and hedges would only add load.
_MAX_HEDGED_FRACTION = 0.5
# If hedges were withheld, the search checks again after this fraction of the hedge delay. Many
# shards look late for a moment when the frame of a delegated batch is late, since the other
# instance collects parts until shortly before the hedge delay.
_RECHECK_FRACTION = 0.25
_RETRY_AFTER = 0.25
# Bounds of `Retry-After` in seconds when it is known when enough shards can be called. Callers
# retry within a third of their remaining time, which is 0.25 to 0.5 s of the users' 0.8 to 1.5 s.
_MIN_RETRY_AFTER, _MAX_RETRY_AFTER = 0.05, 0.5
# A caller that retries at another instance need not wait.
RETRY_ELSEWHERE = 0.02
# Error message of an instance that is shutting down.
STOPPING = "This instance is shutting down. Retry at another instance."


class Search:
    """Calls all shards, hedges the late ones, and replies at the latest useful time.

    A partial result within the objective is worth more to a caller than a complete one after it.
    At the objective, the search therefore replies with the parts it has, if they are enough.

    Args:
        dispatch: State shared by the process.
        exchange: The caller's request.
        outgoing: The request as it is sent to searchers.
        desk: Delegates calls to instances in the searchers' failure domains.
        admission: Is notified of the number of shards that have answered.
        log: Called with the outcome.
    """

    __slots__ = (
        "_admission",
        "_carrier",
        "_dispatch",
        "_exchange",
        "_min_parts",
        "_log",
        "_outgoing",
        "_parts",
        "_pending",
        "_timers",
        "_tries",
        "_awaits_floor",
    )

    def __init__(
        self,
        dispatch: Dispatch,
        exchange: Exchange,
        outgoing: Outgoing,
        desk: BatchManager,
        admission: SearchAdmission,
        log: OutcomeLog,
    ) -> None:
        self._admission = admission
        self._dispatch = dispatch
        self._exchange = exchange
        self._outgoing = outgoing
        self._log = log
        self._parts = PartSet(outgoing.route.top)
        self._min_parts = outgoing.route.min_parts
        self._carrier: BatchingCarrier | None = BatchingCarrier(
            dispatch, desk, outgoing, self._on_group
        )
        self._pending = len(outgoing.route.shards)
        self._awaits_floor = False
        self._timers: list = []
        self._tries: list[Attempts] = []

    def start(self) -> None:
        """Send the calls and start the timers for hedges, the objective and the deadline."""
        self._exchange.on_disconnect = self._on_disconnect
        begun = self._dispatch.clock()
        loop, shards = self._dispatch.loop, self._outgoing.route.shards
        now = loop.time()
        chosen = self._choose(shards, now)
        self._dispatch.budget.search(shards, now)
        if len(shards) - chosen.count(None) < self._min_parts:
            self._refuse(self._time_until_floor(now))
            return
        self._timers = [
            loop.call_at(self._outgoing.reply_by, self._on_objective),
            loop.call_at(self._outgoing.deadline, self._on_deadline),
        ]
        self._tries = [
            Attempts(self._dispatch, self._outgoing, shard, self._on_part_done, self._carrier)
            for shard in shards
        ]
        carrier = self._carrier
        for tries, replica in zip(self._tries, chosen, strict=True):
            if self._timers:
                tries.start_at(replica)
        carrier.flush()
        left_at = self._dispatch.clock()
        self._dispatch.own_pace.started(len(shards), left_at - begun)
        if self._timers:
            # On an instance with little CPU, starting 87 calls takes 10 of the 36 ms after which
            # they count as late, and processing the replies takes as long again. When the delay
            # was measured from the start, hedges went to shards that had just been called, or whose
            # replies were waiting to be read.
            hedge_at = left_at + self._outgoing.timings.hedge_delay + (left_at - begun)
            self._timers.append(loop.call_at(hedge_at, self._hedge))

    @property
    def may_have_run(self) -> bool:
        """Return whether a searcher may have run one of the calls."""
        return any(tries.may_have_run for tries in self._tries)

    def cut_off(self) -> None:
        """Fail the search because this instance is isolated; the caller may retry it."""
        error = NoUsableReply(
            "This instance is isolated from peers and searchers.",
            retry_after=RETRY_ELSEWHERE,
        )
        self._fail(error, "isolated")

    def end_if_forbidden(self) -> None:
        """Fail the search if it is no longer allowed and no searcher may have run a part of it."""
        if not self._outgoing.permit.may_send() and not self._may_have_run:
            self._fail_forbidden()

    def finish_for_shutdown(self) -> None:
        """Reply with the available parts because this instance stops; fail below the floor."""
        if len(self._parts) >= self._min_parts:
            self._answer("stopping")
        else:
            self._fail(NoUsableReply(STOPPING, retry_after=RETRY_ELSEWHERE), "stopping")

    def _choose(self, shards: Sequence[str], now: float) -> list[Replica | None]:
        """Return the first searcher to call for each shard; None if none is available."""
        choose, usual = self._dispatch.fleet.choose, self._outgoing.timings.usual
        allowed = self._outgoing.domains
        return [choose(shard, now, usual, (), allowed) for shard in shards]

    def _time_until_floor(self, now: float) -> float:
        """Return the seconds until enough shards can be called to reach the coverage floor."""
        fleet, allowed = self._dispatch.fleet, self._outgoing.domains
        waits = sorted(fleet.wait(shard, now, allowed) for shard in self._outgoing.route.shards)
        return waits[self._min_parts - 1]

    def _refuse(self, wait: float) -> None:
        """Fail because too few shards can be called, before any searcher does work."""
        error = Unavailable(
            "Too many shards have no searcher that is reachable and below capacity.",
            retry_after=min(max(wait, _MIN_RETRY_AFTER), _MAX_RETRY_AFTER),
        )
        self._fail(error, "too_few_shards")

    def _on_part_done(self, tries: Attempts) -> None:
        self._pending -= 1
        # A part without a reply of its own was already added with its group.
        if tries.verdict is Verdict.ANSWERED and tries.reply is not None:
            proof = tries.reply.header(self._dispatch.names.proof)
            self._parts.add(tries.service, proof, tries.reply.body)
        self._check_completion()

    def _on_group(self, proofs: dict[str, bytes], body: bytes) -> None:
        if self._timers:
            self._parts.add_group(proofs, body)

    def _check_completion(self) -> None:
        if not self._timers:
            return
        self._admission.came(len(self._parts))
        settled = self._pending == 0 or self._awaits_floor
        if settled and len(self._parts) >= self._min_parts:
            self._answer("late" if self._awaits_floor else "whole")
        elif (
            len(self._parts) + self._pending < self._min_parts
            or self._outgoing.guard.is_quarantined
        ):
            self._give_up()

    def _hedge(self) -> None:
        self._carrier.report_silent_instances()
        late = [tries for tries in self._tries if not tries.done]
        if len(late) > max(2, _MAX_HEDGED_FRACTION * len(self._tries)):
            self._dispatch.metrics.count("hedges_withheld")
            again = _RECHECK_FRACTION * self._outgoing.timings.hedge_delay
            self._timers.append(self._dispatch.loop.call_later(again, self._hedge))
            return
        self._log_hedges([tries for tries in late if tries.hedge()])

    def _log_hedges(self, hedged: list[Attempts]) -> None:
        """Log all hedged shards in one line.

        With one line per shard, logging took an instance with little CPU as long as the sends.
        """
        if not hedged:
            return
        now, budget = self._dispatch.loop.time(), self._dispatch.budget
        events.SHARDS_HEDGED.log(
            request=self._outgoing.id_text,
            searchers={tries.service: tries.searchers for tries in hedged},
            usual_ms=round(self._outgoing.timings.usual * 1000, 1),
            least_room=round(min(budget.room(tries.service, now) for tries in hedged), 1),
        )

    def _on_objective(self) -> None:
        self._dispatch.own_delay.add(self._dispatch.clock() - self._outgoing.reply_by)
        self._admission.over(len(self._parts))
        if len(self._parts) >= self._min_parts:
            self._answer("objective")
        else:
            self._awaits_floor = True

    def _on_deadline(self) -> None:
        if len(self._parts) >= self._min_parts:
            # The remaining time of a retried search may be shorter than the objective.
            self._answer("little_time")
            return
        self._fail(AnswerLate("Too few shards answered before the deadline."), "deadline")

    def _give_up(self) -> None:
        """Fail now instead of at the deadline, because too many shards can no longer answer."""
        if not self._may_have_run and not self._outgoing.permit.may_send():
            # Not reported to admission control: load did not delay it.
            self._fail_forbidden()
            return
        self._admission.over(len(self._parts))
        if self._may_have_run:
            # A quarantined request would be refused when retried.
            retry_after = None if self._outgoing.guard.is_quarantined else _RETRY_AFTER
            error: LimpethollowError = NoUsableReply(
                "Too many shards sent no usable reply.", retry_after=retry_after
            )
        else:
            error = Unavailable(
                "Too many shards have no reachable searcher.", retry_after=_RETRY_AFTER
            )
        self._fail(error, "floor_out_of_reach")

    @property
    def _may_have_run(self) -> bool:
        return len(self._parts) > 0 or any(tries.may_have_run for tries in self._tries)

    def _fail_forbidden(self) -> None:
        error = self._outgoing.permit.refusal()
        self._fail(error, error.code)

    def _answer(self, reason: str) -> None:
        begun = self._dispatch.clock()
        self._admission.over(len(self._parts))
        names = self._dispatch.names
        route = self._outgoing.route
        missing = len(route.shards) - len(self._parts)
        headers = [
            (names.part_proofs, b", ".join(self._parts.proofs())),
            (names.missing_parts, b"%d" % missing),
            (b"Content-Type", b"application/octet-stream"),
        ]
        if self._outgoing.request_id is not None:
            headers.append((names.request_id, self._outgoing.request_id))
        reply = Reply(200, headers, self._parts.merged())
        self._release()
        self._exchange.respond(reply)
        self._dispatch.own_delay.worked(self._dispatch.clock() - begun)
        self._report(200, reason)

    def _fail(self, error: LimpethollowError, reason: str) -> None:
        self._release()
        self._exchange.respond(error_reply(error))
        self._report(error.status, reason)

    def _on_disconnect(self) -> None:
        self._release()
        self._report(0, "caller_gone")

    def _release(self) -> None:
        for timer in self._timers:
            timer.cancel()
        self._timers = []
        self._outgoing.guard.close()
        for tries in self._tries:
            if not tries.done:
                tries.abandon()

    def _report(self, status: int, reason: str) -> None:
        missing = [tries for tries in self._tries if tries.service not in self._parts]
        for tries in missing:
            self._dispatch.metrics.count("parts_missing", tries.service)
        # Called once; both refer to this object, and the request's body and the parts would stay
        # in memory until a garbage collection.
        log, self._log, self._carrier = self._log, _ignore, None
        log(
            Outcome(
                status,
                reason,
                parts=len(self._parts),
                missing=[
                    f"{t.service}:{t.reason or 'late'}:{'+'.join(t.searchers)}" for t in missing
                ],
                hedges=sum(t.hedges for t in self._tries),
                lost=[searcher for t in self._tries for searcher in t.lost],
            )
        )


def _ignore(_: Outcome) -> None:
    """Take no notice of a second end of a request."""
