"""How often changes in a row are read."""

from limpethollow_policy.process.changepaces import FIRST_SECONDS, LONGEST_SECONDS, ChangePace


class TestChangesInARow:
    """The system started, and the store got 20 calls from each follower within five seconds.

    The searchers registered one by one, and each follower read the news four times a second.
    """

    def test_are_read_less_and_less_often(self):
        pace, now, reads = ChangePace(), 0.0, 0
        while now < 5.0:
            reads += 1
            now += pace.changed(now)
        assert reads <= 7

    def test_are_never_older_than_the_longest_pause(self):
        pace, now = ChangePace(), 0.0
        for _ in range(50):
            pause = pace.changed(now)
            assert FIRST_SECONDS <= pause <= LONGEST_SECONDS
            now += pause

    def test_after_a_quiet_time_the_next_one_is_read_soon(self):
        pace, now = ChangePace(), 0.0
        for _ in range(10):
            now += pace.changed(now)
        assert pace.changed(now + 2 * LONGEST_SECONDS + 0.1) == FIRST_SECONDS
