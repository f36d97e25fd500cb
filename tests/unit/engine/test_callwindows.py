"""Calls to a searcher that can't answer all of them in time."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from limpethollow_policy.process.callwindows import CallWindow

RATE = 45.0
INSTANCES = 8
SLOTS = 2
QUEUE = 6
DEADLINE = 0.8
SECONDS = 20.0
QUICK = 0.02


@dataclass(slots=True)
class Call:
    instance: int
    sent: float
    over: bool = False

    @property
    def deadline(self) -> float:
        return self.sent + DEADLINE


class Load:
    """Instances ask one searcher, which has two slots and a short queue; on a virtual clock.

    Args:
        work: Mean seconds of a call.
        windows: Whether the instances keep to their windows.
        slow_from: Second from which on the searcher takes that long; it is quick before.
    """

    def __init__(self, work: float, *, windows: bool, slow_from: float = 0.0) -> None:
        self._slow_from = slow_from
        self._rng = Random(1)
        self._work = work
        self._keep = windows
        self._windows = [CallWindow() for _ in range(INSTANCES)]
        self._in_flight = [0] * INSTANCES
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._queue: list[Call] = []
        self._running = 0
        self._now = 0.0
        self.answered = self.late = self.not_sent = 0

    def play(self) -> "Load":
        self._arrive()
        while self._events:
            when, _, action = heapq.heappop(self._events)
            if when > SECONDS:
                break
            self._now = when
            action()
        return self

    def _after(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self._now + seconds, next(self._order), action))

    def _arrive(self) -> None:
        self._after(self._rng.expovariate(RATE), self._arrive)
        instance = self._rng.randrange(INSTANCES)
        window = self._windows[instance]
        if self._keep and window.wait(self._in_flight[instance], self._now) > 0:
            self.not_sent += 1
            return
        window.sent(self._now)
        self._in_flight[instance] += 1
        call = Call(instance, self._now)
        self._after(DEADLINE, lambda: self._end(call, in_time=False))
        if self._running < SLOTS or len(self._queue) < QUEUE:
            self._queue.append(call)
            self._run_next()

    def _run_next(self) -> None:
        while self._queue and self._running < SLOTS:
            call = self._queue.pop(0)
            if self._now < call.deadline:
                self._running += 1
                mean = self._work if self._now >= self._slow_from else QUICK
                work = mean * self._rng.uniform(0.6, 1.4)
                self._after(min(work, call.deadline - self._now), lambda c=call: self._ran(c))

    def _ran(self, call: Call) -> None:
        self._running -= 1
        self._end(call, in_time=self._now < call.deadline)
        self._run_next()

    def _end(self, call: Call, *, in_time: bool) -> None:
        if call.over:
            return
        call.over = True
        self._in_flight[call.instance] -= 1
        seconds = self._now - call.sent
        window = self._windows[call.instance]
        if in_time:
            self.answered += 1
            window.answered(seconds, self._now)
        else:
            self.late += 1
            window.late(seconds, self._in_flight[call.instance], self._now)


class TestSlowAndAlone:
    """One replica of a shard was dark and the other took twelve times as long as usual.

    All searches called the slow one, more of them than it could answer. Each waited for it until
    the deadline, 0.8 s, and failed then; so did almost all others.
    """

    def test_more_calls_are_answered_and_few_wait_for_nothing(self):
        free = Load(0.36, windows=False).play()
        kept = Load(0.36, windows=True).play()
        assert free.answered < 1.5 * SECONDS
        assert kept.answered > 2.5 * SECONDS
        assert kept.late < 0.3 * free.late

    def test_it_is_found_out_within_seconds_of_turning_slow(self):
        """It was quick for a while, and then took 0.36 s a call for five seconds.

        The calls that it had answered while it was quick made the windows shrink by half each time
        a call was late, and one late call in 0.8 s counts. The trouble was over before that showed.
        """
        free = Load(0.36, windows=False, slow_from=SECONDS - 5.0).play()
        kept = Load(0.36, windows=True, slow_from=SECONDS - 5.0).play()
        assert kept.answered >= free.answered
        assert kept.late < 0.5 * free.late

    def test_a_searcher_that_can_answer_all_gets_all(self):
        kept = Load(0.03, windows=True).play()
        assert (kept.not_sent, kept.late) == (0, 0)
        assert kept.answered > 0.9 * RATE * SECONDS


class TestWindow:
    def test_calls_sent_before_a_cut_cut_no_more(self):
        window = CallWindow()
        for _ in range(3):
            window.answered(0.1, 99.9)
        for in_flight in (7, 6, 5):
            window.late(0.8, in_flight, 100.0 + 0.1 * (7 - in_flight))
        assert window.wait(4, 100.3) > 0
        assert window.wait(3, 100.3) == 0

    def test_answers_from_before_the_late_call_was_sent_do_not_count(self):
        """A searcher that had answered hundreds turned slow; its window shrank by half a second."""
        window = CallWindow()
        for number in range(200):
            window.answered(0.02, 90.0 + number / 25)
        window.sent(99.2)
        window.late(0.8, 4, 100.0)
        assert window.wait(0, 100.1) > 0

    def test_one_that_recovers_is_found_within_seconds(self):
        window = CallWindow()
        for turn in range(10):
            window.late(0.8, 0, 100.0 + turn)
        window.sent(109.0)
        assert window.wait(0, 109.1) > 0
        assert window.wait(0, 111.0) == 0
        for _ in range(6):
            window.answered(0.03, 112.5)
        assert window.wait(2, 112.5) == 0
