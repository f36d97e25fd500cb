"""The rate at which one instance admits searches."""

from limpethollow_policy.process.shedding import AdmittedRate, LoadShedder, is_congested

OBJECTIVE = 0.1


def admit(shedder: LoadShedder, began: float, seconds: float, rate: float) -> int:
    """Offer searches at a rate; return how many were admitted."""
    count = round(seconds * rate)
    return sum(shedder.wait(began + number / rate) == 0.0 for number in range(count))


def end(shedder: LoadShedder, count: int, *, congested: bool, at: float) -> bool:
    """Let searches end that were admitted just before."""
    cuts = [shedder.ended(congested, at - 0.01, at, OBJECTIVE) for _ in range(count)]
    return True in cuts


class TestCongested:
    def test_a_few_missing_shards_are_not_load(self):
        assert not is_congested(5, 20)
        assert is_congested(6, 20)

    def test_one_missing_shard_of_few_is_not_load(self):
        assert not is_congested(1, 2)
        assert is_congested(2, 2)


class TestRate:
    def test_all_are_admitted_until_searches_are_held_up(self):
        shedder = LoadShedder()
        assert admit(shedder, 100.0, 1.0, 1000.0) == 1000
        assert shedder.rate == float("inf")

    def test_congested_searches_cut_it_below_what_was_admitted(self):
        shedder = LoadShedder()
        admit(shedder, 100.0, 1.0, 50.0)
        assert end(shedder, 4, congested=True, at=101.0)
        assert 30 < shedder.rate < 50
        assert 25 < admit(shedder, 101.0, 1.0, 200.0) < 50

    def test_one_or_two_congested_searches_change_nothing(self):
        shedder = LoadShedder()
        assert not end(shedder, 3, congested=True, at=100.0)
        assert shedder.rate == float("inf")

    def test_searches_admitted_before_a_cut_cut_no_more(self):
        shedder = LoadShedder()
        admit(shedder, 100.0, 1.0, 50.0)
        end(shedder, 4, congested=True, at=101.0)
        rate = shedder.rate
        for _ in range(20):
            shedder.ended(True, 100.9, 101.5, OBJECTIVE)
        assert shedder.rate == rate

    def test_it_rises_while_searches_are_answered_in_time(self):
        shedder = LoadShedder()
        admit(shedder, 100.0, 1.0, 50.0)
        end(shedder, 4, congested=True, at=101.0)
        rate = shedder.rate
        for turn in range(1, 20):
            end(shedder, 1, congested=False, at=101.0 + turn * 1.5 * OBJECTIVE)
        assert shedder.rate > 2 * rate

    def test_it_never_falls_so_low_that_an_end_of_overload_does_not_show(self):
        shedder = LoadShedder()
        admit(shedder, 100.0, 1.0, 10.0)
        for turn in range(50):
            end(shedder, 4, congested=True, at=101.0 + turn)
        assert shedder.rate >= 1.0 / (3 * OBJECTIVE)

    def test_the_calm_before_a_burst_does_not_lower_what_was_admitted(self):
        admitted = AdmittedRate()
        for number in range(10):
            admitted.add(100.0 + number / 10)
        for number in range(30):
            admitted.add(101.0 + number / 100)
        assert admitted.highest(101.3) > 90

    def test_a_route_without_an_objective_is_adapted_too(self):
        """Searches of a route whose objective was 0 never got an answer.

        Adapting the rate divided by it, in the timer that was to answer them.
        """
        shedder = LoadShedder()
        admit(shedder, 100.0, 1.0, 50.0)
        for turn in range(20):
            shedder.ended(turn < 8, 101.0 + turn, 101.0 + turn, 0.0)
        assert 0 < shedder.rate < float("inf")


class TestInTime:
    def test_searches_that_are_late_anyway_yield_to_those_that_are_not(self):
        """Callers that had been refused came back, and those that came after them were refused.

        Their answers were late by then, and in turn those of the others.
        """
        shedder = LoadShedder()
        admit(shedder, 100.0, 1.0, 50.0)
        end(shedder, 4, congested=True, at=101.0)
        late = fresh = 0
        for number in range(200):
            now = 101.0 + number / 100
            late += shedder.wait(now, in_time=False) == 0.0
            fresh += shedder.wait(now) == 0.0
        assert fresh > 50
        assert late < 0.1 * fresh

    def test_alone_they_are_admitted_at_the_same_rate(self):
        shedder = LoadShedder()
        admit(shedder, 100.0, 1.0, 50.0)
        end(shedder, 4, congested=True, at=101.0)
        late = sum(shedder.wait(101.0 + n / 100, in_time=False) == 0.0 for n in range(200))
        assert late > 1.5 * shedder.rate


class TestPromises:
    def test_refused_callers_are_told_times_that_follow_each_other_at_the_rate(self):
        """All callers that were refused together came back together, and were refused again."""
        shedder = LoadShedder()
        admit(shedder, 100.0, 1.0, 50.0)
        end(shedder, 4, congested=True, at=101.0)
        while shedder.wait(101.0) == 0.0:
            pass
        waits = [shedder.wait(101.0) for _ in range(5)]
        gaps = [later - earlier for earlier, later in zip(waits, waits[1:], strict=False)]
        assert all(abs(gap - 1 / shedder.rate) < 1e-6 for gap in gaps)
