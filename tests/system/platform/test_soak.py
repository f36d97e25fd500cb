"""A short seeded run of the soak; `make soak SEEDS="1 2 3"` runs more."""

import pytest

from soak.__main__ import run


class TestSoak:
    # 1: all instances killed while the store is silent; 127: long silences of the store.
    @pytest.mark.parametrize("seed", [1, 127])
    def test_no_promise_is_broken(self, seed):
        assert run(seed, seconds=6.0, instances=3) == []

    # 5, 127: searches on ended searchers were quarantined; 9409: refusals go on after all is over.
    @pytest.mark.parametrize("seed", [5, 127, 9409])
    def test_no_promise_is_broken_beside_a_crashing_request(self, seed):
        assert run(seed, seconds=8.0, instances=3, crashing=True) == []

    @pytest.mark.parametrize("seed", [9051, 9066])
    def test_no_promise_is_broken_where_the_store_comes_back_from_a_copy(self, seed):
        assert run(seed, seconds=8.0, instances=3, extras=["returns"]) == []

    # 20001: finds a connection that forgets what it carried.
    @pytest.mark.parametrize("seed", [20001])
    def test_no_promise_is_broken_where_bookings_are_shed_and_replies_come_twice(self, seed):
        assert run(seed, seconds=8.0, instances=3, extras=["replies"]) == []

    # 21003: finds an instance that refuses nothing towards the end of its grace.
    @pytest.mark.parametrize("seed", [21003])
    def test_no_promise_is_broken_where_instances_stop_under_callers_in_a_loop(self, seed):
        assert run(seed, seconds=8.0, instances=3, extras=["stops"]) == []
