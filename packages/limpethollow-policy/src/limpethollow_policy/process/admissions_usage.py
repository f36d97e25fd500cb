"""Admission queue that prefers the firm with the least recent usage."""

import math

from limpethollow_policy.process.admissions_queues import (
    AdmissionLimits,
    FairQueue,
    admission_policy,
)
from limpethollow_policy.request.gathers import Gather

_DECAY_SECONDS = 2.0


class _Usage:
    """Exponentially decaying sum of the shards that a firm's searches have used."""

    __slots__ = ("_amount", "_updated_at")

    def __init__(self) -> None:
        self._amount = 0.0
        self._updated_at = 0.0

    def add(self, amount: float, now: float) -> None:
        self._amount = self.at(now) + amount
        self._updated_at = now

    def at(self, now: float) -> float:
        return self._amount * math.exp((self._updated_at - now) / _DECAY_SECONDS)


@admission_policy("least_usage")
class LeastUsageQueue(FairQueue):
    """Starts the searches of the firm with the least recent usage relative to its weight first.

    A firm below its share can therefore still send bursts: capacity that it left unused a moment
    ago gives it priority now, and a flooding firm gets the remaining slots.
    """

    __slots__ = ("_usage",)

    def __init__(self, limits: AdmissionLimits) -> None:
        super().__init__(limits)
        self._usage: dict[str, _Usage] = {}

    def pop(self, now: float) -> Gather | None:
        """Remove the oldest search of the firm whose turn it is and add it to its usage."""
        gather = super().pop(now)
        if gather is not None:
            usage = self._usage.setdefault(gather.search.firm, _Usage())
            usage.add(len(gather.search.shards), now)
        return gather

    def _next_firm(self, now: float) -> str:
        return min(self._waiting.firms, key=lambda firm: self._weighted_usage(firm, now))

    def _weighted_usage(self, firm: str, now: float) -> float:
        usage = self._usage.get(firm)
        return usage.at(now) / self._limits.share(firm) if usage else 0.0
