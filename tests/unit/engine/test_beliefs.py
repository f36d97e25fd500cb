"""Beliefs from several sources, in any order, end as the newest source has it."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from limpethollow_policy.process.objectcaches import ObjectCache
from limpethollow_policy.process.revisions import Revision


def at(number: int, era: int = 1) -> Revision:
    return Revision(era, number)


def belief() -> ObjectCache[int]:
    return ObjectCache(lambda item: None, lambda name: None)


class TestOrder:
    def test_an_older_list_changes_nothing(self):
        """A searcher that had left came back into use.

        A list read before it left was slow, and arrived after the news that it was gone.
        """
        found = belief()
        found.replace({"a": 1}, at(10))
        found.change(at(10), at(12), {}, ["a"])
        assert not found.replace({"a": 1}, at(11))
        assert found.items == {}

    def test_changes_with_a_gap_before_them_are_refused(self):
        found = belief()
        found.replace({"a": 1}, at(10))
        assert not found.change(at(12), at(13), {"b": 2}, [])
        assert found.items == {"a": 1}

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(seed=st.integers(0, 10_000))
    def test_lost_late_and_doubled_news_never_leave_a_wrong_belief(self, seed):
        """News of a store's changes arrive from two relays, late, twice or never, in any order.

        Whenever the belief says that it is at a revision, it holds what the store held then.
        """
        rng = Random(seed)
        states: dict[Revision, dict[str, int]] = {at(0): {}}
        news = []
        state: dict[str, int] = {}
        for revision in range(1, 30):
            name, value = rng.choice("abcd"), rng.randrange(5)
            base, reached = at(revision - 1), at(revision)
            if name in state and rng.random() < 0.4:
                del state[name]
                news.append((base, reached, {}, [name]))
            else:
                state[name] = value
                news.append((base, reached, {name: value}, []))
            states[reached] = dict(state)
        found = belief()
        found.replace({}, at(0))
        for _ in range(80):
            if rng.random() < 0.15:
                revision = at(rng.randrange(30))
                found.replace(states[revision], revision)
            else:
                found.change(*rng.choice(news))
            assert found.items == states[found.revision]


class TestCallbacks:
    def test_each_change_is_told_once(self):
        put, gone = [], []
        found: ObjectCache[int] = ObjectCache(put.append, gone.append)
        found.replace({"a": 1, "b": 2}, at(5))
        found.replace({"a": 1, "c": 3}, at(6))
        assert (put, gone) == ([1, 2, 3], ["b"])
        found.change(at(6), at(7), {"a": 4}, ["c", "unknown"])
        assert (put, gone) == ([1, 2, 3, 4], ["b", "c"])


class TestEras:
    def test_a_list_of_a_new_era_replaces_one_of_a_higher_revision(self):
        """Guards against news that are ignored while the store's revisions are lower."""
        found = belief()
        found.replace({"a": 1, "b": 2}, at(20))
        assert found.replace({"a": 3}, at(10, era=2))
        assert (found.items, found.revision) == ({"a": 3}, at(10, era=2))

    def test_news_of_an_older_era_change_nothing(self):
        found = belief()
        found.replace({"a": 1}, at(10, era=2))
        assert not found.replace({"b": 1}, at(20))
        assert found.change(at(10), at(20), {"b": 1}, ["a"])
        assert found.items == {"a": 1}

    def test_changes_of_a_new_era_need_its_list_first(self):
        """Guards against changes on top of a list that the store doesn't have any more."""
        found = belief()
        found.replace({"a": 1}, at(20))
        assert not found.change(at(5, era=2), at(6, era=2), {"b": 1}, [])
        assert not found.change(at(20), at(6, era=2), {"b": 1}, [])
        assert found.items == {"a": 1}

    def test_steps_do_not_lead_from_one_era_to_the_next(self):
        found = belief()
        found.replace({"a": 1}, at(20))
        found.change(at(20), at(21), {"b": 1}, [])
        found.replace({"a": 1}, at(18, era=2))
        assert found.since(at(20)) is None
        assert found.changed_at == at(18, era=2)

    def test_only_the_first_news_of_an_era_say_so(self):
        begins = []
        found: ObjectCache[int] = ObjectCache(
            lambda item: begins.append(found.begins_era), lambda name: None
        )
        found.replace({"a": 1}, at(20))
        found.replace({"a": 2}, at(18, era=2))
        found.change(at(18, era=2), at(19, era=2), {"a": 3}, [])
        assert begins == [False, True, False]
