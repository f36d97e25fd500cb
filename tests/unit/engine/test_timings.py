"""Estimates of the usual and the late time."""

from random import Random

from limpethollow_policy.process.timings import RouteTimings, RunningQuantile


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
