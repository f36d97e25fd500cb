"""News of searchers and configurations among instances: generated orders of everything."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from limpethollow_policy.process.catchups import (
    ANSWER_TIMEOUT_SECONDS,
    KnownState,
    Source,
    choose_source,
)
from limpethollow_policy.process.objectcaches import ObjectCache, Step
from limpethollow_policy.process.revisions import Revision
from limpethollow_policy.version.routes import CallerLimits, CurrentVersion, RoutingVersion

INSTANCES = 3
instances = st.integers(0, INSTANCES - 1)


def belief() -> ObjectCache[int]:
    return ObjectCache(lambda item: None, lambda name: None)


class SearchersList(RuleBasedStateMachine):
    """The store's list changes; instances read it, tell each other, miss, repeat, ask, restart.

    The store may go back to an older list, in a new era, and give its revisions out again.

    An instance that follows the store and one that only hears of it, in any order of late, doubled
    and lost news: whatever revision an instance says it knows, it holds the list of that revision.
    A wrong list shows as requests to a searcher that has left.
    """

    def __init__(self) -> None:
        super().__init__()
        self.revision = Revision(1, 1)
        self.states: dict[Revision, dict[str, int]] = {self.revision: {}}
        self.beliefs = [belief() for _ in range(INSTANCES)]
        self.news: list[Step[int]] = []

    @rule(name=st.sampled_from("abcd"), value=st.integers(0, 4))
    def store_puts(self, name, value):
        state = {**self.states[self.revision], name: value}
        self._write(state)

    def _write(self, state):
        self.revision = Revision(self.revision.era, self.revision.number + 1)
        self.states[self.revision] = state

    @rule(back=st.integers(1, 5))
    def store_returns(self, back):
        kept = Revision(self.revision.era, max(1, self.revision.number - back))
        if kept in self.states:
            self.revision = Revision(kept.era + 1, kept.number)
            self.states[self.revision] = dict(self.states[kept])

    @rule(name=st.sampled_from("abcd"))
    def store_removes(self, name):
        state = {key: v for key, v in self.states[self.revision].items() if key != name}
        self._write(state)

    @rule(at=instances, back=st.integers(0, 3))
    def lists(self, at, back):
        """A list may be read some changes before it arrives."""
        revision = Revision(self.revision.era, self.revision.number - back)
        if revision in self.states:
            self.beliefs[at].replace(self.states[revision], revision)

    @rule(at=instances)
    def watches(self, at):
        known = self.beliefs[at]
        if known.revision.era != self.revision.era or known.revision == self.revision:
            return
        old, new = self.states[known.revision], self.states[self.revision]
        put = {key: value for key, value in new.items() if old.get(key) != value}
        step = Step(known.revision, self.revision, put, [key for key in old if key not in new])
        known.change(step.base, step.revision, step.put, step.gone)
        self.news.append(step)

    @rule(at=instances, which=st.integers(0, 50))
    def hears(self, at, which):
        if self.news:
            step = self.news[which % len(self.news)]
            self.beliefs[at].change(step.base, step.revision, step.put, step.gone)

    @rule(at=instances, asked=instances)
    def asks(self, at, asked):
        own, other = self.beliefs[at], self.beliefs[asked]
        if other.changed_at <= own.revision:
            return
        step = other.since(own.revision)
        if step is None:
            own.replace(other.items, other.revision)
        else:
            assert own.change(step.base, step.revision, step.put, step.gone)
        assert own.revision == other.revision

    @rule(at=instances)
    def restarts(self, at):
        self.beliefs[at] = belief()

    @invariant()
    def each_holds_the_list_of_its_revision(self):
        for known in self.beliefs:
            if known.is_known:
                assert known.items == self.states[known.revision]


class Configurations(RuleBasedStateMachine):
    """Versions arrive from the store and from peers, late, doubled, and over restarts.

    Within one start of an instance the version never goes back; going back shows as a caller's
    request run by the service that the route has left.
    """

    def __init__(self) -> None:
        super().__init__()
        self.newest = 0
        self.books = [CurrentVersion() for _ in range(INSTANCES)]
        self.seen = [-1] * INSTANCES

    @rule(step=st.integers(1, 9))
    def operator_writes(self, step):
        self.newest += step

    @rule(at=instances, number=st.integers(0, 60))
    def offered(self, at, number):
        number = min(number, self.newest)
        newer = number > self.seen[at]
        assert self.books[at].offer(RoutingVersion(number, (), {}, CallerLimits())) == newer
        self.seen[at] = max(self.seen[at], number)

    @rule(at=instances)
    def restarts(self, at):
        self.books[at] = CurrentVersion()
        self.seen[at] = -1

    @invariant()
    def no_version_goes_back(self):
        for book, seen in zip(self.books, self.seen, strict=True):
            current = -1 if book.current is None else book.current.number
            assert current == seen


small = settings(derandomize=True, max_examples=120, stateful_step_count=40, deadline=None)
TestSearchersList = SearchersList.TestCase
TestSearchersList.settings = small
TestConfigurations = Configurations.TestCase
TestConfigurations.settings = small


class TestSteps:
    def test_steps_that_are_not_kept_are_not_told_as_if_they_were(self):
        found = belief()
        found.replace({"a": 1}, Revision(1, 10))
        found.change(Revision(1, 10), Revision(1, 12), {"b": 1}, [])
        assert found.since(Revision(1, 10)).put == {"b": 1}
        assert found.since(Revision()) is None
        for number in range(13, 200):
            found.change(Revision(1, number - 1), Revision(1, number), {"c": number}, [])
        assert found.since(Revision(1, 10)) is None

    def test_what_went_and_came_back_is_told_once(self):
        found = belief()
        first, second, third, fourth = (Revision(1, number) for number in range(1, 5))
        found.replace({"a": 1}, first)
        found.change(first, second, {}, ["a"])
        found.change(second, third, {"a": 2}, [])
        assert (found.since(first).put, found.since(first).gone) == ({"a": 2}, [])
        found.change(third, fourth, {}, ["a"])
        assert (found.since(first).put, found.since(first).gone) == ({}, ["a"])


class TestKnown:
    def test_a_newer_era_is_ahead_with_lower_revisions(self):
        """Guards against peers that are not asked for the first list after the store's return."""
        before, after = KnownState(3, 20, 20, era=1), KnownState(3, 10, 10, era=2)
        assert after.is_ahead_of(before)
        assert not before.is_ahead_of(after)

    def test_a_kind_that_is_not_known_in_the_newer_era_is_no_news(self):
        half_read = KnownState.of(3, Revision(2, 10), Revision(1, 20), Revision())
        assert half_read == KnownState(3, 10, 0, 0, era=2)
        assert not half_read.is_ahead_of(KnownState(3, 10, 8, era=2))

    def test_a_release_without_eras_is_behind_one_that_has_them(self):
        """Guards against a rolling update that brings back the belief of before a return."""
        assert not KnownState(3, 500, 500).is_ahead_of(KnownState(3, 10, 10, era=2))
        assert KnownState(3, 500, 500).is_ahead_of(KnownState(3, 10, 10))


class TestWhomToAsk:
    """When 63 instances were restarted in turn, each got the whole list from some 20 peers."""

    def test_one_that_is_ahead_and_near(self):
        own = KnownState(3, 10, 10)
        far, near = Source(KnownState(4, 10, 10), far=True), Source(KnownState(3, 11, 10))
        behind = Source(KnownState(2, 9, 9))
        assert choose_source(own, [behind, far, near], 100.0) is near
        assert choose_source(KnownState(4, 11, 10), [behind, far, near], 100.0) is None

    def test_another_one_where_the_first_gave_no_answer(self):
        own = KnownState()
        near, far = Source(KnownState(1, 5, 5)), Source(KnownState(1, 5, 5), far=True)
        near.asked_at = 100.0
        assert choose_source(own, [near, far], 100.0 + ANSWER_TIMEOUT_SECONDS) is far
        assert choose_source(own, [near, far], 103.0) is near
