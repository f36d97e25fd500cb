"""Which requests may begin while the process stops."""

import pytest

from limpethollow_policy.process.stops import Stop
from limpethollow_policy.process.timings import RouteTimings


class TestStop:
    @pytest.mark.parametrize("grace", [1.0, 3.0, 6.0])
    def test_what_would_not_end_before_open_requests_are_answered_may_not_begin(self, grace):
        """Guards against requests that are passed on and then cut."""
        stop = Stop(100.0, grace)
        assert stop.may_start(0.9 * grace, 100.0)
        assert stop.may_start(0.3 * grace, 100.0 + 0.6 * grace)
        assert not stop.may_start(0.3 * grace, 100.0 + 0.65 * grace)
        assert not stop.may_start(0.0, 100.0 + 0.76 * grace)

    def test_its_phases_follow_each_other(self):
        stop = Stop(100.0, 10.0)
        assert [stop.may_exit(now) for now in (105.9, 106.1)] == [False, True]
        assert [stop.refuses_all(now) for now in (107.4, 107.6)] == [False, True]
        assert 107.5 < stop.answers_at < stop.exits_at < 110.0


class TestExpectedTime:
    def test_a_request_that_may_run_once_counts_with_a_late_call(self):
        """Guards against a cut request that nobody may repeat."""
        timings = RouteTimings(4.0)
        for number in range(1000):
            timings.add(1.5 if number % 10 == 0 else 0.5)
        assert timings.expected(repeatable=True) < 0.8
        assert timings.expected(repeatable=False) > 1.2

    def test_it_follows_the_calls_of_a_route_with_a_long_objective(self):
        """Guards against unsafe requests that are refused from the beginning of a short grace."""
        timings = RouteTimings(4.0)
        for _ in range(60):
            timings.add(0.2)
        assert timings.expected(repeatable=False) < 0.7
