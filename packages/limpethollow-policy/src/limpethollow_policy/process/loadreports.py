"""What searchers say of their own load, and how much may be sent to them by it."""

import msgspec

# Calls waiting for each slot up to which every search is admitted: at first, and the least and the
# most that is learnt.
_FIRST_TARGET, _LEAST_TARGET, _MOST_TARGET = 1.0, 0.1, 3.0
# What an answer that was late, and one that was in time, leave of the target. They balance where
# one answer in ten is late.
_LATE_STEP, _IN_TIME_STEP = 0.9, 1.0105
# Answers tell something of the target from this share of it on: below, no search is refused by it.
_NEAR_TARGET = 0.5
# Reports older than this say nothing of searchers whose callers come as usual: their queues are
# empty again within a tenth of a second.
CALM_REPORT_SECONDS = 0.5
# The same while more callers come than usual. An instance that sees one search a second has no
# newer ones, and the queues stay long as long as the burst lasts.
BURST_REPORT_SECONDS = 2.0


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """A searcher's load at the moment of its reply.

    Attributes:
        running: Calls that it works on.
        waiting: Calls that wait for a slot.
        slots: Calls that it works on at once at most.
        slowdown_percent: How long work takes on its machine now; 100 is as usual.
    """

    running: int
    waiting: int
    slots: int
    slowdown_percent: int = 100

    @property
    def queue_depth(self) -> float:
        """Return how many calls wait for each slot."""
        return self.waiting / self.slots


class QueueTarget:
    """Learns how long the searchers' queues may be for a set of shards to answer in time.

    A search over many shards waits for its slowest ones, so the mean queue must be the shorter the
    more shards it has and the more of them it needs.

    All instances read the same queues, so what they admit agrees without a word between them, and
    the queues settle where the admitted searches are what the searchers can do.
    """

    __slots__ = ("_depth",)

    def __init__(self) -> None:
        self._depth = _FIRST_TARGET

    @property
    def depth(self) -> float:
        """Return the calls waiting for each slot up to which every search is admitted."""
        return self._depth

    def admitted_share(self, queue_depth: float) -> float:
        """Return the share of searches to admit, 0 to 1.

        Args:
            queue_depth: Calls that wait for each slot, on average over shards and searchers.
        """
        if queue_depth <= self._depth:
            return 1.0
        return self._depth / queue_depth

    def answered(self, queue_depth: float, *, late: bool) -> None:
        """Take in how a search ended.

        Args:
            queue_depth: Calls that waited for each slot when it was admitted.
            late: Whether its answer was not there when it was due.
        """
        if queue_depth < _NEAR_TARGET * self._depth:
            return
        depth = self._depth * (_LATE_STEP if late else _IN_TIME_STEP)
        self._depth = min(max(depth, _LEAST_TARGET), _MOST_TARGET)
