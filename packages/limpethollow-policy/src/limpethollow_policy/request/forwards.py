"""Whom a coordinator asks for one group's part of a search, and when it asks one more."""

_PATIENCE_SHARE = 0.4


class ForwardPlan:
    """Asks owners in order: the next one at once where one is lost, and once where one is silent.

    A search changes nothing, so it may be asked of several owners. An owner that is frozen or cut
    off shows only by its silence; waiting for it to the deadline would make the answer late, so
    after a part of the time the next owner is asked besides, and the first answer counts.

    Args:
        order: Ids of the instances to ask, best first.
        now: Monotonic second.
        answer_at: Monotonic second at which the answer is due.
    """

    __slots__ = ("_asked", "_hedge_at", "_hedged", "_order")

    def __init__(self, order: list[str], now: float, answer_at: float) -> None:
        self._order = list(order)
        self._asked: list[str] = []
        self._hedge_at = now + (answer_at - now) * _PATIENCE_SHARE
        self._hedged = False

    @property
    def asked(self) -> tuple[str, ...]:
        """The owners asked so far, in order."""
        return tuple(self._asked)

    def begin(self) -> str | None:
        """Return the owner to ask first, None where there is none."""
        return self._next()

    def lost(self, now: float, deadline: float) -> str | None:
        """Return the owner to ask in place of one that is lost, None where none is left."""
        return self._next() if now < deadline else None

    def patience(self, now: float, deadline: float) -> float:
        """Return the seconds to wait before `overdue` or the deadline."""
        until = deadline if self._hedged else min(self._hedge_at, deadline)
        return max(until - now, 0.0)

    def overdue(self, now: float, may_hedge: bool) -> str | None:
        """Return one more owner to ask where all are silent, None where none is to be asked.

        Args:
            now: Monotonic second.
            may_hedge: Whether the budget allows one more; where it does not, that is final.
        """
        if self._hedged or now < self._hedge_at:
            return None
        self._hedged = True
        return self._next() if may_hedge else None

    def _next(self) -> str | None:
        if not self._order:
            return None
        self._asked.append(self._order.pop(0))
        return self._asked[-1]
