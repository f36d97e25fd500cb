"""One thread that runs short callbacks at given times, and sleeps when there are none."""

import heapq
import itertools
import threading
import time
from collections.abc import Callable

from limpethollow_node.process import events


class Timers:
    """Runs callbacks later; they must not block.

    Usage:
        with Timers() as timers:
            timers.call_at(time.monotonic() + 1.0, actor.wake)
    """

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
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
        """Run a callback at a monotonic second."""
        with self._condition:
            heapq.heappush(self._heap, (when, next(self._order), callback))
            self._condition.notify()

    def _run(self) -> None:
        while True:
            callback = self._next()
            if callback is None:
                return
            try:
                callback()
            except Exception as error:
                events.DEFECT.log(where="timer", error=repr(error), exc_info=True)

    def _next(self) -> Callable[[], None] | None:
        with self._condition:
            while not self._closed:
                now = time.monotonic()
                if self._heap and self._heap[0][0] <= now:
                    return heapq.heappop(self._heap)[2]
                self._condition.wait(self._heap[0][0] - now if self._heap else None)
        return None
