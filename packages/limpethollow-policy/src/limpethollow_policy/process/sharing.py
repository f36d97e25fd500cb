"""Fair sharing: which teams' requests use the admitted rate while a load shedder limits it.

Without it, requests are admitted first come, first served, so that a team that sends ten times its
share takes most of the rate from all other teams.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

# Time constant in seconds with which demand is forgotten: twenty objectives of a usual search, and
# long enough that an instance sees several requests of a team that sends one a second.
_MEMORY_SECONDS = 3.0
# A flow is dropped after this many seconds without a request; its demand is then below 0.04 of one.
_IDLE_SECONDS = 10.0
# Least share of a flow's requests that is admitted, as a fraction of the share of all requests. The
# requirement is a quarter; the rest is a margin for chance.
_LEAST_FRACTION = 0.3
# A request costs its work relative to the mean work, within these bounds, so that a single costly
# one can't use up the credit of many others.
_MIN_COST, _MAX_COST = 0.25, 4.0
# Credit above which requests of a flow are admitted: the first if next to none of them fit into its
# fair share, the second if all do. A noisy team can't cause the debt that refuses a team within its
# share, and admissions remain evenly spaced. The exponent of the flow's share between the two keeps
# a flow slightly above its fair share from being refused like a noisy one.
_ABOVE_SHARE_CREDIT, _WITHIN_SHARE_CREDIT, _SHARE_EXPONENT = 1.0, -3.0, 8
# A flow that asks for at most this fraction of the fair share is admitted also when late.
_QUIET_FRACTION = 0.5
# Weights of a request in the mean work and in the mean admitted share. The share must follow a cut
# of the rate within some requests, but that of a single request depends on the gap before it.
_WORK_WEIGHT, _SHARE_WEIGHT = 1 / 32, 1 / 16
# Time constant in seconds with which an estimate of work rises to longer call times.
_WORK_RISE_SECONDS = 60.0
# Credit at which the admitted and the allowed work agree, and how many times within the memory a
# difference is corrected.
_TARGET_CREDIT, _CORRECTIONS = 0.5, 4.0
# Credit from which on any request is admitted. Waiting longer for the flow whose turn it is makes
# admissions uneven: with 2.0, 2 % fewer searches were in time where searchers report their queues.
_FULL_CREDIT = 1.25
# Maximum credit of a flow.
_MAX_FLOW_CREDIT = 2.0
# Credit of a new flow: its first request is admitted.
_INITIAL_CREDIT = 1.0
# Steps of the search for the water level; the result is exact to a millionth of the largest demand.
_LEVEL_STEPS = 20
# Least interval in seconds between two computations of the shares of known flows.
_REFRESH_SECONDS = 0.02


@dataclass(slots=True, frozen=True)
class Claim:
    """What a request asks of the admitted rate.

    Attributes:
        team: Name of its team; None for a request without one.
        rank: Its priorities, compared in order; the lowest rank is served first.
        work: Expected seconds of searchers' work.
    """

    team: str | None
    rank: tuple[int, ...]
    work: float


class WorkEstimate:
    """Estimates the seconds of work of a route's calls from their usual time.

    Under overload, calls mostly wait, and their usual time grows several times over within a
    second. The estimate follows shorter times at once and longer ones slowly, so that the same
    request counts as the same work before and during an overload.
    """

    __slots__ = ("_at", "_seconds")

    def __init__(self) -> None:
        self._at = float("-inf")
        self._seconds = float("inf")

    def seconds(self, usual: float, now: float) -> float:
        """Return the estimate.

        Args:
            usual: Usual time of the route's calls at present, in seconds.
            now: Current monotonic time in seconds.
        """
        if usual <= self._seconds:
            self._seconds = usual
        else:
            kept = math.exp((self._at - now) / _WORK_RISE_SECONDS)
            self._seconds = usual + (self._seconds - usual) * kept
        self._at = now
        return self._seconds


class _Flow:
    """The requests of one team and rank.

    Attributes:
        rank: Their rank.
        demand: Seconds of work asked for, decayed.
        share: Share of them to admit, from 0 to 1.
        credit: Requests of the flow that may be admitted now.
        is_quiet: Whether it asks for much less than its fair share.
        seen_at: Monotonic second of the last request.
    """

    __slots__ = ("credit", "demand", "is_quiet", "rank", "seen_at", "share")

    def __init__(self, rank: tuple[int, ...], now: float) -> None:
        self.rank = rank
        self.demand = 0.0
        self.share = 1.0
        self.is_quiet = True
        self.credit = _INITIAL_CREDIT
        self.seen_at = now

    def demand_at(self, now: float) -> float:
        """Return the decayed demand in seconds of work."""
        return self.demand * math.exp((self.seen_at - now) / _MEMORY_SECONDS)


class FairShares:
    """Divides the rate that one load shedder admits among teams, by priority and then by work.

    The shedder decides how much is admitted: it earns credit with each request, as without teams,
    and each admitted request spends some. Fair shares decide which requests spend it. The work that
    can be admitted is given to the ranks in order and within a rank to the teams up to a common
    level, the fair share. A team that asks for less is admitted whole. If that uses credit that is
    not yet earned, teams above the level are refused until it is.

    Every flow, that is the requests of one team and rank, keeps 0.3 of the share of all requests
    that is admitted. This is also the least share of the lowest rank.

    Usage:
        shares.arrived(claim, now, in_time=True)    # every request, also without a limit
        if shares.admits(claim, 0.4, credit, now):  # only while the shedder limits
            credit -= shares.cost(claim)
    """

    __slots__ = (
        "_flows",
        "_in_time_work",
        "_mean_share",
        "_mean_work",
        "_refreshed_at",
        "_seen_at",
    )

    def __init__(self) -> None:
        self._flows: dict[tuple[str | None, tuple[int, ...]], _Flow] = {}
        # Decayed work of the requests that could still be answered in time.
        self._in_time_work = 0.0
        self._mean_work = 0.0
        self._mean_share = 1.0
        self._seen_at = float("-inf")
        self._refreshed_at = float("-inf")

    @property
    def flows(self) -> int:
        """Return the number of flows that are kept."""
        return len(self._flows)

    def share(self, claim: Claim) -> float:
        """Return the share of a team's requests of this rank that was last found fair, 0 to 1."""
        flow = self._flows.get((claim.team, claim.rank))
        return 1.0 if flow is None else flow.share

    def arrived(self, claim: Claim, now: float, *, in_time: bool) -> None:
        """Record a request, before the decision on it.

        Args:
            claim: The request.
            now: Current monotonic time in seconds.
            in_time: Whether its answer can still meet its objective.
        """
        if now - self._seen_at > _MEMORY_SECONDS:
            self._drop_idle(now)
        key = claim.team, claim.rank
        flow = self._flows.get(key)
        if flow is None:
            self._drop_idle(now)
            flow = self._flows[key] = _Flow(claim.rank, now)
        if now - flow.seen_at > _MEMORY_SECONDS:
            flow.credit = max(flow.credit, _INITIAL_CREDIT)
        flow.demand = flow.demand_at(now) + claim.work
        flow.seen_at = now
        kept = math.exp((self._seen_at - now) / _MEMORY_SECONDS)
        self._in_time_work = self._in_time_work * kept + in_time * claim.work
        weight = _WORK_WEIGHT if self._mean_work > 0.0 else 1.0
        self._mean_work += (claim.work - self._mean_work) * weight
        self._seen_at = now

    def admits(self, claim: Claim, share: float, credit: float, now: float) -> bool:
        """Return whether a request that has arrived is admitted while the rate is limited.

        Args:
            claim: The request.
            share: Share of all requests that the shedder admits now, from 0 to 1.
            credit: Requests that the shedder may admit now; negative if more were admitted.
            now: Current monotonic time in seconds.
        """
        flow = self._flows[claim.team, claim.rank]
        self._mean_share += (share - self._mean_share) * _SHARE_WEIGHT
        self._refresh(flow, claim.work, credit, now)
        flow.credit = min(flow.credit + flow.share, _MAX_FLOW_CREDIT)
        span = _WITHIN_SHARE_CREDIT - _ABOVE_SHARE_CREDIT
        least = _ABOVE_SHARE_CREDIT + span * flow.share**_SHARE_EXPONENT
        if credit < _FULL_CREDIT and (flow.credit < 1.0 or credit <= least):
            return False
        flow.credit = max(flow.credit - 1.0, 0.0)
        return True

    def spares(self, claim: Claim, credit: float) -> bool:
        """Return whether a request is admitted although its answer will probably be late.

        A team that asks for little is not refused because others make the searchers' answers slow.
        Requests of other teams that can't be answered in time yield to those that can.

        Args:
            claim: The request; it has arrived.
            credit: As for `admits`.
        """
        return self._flows[claim.team, claim.rank].is_quiet and credit > _WITHIN_SHARE_CREDIT

    def cost(self, claim: Claim) -> float:
        """Return the credit that an admitted request spends: its work relative to the mean."""
        if self._mean_work <= 0.0:
            return 1.0
        return min(max(claim.work / self._mean_work, _MIN_COST), _MAX_COST)

    def _drop_idle(self, now: float) -> None:
        for key in [k for k, f in self._flows.items() if f.seen_at < now - _IDLE_SECONDS]:
            del self._flows[key]

    def _refresh(self, flow: _Flow, work: float, credit: float, now: float) -> None:
        """Compute the shares of all flows.

        Args:
            flow: The flow of the request that has just arrived.
            work: The request's work. It doesn't count as demand yet: a flow of few requests would
                always seem to ask for one more than it does on average.
            credit: As for `admits`.
            now: Current monotonic time in seconds.
        """
        if now - self._refreshed_at < _REFRESH_SECONDS and flow.share < 1.0:
            return
        self._refreshed_at = now
        ranks: dict[tuple[int, ...], list[tuple[_Flow, float]]] = {}
        total = 0.0
        for other in self._flows.values():
            demand = other.demand_at(now)
            if other is flow:
                demand = max(demand - work, 0.0)
            ranks.setdefault(other.rank, []).append((other, demand))
            total += demand
        least = _LEAST_FRACTION * self._mean_share
        correction = (credit - _TARGET_CREDIT) * _CORRECTIONS * self._mean_work
        remaining = self._mean_share * self._in_time_work + correction
        lower = least * total
        for rank in sorted(ranks):
            demands = [demand for _, demand in ranks[rank]]
            lower -= least * sum(demands)
            level = _water_level(demands, least, remaining - lower)
            for other, demand in ranks[rank]:
                other.is_quiet = demand <= _QUIET_FRACTION * level
                other.share = 1.0 if demand <= level else max(level / demand, least)
                remaining -= other.share * demand


def _water_level(demands: Sequence[float], least: float, available: float) -> float:
    """Return the level up to which demands are met, so that together they use what is available.

    It is infinite if all of them are met.

    Args:
        demands: The demands.
        least: Share of each demand that is met even above the level.
        available: What can be given to them.
    """
    if sum(demands) <= available:
        return math.inf
    low, high = 0.0, max(demands)
    for _ in range(_LEVEL_STEPS):
        level = (low + high) / 2
        if sum(min(demand, max(level, least * demand)) for demand in demands) > available:
            high = level
        else:
            low = level
    return low
