"""Whether the process has just stood still, and since when."""

# The process looks around every 0.25 s; later than this, something kept it from running.
_STALL_SECONDS = 0.35
# What came during a stall is taken in this soon after it.
_SETTLE_SECONDS = 0.25


class StallWatch:
    """Tells since when a signal may have waited for a process that was frozen or starved.

    Args:
        now: Second of a clock that goes on while the machine is suspended.
    """

    __slots__ = ("_ran_at", "_resumed_at", "_stalled_from")

    def __init__(self, now: float) -> None:
        self._ran_at = now
        self._stalled_from = now
        self._resumed_at = now

    def ran(self, now: float) -> None:
        """Note that the process runs; called several times a second."""
        if now - self._ran_at > _STALL_SECONDS:
            self._stalled_from = self._ran_at
            self._resumed_at = now
        self._ran_at = now

    def came_from(self, now: float) -> float:
        """Return the earliest second at which a signal that is taken in now may have come."""
        self.ran(now)
        return self._stalled_from if now - self._resumed_at <= _SETTLE_SECONDS else now
