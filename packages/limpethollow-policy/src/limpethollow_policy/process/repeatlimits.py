"""Decides when calls are hedged, timed out and retried, within budgets."""

from limpethollow_policy.request.gathers import Gather
from limpethollow_policy.request.hedges import LatencyWindow, RatioBudget
from limpethollow_wire.services import HedgePolicy

_RETRY_RATIO = 0.1
_RETRY_RESERVE = 20.0
_HEDGE_RESERVE = 5.0
_TIMEOUT_PER_HEDGE_DELAY = 8.0
_TIMEOUT_PER_SLOWEST_REPLY = 2.0
_MIN_ATTEMPT_TIMEOUT = 0.05
_CUT_SHORT_DECAY = 0.98
_MEDIAN = 0.5


class RepeatLimits:
    """Limits the hedges and retries of one group.

    Args:
        policy: The service's configured hedging.
    """

    __slots__ = ("_hedge_budget", "_latencies", "_policy", "_retry_budget", "_longest_cut_short")

    def __init__(self, policy: HedgePolicy) -> None:
        self._policy = policy
        self._latencies = LatencyWindow()
        self._longest_cut_short = 0.0
        self._hedge_budget = RatioBudget(policy.budget, _HEDGE_RESERVE)
        self._retry_budget = RatioBudget(_RETRY_RATIO, _RETRY_RESERVE)

    @property
    def may_hedge(self) -> bool:
        """Whether the budget allows one more hedge."""
        return self._hedge_budget.available

    def reconfigure(self, policy: HedgePolicy) -> None:
        """Apply a new hedge policy and keep the measured latencies."""
        self._policy = policy
        self._hedge_budget.change_share(policy.budget)

    def call_started(self, free_share: float) -> None:
        """Credit the budgets for one first call.

        The fewer slots are free, the less it credits the hedge budget: hedges in a busy group only
        lengthen the queue that delayed its calls.

        Args:
            free_share: Fraction of the group's slots that is free, 0 to 1.
        """
        self._hedge_budget.earn(free_share)
        self._retry_budget.earn()

    def call_answered(self, latency: float) -> None:
        """Record the latency of a call that was answered."""
        self._latencies.add(latency)
        self._longest_cut_short *= _CUT_SHORT_DECAY

    def call_cut_short(self, age: float) -> None:
        """Record a call that was cancelled or timed out at this age, a lower bound of its latency.

        Otherwise a slowdown of the whole service would go undetected: every call would be given up
        at the old limit, and the limit would still be derived from old replies.
        """
        self._longest_cut_short = max(self._longest_cut_short, age)

    def spend_hedge(self) -> bool:
        """Take one hedge from the budget; return False if it is exhausted."""
        return self._hedge_budget.spend()

    def spend_retry(self) -> bool:
        """Take one retry from the budget; return False if it is exhausted."""
        return self._retry_budget.spend()

    def hedge_delay(self) -> float | None:
        """Return the age in seconds at which a call is hedged, or None if it is not hedged."""
        if self._policy.budget <= 0:
            return None
        return self._latency_threshold()

    def attempt_timeout(self, left: float) -> float:
        """Return the timeout of one call in seconds.

        A dead connection can't be told from a slow call until the call has taken far longer than
        any that was answered. Then the connection is closed and the work is retried on a new one
        if time allows, so a dead connection costs no more than its own call. The limit follows the
        slowest replies seen, so that calls to a searcher that is merely slow are not timed out
        repeatedly.

        Args:
            left: Seconds until the latest deadline among the call's searches.
        """
        usual = self._latency_threshold()
        if usual is None:
            return left
        slowest = max(self._latencies.slowest, self._longest_cut_short)
        limit = max(
            usual * _TIMEOUT_PER_HEDGE_DELAY,
            slowest * _TIMEOUT_PER_SLOWEST_REPLY,
            _MIN_ATTEMPT_TIMEOUT,
        )
        return min(left, limit)

    def latest_start(self, gather: Gather) -> float:
        """Return the time after which a started search would still miss its deadline.

        At most half of the search's time is reserved for its call, so that a group whose calls have
        become slow continues to make some and notices when they are fast again.
        """
        usual = self._latencies.quantile(_MEDIAN) or 0.0
        deadline = gather.search.deadline
        return deadline - min(usual, (deadline - gather.arrived) / 2)

    def expected_restart_seconds(self) -> float:
        """Return the expected time in seconds of a search restarted at another snapshot.

        It is 0 if unknown.
        """
        return self._latency_threshold() or 0.0

    def _latency_threshold(self) -> float | None:
        quantile = self._latencies.quantile(self._policy.quantile)
        return None if quantile is None else max(quantile, self._policy.minimum_delay)
