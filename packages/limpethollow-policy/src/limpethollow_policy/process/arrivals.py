"""Rates at which requests arrive at this instance and are admitted."""

import math
from collections import deque

# Shortest span over which a rate is measured, in seconds, and the number of requests that it must
# contain: if only one request came in 0.3 s, it would otherwise count as a rate of three a second.
_MIN_SPAN, _MIN_REQUESTS_IN_SPAN = 0.3, 4
# Number of requests from which the current rate is measured even over a shorter span.
_MAX_REQUESTS_IN_SPAN = 32
# Seconds for which single arrivals are kept. A longer history would mix the calm traffic before a
# burst into the rate of the burst.
_HISTORY_SECONDS = 2.0
# Time constant of the usual rate, in seconds: long compared with a burst, short compared with the
# hours over which the load of callers changes.
_USUAL_SECONDS = 30.0
# Seconds from the first request until the usual rate counts as known. An instance that has just
# started can't tell a burst from calm traffic.
_USUAL_RATE_DELAY = 5.0


class Arrivals:
    """The arrivals of the last seconds, with whether each request was admitted."""

    __slots__ = ("_first_at", "_recent", "_refused_at", "_usual_rate")

    def __init__(self) -> None:
        self._recent: deque[tuple[float, bool]] = deque()
        self._usual_rate = 0.0
        self._first_at: float | None = None
        self._refused_at = float("-inf")

    def add(self, now: float, *, admitted: bool) -> None:
        """Record a request."""
        if self._first_at is None:
            self._first_at = now
        if not admitted:
            self._refused_at = now
        self._usual_rate = self._decayed_rate(now) + 1.0 / _USUAL_SECONDS
        self._recent.append((now, admitted))
        while self._recent[0][0] < now - _HISTORY_SECONDS:
            self._recent.popleft()

    def rate(self, now: float) -> float:
        """Return the current arrival rate in requests per second."""
        count, first = 0, now
        for at, _ in reversed(self._recent):
            if count >= _MAX_REQUESTS_IN_SPAN or (
                at < now - _MIN_SPAN and count >= _MIN_REQUESTS_IN_SPAN
            ):
                break
            count, first = count + 1, at
        span = now - first
        return count / (
            span if count >= _MAX_REQUESTS_IN_SPAN and span > 0 else max(_MIN_SPAN, span)
        )

    def is_rate_known(self, now: float) -> bool:
        """Return whether enough requests or time have passed to measure the rate."""
        if self._first_at is None:
            return False
        return (
            len(self._recent) >= _MIN_REQUESTS_IN_SPAN or now - self._first_at >= _USUAL_RATE_DELAY
        )

    def since_last(self, now: float) -> float:
        """Return the seconds since the last request; infinite before the first."""
        return now - self._recent[-1][0] if self._recent else float("inf")

    def usual_rate(self, now: float) -> float:
        """Return the average rate of the last 30 seconds or so; infinite until it is known."""
        if self._first_at is None or now - self._first_at < _USUAL_RATE_DELAY:
            return float("inf")
        known = 1.0 - math.exp(-(now - self._first_at) / _USUAL_SECONDS)
        return self._decayed_rate(now) / known

    def has_recent_refusal(self, now: float) -> bool:
        """Return whether a request was refused within the last span."""
        return self._refused_at >= now - _MIN_SPAN

    def peak_admitted_rate(self, now: float) -> float:
        """Return the highest rate of admitted requests within one span, in requests per second.

        If no span contains enough of them, it is the rate of the last few requests.
        """
        times = [at for at, admitted in self._recent if admitted and at >= now - _HISTORY_SECONDS]
        most, first = 0, 0
        for index, at in enumerate(times):
            while times[first] < at - _MIN_SPAN:
                first += 1
            most = max(most, index - first + 1)
        if most >= _MIN_REQUESTS_IN_SPAN:
            return most / _MIN_SPAN
        last = times[-_MIN_REQUESTS_IN_SPAN:]
        return max(len(last), 1) / max(_MIN_SPAN, now - last[0] if last else _MIN_SPAN)

    def _decayed_rate(self, now: float) -> float:
        return self._usual_rate * math.exp(-self.since_last(now) / _USUAL_SECONDS)
