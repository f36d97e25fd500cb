"""A search: one call to each shard, merged into one labelled answer."""

from collections.abc import Sequence

from limpethollow_node.engine.connection.callers import Exchange, error_reply
from limpethollow_node.engine.messages import Reply
from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.engine.process.intake import SearchAdmission
from limpethollow_node.engine.request.batches import BatchDesk
from limpethollow_node.engine.request.carriers import ShardCarrier
from limpethollow_node.engine.request.outcomes import Outcome, OutcomeLog
from limpethollow_node.engine.request.outgoing import Outgoing
from limpethollow_node.engine.request.tries import Tries
from limpethollow_node.process import events
from limpethollow_policy.process.searchers import Replica
from limpethollow_policy.request.parts import PartSet
from limpethollow_policy.request.verdicts import Verdict
from limpethollow_wire.exceptions import AnswerLate, LimpethollowError, NoUsableReply, Unavailable

# Most shards of one search that get a second send, as a share. Where more are late, the instance or
# the whole service is slow, and second sends would only add to that.
_MOST_HEDGED = 0.5
# Where second sends were withheld, the search looks again after this share of the hedge delay. Many
# shards look late for a moment when the frame of another instance is: it collects parts until
# shortly before.
_LOOK_AGAIN_SHARE = 0.25
_RETRY_AFTER = 0.25
# Bounds of what a caller is told where it is known when a shard can get a call. Callers come back
# within a third of the time that they have left, which is 0.25 to 0.5 s of the users' 0.8 to 1.5 s.
_RETRY_SOON, _RETRY_LATE = 0.05, 0.5
# A caller that goes to another instance need not wait.
RETRY_ELSEWHERE = 0.02
# What callers are told by an instance that ends.
STOPPING = "This instance is stopping; the others are not."


class Search:
    """Asks all shards, hedges the late ones, and answers when waiting stops being worth it.

    An answer with a part missing is worth more to a caller than a whole one after the objective,
    so at the objective the answer goes out with what is there, if that is enough.

    Args:
        dispatch: What the process shares.
        exchange: The caller's request.
        outgoing: The request as it is sent on.
        desk: Sends calls to instances near the searchers.
        admission: Is told how many shards have answered.
        log: Where the outcome is told.
    """

    __slots__ = (
        "_admission",
        "_carrier",
        "_dispatch",
        "_exchange",
        "_least_parts",
        "_log",
        "_outgoing",
        "_parts",
        "_pending",
        "_timers",
        "_tries",
        "_waits_for_floor",
    )

    def __init__(
        self,
        dispatch: Dispatch,
        exchange: Exchange,
        outgoing: Outgoing,
        desk: BatchDesk,
        admission: SearchAdmission,
        log: OutcomeLog,
    ) -> None:
        self._admission = admission
        self._dispatch = dispatch
        self._exchange = exchange
        self._outgoing = outgoing
        self._log = log
        self._parts = PartSet(outgoing.route.top)
        self._least_parts = outgoing.route.least_parts
        self._carrier = ShardCarrier(dispatch, desk, outgoing, self._group_came)
        self._pending = len(outgoing.route.shards)
        self._waits_for_floor = False
        self._timers: list = []
        self._tries: list[Tries] = []

    def start(self) -> None:
        """Send the calls and set the times at which the search is looked at again."""
        self._exchange.on_gone = self._gone
        begun = self._dispatch.clock()
        loop, shards = self._dispatch.loop, self._outgoing.route.shards
        now = loop.time()
        chosen = self._choose(shards, now)
        self._dispatch.budget.search(shards, now)
        if len(shards) - chosen.count(None) < self._least_parts:
            self._refuse(self._wait_for_floor(now))
            return
        self._timers = [
            loop.call_at(self._outgoing.answer_by, self._objective_near),
            loop.call_at(self._outgoing.deadline, self._deadline_passed),
        ]
        self._tries = [
            Tries(self._dispatch, self._outgoing, shard, self._part_done, self._carrier)
            for shard in shards
        ]
        for tries, replica in zip(self._tries, chosen, strict=True):
            if self._timers:
                tries.start_at(replica)
        self._carrier.flush()
        left_at = self._dispatch.clock()
        self._dispatch.own_pace.started(len(shards), left_at - begun)
        if self._timers:
            # Starting 87 calls takes a weak instance 10 ms of the 36 after which they count as
            # late, and to take in what comes back takes it as long again. Timed from the start,
            # second sends went to shards that had just been asked, or whose parts lay unread.
            hedge_at = left_at + self._outgoing.timings.hedge_delay + (left_at - begun)
            self._timers.append(loop.call_at(hedge_at, self._hedge))

    def cut_off(self) -> None:
        """Give up because this instance reaches nobody; the caller may repeat the search."""
        error = NoUsableReply("This instance is cut off.", retry_after=RETRY_ELSEWHERE)
        self._fail(error, "isolated")

    def end_now(self) -> None:
        """Answer with what is there because this instance stops; fail below the floor."""
        if len(self._parts) >= self._least_parts:
            self._answer("stopping")
        else:
            self._fail(NoUsableReply(STOPPING, retry_after=RETRY_ELSEWHERE), "stopping")

    def _choose(self, shards: Sequence[str], now: float) -> list[Replica | None]:
        """Return the searcher to ask first for each shard, None where none may be used."""
        choose, usual = self._dispatch.fleet.choose, self._outgoing.timings.usual
        return [choose(shard, now, usual) for shard in shards]

    def _wait_for_floor(self, now: float) -> float:
        """Return in how many seconds enough shards can get a call."""
        fleet = self._dispatch.fleet
        waits = sorted(fleet.wait(shard, now) for shard in self._outgoing.route.shards)
        return waits[self._least_parts - 1]

    def _refuse(self, wait: float) -> None:
        """Too few shards can get a call: say so before any searcher has worked."""
        error = Unavailable(
            "Searchers of too many shards are full or can't be reached.",
            retry_after=min(max(wait, _RETRY_SOON), _RETRY_LATE),
        )
        self._fail(error, "too_few_shards")

    def _part_done(self, tries: Tries) -> None:
        self._pending -= 1
        # An answer without a reply of its own is part of a group, which came before it.
        if tries.verdict is Verdict.ANSWERED and tries.reply is not None:
            proof = tries.reply.header(self._dispatch.names.proof)
            self._parts.add(tries.service, proof, tries.reply.body)
        self._decide()

    def _group_came(self, proofs: dict[str, bytes], body: bytes) -> None:
        if self._timers:
            self._parts.add_group(proofs, body)

    def _decide(self) -> None:
        if not self._timers:
            return
        self._admission.came(len(self._parts))
        settled = self._pending == 0 or self._waits_for_floor
        if settled and len(self._parts) >= self._least_parts:
            self._answer("late" if self._waits_for_floor else "whole")
        elif (
            len(self._parts) + self._pending < self._least_parts
            or self._outgoing.guard.is_quarantined
        ):
            self._give_up()

    def _hedge(self) -> None:
        self._carrier.suspect_silent()
        late = [tries for tries in self._tries if not tries.done]
        if len(late) > max(2, _MOST_HEDGED * len(self._tries)):
            self._dispatch.metrics.count("hedges_withheld")
            again = _LOOK_AGAIN_SHARE * self._outgoing.timings.hedge_delay
            self._timers.append(self._dispatch.loop.call_later(again, self._hedge))
            return
        self._log_hedges([tries for tries in late if tries.hedge()])

    def _log_hedges(self, hedged: list[Tries]) -> None:
        """Tell of all shards at once: a line each took a weak instance as long as the sends."""
        if not hedged:
            return
        now, budget = self._dispatch.loop.time(), self._dispatch.budget
        events.SHARDS_HEDGED.log(
            request=self._outgoing.id_text,
            searchers={tries.service: tries.searchers for tries in hedged},
            usual_ms=round(self._outgoing.timings.usual * 1000, 1),
            least_room=round(min(budget.room(tries.service, now) for tries in hedged), 1),
        )

    def _objective_near(self) -> None:
        self._dispatch.own_delay.add(self._dispatch.clock() - self._outgoing.answer_by)
        self._admission.over(len(self._parts))
        if len(self._parts) >= self._least_parts:
            self._answer("objective")
        else:
            self._waits_for_floor = True

    def _deadline_passed(self) -> None:
        if len(self._parts) >= self._least_parts:
            # A caller that comes back may have less time left than the objective.
            self._answer("little_time")
            return
        self._fail(AnswerLate("Too few shards answered in time."), "deadline")

    def _give_up(self) -> None:
        """Too many shards can't answer any more: say so now instead of at the deadline."""
        self._admission.over(len(self._parts))
        if any(tries.may_have_run for tries in self._tries):
            # A quarantined one will be refused when it comes back.
            retry_after = None if self._outgoing.guard.is_quarantined else _RETRY_AFTER
            error: LimpethollowError = NoUsableReply(
                "Too many shards gave no usable reply.", retry_after=retry_after
            )
        else:
            error = Unavailable(
                "No searcher of too many shards can be reached.", retry_after=_RETRY_AFTER
            )
        self._fail(error, "floor_out_of_reach")

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
        self._stop()
        self._exchange.respond(reply)
        self._dispatch.own_delay.worked(self._dispatch.clock() - begun)
        self._report(200, reason)

    def _fail(self, error: LimpethollowError, reason: str) -> None:
        self._stop()
        self._exchange.respond(error_reply(error))
        self._report(error.status, reason)

    def _gone(self) -> None:
        self._stop()
        self._report(0, "caller_gone")

    def _stop(self) -> None:
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
        self._log(
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
