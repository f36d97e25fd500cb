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
        assert run(seed, seconds=8.0, instances=3, returns=True) == []
