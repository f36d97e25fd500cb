"""The bound on repeated sends holds in every sliding window, over all instances."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from limpethollow_policy.process.sendbudgets import SendBudget
from limpethollow_policy.process.slackclaims import SLACK_RELEASE_SECONDS, SlackClaim

WINDOW, RATIO, SLACK = 10.0, 0.2, 56.0


class TestSendBudget:
    def test_slack_allows_repeats_without_requests_and_then_ends(self):
        budget = SendBudget(RATIO, SLACK, WINDOW)
        allowed = sum(budget.take("s", 1.0) for _ in range(200))
        assert 40 <= allowed <= SLACK

    def test_hedges_leave_a_part_for_retries(self):
        budget = SendBudget(RATIO, SLACK, WINDOW)
        hedges = sum(budget.take("s", 1.0, reserve=0.25) for _ in range(200))
        retries = sum(budget.take("s", 1.0) for _ in range(200))
        assert hedges > 0
        assert retries >= 0.2 * SLACK

    def test_the_budget_comes_back_after_the_window(self):
        budget = SendBudget(RATIO, SLACK, WINDOW)
        while budget.take("s", 1.0):
            pass
        assert not budget.take("s", 10.0)
        assert budget.take("s", 1.0 + WINDOW + 1.0)

    def test_services_have_budgets_of_their_own(self):
        budget = SendBudget(RATIO, SLACK, WINDOW)
        while budget.take("a", 1.0):
            pass
        assert budget.take("b", 1.0)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(seed=st.integers(0, 10_000), instances=st.integers(1, 12))
    def test_no_window_over_all_instances_exceeds_the_bound(self, seed, instances):
        """Every instance repeats whenever it may, and none hears of the others.

        Requests come in bursts and pauses, unevenly among the instances. In each window the
        repeats of all together stay within the ratio of the window's requests and the slack.
        """
        rng = Random(seed)
        budgets = [SendBudget(RATIO, SLACK, WINDOW) for _ in range(instances)]
        for budget in budgets:
            budget.share_among(instances, 0.0)
        requests, repeats = [], []
        now = 0.0
        for _ in range(1500):
            now += rng.expovariate(rng.choice((20.0, 100.0)))
            budget = rng.choice(budgets)
            budget.request("s", now)
            requests.append(now)
            while rng.random() < 0.7 and budget.take("s", now):
                repeats.append(now)
        for end in repeats:
            begin = end - WINDOW
            extra = sum(begin < at <= end for at in repeats)
            asked = sum(begin < at <= end for at in requests)
            assert extra <= RATIO * asked + SLACK


class TestSharing:
    def test_the_part_grows_only_a_window_after_an_instance_left(self):
        """The bound was broken while instances were restarted one after the other.

        Each that left made the parts of the others larger at once, while its own repeats were
        still in the window.
        """
        budget = SendBudget(RATIO, SLACK, WINDOW)
        budget.share_among(8, 0.0)
        budget.share_among(4, 5.0)
        allowed = sum(budget.take("s", 5.1) for _ in range(100))
        assert allowed <= SLACK / 8
        later = sum(budget.take("s", 5.0 + WINDOW + 2.0) for _ in range(100))
        assert SLACK / 8 < later <= SLACK / 4


def claim(first_start: bool = False, listed_at: float = 100.0) -> SlackClaim:
    """Return the claim of an instance that finds itself on the list at a second."""
    found = SlackClaim(WINDOW, first_start=first_start)
    found.listed(True, listed_at)
    return found


class TestRestart:
    def test_a_process_that_starts_again_does_not_spend_the_slack_twice(self):
        """Guards against a restart of all instances that doubles the repeats within a window."""
        spent = 0
        for held in (claim(first_start=True), claim(), claim()):
            budget = SendBudget(0.2, 56.0, WINDOW, held)
            budget.share_among(8, 100.0)
            while budget.take("s", 105.0):
                spent += 1
        assert spent <= 56.0 / 8

    def test_it_repeats_as_its_requests_allow_meanwhile(self):
        budget = SendBudget(0.2, 56.0, WINDOW, claim())
        budget.share_among(8, 100.0)
        for _ in range(20):
            budget.request("s", 101.0)
        assert budget.take("s", 101.0, reserve=0.25)

    def test_it_has_its_slack_once_a_window_has_passed(self):
        budget = SendBudget(0.2, 56.0, WINDOW, claim())
        budget.share_among(8, 100.0)
        assert not budget.take("s", 100.0 + WINDOW - 0.1)
        assert budget.take("s", 100.0 + WINDOW)

    def test_it_has_none_before_it_knows_who_shares_it(self):
        """Guards against a process that takes the whole slack until it has the list."""
        budget = SendBudget(0.2, 56.0, WINDOW, SlackClaim(WINDOW, first_start=True))
        assert not budget.take("s", 100.0)


class TestSlackClaim:
    """Guards against parts that add up to more than the whole."""

    def test_the_first_process_has_its_part_at_once(self):
        assert claim(first_start=True).holds(100.0)

    def test_one_that_is_taken_off_the_list_has_none_until_it_was_back_for_a_window(self):
        held = claim(first_start=True)
        held.listed(False, 110.0)
        assert not held.holds(111.0)
        held.listed(True, 112.0)
        assert not held.holds(112.0 + WINDOW - 0.1)
        assert held.holds(112.0 + WINDOW)

    def test_one_that_hears_nobody_gives_it_up_before_others_may_use_it(self):
        held = claim(first_start=True)
        held.heard(7, 0, 110.0)
        held.heard(7, 0, 110.0 + SLACK_RELEASE_SECONDS - 1)
        assert held.holds(110.0 + SLACK_RELEASE_SECONDS - 1)
        held.heard(7, 0, 110.0 + SLACK_RELEASE_SECONDS)
        assert not held.holds(110.0 + SLACK_RELEASE_SECONDS)
        held.heard(7, 1, 140.0)
        assert not held.holds(140.0 + WINDOW - 0.1)
        assert held.holds(140.0 + WINDOW)

    def test_an_instance_without_others_keeps_it(self):
        held = claim(first_start=True)
        held.heard(0, 0, 110.0)
        held.heard(0, 0, 110.0 + 2 * SLACK_RELEASE_SECONDS)
        assert held.holds(200.0)

    def test_another_window_begins_without_it(self):
        budget_claim = claim(first_start=True)
        budget = SendBudget(0.2, 56.0, WINDOW, budget_claim)
        budget.share_among(1, 100.0)
        budget.set_limits(0.2, 56.0, 2 * WINDOW, 101.0)
        assert not budget.take("s", 101.0 + WINDOW)
        assert budget.take("s", 101.0 + 2 * WINDOW)
