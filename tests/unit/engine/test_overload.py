"""Loads that are too much for the searchers, played by the engine on a virtual clock."""

import logging
from dataclasses import replace

import pytest

from limpethollow_policy.process.shedding import LoadShedder
from tests.support.overload import Load, Tally, World


@pytest.fixture(autouse=True)
def quiet_logs():
    """Thousands of requests a play would each write a line."""
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


@pytest.fixture
def admitting_all(monkeypatch):
    """Return a function that lets every search in from then on."""
    return lambda: monkeypatch.setattr(LoadShedder, "wait", lambda self, now, **_: 0.0)


def bursts(times: float) -> list[Tally]:
    """Play one load with three seeds; which calls meet a pause changes a single play by a third."""
    return [Load(World(), times, seed=seed).play()["burst"] for seed in (1, 2, 3)]


def in_time(tallies: list[Tally]) -> int:
    return sum(tally.in_time for tally in tallies)


class TestBurst:
    """A burst of five times the usual traffic made nearly all answers late.

    Each search asks 20 shards, and their searchers can do 4.5 times the usual traffic at most. All
    calls waited in the searchers' queues; the later a search was, the longer its calls kept the
    queues full for the next ones. Hardly a caller got its answer in time, and none was told to
    come back.
    """

    @pytest.mark.parametrize(("times", "gain"), [(4.5, 1.2), (5, 2.5), (6, 4.0)])
    def test_more_answers_come_in_time_than_with_all_let_in(self, times, gain, admitting_all):
        shed = bursts(times)
        admitting_all()
        unbounded = bursts(times)
        assert in_time(shed) > gain * in_time(unbounded)
        assert sum(tally.late for tally in shed) < 0.5 * sum(tally.late for tally in unbounded)
        assert all(tally.failed < 0.02 * tally.asked for tally in shed)

    def test_what_is_answered_in_time_does_not_collapse_with_the_load(self):
        most = max(Load(World(), times).play()["burst"].in_time for times in (3, 4))
        for times in (5, 6):
            assert Load(World(), times).play()["burst"].in_time > 0.8 * most

    def test_calm_traffic_is_served_as_before_within_a_second(self):
        tallies = Load(World(), 5).play()
        assert tallies["settling"].worth > 0.9 * tallies["settling"].asked
        assert tallies["after"].worth > 0.97 * tallies["after"].asked

    @pytest.mark.parametrize("times", [1, 2, 3])
    def test_nothing_is_refused_that_can_be_served(self, times):
        burst = Load(World(), times).play()["burst"]
        assert burst.refused == 0
        assert burst.in_time > 0.95 * burst.asked

    def test_callers_that_repeat_at_once_gain_nothing_and_spoil_nothing(self):
        patient = Load(World(), 5).play()["burst"]
        abuse = Load(World(patient=False, repeats=5), 5).play()["burst"]
        assert abuse.in_time > 0.75 * patient.in_time


class TestSlowSearchers:
    def test_some_searches_are_answered_in_time_where_half_of_the_searchers_are_slow(
        self, admitting_all
    ):
        """In a burst half of the searchers slowed down, and callers got next to nothing.

        Some shards had only slow searchers left. All searches queued there until their deadlines.
        """
        world = World(slow=0.5)
        shed = Load(world, 3).play()["burst"]
        admitting_all()
        unbounded = Load(world, 3).play()["burst"]
        assert shed.in_time > 4 * unbounded.in_time
        assert shed.failed < 0.3 * unbounded.failed

    def test_few_slow_searchers_are_no_reason_to_refuse(self):
        burst = Load(World(slow=0.15, slow_factor=8.0), 1).play()["burst"]
        assert burst.refused == 0


class TestSingleRequests:
    """Far more look-ups than their four searchers can do, each answered by one of these.

    Each searcher runs three at once and lets twelve wait. Its queue was always full, so every
    look-up that got in waited for half a second, which is all its time; and every one that didn't
    was sent to three searchers to learn that they were full.
    """

    WORLD = World(single=True, replicas=4, slots=3, rate=6.0)

    def test_most_that_the_searchers_can_do_is_answered_in_time(self):
        burst = Load(self.WORLD, 25).play()["burst"]
        able = 4 * 3 / 0.135 * 4.0
        assert burst.in_time > 0.6 * able
        assert burst.late < 0.5 * burst.in_time
        assert burst.failed == 0

    @pytest.mark.parametrize("times", [1, 5, 10])
    def test_nothing_is_refused_that_can_be_served(self, times):
        burst = Load(self.WORLD, times).play()["burst"]
        assert burst.refused == 0
        assert burst.in_time > 0.95 * burst.asked

    def test_a_slow_searcher_is_no_reason_to_refuse(self):
        tallies = Load(replace(self.WORLD, slow=0.25, slow_factor=12.0), 1).play()
        assert sum(tally.refused for tally in tallies.values()) == 0

    def test_calm_traffic_is_served_as_before_within_a_second(self):
        tallies = Load(self.WORLD, 25, burst=5.0, calm=4.0).play()
        assert tallies["after"].in_time > 0.95 * tallies["after"].asked


class TestManyInstances:
    @pytest.mark.parametrize("instances", [3, 16, 48])
    def test_their_rates_add_up_to_what_the_searchers_can_do(self, instances):
        """Each of many instances sees a few searches of a burst, and must learn from these.

        With 48 that each waited until four of their own had ended, 0.30 of the searches were in
        time and twice as many late.
        """
        burst = Load(World(instances=instances), 5, calm=6.0).play()["burst"]
        assert burst.in_time > 0.4 * burst.asked
        assert burst.late < 0.5 * burst.in_time
