"""A fixed quota per firm."""

from limpethollow_policy.process.admissions_queues import FairQueue, admission_policy
from limpethollow_policy.request.gathers import Gather


@admission_policy("quota")
class QuotaQueue(FairQueue):
    """Each firm runs and waits within a fixed part of the whole, whatever the others do.

    Slots that a firm leaves unused stay unused.
    """

    __slots__ = ()

    def offer(self, gather: Gather) -> Gather | None:
        """Let a search wait within its firm's part of the queue."""
        firm = gather.search.firm
        if self._waiting.backlog(firm) >= self._part(firm, self._limits.max_queue):
            return gather
        self._waiting.add(gather)
        return None

    def pop(self, now: float) -> Gather | None:
        """Take out the earliest search whose firm is under its quota."""
        ready = [firm for firm in self._waiting.firms if self._may_run(firm)]
        if not ready:
            return None
        first = min(ready, key=lambda firm: self._waiting.first(firm).arrived)
        return self._waiting.take_first(first)

    def ahead_of(self, firm: str) -> float:
        """Return the firm's backlog as if all firms drained at once, each at its part."""
        return self._waiting.backlog(firm) / self._limits.portion(firm)

    def _may_run(self, firm: str) -> bool:
        return self._running[firm] < self._part(firm, self._limits.capacity)

    def _part(self, firm: str, whole: float) -> int:
        return max(1, int(whole * self._limits.portion(firm)))
