"""Issue periods of booking tokens, which limit how long an unseen token is dispatched."""

PERIOD_SECONDS = 60.0


def period_at(age: float) -> int:
    """Return the current issue period of an instance process of the given age.

    A process counts the periods from its own start by its monotonic clock. Other instances derive
    its age from its hello message, which can only be delayed. The period that they issue is
    therefore ahead by no more than the drift between the two clocks.

    Args:
        age: Seconds since the process started.
    """
    return max(0, int(age // PERIOD_SECONDS))


def seconds_to_next_period(age: float) -> float:
    """Return the seconds until the next issue period starts."""
    return (period_at(age) + 1) * PERIOD_SECONDS - age
