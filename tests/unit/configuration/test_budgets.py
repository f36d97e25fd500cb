"""Freshness, call budgets and retry budgets."""

from random import Random

import pytest

from limpethollow_policy.process.backoffs import Backoff
from limpethollow_policy.process.callbudgets import CallBudget, CallRate, RetryBudget
from limpethollow_policy.process.freshness import ISOLATION_SECONDS, Freshness, Refusal


class TestFreshness:
    def test_a_fresh_instance_refuses_until_it_is_loaded(self):
        freshness = Freshness(0.0)
        assert freshness.refusal(False, 0.0).reason is Refusal.NOT_LOADED
        assert freshness.refusal(False, 0.0).retry_after > 0
        freshness.loaded()
        assert freshness.refusal(False, 0.0) is None

    @pytest.mark.parametrize(
        ("has_peers", "silence", "refuses"),
        [
            (True, ISOLATION_SECONDS, False),
            (True, ISOLATION_SECONDS + 0.1, True),
            (False, 3600.0, False),
        ],
    )
    def test_silence_of_all_known_peers_and_the_platform(self, has_peers, silence, refuses):
        freshness = Freshness(0.0)
        freshness.loaded()
        assert (freshness.refusal(has_peers, silence) is not None) == refuses

    def test_an_answer_counts_from_the_moment_its_request_began(self):
        """A frozen instance wakes and finds old replies in its sockets.

        Were they to count from the moment they are read, it would serve its old version on.
        """
        freshness = Freshness(0.0)
        freshness.loaded()
        begun_before_the_freeze, woke_at = 1.0, 60.0
        freshness.confirmed(begun_before_the_freeze)
        assert freshness.refusal(True, woke_at).reason is Refusal.ISOLATED
        freshness.confirmed(woke_at)
        assert freshness.refusal(True, woke_at + 0.1) is None


class TestCallBudget:
    def test_calls_are_bounded_by_kind(self):
        budget = CallBudget({"list": CallRate(0.5, 2.0), "read": CallRate(1.0, 1.0)})
        assert [budget.take("list", 0.0) for _ in range(3)] == [0.0, 0.0, 2.0]
        assert budget.take("read", 0.0) == 0.0
        assert budget.take("list", 2.0) == 0.0


class TestRetryBudget:
    def test_retries_stop_in_an_outage_and_are_earned_back(self):
        budget = RetryBudget(share=0.5, limit=2.0)
        assert [budget.take() for _ in range(3)] == [True, True, False]
        budget.succeeded()
        assert not budget.take()
        budget.succeeded()
        assert budget.take()


class TestBackoff:
    def test_pauses_grow_to_the_bound_and_start_over(self):
        backoff = Backoff(0.1, 1.0, Random(1))
        pauses = [backoff.failed() for _ in range(8)]
        assert 0.05 <= pauses[0] <= 0.1
        assert all(0.5 <= pause <= 1.0 for pause in pauses[4:])
        backoff.succeeded()
        assert backoff.failed() <= 0.1
