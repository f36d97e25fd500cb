"""The bound on repeated sends while instances start, end, are cut off and hear of it late."""

from collections import deque
from collections.abc import Callable
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from limpethollow_node.engine.process.followers import DEAD_INSTANCE_SECONDS
from limpethollow_policy.process import slackclaims
from limpethollow_policy.process.sendbudgets import SendBudget
from limpethollow_policy.process.slackclaims import SlackClaim

WINDOW, RATIO, SLACK = 10.0, 0.2, 56.0
LOOK_SECONDS = 0.5
# News among instances is here within this time.
LATEST_NEWS = 3.0
SERVICE = "s"


class Process:
    """One run of an instance: its budget, and what it has heard of the list of instances.

    Args:
        name: The instance's name.
        lag: Seconds after which it hears of a change.
        first_start: Whether no instance ran before.
    """

    def __init__(self, name: int, lag: float, *, first_start: bool) -> None:
        self._name = name
        self._lag = lag
        self._heard_at = float("-inf")
        self._others = 0
        self.claim = SlackClaim(WINDOW, first_start=first_start)
        self.budget = SendBudget(RATIO, SLACK, WINDOW, self.claim)

    def look(self, lists: list[tuple[float, frozenset[int]]], now: float) -> None:
        """Take in the newest list that has come, of lists and the seconds of their changes."""
        due = next((each for each in reversed(lists) if each[0] + self._lag <= now), None)
        if due is None or due[0] <= self._heard_at:
            return
        self._heard_at, listed = due
        self._others = len(listed - {self._name})
        self.budget.share_among(self._others + 1, now)
        self.claim.listed(self._name in listed, now)

    def hear(self, now: float, *, hears: bool) -> None:
        """Take in whether any other instance is heard."""
        self.claim.heard(self._others, int(hears), now)


class Fleet:
    """Instances that repeat whenever they may, and what arrives at their searchers in a window.

    Args:
        count: Instances at the first start.
        seed: Seed for how late instances hear of changes.
    """

    def __init__(self, count: int, seed: int) -> None:
        self._rng = Random(seed)
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()
        self._silent_since: dict[int, float] = {}
        self.now = 100.0
        self.names = list(range(count))
        self.cut: set[int] = set()
        self._lists = [(self.now, frozenset(self.names))]
        self.processes = {n: Process(n, 0.0, first_start=True) for n in self.names}
        self.pass_time(LOOK_SECONDS)

    def start(self, name: int) -> None:
        """End a process, if it runs, and start it again."""
        lag = self._rng.uniform(0.0, LATEST_NEWS)
        self.processes[name] = Process(name, lag, first_start=False)
        self._list(self._listed | {name})

    def kill(self, name: int) -> None:
        self.processes.pop(name, None)

    def add(self) -> None:
        """Add an instance that was not there before."""
        name = len(self.names)
        self.names.append(name)
        self.start(name)

    def heal_all(self) -> None:
        """Let all that were cut off hear of the others, and be listed again a moment later."""
        self.cut.clear()
        self.pass_time(LOOK_SECONDS)
        self._list(self._listed | self.processes.keys())

    def pass_time(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += min(LOOK_SECONDS, max(until - self.now, 0.01))
            reached = self.processes.keys() - self.cut
            for name, process in self.processes.items():
                if name in reached:
                    process.look(self._lists, self.now)
                process.hear(self.now, hears=name in reached and len(reached) > 1)
            self._remove_silent(reached)

    def request(self, name: int, count: int) -> None:
        for _ in range(count):
            self.processes[name].budget.request(SERVICE, self.now)
            self._requests.append(self.now)

    def spend(self, name: int) -> None:
        """Let an instance repeat until it may not."""
        while self.processes[name].budget.take(SERVICE, self.now):
            self._repeats.append(self.now)
        self.check()

    def check(self) -> None:
        """Compare what was repeated in the window that ends now with the bound."""
        for times in (self._requests, self._repeats):
            while times and times[0] <= self.now - WINDOW:
                times.popleft()
        assert len(self._repeats) <= RATIO * len(self._requests) + SLACK

    @property
    def _listed(self) -> frozenset[int]:
        return self._lists[-1][1]

    def _list(self, listed: frozenset[int]) -> None:
        if listed != self._listed:
            self._lists.append((self.now, listed))

    def _remove_silent(self, reached: set[int]) -> None:
        silent = self._listed - reached
        self._silent_since = {n: self._silent_since.get(n, self.now) for n in silent}
        if len(reached) > 1:
            gone = {
                n for n, at in self._silent_since.items() if self.now - at >= DEAD_INSTANCE_SECONDS
            }
            self._list(self._listed - gone)


class BudgetMachine(RuleBasedStateMachine):
    """Draws what happens to a fleet."""

    @initialize(count=st.sampled_from([2, 3, 8, 20, 300]), seed=st.integers(0, 1000))
    def begin(self, count, seed):
        self.fleet = Fleet(count, seed)

    @rule(pick=st.integers(0, 299), seconds=st.floats(0.0, 3.0))
    def start(self, pick, seconds):
        self.fleet.start(self._name(pick))
        self.fleet.pass_time(seconds)

    @rule(seconds=st.floats(0.0, 6.0))
    def start_all(self, seconds):
        for name in self.fleet.names:
            self.fleet.start(name)
        self.fleet.pass_time(seconds)

    @rule(pick=st.integers(0, 299))
    def kill(self, pick):
        self.fleet.kill(self._name(pick))

    @rule()
    def add(self):
        self.fleet.add()

    @rule(picks=st.lists(st.integers(0, 299), min_size=1, max_size=10))
    def cut(self, picks):
        self.fleet.cut.update(self._name(pick) for pick in picks)

    @rule()
    def heal_all(self):
        self.fleet.heal_all()

    @rule(seconds=st.sampled_from([0.25, 1.0, 5.0, 11.0, 32.0, 45.0]))
    def pass_time(self, seconds):
        self.fleet.pass_time(seconds)

    @rule(pick=st.integers(0, 299), count=st.integers(1, 60))
    def request(self, pick, count):
        name = self._name(pick)
        if name in self.fleet.processes:
            self.fleet.request(name, count)

    @rule()
    def spend_all(self):
        for name in list(self.fleet.processes):
            self.fleet.spend(name)

    def _name(self, pick: int) -> int:
        return self.fleet.names[pick % len(self.fleet.names)]


TestBudgetMachine = BudgetMachine.TestCase
TestBudgetMachine.settings = settings(
    max_examples=100, stateful_step_count=25, deadline=None, derandomize=True
)


class TestSabotage:
    """Shows that the fleet finds an instance that uses its part when it must not."""

    def test_a_process_that_takes_its_part_at_its_start_is_found(self, monkeypatch):
        assert not breaks(self._restarts)
        monkeypatch.setattr(SlackClaim, "holds", lambda self, now: True)
        assert breaks(self._restarts)

    def test_one_that_keeps_its_part_while_it_is_cut_off_is_found(self, monkeypatch):
        assert not breaks(self._cut)
        monkeypatch.setattr(slackclaims, "SLACK_RELEASE_SECONDS", float("inf"))
        assert breaks(self._cut)

    def _restarts(self) -> None:
        fleet = Fleet(8, seed=1)
        for _ in range(3):
            for name in fleet.names:
                fleet.spend(name)
                fleet.start(name)
            fleet.pass_time(1.0)

    def _cut(self) -> None:
        fleet = Fleet(3, seed=1)
        fleet.cut.add(0)
        fleet.pass_time(DEAD_INSTANCE_SECONDS + WINDOW + LATEST_NEWS + 1.0)
        for name in fleet.names:
            fleet.spend(name)


def breaks(play: Callable[[], None]) -> bool:
    """Return whether a play breaks the bound."""
    try:
        play()
    except AssertionError:
        return True
    return False
