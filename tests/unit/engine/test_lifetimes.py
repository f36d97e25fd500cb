"""How long callers keep a list of instances."""

from limpethollow_policy.process.lifetimes import ListLifetime


class TestListLifetime:
    def test_a_list_that_has_held_for_long_is_kept_for_long(self):
        """Quick requests came late once a second, on a calm day.

        Their callers had to ask for the list of instances again first, which took a quarter of the
        objective; the list had not changed for minutes.
        """
        lifetime = ListLifetime(5.0)
        lifetime.seconds(["a", "b"], 100.0)
        assert lifetime.seconds(["b", "a"], 103.0) == 3.0
        assert lifetime.seconds(["a", "b"], 160.0) == 5.0

    def test_after_a_change_callers_ask_again_soon(self):
        lifetime = ListLifetime(5.0)
        lifetime.seconds(["a", "b"], 100.0)
        assert lifetime.seconds(["a"], 160.0) == 1.0
        assert lifetime.seconds(["a", "b"], 160.5) == 1.0
