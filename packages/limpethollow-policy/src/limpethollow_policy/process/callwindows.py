"""How many calls this instance may have under way at one searcher that answers too late."""

from collections import deque

# A window that has never been cut allows more calls than any searcher takes connections.
_WIDEST = 64.0
# Least window: one call in four times the searcher's usual time. Eight instances that each know a
# slow searcher only by themselves then send it about as many calls as it can answer.
_NARROWEST = 0.25
# A window doubles in this many seconds without a late call, since nobody may be left to answer one
# in time: a searcher that was cut off is asked again within 2 s of the last late call.
_DOUBLING_SECONDS = 2.0
# Answers that are remembered: as many as half of the widest window that was cut.
_MOST_ANSWERS = 32
# Weight of the newest call's time.
_NEWEST = 0.2
_FIRST_SECONDS = 0.3
# Calls that a cut window allows beyond those that were just answered in time, so that a searcher
# which answered none is still asked.
_SPARE = 0.5


class CallWindow:
    """Adapts the calls under way to what a searcher answers before their deadlines.

    Where all other replicas of a shard are dark and the last one is slow, it gets several times
    what it can do. Each call then waits until its deadline, the searcher works on calls whose
    callers have left, and hardly any is answered in time. Fewer calls are answered more often.

    When a call is not answered by its deadline, the window shrinks to what was answered while that
    call was under way, and to half at least. Answers of before it turned slow don't count, nor do
    their times set the pace: with them it would shrink too slowly.

    It grows by about one a window of calls answered in time, and with time. Below one it is a pace:
    so many calls in a call's time.
    """

    __slots__ = ("_answers", "_cut_at", "_seconds", "_sent_at", "_set_at", "_size")

    def __init__(self) -> None:
        self._size = _WIDEST
        self._seconds = _FIRST_SECONDS
        self._sent_at = float("-inf")
        self._set_at = 0.0
        self._answers: deque[float] = deque(maxlen=_MOST_ANSWERS)
        self._cut_at = float("-inf")

    def is_open(self, in_flight: int, now: float) -> bool:
        """Return whether a call may be sent now; the arguments are those of `wait`."""
        if self._size >= _WIDEST:
            return in_flight < _WIDEST
        return self.wait(in_flight, now) <= 0

    def wait(self, in_flight: int, now: float) -> float:
        """Return in how many seconds a call may be sent; 0 where that is now.

        Args:
            in_flight: Calls under way at the searcher.
            now: Monotonic second.
        """
        size = self._size_at(now)
        if size >= 1:
            return 0.0 if in_flight < size else self._seconds
        if in_flight:
            return self._seconds
        return max(0.0, self._sent_at + self._seconds / size - now)

    def sent(self, now: float) -> None:
        """Note that a call is sent."""
        self._sent_at = now

    def answered(self, seconds: float, now: float) -> None:
        """Take in a call that was answered in time."""
        self._note(seconds)
        self._answers.append(now)
        if self._size < _WIDEST:
            size = self._size_at(now)
            self._set(size * 2 if size < 1 else size + 1 / size, now)

    def late(self, seconds: float, in_flight: int, now: float) -> None:
        """Take in a call that was not answered by its deadline.

        Args:
            seconds: How long it was under way.
            in_flight: Calls under way besides it.
            now: Monotonic second.
        """
        # It would have taken longer still; a mean with quick calls of before would set a pace of
        # four times what the searcher can do.
        self._seconds = max(self._seconds, seconds)
        # Calls that were sent before the last cut say nothing about the window after it.
        if now - seconds < self._cut_at:
            return
        self._cut_at = now
        half = min(self._size_at(now), max(in_flight, 1)) / 2
        answered = sum(at >= now - seconds for at in self._answers)
        self._set(min(half, answered + _SPARE), now)

    def _size_at(self, now: float) -> float:
        if self._size >= _WIDEST:
            return _WIDEST
        return self._size * 2.0 ** ((now - self._set_at) / _DOUBLING_SECONDS)

    def _set(self, size: float, now: float) -> None:
        self._size = min(max(size, _NARROWEST), _WIDEST)
        self._set_at = now

    def _note(self, seconds: float) -> None:
        self._seconds += _NEWEST * (seconds - self._seconds)
