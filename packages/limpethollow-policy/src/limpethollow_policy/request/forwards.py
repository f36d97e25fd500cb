"""Choice of the owners that a coordinator asks for one group's part of a search."""

_HEDGE_DELAY_SHARE = 0.4


class ForwardPlan:
    """Asks owners in order: the next one at once after a failure, and one hedge after a delay.

    A search has no side effects, so several owners may be asked. A frozen or partitioned owner can
    be detected only by its silence, and waiting for it until the deadline would make the answer
    late. After a share of the available time the next owner is therefore asked as well, and the
    first answer is used.

    Args:
        order: Ids of the instances to ask, in order of preference.
        now: Monotonic second.
        answer_at: Monotonic second at which the answer is due.
    """

    __slots__ = ("_asked", "_hedge_at", "_hedged", "_remaining")

    def __init__(self, order: list[str], now: float, answer_at: float) -> None:
        self._remaining = list(order)
        self._asked: list[str] = []
        self._hedge_at = now + (answer_at - now) * _HEDGE_DELAY_SHARE
        self._hedged = False

    @property
    def asked(self) -> tuple[str, ...]:
        """The owners asked so far, in order."""
        return tuple(self._asked)

    def begin(self) -> str | None:
        """Return the owner to ask first, None if there is none."""
        return self._next()

    def lost(self, now: float, deadline: float) -> str | None:
        """Return the owner to ask in place of a failed one, None if none or no time is left."""
        return self._next() if now < deadline else None

    def patience(self, now: float, deadline: float) -> float:
        """Return the seconds to wait before calling `next_hedge`, or until the deadline."""
        until = deadline if self._hedged else min(self._hedge_at, deadline)
        return max(until - now, 0.0)

    def next_hedge(self, now: float, may_hedge: bool) -> str | None:
        """Return an owner to send the hedge to if one is due, None if there is none.

        Args:
            now: Monotonic second.
            may_hedge: Whether the budget allows the hedge; if not, it is not considered again.
        """
        if self._hedged or now < self._hedge_at:
            return None
        self._hedged = True
        return self._next() if may_hedge else None

    def _next(self) -> str | None:
        if not self._remaining:
            return None
        self._asked.append(self._remaining.pop(0))
        return self._asked[-1]
