"""Memory that many connections share."""

from limpethollow_policy.process.memorypools import MemoryPool

OWN = 100


def pool_of(limit: int) -> MemoryPool[str]:
    return MemoryPool(limit, OWN)


class TestEviction:
    def test_holders_within_their_own_part_are_never_refused(self):
        pool = pool_of(0)
        assert [pool.resize(str(number), OWN, 0.0) for number in range(50)] == [[]] * 50

    def test_the_one_with_most_byte_seconds_makes_place(self):
        """Guards against small requests refused for those that hold much for long."""
        pool = pool_of(1000)
        pool.resize("quick", OWN + 600, 9.9)
        pool.resize("hoards", OWN + 300, 0.0)
        assert pool.resize("new", OWN + 200, 10.0) == ["hoards"]
        assert pool.used == 800

    def test_one_that_asks_for_more_than_there_is_gets_nothing(self):
        pool = pool_of(1000)
        assert pool.resize("a", OWN + 1001, 0.0) == ["a"]
        assert pool.used == 0

    def test_a_complete_request_is_not_evicted(self):
        """Guards against requests cut while a searcher works on them."""
        pool = pool_of(1000)
        pool.resize("runs", OWN + 900, 0.0, evictable=False)
        assert pool.resize("new", OWN + 200, 10.0) == ["new"]
        assert pool.used == 900

    def test_an_eviction_leaves_what_a_complete_request_needs(self):
        """Guards against requests cut because another one on their connection is incomplete."""
        pool = pool_of(1000)
        pool.resize("a", OWN + 900, 0.0, kept=OWN + 300)
        assert pool.resize("new", OWN + 200, 10.0) == ["a"]
        assert pool.used == 500
        assert pool.resize("a", OWN + 300, 10.0, kept=OWN + 300) == []

    def test_what_is_kept_is_not_evicted_below_a_lower_limit(self):
        pool = pool_of(1000)
        pool.resize("a", OWN + 900, 0.0, kept=OWN + 900)
        pool.set_limit(500)
        assert pool.resize("b", OWN + 10, 1.0) == ["b"]
        assert pool.used == 900


class TestRelease:
    def test_released_bytes_are_free_again(self):
        pool = pool_of(1000)
        pool.resize("a", OWN + 1000, 0.0)
        pool.release("a")
        pool.release("a")
        assert pool.resize("b", OWN + 1000, 1.0) == []

    def test_a_holder_that_shrinks_keeps_its_age(self):
        pool = pool_of(1000)
        pool.resize("slow", OWN + 500, 0.0)
        pool.resize("slow", OWN + 400, 9.0)
        pool.resize("young", OWN + 500, 9.0)
        assert pool.resize("new", OWN + 200, 10.0) == ["slow"]
