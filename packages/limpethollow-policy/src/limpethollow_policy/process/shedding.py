"""How many searches a second this instance admits where searchers can't answer all in time.

Load answered: callers ask for more than the searchers of a set of shards can do, as in a burst of
several times the usual traffic, or while many searchers are slow. Without a bound all calls wait in
the searchers' queues, and nearly every answer is late by the same time: congestion collapse.
"""

from collections import deque

# Share of a search's shards that had not answered when its answer was due, from which on the search
# counts as congested. A few shards with slow or dark searchers are no congestion: fewer calls would
# not help them. Troubles take up to 0.19 of the searchers, and seldom both of one shard.
_CONGESTED_SHARE = 0.25
# The rate is cut above the first share of congested searches, deeper above the second, and raised
# below the third.
_CUT_ABOVE, _CUT_DEEP_ABOVE, _RAISE_BELOW = 0.2, 0.6, 0.1
# Searches that must have ended before a cut. One or two are congested together by chance, as when
# two searches follow each other into a pause.
_LEAST_ENDED = 4
# What a cut leaves of the rate. With 0.85 and 0.7 the same share of bursts of four to six times the
# traffic is answered in time, within 3 %, but more is refused.
_CUT, _DEEP_CUT = 0.9, 0.75
# Growth in one objective's time: while searches are refused, and while all are admitted.
_PROBING, _RECOVERING = 0.04, 0.1
# Longer times without an end of a search raise the rate for this many objectives at once at most.
_MOST_STEPS = 5.0
# The rate of admitted searches is the highest within one span, of those in the last seconds. A mean
# would mix the calm before a burst into it.
_SPAN, _MEMORY = 0.3, 2.0
# At least one search is admitted in this many objectives' time, so that an end of overload shows.
_LEAST_EVERY = 3.0
# Seconds of the rate that may be saved up, since callers don't come evenly, and the searches that
# may be in any case.
_SAVED_SECONDS, _LEAST_SAVED = 0.1, 2.0
# An operator may state no objective at all, or one that nothing meets; the rate is then looked at
# this often.
_SHORTEST_OBJECTIVE = 0.01
_UNBOUNDED = float("inf")


def is_congested(missing: int, shards: int) -> bool:
    """Return whether a search was congested: load, and not a few searchers, made it late.

    Args:
        missing: Shards that had not answered when the answer was due.
        shards: All its shards.
    """
    return missing > max(1.0, _CONGESTED_SHARE * shards)


class TokenBucket:
    """Admits at a rate, and evens out what comes unevenly."""

    __slots__ = ("_tokens", "_updated_at", "rate")

    def __init__(self) -> None:
        self.rate = _UNBOUNDED
        self._tokens = 0.0
        self._updated_at = 0.0

    def wait(self, now: float, *, yields: bool = False) -> float:
        """Take a token; return 0, or the seconds until there is one.

        Args:
            now: Monotonic second.
            yields: Whether to take one only where none would be wasted otherwise, as the bucket is
                full.
        """
        if self.rate == _UNBOUNDED:
            self._updated_at = now
            return 0.0
        most = max(_LEAST_SAVED, self.rate * _SAVED_SECONDS)
        gained = (now - self._updated_at) * self.rate
        self._tokens = min(most, self._tokens + gained)
        self._updated_at = now
        wanted = most if yields else 1.0
        if self._tokens < wanted:
            return (wanted - self._tokens) / self.rate
        self._tokens -= 1.0
        return 0.0


class AdmittedRate:
    """The highest rate at which searches were admitted of late."""

    __slots__ = ("_times",)

    def __init__(self) -> None:
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Note an admitted search."""
        self._times.append(now)
        while self._times[0] < now - _MEMORY:
            self._times.popleft()

    def highest(self, now: float) -> float:
        """Return the searches a second of the fullest span."""
        recent = [at for at in self._times if at >= now - _MEMORY]
        most, first = 1, 0
        for index, at in enumerate(recent):
            while recent[first] < at - _SPAN:
                first += 1
            most = max(most, index - first + 1)
        return most / _SPAN


class LoadShedder:
    """Admits as many searches of one set of shards as are answered in time.

    Each instance works out its own rate from what it sees, and the same signal reaches all: where
    the searchers' queues are long, searches of each instance are congested. The rate is unbounded
    until then, so calm days refuse nothing. It is a rate and not a number under way, as many
    instances share the load: each of 16 would have under one search at a time.

    Searches of all ranks are treated alike. Those with a tight objective suffer first where the
    rate is too high, whatever their rank, and a rank that goes first starves the others where
    callers of the first alone are too many.

    At five times the usual traffic 0.48 to 0.58 of what callers ask for is answered in time instead
    of 0.10 to 0.15, at six times 0.40 to 0.42 instead of 0.03 to 0.09 (20 shards with two
    searchers, six instances, three seeds of the model in test_overload.py).
    """

    __slots__ = ("_admitted", "_bucket", "_congested", "_cut_at", "_ended", "_look_at", "_promised")

    def __init__(self) -> None:
        self._bucket = TokenBucket()
        self._admitted = AdmittedRate()
        self._promised = float("-inf")
        self._cut_at = float("-inf")
        self._look_at = float("-inf")
        self._ended = 0
        self._congested = 0

    @property
    def rate(self) -> float:
        """Return the searches a second that are admitted; infinite where all are."""
        return self._bucket.rate

    def wait(self, now: float, *, in_time: bool = True) -> float:
        """Admit a search; return 0, or in how many seconds there will be room for it.

        A search that can't be answered in time any more yields to those that can. Most such callers
        were refused before and came back. Served first come, first served, they take the room of
        callers that come after them, whose answers are late in turn: at five times the traffic
        1,129 of 2,767 searches were in time, and 1,616 of 2,733 with this (three seeds of that
        model).

        Each refused search is told a later time than the one before it, at the pace at which
        searches are admitted, so that callers don't come back together.

        Args:
            now: Monotonic second.
            in_time: Whether its answer can still come within its objective.
        """
        wait = self._bucket.wait(now, yields=not in_time)
        if wait == 0.0:
            self._admitted.add(now)
            return 0.0
        self._promised = max(self._promised, now + wait) + 1.0 / self.rate
        return self._promised - now

    def ended(self, congested: bool, started: float, now: float, objective: float) -> bool:
        """Take in a search whose answer was due, and adapt the rate.

        Args:
            congested: Whether it was congested; `is_congested` tells.
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
        self._congested += congested
        if now < self._look_at:
            return False
        objective = max(objective, _SHORTEST_OBJECTIVE)
        share = self._congested / self._ended
        if share < _RAISE_BELOW:
            self._raise(now, objective)
        elif self._ended < _LEAST_ENDED:
            return False
        cut = share > _CUT_ABOVE
        if cut:
            self._cut(_DEEP_CUT if share > _CUT_DEEP_ABOVE else _CUT, now, objective)
        self._ended = self._congested = 0
        self._look_at = now + objective
        return cut

    def _cut(self, left: float, now: float, objective: float) -> None:
        rate = min(self.rate, self._admitted.highest(now))
        self._bucket.rate = max(rate * left, 1.0 / (_LEAST_EVERY * objective))
        self._cut_at = now

    def _raise(self, now: float, objective: float) -> None:
        passed = (now - self._look_at) / objective + 1.0
        refused = self._promised > now - 2 * objective
        growth = _PROBING if refused else _RECOVERING
        self._bucket.rate *= (1.0 + growth) ** min(passed, _MOST_STEPS)
