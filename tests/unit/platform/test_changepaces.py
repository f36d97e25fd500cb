"""How often changes in a row are read."""

from types import SimpleNamespace

from limpethollow_node.platform import process
from limpethollow_node.platform.settings import Bounds, PlatformSettings
from limpethollow_policy.process.changepaces import (
    INITIAL_PAUSE_SECONDS,
    MAX_PAUSE_SECONDS,
    ChangePace,
)

# Seconds of a first start in which nobody calls yet.
UNTIL = 6.0


class TestFirstStart:
    """The system started, and the store got 20 calls from each follower within five seconds.

    The searchers registered one by one, and each follower read the news four times a second.
    """

    def test_changes_are_read_less_and_less_often(self):
        pace, now, reads = ChangePace(slow_until=UNTIL), 0.0, 0
        while now < 5.0:
            reads += 1
            now += pace.changed(now)
        assert reads <= 7

    def test_they_are_never_older_than_the_longest_pause(self):
        pace, now = ChangePace(slow_until=1e9), 0.0
        for _ in range(50):
            pause = pace.changed(now)
            assert INITIAL_PAUSE_SECONDS <= pause <= MAX_PAUSE_SECONDS
            now += pause

    def test_after_a_quiet_time_the_next_one_is_read_soon(self):
        pace, now = ChangePace(slow_until=1e9), 0.0
        for _ in range(10):
            now += pace.changed(now)
        assert pace.changed(now + 2 * MAX_PAUSE_SECONDS + 0.1) == INITIAL_PAUSE_SECONDS


class TestLeavingSearchers:
    """A searcher got requests 3.1 s after its entry had gone; 3.0 s are allowed.

    It left without saying so, while others were replaced. The follower read the next change a
    second after the one before, and the searcher then stayed a last choice for 2.2 s more, since
    entries may lapse while the store is away. Found on a drawn day (mix, seed 808078426583).
    """

    def test_changes_in_a_row_are_read_soon_once_callers_may_come(self):
        pace, now = ChangePace(slow_until=UNTIL), UNTIL
        for _ in range(40):
            pause = pace.changed(now)
            assert pause == INITIAL_PAUSE_SECONDS
            now += pause

    def test_the_news_and_the_last_choice_fit_into_the_time_to_leave(self):
        for drain_ms in (1000, 3000, 6000):
            settings = SimpleNamespace(bounds=Bounds(drain_ms=drain_ms))
            last_choice = PlatformSettings.removal_delay.fget(settings)
            # The pause before the news, and a look each for the removal and for what the store and
            # the links take.
            assert (
                INITIAL_PAUSE_SECONDS + 2 * process._TICK_SECONDS + last_choice <= drain_ms / 1000
            )
