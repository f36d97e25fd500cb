"""First come, first served."""

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
    """First come, first served: the baseline; one flooding firm fills it for all."""

    __slots__ = ("_drain", "_waiting")

    def __init__(self, limits: AdmissionLimits) -> None:
        super().__init__(limits)
        self._drain = DrainRate()
        self._waiting: deque[Gather] = deque()

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> Iterator[Gather]:
        return iter(self._waiting)

    def offer(self, gather: Gather) -> Gather | None:
        """Let a search wait at the end."""
        if len(self._waiting) >= self._limits.max_queue:
            return gather
        if not self._waiting:
            self._drain.refilled()
        self._waiting.append(gather)
        return None

    def pop(self, now: float) -> Gather | None:
        """Take out the search that came first."""
        if not self._waiting:
            return None
        gather = self._waiting.popleft()
        self._drain.started(now, len(self._waiting))
        return gather

    def remove(self, gather: Gather) -> None:
        """Take out one search that left."""
        if gather in self._waiting:
            self._waiting.remove(gather)

    def wait(self, firm: str, now: float) -> float:
        """Return the seconds that all who wait take."""
        return self._drain.wait(len(self._waiting), now)
