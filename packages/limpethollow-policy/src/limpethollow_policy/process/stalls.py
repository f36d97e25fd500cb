"""Detects that the process has just been stalled, and since when."""

# The check runs every 0.25 s; a longer gap than this means that the process could not run.
_STALL_SECONDS = 0.35
# Time after a stall within which everything that arrived during it is processed.
_CATCH_UP_SECONDS = 0.25


class StallDetector:
    """Estimates how long a signal may have waited for a frozen or CPU-starved process.

    Args:
        now: Time in seconds of a clock that also advances while the machine is suspended.
    """

    __slots__ = ("_ran_at", "_resumed_at", "_stalled_from")

    def __init__(self, now: float) -> None:
        self._ran_at = now
        self._stalled_from = now
        self._resumed_at = now

    def ran(self, now: float) -> None:
        """Record that the process runs; called several times a second."""
        if now - self._ran_at > _STALL_SECONDS:
            self._stalled_from = self._ran_at
            self._resumed_at = now
        self._ran_at = now

    def earliest_arrival(self, now: float) -> float:
        """Return the earliest time at which a signal that is processed now may have arrived."""
        self.ran(now)
        return self._stalled_from if now - self._resumed_at <= _CATCH_UP_SECONDS else now
