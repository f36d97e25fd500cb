"""Issue periods of booking tokens: how long a run dispatches a token it has not seen."""

PERIOD_SECONDS = 60.0


def period_at(age: float) -> int:
    """Return the issue period of a run of this age.

    A run counts the periods from its own start by its own monotonic clock. Others know its age from
    its hello, which can only be late, so the period they issue is never ahead by more than what two
    clocks drift apart.

    Args:
        age: Seconds since the run began.
    """
    return max(0, int(age // PERIOD_SECONDS))


def seconds_to_next(age: float) -> float:
    """Return the seconds until the run's next period begins."""
    return (period_at(age) + 1) * PERIOD_SECONDS - age
