"""When an instance's buckets hold which part of the quotas, and their size."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limpethollow_policy.process.placements import Instance
from limpethollow_policy.process.quotaholders import CUT_OFF_SECONDS, LOAN_SECONDS, HolderRole
from limpethollow_policy.process.quotas import Loan, QuotaBounds, Quotas, bucket_size
from limpethollow_policy.process.topology import holders_among, relays_among
from limpethollow_policy.version.tenants import Tenant

WINDOW = 5.0
WAIT = WINDOW + LOAN_SECONDS
ABC = frozenset("abc")


def role(own: str = "a", *, first_start: bool = False) -> HolderRole:
    return HolderRole(own, WINDOW, first_start=first_start, now=100.0)


def established(holders: frozenset[str] = ABC, own: str = "a") -> HolderRole:
    """Return the role of an instance that was a holder before its start at second 100."""
    found = role(own)
    found.listed(holders, holders, 100.0, established=True)
    found.confirmed(100.0)
    return found


def pass_time(found: HolderRole, seconds: float, now: float, *, confirmed: bool = True) -> float:
    """Look four times a second; return the time after it."""
    for _ in range(round(4 * seconds)):
        now += 0.25
        if confirmed:
            found.confirmed(now)
        else:
            found.look(now)
    return now


class TestPart:
    def test_a_restarted_holder_refills_at_once(self):
        assert established().part == pytest.approx(1 / 3)

    def test_a_process_that_nobody_confirmed_has_none(self):
        """It may have its list from a peer whose list is old."""
        found = role()
        found.listed(ABC, ABC, 100.0, established=True)
        assert found.part == 0

    def test_a_new_holder_waits_a_window_after_all_others_have_its_list(self):
        """The holder that it replaced may have spent its part within the last window."""
        found = role("d")
        found.listed(ABC, "abc", 100.0, established=True)
        found.listed(frozenset("bcd"), "abcd", 101.0, established=True)
        found.heard(["b", "c"], ["b", "c"], 0, 102.0)
        now = pass_time(found, 10.0, 102.0)
        assert found.part == 0
        found.heard(["a", "b", "c"], ["a", "b", "c"], 0, now)
        pass_time(found, WAIT - 0.25, now)
        assert found.part == 0
        pass_time(found, WAIT + 0.25, now)
        assert found.part == pytest.approx(1 / 3)

    def test_it_does_not_wait_for_ever_for_one_that_is_gone(self):
        found = role("d")
        found.listed(ABC, "abc", 100.0, established=True)
        found.listed(frozenset("bcd"), "abcd", 101.0, established=True)
        pass_time(found, CUT_OFF_SECONDS + WAIT + 4, 101.0)
        assert found.part == pytest.approx(1 / 3)

    def test_one_that_is_no_holder_any_more_stops_at_once(self):
        found = established()
        found.listed(frozenset("bcd"), "abcd", 101.0, established=True)
        assert found.part == 0

    def test_a_part_falls_at_once_and_grows_a_window_later(self):
        found = established()
        found.listed(frozenset("abcd"), "abcd", 101.0, established=True)
        assert found.part == pytest.approx(1 / 4)
        found.heard("bcd", "bcd", 0, 101.0)
        now = pass_time(found, WAIT + 0.5, 101.0)
        found.listed(frozenset("ab"), "ab", now, established=True)
        found.heard("b", "b", 0, now)
        assert found.part == pytest.approx(1 / 4)
        pass_time(found, WAIT + 0.5, now)
        assert found.part == pytest.approx(1 / 2)

    def test_one_that_is_cut_off_stops_before_others_use_its_part(self):
        found = established()
        now = pass_time(found, CUT_OFF_SECONDS - 1, 100.0, confirmed=False)
        assert found.part > 0
        now = pass_time(found, 1.5, now, confirmed=False)
        assert found.part == 0
        found.confirmed(now)
        assert found.part == 0
        found.heard("bc", "bc", 0, now)
        pass_time(found, WAIT + 0.5, now)
        assert found.part > 0

    def test_it_continues_without_the_store_while_it_hears_all_others(self):
        """A store that nobody reaches changes no list."""
        found = established()
        now = 100.0
        for _ in range(200):
            now += 0.25
            found.heard("bc", "bc", 0, now)
        assert found.part == pytest.approx(1 / 3)

    def test_without_the_store_it_stops_where_two_instances_are_silent(self):
        """All holders may be cut off together; the others remove them and become holders."""
        for silent, part in ((1, 1 / 3), (2, 0.0)):
            found = established()
            for step in range(1, 100):
                found.heard("bc", "bc", silent, 100.0 + step / 4)
            assert found.part == pytest.approx(part)

    def test_what_a_suspended_process_reads_first_confirms_nothing(self):
        """Its socket buffers hold heartbeats from before the suspension."""
        found = established()
        found.confirmed(130.0)
        found.heard("bc", "bc", 0, 130.1)
        assert found.part == 0
        now = pass_time(found, 4.0, 130.1)
        assert found.part == 0
        found.heard("bc", "bc", 0, now)
        pass_time(found, WAIT + 0.5, now)
        assert found.part > 0

    def test_at_the_first_start_of_all_it_begins_full(self):
        found = role(first_start=True)
        for names in ("a", "ab", "abc"):
            found.listed(frozenset(names), names, 100.5, established=False)
        found.confirmed(101.0)
        assert found.part == pytest.approx(1 / 3)
        assert found.starts_full


class TestBucketSize:
    @given(
        rate=st.floats(0.01, 1e5),
        burst=st.floats(0, 1e5),
        excess=st.floats(0, 1),
        slack=st.floats(0, 100),
        window=st.floats(0.5, 60),
    )
    def test_no_window_gets_more_than_the_bound(self, rate, burst, excess, slack, window):
        depth, refill = bucket_size(rate, burst, QuotaBounds(window, excess, slack))
        bound = (rate * window + burst) * (1 + excess) + slack
        assert depth >= 0
        assert refill >= 0
        assert depth + refill * (window + LOAN_SECONDS) <= 0.95 * bound * (1 + 1e-9)


class TestBuckets:
    @staticmethod
    def quotas(rate: float, burst: float) -> Quotas:
        found = Quotas("a", established(), QuotaBounds(WINDOW, 0.1, 20.0))
        found.use([Tenant("t", (), rate=rate, burst=burst)], QuotaBounds(WINDOW, 0.1, 20.0), 100.0)
        found.look(100.0)
        return found

    def test_a_lower_limit_cuts_the_level(self):
        """A bucket that stayed full would let a whole old burst run under the new limit."""
        found = self.quotas(100.0, 1000.0)
        for step in range(100):
            found.look(100.0 + step / 4)
        low = Tenant("t", (), rate=1.0, burst=1.0)
        found.use([low], QuotaBounds(WINDOW, 0.1, 20.0), 124.75)
        taken = sum(found.take("t", 124.75) for _ in range(1000))
        assert taken <= bucket_size(1.0, 1.0, QuotaBounds(WINDOW, 0.1, 20.0))[0]

    def test_a_team_that_comes_back_finds_the_level_that_it_left(self):
        found = self.quotas(10.0, 10.0)
        team, bounds = Tenant("t", (), rate=10.0, burst=10.0), QuotaBounds(WINDOW, 0.1, 20.0)
        while found.take("t", 104.0):
            pass
        found.use([], bounds, 104.0)
        found.use([team], bounds, 104.0)
        assert not found.take("t", 104.0)

    def test_asks_are_bounded_per_holder_and_second(self):
        found = self.quotas(10.0, 10.0)
        asks, now = 0, 100.0
        while now < 110.0:
            while (ask := found.ask("t", 1, now)) is not None:
                asks += 1
                found.granted(ask.number, Loan(1.0, 0.0), now)
                found.take("t", now)
            now += 0.01
            found.look(now)
        assert asks <= 2 * (10 * 20 + 5)


class TestHolders:
    def test_two_in_each_failure_domain_with_the_relay_first(self):
        known = [Instance(f"i-{n}", f"{n}:1", f"{n}:2", "abc"[n % 3]) for n in range(30)]
        holders = holders_among(known)
        assert len(holders) == 6
        assert relays_among(known) <= holders
        assert holders_among(known[:1]) == {"i-0"}
