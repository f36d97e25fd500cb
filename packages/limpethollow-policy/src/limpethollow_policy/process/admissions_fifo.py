"""First-in, first-out admission queue."""

from collections import deque
from collections.abc import Iterator

from limpethollow_policy.process.admissions_queues import (
    AdmissionLimits,
    AdmissionQueue,
    admission_policy,
)
from limpethollow_policy.process.admissions_waits import DrainRate
from limpethollow_policy.request.gathers import Gather


@admission_policy("fifo")
class FifoQueue(AdmissionQueue):
    """First-in, first-out queue, used as the baseline; one flooding firm can fill it for all."""

    __slots__ = ("_drain_rate", "_queue")

    def __init__(self, limits: AdmissionLimits) -> None:
        super().__init__(limits)
        self._drain_rate = DrainRate()
        self._queue: deque[Gather] = deque()

    def __len__(self) -> int:
        return len(self._queue)

    def __iter__(self) -> Iterator[Gather]:
        return iter(self._queue)

    def offer(self, gather: Gather) -> Gather | None:
        """Append a search; a full queue rejects it."""
        if len(self._queue) >= self._limits.max_queue:
            return gather
        if not self._queue:
            self._drain_rate.refilled()
        self._queue.append(gather)
        return None

    def pop(self, now: float) -> Gather | None:
        """Remove and return the oldest search."""
        if not self._queue:
            return None
        gather = self._queue.popleft()
        self._drain_rate.started(now, len(self._queue))
        return gather

    def remove(self, gather: Gather) -> None:
        """Remove one search, if it is queued."""
        if gather in self._queue:
            self._queue.remove(gather)

    def wait(self, firm: str, now: float) -> float:
        """Return the expected seconds until all queued searches have started."""
        return self._drain_rate.wait(len(self._queue), now)
