"""How many requests a second that one searcher each answers this instance admits.

Load answered: callers ask a service for more than its searchers can do, so that each request waits
in a full queue for most of its time, or is sent to several searchers to learn that they are full.
"""

from collections import deque

from limpethollow_policy.process.arrivals import Arrivals
from limpethollow_policy.process.shedding import SHORTEST_OBJECTIVE, LoadShedder

# Late requests of a service count as load for so long after its searchers said that they were full:
# a queue that was full takes about as long to empty.
_FULL_SECONDS = 2.0
# Share that is admitted of what searchers answered once they are full. The rest of their work
# empties the queues.
_FULL_CUT = 0.4
# The last answers of some seconds tell whether the searchers' queues are long: their upper quartile
# then takes this share of the objective. Usual answers take a quarter of it.
_TOLD_BY, _TOLD_SECONDS = 8, 2.0
_QUEUED_SHARE = 0.5
# A change of the rate shows in single requests after this share of their objective: usual ones take
# a quarter of it, and some queue remains.
_SHOWS_AFTER = 0.5


class SingleShedder(LoadShedder):
    """Admits as many requests that one searcher each answers as are answered in time.

    One slow searcher of four makes a quarter of these late, and fewer requests would not help. So
    late ones count only while the searchers themselves refuse as full.

    Their own queues bound the load too late: behind a full one, a caller waits for its whole
    objective. Full searchers work as fast as they can, so what was answered here of late is this
    instance's part of that, and the rate goes below it until the queues are shorter.

    A searcher that refuses by chance answers the others quickly. Where it is the only one, fewer
    requests would not help, so its refusals count only while answers are slow, or none come.
    """

    __slots__ = ("_answers", "_full_at", "_shares")

    def __init__(self) -> None:
        super().__init__()
        # Answers by when they came: the fullest span of them is what the searchers can do.
        self._answers = Arrivals()
        self._full_at = float("-inf")
        self._shares: deque[tuple[float, float]] = deque(maxlen=_TOLD_BY)

    def answered(self, now: float, seconds: float, objective: float) -> None:
        """Note an answer, in time or late.

        Args:
            now: Monotonic second.
            seconds: How long it took from its admission on.
            objective: As for `ended`.
        """
        self._answers.add(now, admitted=True)
        self._shares.append((now, seconds / max(objective, SHORTEST_OBJECTIVE)))

    def full(self, now: float, objective: float) -> bool:
        """Take in that all searchers that were asked refused as full; return as `ended` does.

        Args:
            now: Monotonic second.
            objective: As for `ended`.
        """
        if self._answers_are_quick(now):
            return False
        self._full_at = now
        if now < self._cut_at + objective or not self._answers.tells_rate(now):
            return False
        rate = min(self._rate, _FULL_CUT * self._answers.highest_admitted(now))
        self._lower_to(rate, now, _SHOWS_AFTER * objective)
        self._look_at = now
        return True

    def ended(self, congestion: float, started: float, now: float, objective: float) -> bool:
        """Take in a request that was answered, or not answered when it was due."""
        if now - self._full_at > _FULL_SECONDS:
            congestion = 0.0
        return super().ended(congestion, started, now, _SHOWS_AFTER * objective)

    def _answers_are_quick(self, now: float) -> bool:
        """Return whether the searchers' queues are short, by what they answered of late."""
        shares = sorted(share for at, share in self._shares if at >= now - _TOLD_SECONDS)
        return len(shares) > 0 and shares[len(shares) * 3 // 4] < _QUEUED_SHARE

    def _is_probing(self, now: float, objective: float) -> bool:
        """Return whether the searchers were full just now.

        Once they no longer are, refusals here are no reason to be slow.
        """
        return now - self._full_at <= _FULL_SECONDS
