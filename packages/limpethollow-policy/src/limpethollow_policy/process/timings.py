"""How long calls usually take, learnt from the calls themselves."""

# Step of the estimate as a share of itself. A hundred calls move it by a factor of about two.
_STEP = 0.05


class RunningQuantile:
    """Estimates one quantile of a stream in constant space.

    Each value above the estimate raises it by a step, each one below lowers it by a smaller step;
    the two balance where the share of values below is the wanted one.

    Args:
        share: The quantile, 0 to 1.
        start: First estimate, in the unit of the values.
    """

    __slots__ = ("_share", "value")

    def __init__(self, share: float, start: float) -> None:
        self._share = share
        self.value = start

    def add(self, value: float) -> None:
        """Take in one value."""
        if value > self.value:
            self.value += self.value * _STEP * self._share
        else:
            self.value -= self.value * _STEP * (1.0 - self._share)


class RunningMean:
    """Averages the last values of a stream in constant space.

    Args:
        averaged: Values over which it averages; the first ones count at once.
        start: What it is before the first value.
    """

    __slots__ = ("_averaged", "_values", "value")

    def __init__(self, averaged: int, start: float = 0.0) -> None:
        self._averaged = averaged
        self._values = 0
        self.value = start

    def add(self, value: float) -> None:
        """Take in one value."""
        self._values = min(self._values + 1, self._averaged)
        self.value += (value - self.value) / self._values


class CallerPatience:
    """Learns how long a route's callers wait in all, and so how long one has waited already.

    A caller states what is left of its time, not what it began with. Most requests come on open
    connections at the first try and state nearly all of it; so the greatest value of late is what
    callers begin with, and the difference to it has passed on connects and earlier tries. The
    objective counts from the caller's start: without this, an answer to a request that needed a
    connect came some 8 ms after the objective.
    """

    __slots__ = ("_greatest", "_next_greatest", "_on_open", "_requests")

    # Requests after which a greatest value that was not seen again is forgotten, as when callers
    # were given less time.
    _MEMORY = 64
    # Requests on open connections after which the greatest value is what callers begin with: one
    # in five of them comes without a look-up of the instances before it.
    _ENOUGH = 16
    # What a look-up and a connect take at most, in round trips: three and a half on an idle
    # instance, and as much again where both ends are slow to take them up.
    _MOST_ROUND_TRIPS = 8

    def __init__(self) -> None:
        self._greatest = 0.0
        self._next_greatest = 0.0
        self._on_open = 0
        self._requests = 0

    def spent(
        self, left: float | None, at_least: float, timeout: float, round_trip: float
    ) -> float:
        """Take in the seconds that a caller has left; return those that have passed for it.

        An instance that sees a request in ten seconds would take minutes to learn what callers
        begin with, and its answers would be late by a look-up and a connect, 10 to 15 ms. The
        route's timeout is how long the operator lets callers wait. Where a caller states a little
        less, by no more than it takes to come here, it began with that.

        Args:
            left: What the caller states; None where it states nothing.
            at_least: What has passed for certain, as the round trip of a connect. The first
                requests after a start all come on new connections, so the greatest value is too
                low by that much.
            timeout: The route's timeout.
            round_trip: Seconds from here to the caller and back.
        """
        if left is None:
            return at_least
        if at_least == 0:
            self._on_open += 1
        began_with = left + at_least
        self._requests += 1
        self._next_greatest = max(self._next_greatest, began_with)
        if self._requests >= self._MEMORY:
            self._greatest, self._next_greatest = self._next_greatest, 0.0
            self._requests = 0
        self._greatest = max(self._greatest, began_with)
        since_timeout = timeout - left
        if (
            self._on_open < self._ENOUGH
            and began_with <= timeout
            and since_timeout <= self._MOST_ROUND_TRIPS * round_trip
        ):
            return since_timeout
        return self._greatest - left


class OwnDelay:
    """Learns how late this instance does what is due, and how long an answer takes it.

    An answer leaves that much after its time, and must be made ready that much earlier. On an
    instance with little processor, answers would otherwise all come just after their objective.
    """

    __slots__ = ("_late", "_work")

    # Merging and writing an answer of twenty parts takes 2 ms on half of a core. Where it takes
    # less, as much is left for what the system takes to send it.
    _LEAST_WORK_SECONDS = 0.002
    # Answers over which the time that one takes is averaged. An instance that gets a search in ten
    # seconds knows its pace after the first few.
    _AVERAGED = 8
    # Nineteen of twenty answers shall leave in time.
    _QUANTILE = 0.95
    _FIRST_SECONDS = 0.004

    def __init__(self) -> None:
        self._late = RunningQuantile(self._QUANTILE, self._FIRST_SECONDS)
        self._work = RunningMean(self._AVERAGED, self._LEAST_WORK_SECONDS)

    @property
    def allowance(self) -> float:
        """Return how many seconds before its time an answer is made ready."""
        return self._work_seconds + self._late.value

    @property
    def _work_seconds(self) -> float:
        return max(self._work.value, self._LEAST_WORK_SECONDS)

    def add(self, seconds: float) -> None:
        """Take in how late a timer was."""
        self._late.add(seconds)

    def worked(self, seconds: float) -> None:
        """Take in how long it took to make an answer ready and to send it.

        Times far above the usual ones, as when the process was frozen, count as four times it.
        """
        self._work.add(min(seconds, 4 * self._work_seconds))


class OwnPace:
    """Learns how many calls to searchers this instance itself makes in a given time.

    A call costs its instance the same work everywhere, but not the same time: 0.02 ms on two cores
    and 0.5 ms on 0.12 of one, where 87 calls of a search take 45 of its 120 ms.
    """

    __slots__ = ("_start",)

    # Sending a call, and reading and judging its reply, against choosing its searcher and keeping
    # account of it: 0.5 and 0.15 ms on 0.12 of a core.
    _CALL_OVER_START = 3.5
    # Searches over which the time that a shard takes at the start is averaged.
    _AVERAGED = 8

    def __init__(self) -> None:
        self._start = RunningMean(self._AVERAGED)

    def started(self, shards: int, seconds: float) -> None:
        """Take in how long it took to start a search over some shards.

        Args:
            shards: How many.
            seconds: The time, without calls that were made at once.
        """
        self._start.add(seconds / shards)

    def calls_within(self, seconds: float) -> float:
        """Return how many calls it makes in some seconds; infinite before the first search."""
        call_seconds = self._CALL_OVER_START * self._start.value
        return seconds / call_seconds if call_seconds > 0 else float("inf")


class RouteTimings:
    """Times of one route's calls to searchers.

    Args:
        objective: The route's objective in seconds, from which the first estimates come.
    """

    __slots__ = ("_late", "_objective", "_usual", "patience")

    # First estimates as shares of the objective, from the users' sheets: mean work is 0.1 to 0.25
    # of the objective.
    _USUAL_START = 0.15
    _LATE_START = 0.3
    # A hedge before this share of the objective meets calls that are merely a little slow, and
    # one after the latest share comes too late to be answered within the objective.
    _EARLIEST_HEDGE = 0.18
    _LATEST_HEDGE = 0.45
    _LATE_QUANTILE = 0.97

    def __init__(self, objective: float) -> None:
        self._objective = objective
        self.patience = CallerPatience()
        self._usual = RunningQuantile(0.5, objective * self._USUAL_START)
        self._late = RunningQuantile(self._LATE_QUANTILE, objective * self._LATE_START)

    @property
    def usual(self) -> float:
        """Return the median time of a call in seconds."""
        return self._usual.value

    @property
    def hedge_delay(self) -> float:
        """Return after how many seconds a call counts as late enough for a second one."""
        earliest = self._EARLIEST_HEDGE * self._objective
        latest = self._LATEST_HEDGE * self._objective
        return min(max(self._late.value, earliest), latest)

    def patience_for(self, elsewhere: float) -> float:
        """Return how many seconds after its arrival a request's answer should leave.

        Args:
            elsewhere: Seconds that the caller's way here, and the answer's way back, take off the
                objective. Where not even a usual call fits into what is left, the answer is late
                anyway, and waits for more parts instead.
        """
        if self.fits(elsewhere):
            return self._objective - elsewhere
        return self._objective / 2

    def fits(self, elsewhere: float) -> bool:
        """Return whether a usual call fits into what is left of the objective.

        Args:
            elsewhere: As for `patience_for`.
        """
        return self._objective - elsewhere > self.usual

    def add(self, seconds: float) -> None:
        """Take in the time of a call that was answered."""
        self._usual.add(seconds)
        self._late.add(seconds)
