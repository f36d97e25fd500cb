"""Load reports of searchers, and admission by the queue lengths in them."""

import msgspec

# Waiting calls per slot up to which every search is admitted: initial value, lower and upper bound
# of the learned value.
_INITIAL_TARGET, _MIN_TARGET, _MAX_TARGET = 1.0, 0.1, 3.0
# Factors by which a late answer and an answer in time change the target. They balance if one answer
# in ten is late.
_LATE_FACTOR, _IN_TIME_FACTOR = 0.9, 1.0105
# Share of the target from which on answers adjust it: far below the target, it refuses no search.
_LEARNING_SHARE = 0.5
# Maximum age of reports at the usual request rate: the queues of the searchers are then empty again
# within a tenth of a second.
CALM_REPORT_SECONDS = 0.5
# Maximum age of reports during a burst. An instance that gets one search a second has no newer
# ones, and the queues stay long while the burst lasts.
BURST_REPORT_SECONDS = 2.0


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """The load of a searcher at the time of its reply.

    Attributes:
        running: Number of calls in progress.
        waiting: Number of calls that wait for a slot.
        slots: Maximum number of calls in progress at once.
        slowdown_percent: Current duration of work on its machine, in percent of the usual one.
    """

    running: int
    waiting: int
    slots: int
    slowdown_percent: int = 100

    @property
    def queue_depth(self) -> float:
        """Return the number of waiting calls per slot."""
        return self.waiting / self.slots


class QueueTarget:
    """Learns up to which queue length a set of shards answers in time.

    A search over many shards waits for the slowest ones, so the mean queue must be shorter the more
    shards it has and the more of them it needs.

    All instances see the same queues, so their admission agrees without any communication, and the
    queues settle where the admitted searches match the capacity of the searchers.
    """

    __slots__ = ("_depth",)

    def __init__(self) -> None:
        self._depth = _INITIAL_TARGET

    @property
    def depth(self) -> float:
        """Return the number of waiting calls per slot up to which every search is admitted."""
        return self._depth

    def admitted_share(self, queue_depth: float) -> float:
        """Return the share of searches to admit, from 0 to 1.

        Args:
            queue_depth: Waiting calls per slot, averaged over shards and searchers.
        """
        if queue_depth <= self._depth:
            return 1.0
        return self._depth / queue_depth

    def answered(self, queue_depth: float, *, late: bool) -> None:
        """Record the outcome of a search.

        Args:
            queue_depth: Waiting calls per slot when it was admitted.
            late: Whether its answer was not ready in time.
        """
        if queue_depth < _LEARNING_SHARE * self._depth:
            return
        depth = self._depth * (_LATE_FACTOR if late else _IN_TIME_FACTOR)
        self._depth = min(max(depth, _MIN_TARGET), _MAX_TARGET)
