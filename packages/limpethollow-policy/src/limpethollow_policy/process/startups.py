"""Decides how long a starting process waits for what its machine may provide a moment later."""

import errno

# A port of an outgoing connection stays busy for 60 s after it was closed (TIME_WAIT).
MAX_ADDRESS_WAIT_SECONDS = 75.0
# Writing a settings file takes far less than this.
MAX_SETTINGS_WAIT_SECONDS = 2.0
_FIRST_PAUSE_SECONDS = 0.01
_LONGEST_PAUSE_SECONDS = 0.25

# The address is used by another socket, such as an outgoing connection that got its port, or is
# not configured on the machine yet.
_TEMPORARY_ERRORS = frozenset({errno.EADDRINUSE, errno.EADDRNOTAVAIL})


def may_become_available(error: OSError) -> bool:
    """Return whether binding an address may succeed later although it failed now."""
    return error.errno in _TEMPORARY_ERRORS


class StartupWait:
    """Gives the pauses between attempts, until their time is over.

    Args:
        limit: Seconds from the first failed attempt on.
    """

    __slots__ = ("_began", "_limit", "_pause")

    def __init__(self, limit: float) -> None:
        self._limit = limit
        self._began: float | None = None
        self._pause = _FIRST_PAUSE_SECONDS

    @property
    def has_begun(self) -> bool:
        """Return whether an attempt has failed."""
        return self._began is not None

    def seconds(self, now: float) -> float:
        """Return the seconds since the first failed attempt."""
        return 0.0 if self._began is None else now - self._began

    def failed(self, now: float) -> float | None:
        """Record a failed attempt.

        Args:
            now: Monotonic time in seconds.

        Returns:
            Seconds to wait before the next attempt; None if there is none.
        """
        if self._began is None:
            self._began = now
        left = self._began + self._limit - now
        if left <= 0:
            return None
        pause, self._pause = self._pause, min(2 * self._pause, _LONGEST_PAUSE_SECONDS)
        return min(pause, left)
