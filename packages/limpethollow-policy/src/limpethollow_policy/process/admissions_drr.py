"""Deficit round robin between firms."""

from collections import Counter, deque

from limpethollow_policy.process.admissions_queues import (
    AdmissionLimits,
    FairQueue,
    admission_policy,
)
from limpethollow_policy.request.gathers import Gather


@admission_policy("drr")
class DeficitRoundRobinQueue(FairQueue):
    """Firms take turns; each turn's allowance, in shards, is weighted by the firm's share.

    A firm alone gets every slot; a firm under its share waits for one turn of each other firm,
    however long their backlogs are.
    """

    __slots__ = ("_deficits", "_largest", "_turns")

    def __init__(self, limits: AdmissionLimits) -> None:
        super().__init__(limits)
        self._turns: deque[str] = deque()
        self._deficits: Counter[str] = Counter()
        self._largest = 1

    def offer(self, gather: Gather) -> Gather | None:
        """Let a search wait, in place of one of the firm that waits with most for its share."""
        firm = gather.search.firm
        self._largest = max(self._largest, _cost(gather))
        if not self._waiting.backlog(firm):
            self._join(firm)
        out = super().offer(gather)
        if out is not None:
            self._leave_if_empty(out.search.firm)
        return out

    def pop(self, now: float) -> Gather | None:
        """Take out the first search of the firm whose turn it is."""
        if not self._turns:
            return None
        while self._deficits[self._turns[0]] < _cost(self._waiting.first(self._turns[0])):
            self._turns.rotate(-1)
            self._begin_turn()
        firm = self._turns[0]
        gather = self._waiting.take_first(firm)
        self._deficits[firm] -= _cost(gather)
        self._leave_if_empty(firm)
        return gather

    def remove(self, gather: Gather) -> None:
        """Take out one search that left."""
        if self._waiting.remove(gather):
            self._leave_if_empty(gather.search.firm)

    def _join(self, firm: str) -> None:
        self._turns.append(firm)
        if len(self._turns) == 1:
            self._begin_turn()

    def _leave_if_empty(self, firm: str) -> None:
        """End the turn of a firm with nothing left; it may not save its allowance for later."""
        if self._waiting.backlog(firm) or firm not in self._turns:
            return
        its_turn = self._turns[0] == firm
        self._turns.remove(firm)
        del self._deficits[firm]
        if its_turn and self._turns:
            self._begin_turn()

    def _begin_turn(self) -> None:
        """Give the firm at the head its allowance, enough for one search of any size."""
        firm = self._turns[0]
        smallest = min(self._limits.share(other) for other in self._turns)
        self._deficits[firm] += self._largest * self._limits.share(firm) / smallest


def _cost(gather: Gather) -> int:
    return len(gather.search.shards)
