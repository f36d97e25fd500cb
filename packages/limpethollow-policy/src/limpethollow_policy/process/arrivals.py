"""How fast requests come to this instance, and how many of them it has admitted."""

import math
from collections import deque

# The shortest span over which a rate is taken, in seconds, and the requests that it must hold: an
# instance that sees one in 0.3 s would otherwise take each for a rate of three a second.
_SPAN, _LEAST_IN_SPAN = 0.3, 4
# Requests that are enough to tell how fast they come now, be it in a shorter time.
_ENOUGH = 32
# Seconds for which single arrivals are kept. A longer memory would mix the calm before a burst into
# the rate of the burst.
_MEMORY = 2.0
# Seconds over which the usual rate is averaged: long against a burst, short against the hours in
# which callers' habits change.
_USUAL_SECONDS = 30.0
# Seconds from the first request until its rate is called usual. An instance that has just started
# can't tell a burst from calm traffic.
_KNOWN_AFTER = 5.0


class Arrivals:
    """The requests of the last seconds, with whether each was admitted."""

    __slots__ = ("_began", "_recent", "_refused_at", "_usual")

    def __init__(self) -> None:
        self._recent: deque[tuple[float, bool]] = deque()
        self._usual = 0.0
        self._began: float | None = None
        self._refused_at = float("-inf")

    def add(self, now: float, *, admitted: bool) -> None:
        """Note a request."""
        if self._began is None:
            self._began = now
        if not admitted:
            self._refused_at = now
        self._usual = self._faded(now) + 1.0 / _USUAL_SECONDS
        self._recent.append((now, admitted))
        while self._recent[0][0] < now - _MEMORY:
            self._recent.popleft()

    def rate(self, now: float) -> float:
        """Return the requests a second at which they come now."""
        count, first = 0, now
        for at, _ in reversed(self._recent):
            if count >= _ENOUGH or (at < now - _SPAN and count >= _LEAST_IN_SPAN):
                break
            count, first = count + 1, at
        span = now - first
        return count / (span if count >= _ENOUGH and span > 0 else max(_SPAN, span))

    def tells_rate(self, now: float) -> bool:
        """Return whether enough requests have come, or for long enough, to tell their rate."""
        if self._began is None:
            return False
        return len(self._recent) >= _LEAST_IN_SPAN or now - self._began >= _KNOWN_AFTER

    def since_last(self, now: float) -> float:
        """Return the seconds since the last request; infinite before the first."""
        return now - self._recent[-1][0] if self._recent else float("inf")

    def usual_rate(self, now: float) -> float:
        """Return the requests a second of the last half minute; infinite until it is known."""
        if self._began is None or now - self._began < _KNOWN_AFTER:
            return float("inf")
        known = 1.0 - math.exp(-(now - self._began) / _USUAL_SECONDS)
        return self._faded(now) / known

    def any_refused(self, now: float) -> bool:
        """Return whether a request was refused just now."""
        return self._refused_at >= now - _SPAN

    def highest_admitted(self, now: float) -> float:
        """Return the requests a second that were admitted in the fullest span.

        Where no span holds enough of them, it is the rate of the last few.
        """
        times = [at for at, admitted in self._recent if admitted and at >= now - _MEMORY]
        most, first = 0, 0
        for index, at in enumerate(times):
            while times[first] < at - _SPAN:
                first += 1
            most = max(most, index - first + 1)
        if most >= _LEAST_IN_SPAN:
            return most / _SPAN
        last = times[-_LEAST_IN_SPAN:]
        return max(len(last), 1) / max(_SPAN, now - last[0] if last else _SPAN)

    def _faded(self, now: float) -> float:
        return self._usual * math.exp(-self.since_last(now) / _USUAL_SECONDS)
