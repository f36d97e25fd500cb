"""The phases of a graceful stop, and which requests may still begin in them."""

# Fractions of the time until the platform kills the process. Until the first, the process does not
# exit even if it is idle: callers cache directory entries for up to three times the requested time,
# and may still connect here. From the second on, all new requests are refused, since they might not
# end in time. At the third, requests still open are answered. At the last, the process exits
# whether or not callers have read their responses.
_MAY_EXIT_FRACTION = 0.6
_REFUSE_FRACTION = 0.75
_ANSWER_FRACTION = 0.93
_EXIT_FRACTION = 0.96


class Stop:
    """The times of one graceful stop.

    Args:
        begun: Time at which it was requested, in seconds of a clock that includes suspensions.
        grace: Seconds after which the platform kills the process.

    Attributes:
        answers_at: Time at which the requests that are still open are answered.
        exits_at: Time at which the process exits.
    """

    __slots__ = ("_may_exit_from", "_refuses_from", "answers_at", "exits_at")

    def __init__(self, begun: float, grace: float) -> None:
        self._may_exit_from = begun + grace * _MAY_EXIT_FRACTION
        self._refuses_from = begun + grace * _REFUSE_FRACTION
        self.answers_at = begun + grace * _ANSWER_FRACTION
        self.exits_at = begun + grace * _EXIT_FRACTION

    def may_exit(self, now: float) -> bool:
        """Return whether the process exits as soon as it is idle."""
        return now > self._may_exit_from

    def refuses_all(self, now: float) -> bool:
        """Return whether every new request is refused."""
        return now > self._refuses_from

    def may_start(self, expected: float, now: float) -> bool:
        """Return whether a request may begin.

        Args:
            expected: Seconds that it is expected to take.
            now: Current time.
        """
        return not self.refuses_all(now) and now + expected <= self.answers_at
