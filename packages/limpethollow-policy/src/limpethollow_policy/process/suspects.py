"""Queries that may end the searchers that run them, as the owner of a group sees them."""

from collections.abc import Iterable

from limpethollow_policy.process.calls import CallTable, OpenCall
from limpethollow_policy.process.crashes import (
    CrashEvidence,
    CrashLedger,
    CrashReport,
    Standing,
)


class SuspectQueries:
    """Lets a query that is suspected of ending searchers make one call at a time, or none.

    Args:
        calls: The open calls.
    """

    __slots__ = ("_calls", "_ledger")

    def __init__(self, calls: CallTable) -> None:
        self._calls = calls
        self._ledger = CrashLedger()

    def standing(self, key: str) -> Standing:
        """Return how far a query is trusted."""
        return self._ledger.evidence(key).standing

    def is_trusted(self, key: str) -> bool:
        """Return whether a query's calls are made as usual."""
        return self.standing(key) is Standing.TRUSTED

    def may_call(self, key: str) -> bool:
        """Return whether a call may be made for a query now."""
        if self.standing(key) is Standing.SUSPECT:
            return not any(key in call.work for call in self._calls)
        return self.is_trusted(key)

    def seconds_left(self, key: str, now: float) -> float:
        """Return for how long a query is still quarantined; 0 where it isn't."""
        self._ledger.expire(now)
        return self._ledger.seconds_left(key, now)

    def lost(self, call: OpenCall, now: float) -> None:
        """Take in that a searcher's connection ended under a call before any byte of a reply."""
        # A searcher keeps its id over its restarts, so ends are counted by call.
        end = frozenset((f"{call.searcher.spec.id}/{call.id}",))
        for key in call.work:
            on_trial = end if self._was_trial(call, key) else frozenset()
            self._ledger.add(CrashReport(key, CrashEvidence(end, on_trial)), now)

    def survived(self, keys: Iterable[str], now: float) -> None:
        """Take in that a searcher replied to a call for some queries."""
        for key in keys:
            self._ledger.release(key, now)

    def forget(self) -> None:
        """Trust all queries again."""
        self._ledger = CrashLedger()

    def _was_trial(self, call: OpenCall, key: str) -> bool:
        is_alone = len(call.work) == 1 and not any(key in other.work for other in self._calls)
        return is_alone and not call.to_doubtful and self.standing(key) is Standing.SUSPECT
