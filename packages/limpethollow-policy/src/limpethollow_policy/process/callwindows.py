"""Limits the calls in flight to a searcher that misses deadlines."""

from collections import deque

# Initial and largest window: more calls than the connections that any searcher accepts.
_MAX_SIZE = 64.0
# Smallest window: one call in four times the searcher's usual call time. Eight instances that
# measure a slow searcher independently then send it about as many calls as it can answer.
_MIN_SIZE = 0.25
# The window doubles in this many seconds without a late call, because there may be no calls left
# that could be answered in time: a searcher at the smallest window is called again within 2 s of
# the last late call.
_DOUBLING_SECONDS = 2.0
# Number of answer times that are kept: half of the largest window.
_MAX_ANSWERS = 32
# Weight of the newest call in the average call time.
_SMOOTHING = 0.2
_INITIAL_CALL_SECONDS = 0.3
# Added to the number of calls just answered in time when the window is reduced, so that a searcher
# that answered none still gets calls. A window below 1 limits the rate of calls.
_EXTRA_CALLS = 0.5


class CallWindow:
    """Adapts the number of calls in flight to what a searcher answers before the deadlines.

    If all other replicas of a shard are unavailable and the last one is slow, it receives several
    times the load that it can handle. Each call then waits until its deadline, the searcher works
    on calls whose callers have given up, and hardly any is answered in time. With fewer calls, more
    of them are answered.

    When a call misses its deadline, the window shrinks to the number of calls answered while that
    call was in flight, and at least by half. Answers from before the searcher became slow don't
    count, and their times don't set the pace, because the window would shrink too slowly.

    The window grows by about one for each window of calls answered in time, and with time. Below
    one, it limits the rate instead: that many calls in the time of one call.
    """

    __slots__ = ("_answers", "_reduced_at", "_call_seconds", "_sent_at", "_set_at", "_size")

    def __init__(self) -> None:
        self._size = _MAX_SIZE
        self._call_seconds = _INITIAL_CALL_SECONDS
        self._sent_at = float("-inf")
        self._set_at = 0.0
        self._answers: deque[float] = deque(maxlen=_MAX_ANSWERS)
        self._reduced_at = float("-inf")

    def is_open(self, in_flight: int, now: float) -> bool:
        """Return whether a call may be sent now; takes the arguments of `wait`."""
        if self._size >= _MAX_SIZE:
            return in_flight < _MAX_SIZE
        return self.wait(in_flight, now) <= 0

    def wait(self, in_flight: int, now: float) -> float:
        """Return the seconds until a call may be sent; 0 if it may be sent now.

        Args:
            in_flight: Calls in flight to the searcher.
            now: Monotonic time in seconds.
        """
        size = self._size_at(now)
        if size >= 1:
            return 0.0 if in_flight < size else self._call_seconds
        if in_flight:
            return self._call_seconds
        return max(0.0, self._sent_at + self._call_seconds / size - now)

    def sent(self, now: float) -> None:
        """Record that a call was sent."""
        self._sent_at = now

    def answered(self, seconds: float, now: float) -> None:
        """Record a call that was answered in time."""
        self._update_call_seconds(seconds)
        self._answers.append(now)
        if self._size < _MAX_SIZE:
            size = self._size_at(now)
            self._set(size * 2 if size < 1 else size + 1 / size, now)

    def late(self, seconds: float, in_flight: int, now: float) -> None:
        """Record a call that was not answered by its deadline.

        Args:
            seconds: How long it was in flight.
            in_flight: Other calls in flight to the searcher.
            now: Monotonic time in seconds.
        """
        # Use at least this duration as the call time: the call would have taken even longer.
        # Averaging it with earlier, quick calls would allow four times the rate that the searcher
        # can handle.
        self._call_seconds = max(self._call_seconds, seconds)
        # Calls sent before the last reduction say nothing about the window after it.
        if now - seconds < self._reduced_at:
            return
        self._reduced_at = now
        half = min(self._size_at(now), max(in_flight, 1)) / 2
        answered = sum(at >= now - seconds for at in self._answers)
        self._set(min(half, answered + _EXTRA_CALLS), now)

    def _size_at(self, now: float) -> float:
        if self._size >= _MAX_SIZE:
            return _MAX_SIZE
        return self._size * 2.0 ** ((now - self._set_at) / _DOUBLING_SECONDS)

    def _set(self, size: float, now: float) -> None:
        self._size = min(max(size, _MIN_SIZE), _MAX_SIZE)
        self._set_at = now

    def _update_call_seconds(self, seconds: float) -> None:
        self._call_seconds += _SMOOTHING * (seconds - self._call_seconds)
