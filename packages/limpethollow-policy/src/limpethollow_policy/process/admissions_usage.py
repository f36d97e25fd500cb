"""Least recent use first."""

import math

from limpethollow_policy.process.admissions_queues import (
    AdmissionLimits,
    FairQueue,
    admission_policy,
)
from limpethollow_policy.request.gathers import Gather

_WINDOW_SECONDS = 2.0


class _Usage:
    """Shards that a firm's searches took lately, fading exponentially."""

    __slots__ = ("_amount", "_at")

    def __init__(self) -> None:
        self._amount = 0.0
        self._at = 0.0

    def add(self, amount: float, now: float) -> None:
        self._amount = self.at(now) + amount
        self._at = now

    def at(self, now: float) -> float:
        return self._amount * math.exp((self._at - now) / _WINDOW_SECONDS)


@admission_policy("least_usage")
class LeastUsageQueue(FairQueue):
    """The firm that used least of its share in the last seconds goes first.

    A firm under its share therefore keeps its bursts: what it left unused a moment ago counts for
    it now, and a flooding firm gets the slots that are left.
    """

    __slots__ = ("_usage",)

    def __init__(self, limits: AdmissionLimits) -> None:
        super().__init__(limits)
        self._usage: dict[str, _Usage] = {}

    def pop(self, now: float) -> Gather | None:
        """Take out the first search of the firm that is next, and charge the firm for it."""
        gather = super().pop(now)
        if gather is not None:
            usage = self._usage.setdefault(gather.search.firm, _Usage())
            usage.add(len(gather.search.shards), now)
        return gather

    def _next_firm(self, now: float) -> str:
        return min(self._waiting.firms, key=lambda firm: self._used(firm, now))

    def _used(self, firm: str, now: float) -> float:
        usage = self._usage.get(firm)
        return usage.at(now) / self._limits.share(firm) if usage else 0.0
