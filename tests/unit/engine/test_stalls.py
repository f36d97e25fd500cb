"""Since when a signal may have waited for a process that did not run."""

from limpethollow_policy.process.stalls import StallDetector


def watch_until(second: float) -> StallDetector:
    """Return the watch of a process that looked around every quarter of a second."""
    watch = StallDetector(0.0)
    for quarter in range(1, int(second * 4) + 1):
        watch.ran(quarter / 4)
    return watch


class TestStallWatch:
    """Guards against a grace that is counted from a signal taken in late."""

    def test_a_signal_to_a_running_process_came_now(self):
        assert watch_until(5.0).earliest_arrival(5.1) == 5.1

    def test_a_signal_right_after_a_stall_may_have_come_at_its_begin(self):
        assert watch_until(5.0).earliest_arrival(7.0) == 5.0

    def test_so_may_one_that_is_taken_in_after_the_first_look_around(self):
        watch = watch_until(5.0)
        watch.ran(7.0)
        assert watch.earliest_arrival(7.1) == 5.0

    def test_a_signal_long_after_a_stall_came_now(self):
        watch = watch_until(5.0)
        watch.ran(7.0)
        watch.ran(7.25)
        watch.ran(7.5)
        assert watch.earliest_arrival(7.6) == 7.6

    def test_the_last_of_two_stalls_counts(self):
        watch = watch_until(5.0)
        watch.ran(7.0)
        watch.ran(9.0)
        assert watch.earliest_arrival(9.1) == 7.0
