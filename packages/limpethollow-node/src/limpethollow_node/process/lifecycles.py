"""The states of one run of an instance."""

import threading
from enum import StrEnum


class InstanceState(StrEnum):
    """What an instance does with requests."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    CLOSING = "closing"


class Lifecycle:
    """Holds the state of the run; replies ask callers to close once it is closing."""

    def __init__(self) -> None:
        self._state = InstanceState.STARTING
        self._lock = threading.Lock()
        self._leave = threading.Event()
        self._hurry = threading.Event()

    @property
    def state(self) -> InstanceState:
        """The current state."""
        return self._state

    @property
    def closing(self) -> bool:
        """Whether callers should close their connections."""
        return self._state in (InstanceState.LEAVING, InstanceState.CLOSING)

    def enter(self, state: InstanceState) -> None:
        """Go to a state."""
        with self._lock:
            self._state = state

    def ask_to_leave(self) -> None:
        """Begin the graceful shutdown; a second call ends its waiting."""
        if self._leave.is_set():
            self._hurry.set()
        self._leave.set()

    def wait_for_leave(self) -> None:
        """Block until the shutdown was asked for."""
        self._leave.wait()

    def pause(self, seconds: float) -> bool:
        """Wait within the shutdown; true where a second signal cut the wait short."""
        return self._hurry.wait(seconds)
