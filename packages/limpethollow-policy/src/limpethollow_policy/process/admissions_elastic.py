"""A floor and an elastic ceiling per firm."""

import math

from limpethollow_policy.process.admissions_queues import (
    AdmissionLimits,
    FairQueue,
    admission_policy,
)
from limpethollow_policy.request.gathers import Gather

_RATE_SECONDS = 2.0
_SMOOTHING = 0.1
_FIRST_DURATION = 0.02
_BURST_FLOOR = 1.0
_BURST_SHARE = 0.5
_TIGHTEST = 0.25
_WIDEST = 2.0


class _Arrivals:
    """A firm's arrival rate, fading exponentially."""

    __slots__ = ("_at", "_rate")

    def __init__(self) -> None:
        self._rate = 0.0
        self._at = 0.0

    def add(self, now: float) -> None:
        self._rate = self.rate(now) + 1.0 / _RATE_SECONDS
        self._at = now

    def rate(self, now: float) -> float:
        return self._rate * math.exp(-(now - self._at) / _RATE_SECONDS)


@admission_policy("elastic")
class ElasticQueue(FairQueue):
    """Each firm has a floor it may always run and a ceiling that moves with load.

    After "streaq scheduler latency: fair per-tenant throttling with floors and elastic ceilings":
    by Little's law a firm earns as many running searches as its arrival rate times their duration;
    a burst allowance comes on top; under pressure all ceilings tighten by the same factor, and with
    room to spare they widen.
    """

    __slots__ = ("_arrivals", "_duration", "_started")

    def __init__(self, limits: AdmissionLimits) -> None:
        super().__init__(limits)
        self._arrivals: dict[str, _Arrivals] = {}
        self._started: dict[str, list[float]] = {}
        self._duration = _FIRST_DURATION

    def offer(self, gather: Gather) -> Gather | None:
        """Let a search wait, in place of one of the firm that waits with most for its share."""
        self._arrivals.setdefault(gather.search.firm, _Arrivals()).add(gather.arrived)
        return super().offer(gather)

    def pop(self, now: float) -> Gather | None:
        """Take out the first search of the firm that uses least of its limit."""
        ready = {
            firm: self._running[firm] / limit
            for firm in self._waiting.firms
            if self._running[firm] < (limit := self._limit(firm, now))
        }
        if not ready:
            return None
        return self._waiting.take_first(min(ready, key=ready.__getitem__))

    def started(self, firm: str, now: float) -> None:
        """Note that a search of this firm began to use searchers."""
        super().started(firm, now)
        self._started.setdefault(firm, []).append(now)

    def finished(self, firm: str, now: float) -> None:
        """Note that a search of this firm no longer uses searchers, and how long it did."""
        super().finished(firm, now)
        duration = now - self._started[firm].pop(0)
        self._duration += _SMOOTHING * (duration - self._duration)

    def _limit(self, firm: str, now: float) -> int:
        floor = max(1, int(self._limits.capacity * self._limits.portion(firm)))
        earned = math.ceil(self._arrivals[firm].rate(now) * self._duration)
        base = max(floor, earned)
        ceiling = base + max(_BURST_FLOOR, base * _BURST_SHARE)
        in_flight = self._running.total() + len(self._waiting)
        factor = self._limits.capacity / max(in_flight, 1)
        return max(floor, int(ceiling * min(max(factor, _TIGHTEST), _WIDEST)))
