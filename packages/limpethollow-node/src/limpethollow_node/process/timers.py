"""A thread that runs short callbacks at scheduled times."""

import heapq
import itertools
import threading
import time
from collections.abc import Callable

from limpethollow_node.process import events


class Timers:
    """Runs callbacks at scheduled times on one thread; callbacks must not block.

    The thread sleeps while no callback is due.

    Usage:
        with Timers() as timers:
            timers.call_at(time.monotonic() + 1.0, actor.wake)
    """

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()
        self._closed = False
        self._thread = threading.Thread(target=self._run, name="timers", daemon=True)

    def __enter__(self) -> "Timers":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        with self._condition:
            self._closed = True
            self._condition.notify()

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedule a callback.

        Args:
            when: Time of `time.monotonic` at which to run it.
            callback: The function to call.
        """
        with self._condition:
            entry = (when, next(self._sequence_numbers), callback)
            heapq.heappush(self._heap, entry)
            if self._heap[0] is entry:
                self._condition.notify()

    def _run(self) -> None:
        while True:
            callback = self._wait_for_callback()
            if callback is None:
                return
            try:
                callback()
            except Exception as error:
                events.UNEXPECTED_ERROR.log(where="timer", error=repr(error), exc_info=True)

    def _wait_for_callback(self) -> Callable[[], None] | None:
        with self._condition:
            while not self._closed:
                now = time.monotonic()
                if self._heap and self._heap[0][0] <= now:
                    return heapq.heappop(self._heap)[2]
                self._condition.wait(self._heap[0][0] - now if self._heap else None)
        return None
