"""Load shedding: limits the searches per second that this instance admits during overload.

Overload means that callers request more than the searchers of a set of shards can handle, as in a
burst of several times the usual traffic, or while many searchers are slow. Without a limit, all
calls wait in the searchers' queues and nearly every answer is late by the same time: congestion
collapse.
"""

from limpethollow_policy.process.arrivals import Arrivals
from limpethollow_policy.process.loadreports import (
    BURST_REPORT_SECONDS,
    CALM_REPORT_SECONDS,
    QueueTarget,
)
from limpethollow_policy.process.sharing import Claim, FairShares

# A search counts as congested while more than this fraction of its shards is unanswered. A few
# shards with slow or unreachable searchers are no congestion: fewer calls would not help them.
_CONGESTED_FRACTION = 0.25
# A search that stayed congested beyond this fraction of its time counts with this weight: if
# searches are answered only just in time, random variation makes some of them late.
_NEARLY_LATE_FRACTION, _NEARLY_LATE_WEIGHT = 0.7, 0.75
# Fractions of congested searches: the rate is cut above the first, cut more deeply above the
# second, and raised below the third.
_CUT_ABOVE, _CUT_DEEP_ABOVE, _RAISE_BELOW = 0.2, 0.6, 0.1
# Searches that must have ended before a cut. One or two may be congested together by chance, as
# when two consecutive searches run into the same pause.
_MIN_ENDED = 4
# If searches arrive at this multiple of the usual rate, an instance with little traffic cuts after
# as many searches as arrive within one objective. At the usual rate, one congested search is
# chance, and a cut would refuse normal traffic.
_BURST_FACTOR = 1.5
# Factors that a cut and a deep cut apply to the rate.
_CUT_FACTOR, _DEEP_CUT_FACTOR = 0.9, 0.75
# Growth of the rate per objective: while searches are refused, and while all are admitted.
_PROBING_GROWTH, _RECOVERY_GROWTH = 0.04, 0.1
# After this many consecutive evaluations without a congested search, the rate is far below the
# searchers' capacity: the growth doubles with each further one, at most this many times and up to
# this maximum.
_MIN_CLEAN_EVALUATIONS, _MAX_DOUBLINGS, _MAX_GROWTH = 5, 4, 0.5
# If no search ended for a longer time, the rate is raised for at most this many objectives at once.
_MAX_GROWTH_STEPS = 10.0
# At least one search per this many objectives is admitted, or this fraction of the arrivals if that
# is less, so that the end of an overload is detected.
_MAX_ADMISSION_INTERVAL, _MIN_ADMITTED_FRACTION = 3.0, 1 / 3
# Searches that may be admitted at once after others were refused. The fraction left over by a
# refusal counts for the next search, and credit is not accumulated beyond this.
_MAX_CREDIT = 2.0
_INITIAL_CREDIT = 0.5
# The same with teams: `FairShares` admits any search from a credit of 1.25, so none of it is lost.
_MAX_SHARED_CREDIT = 2.25
# Lower limit of the interval between evaluations of the rate, for routes without an objective or
# with one that can't be met.
MIN_OBJECTIVE = 0.01
# Arrivals per second that are assumed if there were none recently.
_MIN_ARRIVAL_RATE = 1.0
_UNLIMITED = float("inf")
# Seconds without a limit after which credit that teams within their share used in advance is
# forgotten.
_DEBT_SECONDS = 1.0


def is_congested(missing: int, shards: int) -> bool:
    """Return whether a search is delayed by load rather than by a few searchers.

    Args:
        missing: Number of shards that have not answered.
        shards: Number of all its shards.
    """
    return missing > max(1.0, _CONGESTED_FRACTION * shards)


def congestion(seconds: float, available: float) -> float:
    """Return the congestion, from 0 to less than 1, of a search that was uncongested in time.

    Args:
        seconds: How long after its admission it was congested as defined by `is_congested`.
        available: Seconds from its admission until its answer was due.
    """
    return _NEARLY_LATE_WEIGHT if seconds > _NEARLY_LATE_FRACTION * available else 0.0


class LoadShedder:
    """Limits the searches of one set of shards to what is answered in time.

    Each instance computes its own rate from its own searches, and all instances see the same
    signal: when the searchers' queues are long, the searches of every instance are congested. Until
    then the rate is unlimited, so nothing is refused under normal load. The limit is a rate rather
    than a concurrency limit because many instances share the load: each of 16 would have less than
    one search in progress.

    If searchers report their queue lengths, these are used instead of the rate.

    Without teams, searches of all ranks are treated alike. If the rate is too high, searches with a
    tight objective are late first, regardless of rank; and if one rank had priority, its callers
    alone could be too many and starve the others. With teams, `FairShares` decides which searches
    use the rate, and keeps a least share for each rank.

    Attributes:
        target: The target for the searchers' queue lengths, used if searchers report them.

    Usage:
        wait = shedder.wait(now)            # 0: admitted
        ...
        shedder.ended(1.0, started, now, objective)
    """

    __slots__ = (
        "_arrivals",
        "_clean_evaluations",
        "_congestion",
        "_credit",
        "_cut_at",
        "_ended",
        "_evaluate_at",
        "_last_retry_at",
        "_limited_at",
        "_rate",
        "_shares",
        "target",
    )

    def __init__(self) -> None:
        self._rate = _UNLIMITED
        self._arrivals = Arrivals()
        self._credit = _INITIAL_CREDIT
        self._last_retry_at = float("-inf")
        self._limited_at = float("-inf")
        self._shares = FairShares()
        self._cut_at = float("-inf")
        self._evaluate_at = float("-inf")
        self._ended = 0
        self._congestion = 0.0
        self._clean_evaluations = 0
        self.target = QueueTarget()

    @property
    def rate(self) -> float:
        """Return the admitted searches per second; infinite if all are admitted."""
        return self._rate

    def report_age(self, now: float) -> float:
        """Return the maximum age in seconds of a load report that is used now."""
        bursts = self._arrivals.rate(now) > _BURST_FACTOR * self._arrivals.usual_rate(now)
        return BURST_REPORT_SECONDS if bursts else CALM_REPORT_SECONDS

    def fair_share(self, claim: Claim) -> float:
        """Return the share of a team's requests that was last found fair, from 0 to 1."""
        return self._shares.share(claim)

    def wait(
        self,
        now: float,
        *,
        in_time: bool = True,
        queue_depth: float | None = None,
        claim: Claim | None = None,
    ) -> float:
        """Admit a search and return 0, or refuse it and return the seconds after which to retry.

        A search that can no longer be answered in time yields to those that can. Most of its kind
        were refused before and have come back. First come, first served, they would take the
        capacity of later callers, whose answers would be late in turn.

        Each refused search gets a later retry time than the previous one, spaced at the rate at
        which searches are admitted, so that callers don't come back all at once.

        Args:
            now: Current monotonic time in seconds.
            in_time: Whether its answer can still meet its objective.
            queue_depth: Calls waiting per slot, as recently reported by its searchers; None if they
                did not report any, in which case this instance's own rate decides.
            claim: Its team and work, if teams share the rate; None to treat all searches alike.
        """
        if claim is not None:
            self._shares.arrived(claim, now, in_time=in_time)
        if queue_depth is not None:
            return self._wait_by_depth(queue_depth, in_time, now, claim)
        if self._rate == _UNLIMITED or (
            self._rate_admits(now, claim) if in_time else self._admits_late(now, claim)
        ):
            self._arrivals.add(now, admitted=True)
            return 0.0
        return self._refuse(in_time, self._rate, now)

    def ended(self, congestion: float, started: float, now: float, objective: float) -> bool:
        """Record a search whose answer was due, and adapt the rate.

        Args:
            congestion: 1 if it was still congested when its answer was due; otherwise the result
                of the function `congestion`.
            started: When it was admitted.
            now: Current monotonic time in seconds.
            objective: Its route's objective in seconds, after which a change of the rate takes
                effect.

        Returns:
            Whether the rate was cut.
        """
        if started < self._cut_at:
            # The request was admitted before the last cut, at a higher rate, so its outcome says
            # nothing about the current rate.
            return False
        self._ended += 1
        self._congestion += congestion
        if now < self._evaluate_at:
            return False
        objective = max(objective, MIN_OBJECTIVE)
        share = self._congestion / self._ended
        self._clean_evaluations = self._clean_evaluations + 1 if share == 0.0 else 0
        if share < _RAISE_BELOW:
            self._raise(now, objective)
        elif self._ended < self._min_ended(now, objective):
            return False
        cut = share > _CUT_ABOVE
        if cut:
            self._cut(share, now, objective)
        self._ended, self._congestion = 0, 0.0
        self._evaluate_at = now + objective
        return cut

    def _wait_by_depth(
        self, queue_depth: float, in_time: bool, now: float, claim: Claim | None
    ) -> float:
        share = self.target.admitted_share(queue_depth)
        if (
            share == 1.0
            or (in_time and self._spend_credit(share, now, claim))
            or (not in_time and claim is not None and self._spares_credit(claim))
        ):
            self._arrivals.add(now, admitted=True)
            return 0.0
        return self._refuse(in_time, share * max(self._arrivals.rate(now), _MIN_ARRIVAL_RATE), now)

    def _refuse(self, in_time: bool, rate: float, now: float) -> float:
        """Refuse a search; return the seconds after which its caller should retry.

        Args:
            in_time: Whether its answer could still meet its objective.
            rate: Searches per second that are admitted now.
            now: Current monotonic time in seconds.
        """
        if in_time:
            self._arrivals.add(now, admitted=False)
        self._last_retry_at = max(self._last_retry_at, now) + 1.0 / rate
        return self._last_retry_at - now

    def _spend_credit(self, share: float, now: float, claim: Claim | None) -> bool:
        """Return whether to admit a search, so that this fraction is admitted, evenly spaced."""
        if claim is not None:
            return self._spend_shared_credit(share, now, claim)
        self._credit = min(self._credit + share, _MAX_CREDIT)
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True

    def _spend_shared_credit(self, share: float, now: float, claim: Claim) -> bool:
        """Return whether to admit a search of a team; the total is the same as without teams."""
        if now - self._limited_at > _DEBT_SECONDS:
            self._credit = max(self._credit, 0.0)
        self._limited_at = now
        self._credit = min(self._credit + share, _MAX_SHARED_CREDIT)
        if not self._shares.admits(claim, share, self._credit, now):
            return False
        self._credit -= self._shares.cost(claim)
        return True

    def _spares_credit(self, claim: Claim) -> bool:
        """Return whether to admit a search of a team that will probably be late."""
        if not self._shares.spares(claim, self._credit):
            return False
        self._credit -= self._shares.cost(claim)
        return True

    def _admits_late(self, now: float, claim: Claim | None) -> bool:
        """Return whether to admit a search that will probably be late."""
        return self._has_room(now) or (claim is not None and self._spares_credit(claim))

    def _rate_admits(self, now: float, claim: Claim | None) -> bool:
        """Return whether the rate admits a search; admissions are evenly spaced.

        A search that arrives long enough after the previous one for the rate to allow it is always
        admitted: otherwise an instance with few callers would refuse normal traffic after a burst.
        """
        coming = self._arrivals.rate(now)
        share = self._rate / coming if coming > 0 else 1.0
        share = min(1.0, max(share, self._rate * self._arrivals.since_last(now)))
        return self._spend_credit(share, now, claim)

    def _has_room(self, now: float) -> bool:
        """Return whether the capacity for a search would otherwise go unused."""
        return not self._arrivals.has_recent_refusal(now) and self._arrivals.rate(now) < self._rate

    def _min_ended(self, now: float, objective: float) -> float:
        """Return the number of searches that must have ended before the rate is cut."""
        coming = self._arrivals.rate(now)
        if coming <= _BURST_FACTOR * self._arrivals.usual_rate(now):
            return _MIN_ENDED
        return min(_MIN_ENDED, coming * objective)

    def _cut(self, share: float, now: float, objective: float) -> None:
        deep = share > _CUT_DEEP_ABOVE
        rate = min(self._rate, self._arrivals.peak_admitted_rate(now))
        self._lower_rate(rate * (_DEEP_CUT_FACTOR if deep else _CUT_FACTOR), now, objective)

    def _lower_rate(self, rate: float, now: float, objective: float) -> None:
        """Lower the rate, but not so far that the end of an overload would go undetected."""
        coming = max(self._arrivals.rate(now), self._arrivals.usual_rate(now))
        least = min(1.0 / (_MAX_ADMISSION_INTERVAL * objective), _MIN_ADMITTED_FRACTION * coming)
        self._rate = max(rate, least)
        self._cut_at = now

    def _is_probing(self, now: float, objective: float) -> bool:
        """Return whether the rate is near the searchers' capacity and must grow slowly."""
        return self._last_retry_at > now - 2 * objective

    def _raise(self, now: float, objective: float) -> None:
        elapsed = (now - self._evaluate_at) / objective + 1.0
        growth = _PROBING_GROWTH if self._is_probing(now, objective) else _RECOVERY_GROWTH
        doublings = min(max(0, self._clean_evaluations - _MIN_CLEAN_EVALUATIONS), _MAX_DOUBLINGS)
        growth = min(growth * 2**doublings, _MAX_GROWTH)
        self._rate *= (1.0 + growth) ** min(elapsed, _MAX_GROWTH_STEPS)
