"""The one final answer of a search: its parts with their label, or a typed error."""

from limpethollow_policy.process.replicas import ReplicaSet
from limpethollow_policy.process.waits import WaitEstimate
from limpethollow_policy.request.events import Complete, Refuse
from limpethollow_policy.request.gathers import Gather
from limpethollow_wire.exceptions import (
    CoverageTooLow,
    LimpethollowError,
    Overloaded,
    Unavailable,
    VersionGone,
)

_REFUSALS = {
    "wait_too_long": "The wait would be longer than the deadline.",
    "queue_full": "The queue is full.",
    "gave_way": "The queue is full and the search gave way to a firm that uses less of its share.",
    "waited_out": "The search waited out its deadline.",
}


class Verdicts:
    """Turns what a search has collected into its answer.

    Args:
        replicas: The group's searchers.
        waits: How long a refused caller should stay away.
    """

    __slots__ = ("_replicas", "_waits")

    def __init__(self, replicas: ReplicaSet, waits: WaitEstimate) -> None:
        self._replicas = replicas
        self._waits = waits

    def conclude(self, gather: Gather, reason: str, now: float) -> Complete | Refuse:
        """Return a search's final answer.

        Args:
            gather: The search.
            reason: Why shards that were neither covered nor given up on are missing.
            now: Monotonic second.
        """
        search = gather.search
        if not gather.is_pinned or search.versions_only:
            return Refuse(search.id, self._no_snapshot(gather, now))
        if search.pinned is not None and "version_gone" in gather.failures.values():
            return Refuse(search.id, VersionGone(f"Version {search.pinned} is gone from a shard."))
        if gather.is_answerable:
            return Complete(search.id, gather.answer(reason))
        return Refuse(search.id, self._too_little(gather, reason, now))

    def overloaded(self, firm: str, reason: str, now: float) -> Overloaded:
        """Return the error of a search that was never started.

        Args:
            firm: Whose search it is.
            reason: The refusal, as it is counted.
            now: Monotonic second.
        """
        retry_after = self._waits.retry_after(now, firm)
        return Overloaded(_REFUSALS[reason], retry_after=retry_after)

    def _no_snapshot(self, gather: Gather, now: float) -> LimpethollowError:
        retry_after = self._waits.retry_after(now)
        if not self._replicas.usable_holders(gather.search.shards, now):
            return Unavailable("No searcher of the service can be used.", retry_after=retry_after)
        if gather.search.min_version:
            message = f"No replica set serves version {gather.search.min_version} yet."
        else:
            message = f"No searcher serves partition epoch {self._replicas.epoch} now."
        return VersionGone(
            message, remedy="Come back after retry_after seconds.", retry_after=retry_after
        )

    def _too_little(self, gather: Gather, reason: str, now: float) -> LimpethollowError:
        coverage = gather.answer(reason).coverage
        return CoverageTooLow(
            f"Only {len(coverage.covered)} of {coverage.wanted} shards answered.",
            retry_after=self._waits.retry_after(now),
            details={
                "covered": list(coverage.covered),
                "missing": {str(m.shard): m.reason for m in coverage.missing},
            },
        )
