"""When a call is repeated: hedges, attempt timeouts and the budgets that bound both."""

from limpethollow_policy.request.gathers import Gather
from limpethollow_policy.request.hedges import LatencyWindow, ShareBudget
from limpethollow_wire.services import HedgePolicy

_RETRY_SHARE = 0.1
_RETRY_RESERVE = 20.0
_HEDGE_RESERVE = 5.0
_ATTEMPT_HEDGE_DELAYS = 8.0
_ATTEMPT_SLOWEST = 2.0
_SHORTEST_ATTEMPT = 0.05
_STRAGGLED_DECAY = 0.98
_MEDIAN = 0.5


class Repeats:
    """Bounds how often a group does work twice.

    Args:
        policy: The service's hedging as configured.
    """

    __slots__ = ("_hedges", "_latencies", "_policy", "_retries", "_straggled")

    def __init__(self, policy: HedgePolicy) -> None:
        self._policy = policy
        self._latencies = LatencyWindow()
        self._straggled = 0.0
        self._hedges = ShareBudget(policy.budget, _HEDGE_RESERVE)
        self._retries = ShareBudget(_RETRY_SHARE, _RETRY_RESERVE)

    @property
    def may_hedge(self) -> bool:
        """Whether the budget allows one more hedge."""
        return self._hedges.available

    def reconfigure(self, policy: HedgePolicy) -> None:
        """Use another policy from now on; what was measured stays."""
        self._policy = policy
        self._hedges.change_share(policy.budget)

    def call_started(self, free_share: float) -> None:
        """Count one first call.

        It earns less for hedges the fewer slots are free: hedges of a busy group only lengthen the
        queue that made its calls late.

        Args:
            free_share: Share of the group's slots that is free, 0 to 1.
        """
        self._hedges.earn(free_share)
        self._retries.earn()

    def call_answered(self, latency: float) -> None:
        """Take in how long a call took."""
        self._latencies.add(latency)
        self._straggled *= _STRAGGLED_DECAY

    def call_cut_short(self, age: float) -> None:
        """Take in that a call was cancelled or timed out, and would have taken longer than this.

        Without it, a service that turns slow as a whole would never be seen to: each call would be
        given up at the old limit, and the limit would go on being drawn from old replies.
        """
        self._straggled = max(self._straggled, age)

    def spend_hedge(self) -> bool:
        """Take one hedge out of the budget; false where it is empty."""
        return self._hedges.spend()

    def spend_retry(self) -> bool:
        """Take one retry out of the budget; false where it is empty."""
        return self._retries.spend()

    def hedge_delay(self) -> float | None:
        """Return the age in seconds at which a call is hedged, None where it is not."""
        if self._policy.budget <= 0:
            return None
        return self._usual_limit()

    def attempt_timeout(self, left: float) -> float:
        """Return the seconds that one call may take.

        An open connection can go silent for good. Nothing tells that apart from a straggler until
        the call has taken far longer than any that came back; then its connection is given up,
        and the work is tried again on a new one while there is time. So a dead connection costs
        its own call and no more. The limit follows the slowest replies seen, so that a searcher
        that is merely slow is not cut off again and again.

        Args:
            left: Seconds until the latest deadline among the call's searches.
        """
        usual = self._usual_limit()
        if usual is None:
            return left
        slowest = max(self._latencies.slowest, self._straggled)
        limit = max(usual * _ATTEMPT_HEDGE_DELAYS, slowest * _ATTEMPT_SLOWEST, _SHORTEST_ATTEMPT)
        return min(left, limit)

    def latest_start(self, gather: Gather) -> float:
        """Return the second after which a search would use slots and still come too late.

        At most half of its time is set aside, so that a group whose calls have become slow goes on
        making some and learns when they are fast again.
        """
        usual = self._latencies.quantile(_MEDIAN) or 0.0
        deadline = gather.search.deadline
        return deadline - min(usual, (deadline - gather.arrived) / 2)

    def restart_takes(self) -> float:
        """Return the seconds that starting over at another snapshot is expected to take."""
        return self._usual_limit() or 0.0

    def _usual_limit(self) -> float | None:
        quantile = self._latencies.quantile(self._policy.quantile)
        return None if quantile is None else max(quantile, self._policy.minimum_delay)
