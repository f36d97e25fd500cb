"""Beliefs from several sources, in any order, end as the newest source has it."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from limpethollow_policy.process.beliefs import Belief


def belief() -> Belief[int]:
    return Belief(lambda item: None, lambda name: None)


class TestOrder:
    def test_an_older_list_changes_nothing(self):
        """A searcher that had left came back into use.

        A list read before it left was slow, and arrived after the news that it was gone.
        """
        found = belief()
        found.replace({"a": 1}, 10)
        found.change(10, 12, {}, ["a"])
        assert not found.replace({"a": 1}, 11)
        assert found.items == {}

    def test_changes_with_a_gap_before_them_are_refused(self):
        found = belief()
        found.replace({"a": 1}, 10)
        assert not found.change(12, 13, {"b": 2}, [])
        assert found.items == {"a": 1}

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(seed=st.integers(0, 10_000))
    def test_lost_late_and_doubled_news_never_leave_a_wrong_belief(self, seed):
        """News of a store's changes arrive from two relays, late, twice or never, in any order.

        Whenever the belief says that it is at a revision, it holds what the store held then.
        """
        rng = Random(seed)
        states: dict[int, dict[str, int]] = {0: {}}
        news = []
        state: dict[str, int] = {}
        for revision in range(1, 30):
            name, value = rng.choice("abcd"), rng.randrange(5)
            base = revision - 1
            if name in state and rng.random() < 0.4:
                del state[name]
                news.append((base, revision, {}, [name]))
            else:
                state[name] = value
                news.append((base, revision, {name: value}, []))
            states[revision] = dict(state)
        found = belief()
        for _ in range(80):
            if rng.random() < 0.15:
                revision = rng.randrange(30)
                found.replace(states[revision], revision)
            else:
                found.change(*rng.choice(news))
            assert found.items == states[found.revision]


class TestCallbacks:
    def test_each_change_is_told_once(self):
        put, gone = [], []
        found: Belief[int] = Belief(put.append, gone.append)
        found.replace({"a": 1, "b": 2}, 5)
        found.replace({"a": 1, "c": 3}, 6)
        assert (put, gone) == ([1, 2, 3], ["b"])
        found.change(6, 7, {"a": 4}, ["c", "unknown"])
        assert (put, gone) == ([1, 2, 3, 4], ["b", "c"])
