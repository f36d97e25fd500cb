"""Cold searchers: what all instances together send them, and when they count as cold."""

from random import Random

import pytest

from limpethollow_policy.process.coldstarts import ColdStart, ColdStartLimits
from limpethollow_policy.process.fleets import Fleet
from limpethollow_policy.process.searchers import Replica, Searcher
from limpethollow_policy.version.routes import ServiceLimits

RATE = 12.0
COLD_SECONDS = 3.0
# What a cold searcher stands in any second, beyond which it goes down again.
MOST_A_SECOND = 1.5 * RATE + 5
USUAL = 0.02


def fleet_of(share_divisor: float, rate: float = RATE, seed: int = 1, **fields) -> Fleet:
    """Return the fleet of one of several instances, with one searcher of one service."""
    fleet = Fleet("a", Random(seed))
    fleet.apply_cold_start_limits(
        {"s": ServiceLimits(54, cold_seconds=COLD_SECONDS, cold_rate=rate)}
    )
    fleet.share_among(share_divisor)
    fleet.put(Searcher("i-1", "s", "10.0.0.1:80", "a", 2, **fields), 100.0)
    return fleet


def sends_until(fleets: list[Fleet], begin: float, end: float, step: float = 0.005) -> list[float]:
    """Let every instance send as often as it may; return when the searcher got calls."""
    found = []
    for tick in range(round((end - begin) / step)):
        now = begin + tick * step
        for fleet in fleets:
            replica = fleet.choose("s", now, USUAL)
            if replica is not None:
                replica.sent(now)
                found.append(now)
    return found


def most_in_a_second(times: list[float]) -> int:
    """Return the most calls within any second."""
    return max((sum(at <= t < at + 1.0 for t in times) for at in times), default=0)


class TestSumOfAllInstances:
    """Guards against a returning searcher that the parts of many instances bring down together."""

    @pytest.mark.parametrize("instances", [2, 8, 16, 65])
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_a_searcher_that_starts_cold_stands_what_all_send(self, instances, seed):
        fleets = [
            fleet_of(instances, seed=100 * seed + number, cold_left=COLD_SECONDS)
            for number in range(instances)
        ]
        assert most_in_a_second(sends_until(fleets, 100.0, 103.0)) <= MOST_A_SECOND

    @pytest.mark.parametrize("instances", [2, 8, 16, 65])
    def test_so_does_one_whose_failure_domain_was_restored(self, instances):
        fleets = [fleet_of(instances, seed=number) for number in range(instances)]
        for fleet in fleets:
            fleet.evacuate("a")
            fleet.restore("a", 110.0)
        assert most_in_a_second(sends_until(fleets, 110.0, 113.0)) <= MOST_A_SECOND

    def test_what_a_cold_searcher_stands_is_used(self):
        """Guards against a pace so careful that a cold searcher serves next to nothing."""
        fleets = [fleet_of(8, seed=n, cold_left=COLD_SECONDS) for n in range(8)]
        assert len(sends_until(fleets, 100.0, 103.0)) >= 0.8 * RATE * COLD_SECONDS

    def test_without_a_rate_a_cold_searcher_takes_any_number(self):
        fleet = fleet_of(8, rate=0.0, cold_left=COLD_SECONDS)
        assert len(sends_until([fleet], 100.0, 100.1)) == 20


class TestWhenItIsCold:
    def test_a_changed_entry_tells_it_at_any_moment(self):
        fleet = fleet_of(8)
        assert not replica_of(fleet).cold_start.is_cold(105.0)
        fleet.put(Searcher("i-1", "s", "10.0.0.1:80", "a", 2, cold_left=2.0), 105.0)
        assert replica_of(fleet).cold_start.is_cold(106.9)
        assert not replica_of(fleet).cold_start.is_cold(107.1)

    def test_one_that_could_not_be_reached_is_cold_once_it_answers(self):
        """Guards against the usual load on a searcher that crashed and is back before its entry."""
        fleet = fleet_of(8)
        replica = replica_of(fleet)
        fleet.unreachable(replica, 110.0)
        assert replica.cold_start.is_cold(120.0)
        replica.observe(1.0, 120.0)
        assert replica.cold_start.is_cold(120.0 + COLD_SECONDS - 0.1)
        assert not replica.cold_start.is_cold(120.0 + COLD_SECONDS + 0.1)

    def test_one_that_could_not_be_reached_is_paced_before_it_answers(self):
        fleet = fleet_of(8)
        fleet.unreachable(replica_of(fleet), 110.0)
        sent = sends_until([fleet], 111.0, 114.0)
        assert 0 < len(sent) <= 3 * RATE / 8 + 1

    def test_a_searcher_without_a_bound_is_not_paced_after_an_outage(self):
        fleet = fleet_of(8, rate=0.0)
        fleet.unreachable(replica_of(fleet), 110.0)
        assert not replica_of(fleet).cold_start.is_cold(111.0)


class TestChoice:
    def test_a_warm_searcher_is_preferred(self):
        """Guards against calls to a searcher that takes longer because it has just started."""
        fleet = fleet_of(8, rate=0.0, cold_left=COLD_SECONDS)
        fleet.put(Searcher("i-2", "s", "10.0.0.2:80", "b", 2), 100.0)
        assert fleet.choose("s", 100.1, USUAL).searcher.id == "i-2"

    def test_a_cold_one_that_may_not_be_sent_more_yet_is_passed_over(self):
        fleet = fleet_of(8, cold_left=COLD_SECONDS)
        fleet.put(Searcher("i-2", "s", "10.0.0.2:80", "b", 2), 100.0)
        replica_of(fleet).sent(100.0)
        fleet.get("i-2").blocked_until = 101.0
        assert fleet.choose("s", 100.1, USUAL) is None
        assert 0 < fleet.wait("s", 100.1) <= 8 / RATE


class TestPace:
    def test_a_second_word_of_the_same_start_does_not_begin_anew(self):
        """Guards against each heartbeat of a cold searcher allowing one more call."""
        pace = ColdStart(ColdStartLimits(seconds=3.0, interval=1.0))
        pace.begin(3.0, 0.0, 10.0)
        pace.sent(10.0)
        pace.begin(2.5, 0.0, 10.5)
        assert not pace.is_open(10.9)
        assert pace.is_open(11.0)

    def test_its_end_is_never_brought_forward(self):
        """Guards against an entry from before the start that comes after the news of it."""
        pace = ColdStart(ColdStartLimits(seconds=3.0, interval=1.0))
        pace.begin(3.0, 0.0, 10.0)
        pace.begin(0.5, 0.0, 10.1)
        assert pace.is_cold(12.9)


def replica_of(fleet: Fleet) -> Replica:
    return fleet.get("i-1")
