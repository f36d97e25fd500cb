"""The final answer of a search: its parts with their coverage, or a typed error."""

from limpethollow_policy.process.replicas import ReplicaSet
from limpethollow_policy.process.waitestimates import WaitEstimate
from limpethollow_policy.request.events import Complete, FailSearch
from limpethollow_policy.request.gathers import Gather
from limpethollow_wire.exceptions import (
    CoverageTooLow,
    LimpethollowError,
    Overloaded,
    Unavailable,
    VersionGone,
)

_REFUSAL_MESSAGES = {
    "wait_too_long": "The expected wait in the queue exceeds the deadline.",
    "queue_full": "The search queue is full.",
    "gave_way": "The queue is full; the search was evicted for a firm that uses less of its share.",
    "waited_out": "The deadline passed while the search was queued.",
}


class AnswerBuilder:
    """Builds the final answer of a search from the parts that it has collected.

    Args:
        replicas: The group's searchers.
        waits: Estimates after how many seconds a refused caller should retry.
    """

    __slots__ = ("_replicas", "_waits")

    def __init__(self, replicas: ReplicaSet, waits: WaitEstimate) -> None:
        self._replicas = replicas
        self._waits = waits

    def conclude(self, gather: Gather, reason: str, now: float) -> Complete | FailSearch:
        """Return a search's final answer.

        Args:
            gather: The search.
            reason: Reason reported for missing shards that have not failed themselves.
            now: Monotonic time in seconds.
        """
        search = gather.search
        if not gather.is_pinned or search.versions_only:
            return FailSearch(search.id, self._no_snapshot_error(gather, now))
        if search.pinned is not None and "version_gone" in gather.failures.values():
            return FailSearch(
                search.id,
                VersionGone(f"Version {search.pinned} is no longer available on a shard."),
            )
        if gather.is_answerable:
            return Complete(search.id, gather.answer(reason))
        return FailSearch(search.id, self._coverage_error(gather, reason, now))

    def overloaded(self, firm: str, reason: str, now: float) -> Overloaded:
        """Return the error of a search that was never started.

        Args:
            firm: The firm that sent the search.
            reason: Key of the refusal, as counted in the metrics.
            now: Monotonic time in seconds.
        """
        retry_after = self._waits.retry_after(now, firm)
        return Overloaded(_REFUSAL_MESSAGES[reason], retry_after=retry_after)

    def _no_snapshot_error(self, gather: Gather, now: float) -> LimpethollowError:
        retry_after = self._waits.retry_after(now)
        if not self._replicas.usable_holders(gather.search.shards, now):
            return Unavailable("No searcher of the service is available.", retry_after=retry_after)
        if gather.search.min_version:
            message = f"Index version {gather.search.min_version} is not on all shards yet."
        else:
            message = f"No searcher serves partition epoch {self._replicas.epoch} at present."
        return VersionGone(
            message, remedy="Retry after retry_after seconds.", retry_after=retry_after
        )

    def _coverage_error(self, gather: Gather, reason: str, now: float) -> LimpethollowError:
        coverage = gather.answer(reason).coverage
        return CoverageTooLow(
            f"Only {len(coverage.covered)} of {coverage.wanted} shards answered.",
            retry_after=self._waits.retry_after(now),
            details={
                "covered": list(coverage.covered),
                "missing": {str(m.shard): m.reason for m in coverage.missing},
            },
        )
