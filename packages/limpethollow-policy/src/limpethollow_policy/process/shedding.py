"""How many searches a second this instance admits where searchers can't answer all in time.

Load answered: callers ask for more than the searchers of a set of shards can do, as in a burst of
several times the usual traffic, or while many searchers are slow. Without a bound all calls wait in
the searchers' queues, and nearly every answer is late by the same time: congestion collapse.
"""

from limpethollow_policy.process.arrivals import Arrivals
from limpethollow_policy.process.loadreports import (
    BURST_REPORT_SECONDS,
    CALM_REPORT_SECONDS,
    QueueTarget,
)

# Share of a search's shards that had not answered, from which on the search counts as congested. A
# few shards with slow or dark searchers are no congestion: fewer calls would not help them.
_CONGESTED_SHARE = 0.25
# A search that was congested until after this share of its time counts in part: searches that are
# answered just in time leave no room for chance.
_NEARLY_LATE, _NEARLY_LATE_WEIGHT = 0.7, 0.75
# The rate is cut above the first share of congested searches, deeper above the second, and raised
# below the third.
_CUT_ABOVE, _CUT_DEEP_ABOVE, _RAISE_BELOW = 0.2, 0.6, 0.1
# Searches that must have ended before a cut. One or two are congested together by chance, as when
# two searches follow each other into a pause.
_LEAST_ENDED = 4
# An instance that sees few searches cuts after as many as come within one objective, if they come
# this many times as fast as usual. Without more callers than usual one congested search is chance,
# and calm traffic would be refused.
_BURST = 1.5
# What a cut leaves of the rate.
_CUT, _DEEP_CUT = 0.9, 0.75
# Growth in one objective's time: while searches are refused, and while all are admitted.
_PROBING, _RECOVERING = 0.04, 0.1
# After so many looks in a row without a congested search the growth doubles with each further one,
# this many times at most and up to the fastest: the rate is far below what the searchers can do.
_CLEAN_LOOKS, _MOST_DOUBLINGS, _FASTEST = 5, 4, 0.5
# Longer times without an end of a search raise the rate for this many objectives at once at most.
_MOST_STEPS = 10.0
# At least one search is admitted in this many objectives' time, or this share of those that come
# where that is less, so that an end of overload shows.
_LEAST_EVERY, _LEAST_SHARE = 3.0, 1 / 3
# Searches that may be admitted at once after others were refused. What a refusal leaves over counts
# for the next one, and is not saved up beyond that.
_MOST_CREDIT = 2.0
_FIRST_CREDIT = 0.5
# An operator may state no objective at all, or one that nothing meets; the rate is then looked at
# this often.
SHORTEST_OBJECTIVE = 0.01
# Searches a second that are assumed to come where none has come of late.
_SLOWEST_PROMISE = 1.0
_UNBOUNDED = float("inf")


def is_congested(missing: int, shards: int) -> bool:
    """Return whether load, and not a few searchers, holds up a search.

    Args:
        missing: Shards that have not answered.
        shards: All its shards.
    """
    return missing > max(1.0, _CONGESTED_SHARE * shards)


def congestion(seconds: float, available: float) -> float:
    """Return how congested a search was that got out of it in time: 0, or a part of 1.

    Args:
        seconds: How long it was congested, as by `is_congested`, from its admission on.
        available: Seconds from its admission until its answer was due.
    """
    return _NEARLY_LATE_WEIGHT if seconds > _NEARLY_LATE * available else 0.0


class LoadShedder:
    """Admits as many searches of one set of shards as are answered in time.

    Each instance works out its own rate from what it sees, and the same signal reaches all: where
    the searchers' queues are long, searches of each instance are congested. The rate is unbounded
    until then, so calm days refuse nothing. It is a rate and not a number under way, as many
    instances share the load: each of 16 would have under one search at a time.

    Where searchers report their queues, these decide instead, and the rate is not used.

    Searches of all ranks are treated alike. Those with a tight objective suffer first where the
    rate is too high, whatever their rank, and a rank that goes first starves the others where
    callers of the first alone are too many.

    Attributes:
        target: How long the searchers' queues may be, where they tell it.

    Usage:
        wait = shedder.wait(now)            # 0: admitted
        ...
        shedder.ended(1.0, started, now, objective)
    """

    __slots__ = (
        "_arrivals",
        "_clean_looks",
        "_congestion",
        "_credit",
        "_cut_at",
        "_ended",
        "_look_at",
        "_promised",
        "_rate",
        "target",
    )

    def __init__(self) -> None:
        self._rate = _UNBOUNDED
        self._arrivals = Arrivals()
        self._credit = _FIRST_CREDIT
        self._promised = float("-inf")
        self._cut_at = float("-inf")
        self._look_at = float("-inf")
        self._ended = 0
        self._congestion = 0.0
        self._clean_looks = 0
        self.target = QueueTarget()

    @property
    def rate(self) -> float:
        """Return the searches a second that are admitted; infinite where all are."""
        return self._rate

    def report_age(self, now: float) -> float:
        """Return the seconds for which a searcher's word on its load counts now."""
        bursts = self._arrivals.rate(now) > _BURST * self._arrivals.usual_rate(now)
        return BURST_REPORT_SECONDS if bursts else CALM_REPORT_SECONDS

    def wait(self, now: float, *, in_time: bool = True, queue_depth: float | None = None) -> float:
        """Admit a search; return 0, or in how many seconds there will be room for it.

        A search that can't be answered in time any more yields to those that can. Most such callers
        were refused before and came back. Served first come, first served, they take the room of
        callers that come after them, whose answers are late in turn.

        Each refused search is told a later time than the one before it, at the pace at which
        searches are admitted, so that callers don't come back together.

        Args:
            now: Monotonic second.
            in_time: Whether its answer can still come within its objective.
            queue_depth: Calls that wait for each slot, as its searchers said of late; None where
                they didn't, and the own rate decides.
        """
        if queue_depth is not None:
            return self._wait_by_depth(queue_depth, in_time, now)
        if self._rate == _UNBOUNDED or (self._takes(now) if in_time else self._has_room(now)):
            self._arrivals.add(now, admitted=True)
            return 0.0
        return self._refuse(in_time, self._rate, now)

    def ended(self, congestion: float, started: float, now: float, objective: float) -> bool:
        """Take in a search whose answer was due, and adapt the rate.

        Args:
            congestion: 1 where it was still congested when its answer was due; otherwise what the
                function `congestion` says.
            started: When it was admitted.
            now: Monotonic second.
            objective: Its route's objective in seconds, after which a change of the rate shows.

        Returns:
            Whether the rate was cut.
        """
        if started < self._cut_at:
            # It was admitted at a higher rate, and says nothing of the present one.
            return False
        self._ended += 1
        self._congestion += congestion
        if now < self._look_at:
            return False
        objective = max(objective, SHORTEST_OBJECTIVE)
        share = self._congestion / self._ended
        self._clean_looks = self._clean_looks + 1 if share == 0.0 else 0
        if share < _RAISE_BELOW:
            self._raise(now, objective)
        elif self._ended < self._least_ended(now, objective):
            return False
        cut = share > _CUT_ABOVE
        if cut:
            self._cut(share, now, objective)
        self._ended, self._congestion = 0, 0.0
        self._look_at = now + objective
        return cut

    def _wait_by_depth(self, queue_depth: float, in_time: bool, now: float) -> float:
        share = self.target.admitted_share(queue_depth)
        if share == 1.0 or (in_time and self._has_credit(share)):
            self._arrivals.add(now, admitted=True)
            return 0.0
        return self._refuse(in_time, share * max(self._arrivals.rate(now), _SLOWEST_PROMISE), now)

    def _refuse(self, in_time: bool, rate: float, now: float) -> float:
        """Refuse a search; return in how many seconds there will be room for it.

        Args:
            in_time: Whether its answer could still come within its objective.
            rate: Searches a second that are admitted now.
            now: Monotonic second.
        """
        if in_time:
            self._arrivals.add(now, admitted=False)
        self._promised = max(self._promised, now) + 1.0 / rate
        return self._promised - now

    def _has_credit(self, share: float) -> bool:
        """Admit this share of searches, evenly."""
        self._credit = min(self._credit + share, _MOST_CREDIT)
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True

    def _takes(self, now: float) -> bool:
        """Admit the share of searches by which the rate is kept, evenly.

        One that comes so long after the last that the rate allows it is admitted in any case: an
        instance with few callers would otherwise refuse the calm ones after a burst.
        """
        coming = self._arrivals.rate(now)
        share = self._rate / coming if coming > 0 else 1.0
        share = min(1.0, max(share, self._rate * self._arrivals.since_last(now)))
        return self._has_credit(share)

    def _has_room(self, now: float) -> bool:
        """Return whether the room for a search would go unused otherwise."""
        return not self._arrivals.any_refused(now) and self._arrivals.rate(now) < self._rate

    def _least_ended(self, now: float, objective: float) -> float:
        """Return the searches that must have ended before the rate is cut."""
        coming = self._arrivals.rate(now)
        if coming <= _BURST * self._arrivals.usual_rate(now):
            return _LEAST_ENDED
        return min(_LEAST_ENDED, coming * objective)

    def _cut(self, share: float, now: float, objective: float) -> None:
        deep = share > _CUT_DEEP_ABOVE
        rate = min(self._rate, self._arrivals.highest_admitted(now))
        self._lower_to(rate * (_DEEP_CUT if deep else _CUT), now, objective)

    def _lower_to(self, rate: float, now: float, objective: float) -> None:
        """Set the rate, but not so low that an end of overload would not show."""
        coming = max(self._arrivals.rate(now), self._arrivals.usual_rate(now))
        least = min(1.0 / (_LEAST_EVERY * objective), _LEAST_SHARE * coming)
        self._rate = max(rate, least)
        self._cut_at = now

    def _is_probing(self, now: float, objective: float) -> bool:
        """Return whether the rate is near what the searchers can do, and grows with care."""
        return self._promised > now - 2 * objective

    def _raise(self, now: float, objective: float) -> None:
        passed = (now - self._look_at) / objective + 1.0
        growth = _PROBING if self._is_probing(now, objective) else _RECOVERING
        doublings = min(max(0, self._clean_looks - _CLEAN_LOOKS), _MOST_DOUBLINGS)
        growth = min(growth * 2**doublings, _FASTEST)
        self._rate *= (1.0 + growth) ** min(passed, _MOST_STEPS)
