"""A short seeded run of the soak; `make soak SEEDS="1 2 3"` runs more."""

import pytest

from soak.__main__ import run


class TestSoak:
    # 1: all instances killed while the store is silent; 127: long silences of the store.
    @pytest.mark.parametrize("seed", [1, 127])
    def test_no_promise_is_broken(self, seed):
        assert run(seed, seconds=6.0, instances=3) == []
