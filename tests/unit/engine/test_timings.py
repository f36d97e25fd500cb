"""Estimates of the usual and the late time."""

from random import Random

from limpethollow_policy.process.timings import CallerPatience, RouteTimings, RunningQuantile


class TestRunningQuantile:
    def test_it_settles_near_the_quantile(self):
        rng = Random(1)
        estimate = RunningQuantile(0.9, 5.0)
        for _ in range(3000):
            estimate.add(rng.uniform(0.0, 1.0))
        assert 0.75 < estimate.value < 1.0


class TestHedgeDelay:
    def test_it_follows_the_calls_within_its_bounds(self):
        timings = RouteTimings(0.1)
        for _ in range(500):
            timings.add(0.001)
        fast = timings.hedge_delay
        for _ in range(500):
            timings.add(0.08)
        assert fast == 0.1 * RouteTimings._EARLIEST_HEDGE
        assert timings.hedge_delay == 0.1 * RouteTimings._LATEST_HEDGE


class TestCallerPatience:
    def test_time_spent_on_connects_and_earlier_tries_is_told(self):
        patience = CallerPatience()
        for _ in range(CallerPatience._FIRST):
            assert patience.spent(0.8) == CallerPatience._CONNECT_SECONDS
        assert patience.spent(0.8) == 0.0
        assert round(patience.spent(0.792), 3) == 0.008
        assert round(patience.spent(0.6), 3) == 0.2

    def test_callers_that_were_given_less_time_are_learnt(self):
        patience = CallerPatience()
        patience.spent(1.5)
        for _ in range(150):
            spent = patience.spent(0.8)
        assert spent == 0.0
