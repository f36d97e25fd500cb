"""Load shedding for requests that are answered by a single searcher each.

Overload means that callers request more of a service than its searchers can handle, so that each
request waits in a full queue for most of its time, or is sent to several searchers only to learn
that they are full.
"""

from collections import deque

from limpethollow_policy.process.arrivals import Arrivals
from limpethollow_policy.process.shedding import MIN_OBJECTIVE, LoadShedder

# Late requests of a service count as a sign of load for this long after its searchers reported that
# they were full: a full queue takes about as long to empty.
_FULL_MEMORY_SECONDS = 2.0
# Fraction of the answer rate that is admitted once searchers are full. The rest of the searchers'
# capacity empties the queues.
_FULL_CUT_FACTOR = 0.4
# The searchers' queues are long if the upper quartile of the recent answer times reaches this
# fraction of the objective. Usual answers take a quarter of it. At most this many answers count,
# and only those of the last seconds.
_RECENT_ANSWERS, _RECENT_SECONDS = 8, 2.0
_QUEUED_SHARE = 0.5
# A change of the rate shows its effect after this fraction of the requests' objective: a usual
# request takes a quarter of the objective, and those admitted right after the change still wait
# behind the rest of the queue.
_EFFECT_DELAY_FRACTION = 0.5


class SingleShedder(LoadShedder):
    """Limits requests answered by a single searcher each to what is answered in time.

    If one searcher of four is slow, a quarter of these requests is late, and fewer requests would
    not help. Late requests therefore count only while the searchers themselves refuse as full.

    The searchers' own queues limit the load too late: behind a full queue, a caller waits for its
    whole objective. Full searchers work at capacity, so the recent answer rate here is this
    instance's part of that capacity, and the rate is set below it until the queues are shorter.

    A searcher that refuses by chance answers other requests quickly. If it is the only one, fewer
    requests would not help, so its refusals count only while answers are slow or missing.
    """

    __slots__ = ("_answers", "_full_at", "_objective_shares")

    def __init__(self) -> None:
        super().__init__()
        # Answers by arrival time: the highest rate among them is the searchers' capacity.
        self._answers = Arrivals()
        self._full_at = float("-inf")
        self._objective_shares: deque[tuple[float, float]] = deque(maxlen=_RECENT_ANSWERS)

    def answered(self, now: float, seconds: float, objective: float) -> None:
        """Record an answer, in time or late.

        Args:
            now: Current monotonic time in seconds.
            seconds: Seconds from the admission to the answer.
            objective: As for `ended`.
        """
        self._answers.add(now, admitted=True)
        self._objective_shares.append((now, seconds / max(objective, MIN_OBJECTIVE)))

    def full(self, now: float, objective: float) -> bool:
        """Record that all searchers that were tried refused as full; return as `ended` does.

        Args:
            now: Current monotonic time in seconds.
            objective: As for `ended`.
        """
        if self._answers_are_quick(now):
            return False
        self._full_at = now
        if now < self._cut_at + objective or not self._answers.is_rate_known(now):
            return False
        rate = min(self._rate, _FULL_CUT_FACTOR * self._answers.peak_admitted_rate(now))
        self._lower_rate(rate, now, _EFFECT_DELAY_FRACTION * objective)
        self._evaluate_at = now
        return True

    def ended(self, congestion: float, started: float, now: float, objective: float) -> bool:
        """Record a request that was answered, or that was not answered when due."""
        if now - self._full_at > _FULL_MEMORY_SECONDS:
            congestion = 0.0
        return super().ended(congestion, started, now, _EFFECT_DELAY_FRACTION * objective)

    def _answers_are_quick(self, now: float) -> bool:
        """Return whether the searchers' queues are short, judging by recent answer times."""
        shares = sorted(
            share for at, share in self._objective_shares if at >= now - _RECENT_SECONDS
        )
        return len(shares) > 0 and shares[len(shares) * 3 // 4] < _QUEUED_SHARE

    def _is_probing(self, now: float, objective: float) -> bool:
        """Return whether the searchers were full recently.

        Once they no longer are, refusals at this instance are no reason to raise the rate slowly.
        """
        return now - self._full_at <= _FULL_MEMORY_SECONDS
