"""Estimates of the usual and the late time."""

from random import Random

from limpethollow_policy.process.timings import (
    AnswerDelayEstimator,
    CallerTimeoutEstimator,
    RouteTimings,
    RunningQuantile,
)


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
        patience = CallerTimeoutEstimator()
        assert round(patience.spent(0.792, 0.006, 2.0, 0.006), 3) == 0.006
        assert patience.spent(0.8, 0.0, 2.0, 0.006) == 0.0
        assert round(patience.spent(0.792, 0.006, 2.0, 0.006), 3) == 0.008
        assert round(patience.spent(0.6, 0.0, 2.0, 0.006), 3) == 0.2

    def test_the_round_trip_of_a_connect_counts_before_any_other_request_was_seen(self):
        """The first answers after a start came after their objective.

        All first requests come on new connections, so none showed what callers begin with.
        """
        patience = CallerTimeoutEstimator()
        for _ in range(8):
            assert round(patience.spent(0.77, 0.03, 2.0, 0.03), 3) == 0.03

    def test_callers_that_were_given_less_time_are_learnt(self):
        patience = CallerTimeoutEstimator()
        patience.spent(1.5, 0.0, 2.0, 0.006)
        for _ in range(150):
            spent = patience.spent(0.8, 0.0, 2.0, 0.006)
        assert spent == 0.0

    def test_a_caller_that_states_nothing_has_spent_its_connect(self):
        assert CallerTimeoutEstimator().spent(None, 0.01, 2.0, 0.01) == 0.01

    def test_the_routes_timeout_tells_what_callers_begin_with_until_they_show_it(self):
        """On a large fleet answers came 10 ms after their objective, all day.

        Each instance got a request in ten seconds, on a new connection and after a look-up of the
        instances, so none showed what callers begin with.
        """
        patience = CallerTimeoutEstimator()
        assert round(patience.spent(1.508, 0.0024, 1.521, 0.0024), 3) == 0.013
        assert round(patience.spent(1.511, 0.0, 1.521, 0.0024), 3) == 0.010

    def test_the_timeout_does_not_count_where_callers_begin_with_other_times(self):
        patience = CallerTimeoutEstimator()
        assert patience.spent(0.8, 0.0, 1.521, 0.0024) == 0.0
        assert patience.spent(1.5, 0.0, 1.2, 0.0024) == 0.0
        close = CallerTimeoutEstimator()
        for _ in range(40):
            spent = close.spent(1.505, 0.0, 1.521, 0.0024)
        assert spent == 0.0


class TestOwnDelay:
    def test_late_timers_make_answers_ready_earlier(self):
        delay = AnswerDelayEstimator()
        for _ in range(2000):
            delay.add(0.0005)
        calm = delay.allowance
        for _ in range(200):
            delay.add(0.02)
        assert calm < 0.004
        assert delay.allowance > 0.015

    def test_what_an_answer_takes_is_known_after_the_first_one(self):
        """Nearly all answers of weak instances left 3 to 5 ms after their objective.

        Merging one took 5 ms of 0.12 of a core, where 2 ms were taken for granted.
        """
        delay = AnswerDelayEstimator()
        before = delay.allowance
        delay.worked(0.005)
        assert round(delay.allowance - before, 4) == 0.003

    def test_one_answer_during_a_freeze_counts_as_a_slow_one(self):
        delay = AnswerDelayEstimator()
        for _ in range(20):
            delay.worked(0.002)
        before = delay.allowance
        delay.worked(5.0)
        assert delay.allowance - before < 0.001

    def test_one_freeze_changes_little(self):
        delay = AnswerDelayEstimator()
        before = delay.allowance
        delay.add(5.0)
        assert delay.allowance < 1.1 * before


class TestPatience:
    def test_what_is_spent_elsewhere_is_taken_off_the_objective(self):
        assert round(RouteTimings(0.1).answer_delay_for(0.03), 3) == 0.07

    def test_an_answer_that_is_late_anyway_waits_for_more_parts(self):
        assert RouteTimings(0.1).answer_delay_for(0.5) == 0.05
