"""Estimates of usual call times, learned from the calls themselves."""

# Relative step of the estimate. A hundred calls change it by a factor of about two.
_STEP = 0.05


class RunningQuantile:
    """Estimates one quantile of a stream in constant space.

    Each value above the estimate raises it in proportion to the quantile, and every other value
    lowers it in proportion to the remainder; they balance at the wanted quantile.

    Args:
        share: The quantile, 0 to 1.
        start: Initial estimate, in the unit of the values.
    """

    __slots__ = ("_share", "value")

    def __init__(self, share: float, start: float) -> None:
        self._share = share
        self.value = start

    def add(self, value: float) -> None:
        """Add one value."""
        if value > self.value:
            self.value += self.value * _STEP * self._share
        else:
            self.value -= self.value * _STEP * (1.0 - self._share)


class RunningMean:
    """Averages the recent values of a stream in constant space.

    Args:
        averaged: Number of values to average over. Until there are as many, it is the plain mean.
        start: The value before the first one is added.
    """

    __slots__ = ("_averaged", "_values", "value")

    def __init__(self, averaged: int, start: float = 0.0) -> None:
        self._averaged = averaged
        self._values = 0
        self.value = start

    def add(self, value: float) -> None:
        """Add one value."""
        self._values = min(self._values + 1, self._averaged)
        self.value += (value - self.value) / self._values


class CallerTimeoutEstimator:
    """Learns the total timeout of a route's callers, and so how long a caller has already waited.

    A caller states its remaining time, not its initial timeout. Most requests arrive on open
    connections at the first attempt and state nearly all of it, so the recent maximum is the
    initial timeout, and the difference to it was spent on connecting and earlier attempts. The
    objective counts from the caller's start: without this estimate, the answer to a request that
    needed a new connection came about 8 ms after the objective.
    """

    __slots__ = ("_maximum", "_next_maximum", "_on_open_connections", "_requests")

    # Requests after which a maximum that was not seen again is dropped, in case the callers'
    # timeout was reduced.
    _MAX_AGE_REQUESTS = 64
    # Requests on open connections after which the maximum is taken as the initial timeout: one in
    # five of them is not preceded by a look-up of the instances.
    _MIN_ON_OPEN_CONNECTIONS = 16
    # Maximum duration of a look-up and a connect, in round trips: three and a half on an idle
    # instance, and as much again if both ends are slow to respond.
    _MAX_ROUND_TRIPS = 8

    def __init__(self) -> None:
        self._maximum = 0.0
        self._next_maximum = 0.0
        self._on_open_connections = 0
        self._requests = 0

    def spent(
        self, left: float | None, at_least: float, timeout: float, round_trip: float
    ) -> float:
        """Record a caller's remaining time; return the time that has already passed for it.

        An instance that gets one request in ten seconds would take minutes to learn the callers'
        initial timeout, and its answers would be late by a look-up and a connect, 10 to 15 ms. The
        route's timeout is the time that the operator configured for callers. If a caller states
        slightly less, by no more than a look-up and a connect take, that was its initial timeout.

        Args:
            left: Remaining seconds stated by the caller; None if it states nothing.
            at_least: Seconds known to have passed, such as the round trip of a connect. The first
                requests after a start all come on new connections, so the maximum is too low by
                that much.
            timeout: The route's timeout in seconds.
            round_trip: Round-trip time to the caller in seconds.
        """
        if left is None:
            return at_least
        if at_least == 0:
            self._on_open_connections += 1
        initial = left + at_least
        self._requests += 1
        self._next_maximum = max(self._next_maximum, initial)
        if self._requests >= self._MAX_AGE_REQUESTS:
            self._maximum, self._next_maximum = self._next_maximum, 0.0
            self._requests = 0
        self._maximum = max(self._maximum, initial)
        elapsed = timeout - left
        if (
            self._on_open_connections < self._MIN_ON_OPEN_CONNECTIONS
            and initial <= timeout
            and elapsed <= self._MAX_ROUND_TRIPS * round_trip
        ):
            return elapsed
        return self._maximum - left


class AnswerDelayEstimator:
    """Learns this instance's timer delay and the time that it needs to prepare an answer.

    An answer is sent that much after it is due, so its preparation must start that much earlier. On
    an instance with little CPU, all answers would otherwise come just after their objective.
    """

    __slots__ = ("_late", "_work")

    # Merging and writing an answer of twenty parts takes 2 ms on half a core. If it takes less, the
    # rest is reserved for the operating system to send it.
    _MIN_WORK_SECONDS = 0.002
    # Answers over which the preparation time is averaged. It is few, so that an instance that gets
    # one search in ten seconds has an estimate after the first few.
    _AVERAGE_LENGTH = 8
    # 95 % of the answers should be sent in time.
    _QUANTILE = 0.95
    _INITIAL_DELAY_SECONDS = 0.004

    def __init__(self) -> None:
        self._late = RunningQuantile(self._QUANTILE, self._INITIAL_DELAY_SECONDS)
        self._work = RunningMean(self._AVERAGE_LENGTH, self._MIN_WORK_SECONDS)

    @property
    def allowance(self) -> float:
        """Return the seconds before an answer is due at which its preparation must start."""
        return self._work_seconds + self._late.value

    @property
    def _work_seconds(self) -> float:
        return max(self._work.value, self._MIN_WORK_SECONDS)

    def add(self, seconds: float) -> None:
        """Record how many seconds late a timer fired."""
        self._late.add(seconds)

    def worked(self, seconds: float) -> None:
        """Record the seconds that it took to prepare and send an answer.

        Each value is capped at four times the usual one, in case the process was frozen.
        """
        self._work.add(min(seconds, 4 * self._work_seconds))


class CallPaceEstimator:
    """Learns how many calls to searchers this instance can make in a given time.

    The work per call is the same on every instance, but its duration is not: 0.02 ms on two cores,
    and 0.5 ms on 0.12 of a core, where the 87 calls of a search take 45 of its 120 ms.
    """

    __slots__ = ("_start_seconds",)

    # Ratio of the time for sending a call and reading and evaluating its reply to the time for
    # choosing its searcher and the bookkeeping: 0.5 and 0.15 ms on 0.12 of a core.
    _CALL_TO_START_RATIO = 3.5
    # Searches over which the start time per shard is averaged.
    _AVERAGE_LENGTH = 8

    def __init__(self) -> None:
        self._start_seconds = RunningMean(self._AVERAGE_LENGTH)

    def started(self, shards: int, seconds: float) -> None:
        """Record how long it took to start a search.

        Args:
            shards: Number of shards of the search.
            seconds: The time, without calls that were made immediately.
        """
        self._start_seconds.add(seconds / shards)

    def calls_within(self, seconds: float) -> float:
        """Return the number of calls that fit into a time; infinite before the first search."""
        call_seconds = self._CALL_TO_START_RATIO * self._start_seconds.value
        return seconds / call_seconds if call_seconds > 0 else float("inf")


class RouteTimings:
    """Call times of one route's calls to searchers.

    Args:
        objective: The route's objective in seconds, from which the initial estimates are derived.
    """

    __slots__ = ("_late", "_objective", "_usual", "patience")

    # Initial estimates as fractions of the objective. According to the users' data sheets, the mean
    # work is 0.1 to 0.25 of the objective.
    _INITIAL_MEDIAN = 0.15
    _INITIAL_LATE = 0.3
    # Limits of the hedge delay as fractions of the objective. Earlier hedges would repeat calls
    # that are only slightly slow, and later ones could not be answered within the objective.
    _EARLIEST_HEDGE = 0.18
    _LATEST_HEDGE = 0.45
    _LATE_QUANTILE = 0.97
    # The estimate of the late quantile starts high and falls by half only within 460 calls.
    _MAX_LATE_RATIO = 3.0

    def __init__(self, objective: float) -> None:
        self._objective = objective
        self.patience = CallerTimeoutEstimator()
        self._usual = RunningQuantile(0.5, objective * self._INITIAL_MEDIAN)
        self._late = RunningQuantile(self._LATE_QUANTILE, objective * self._INITIAL_LATE)

    @property
    def usual(self) -> float:
        """Return the median time of a call in seconds."""
        return self._usual.value

    def expected(self, *, repeatable: bool) -> float:
        """Return the seconds that a request may need.

        Args:
            repeatable: Whether another instance may repeat it if it is cut off. If not, nearly all
                requests of the route must fit into the time.
        """
        if repeatable:
            return self.usual
        return min(self._late.value, self._MAX_LATE_RATIO * self.usual)

    @property
    def hedge_delay(self) -> float:
        """Return the seconds after which a call is slow enough to be hedged."""
        earliest = self._EARLIEST_HEDGE * self._objective
        latest = self._LATEST_HEDGE * self._objective
        return min(max(self._late.value, earliest), latest)

    def answer_delay_for(self, elsewhere: float) -> float:
        """Return the seconds after its arrival at which a request's answer should be sent.

        Args:
            elsewhere: Seconds of the objective that the request's and the answer's transport take.
                If not even a usual call fits into the rest, the answer is late anyway, and waits
                for more parts instead.
        """
        if self.fits(elsewhere):
            return self._objective - elsewhere
        return self._objective / 2

    def fits(self, elsewhere: float) -> bool:
        """Return whether a usual call fits into the rest of the objective.

        Args:
            elsewhere: As for `answer_delay_for`.
        """
        return self._objective - elsewhere > self.usual

    def add(self, seconds: float) -> None:
        """Record the seconds that an answered call took."""
        self._usual.add(seconds)
        self._late.add(seconds)
