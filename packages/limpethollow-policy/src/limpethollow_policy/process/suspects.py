"""Queries suspected of crashing the searchers that run them, tracked by a group's owner."""

from collections.abc import Iterable

from limpethollow_policy.process.calls import CallTable, OpenCall
from limpethollow_policy.process.crashes import (
    CrashEvidence,
    CrashRecords,
    CrashReport,
    Standing,
)


class SuspectQueries:
    """Limits queries suspected of crashing searchers to one call at a time, or to none.

    Args:
        calls: The open calls.
    """

    __slots__ = ("_calls", "_ledger")

    def __init__(self, calls: CallTable) -> None:
        self._calls = calls
        self._ledger = CrashRecords()

    def standing(self, key: str) -> Standing:
        """Return the current standing of a query."""
        return self._ledger.evidence(key).standing

    def is_trusted(self, key: str) -> bool:
        """Return whether a query's calls are unrestricted."""
        return self.standing(key) is Standing.TRUSTED

    def may_call(self, key: str) -> bool:
        """Return whether a call may be made for a query now."""
        if self.standing(key) is Standing.SUSPECT:
            return not any(key in call.work for call in self._calls)
        return self.is_trusted(key)

    def seconds_left(self, key: str, now: float) -> float:
        """Return the seconds for which a query is still quarantined; 0 if it is not."""
        self._ledger.expire(now)
        return self._ledger.seconds_left(key, now)

    def lost(self, call: OpenCall, now: float) -> None:
        """Record that the connection ended during a call before any byte of a reply."""
        # A searcher keeps its id across restarts, so crashes are counted by call.
        crash = frozenset((f"{call.searcher.spec.id}/{call.id}",))
        for key in call.work:
            on_trial = crash if self._was_trial(call, key) else frozenset()
            self._ledger.add(CrashReport(key, CrashEvidence(crash, on_trial)), now)

    def survived(self, keys: Iterable[str], now: float) -> None:
        """Record that a searcher replied to a call for these queries."""
        for key in keys:
            self._ledger.release(key, now)

    def forget(self) -> None:
        """Trust all queries again."""
        self._ledger = CrashRecords()

    def _was_trial(self, call: OpenCall, key: str) -> bool:
        is_alone = len(call.work) == 1 and not any(key in other.work for other in self._calls)
        return (
            is_alone and not call.searcher_was_doubtful and self.standing(key) is Standing.SUSPECT
        )
