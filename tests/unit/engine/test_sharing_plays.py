"""What the callers of each team get beside a noisy one, played by the engine on a virtual clock."""

import functools
import logging
from collections.abc import Callable
from dataclasses import replace

import pytest

from tests.support.overload import Load, Tally, Team, World

# Each noisy team sends ten times its calm rate in the burst; without it, all the others together
# ask for half of what the searchers can do.
NOISY = Team("noisy", 0.64, times=10.0)
TEAMS = (
    Team("urgent", 0.16, priority=0),
    *(Team(f"t{number}", 0.08) for number in range(8)),
    Team("low", 0.16, priority=2),
)
FLOOD = (Team("flood", 0.64, times=10.0, priority=0), *TEAMS)
EVEN = tuple(Team(f"t{number}", 0.05, times=5.0) for number in range(20))
SINGLE = World(single=True, replicas=4, slots=3, rate=15.0)
WORLDS = {"rate": World(), "depth": World(tells_load=True), "single": SINGLE}
SEEDS = (1, 2)
# Seconds of the burst. Single requests are few and cheap to play.
BURSTS = {"rate": 4.0, "depth": 4.0, "single": 24.0}


@pytest.fixture(autouse=True)
def quiet_logs():
    """Thousands of requests a play would each write a line."""
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


@functools.cache
def play(world: str, seed: int, teams: tuple[Team, ...], *, shares: bool = True) -> Load:
    """Play a burst and return the load with its tallies by team."""
    played = replace(WORLDS[world], teams=teams, shares=shares)
    load = Load(played, 1.0, burst=BURSTS[world], calm=1.0, seed=seed)
    load.play()
    return load


def of(load: Load, wanted: Callable[[str], bool] = lambda name: True) -> Tally:
    """Return the sum of the tallies of some teams in the burst."""
    total = Tally()
    for name, tally in load.by_team.items():
        if wanted(name):
            for field in Tally.__dataclass_fields__:
                setattr(total, field, getattr(total, field) + getattr(tally, field))
    return total


def in_time(tally: Tally) -> float:
    return tally.in_time / tally.asked


def served(tally: Tally) -> float:
    """Return the fraction of the requests that were answered, in time or late."""
    return (tally.in_time + tally.late) / tally.asked


def is_same_rank(name: str) -> bool:
    return name.startswith("t")


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("world", WORLDS)
class TestNoisyTeam:
    """A team that sent ten times its share took as much from the others as from itself."""

    def test_others_of_its_rank_are_answered_in_time_as_without_it(self, world, seed):
        without, beside = (
            of(play(world, seed, teams), is_same_rank) for teams in (TEAMS, (*TEAMS, NOISY))
        )
        assert in_time(beside) >= in_time(without) - 0.02

    def test_urgent_requests_are_answered_in_time_as_without_it(self, world, seed):
        without, beside = (
            of(play(world, seed, teams), "urgent".__eq__) for teams in (TEAMS, (*TEAMS, NOISY))
        )
        assert in_time(beside) >= in_time(without) - 0.01

    def test_others_of_its_rank_and_urgent_requests_are_not_refused(self, world, seed):
        """The part of the two targets above that admission decides by itself."""
        load = play(world, seed, (*TEAMS, NOISY))
        others, urgent = of(load, is_same_rank), of(load, "urgent".__eq__)
        assert others.refused + others.failed <= 0.02 * others.asked
        assert urgent.refused + urgent.failed <= 0.01 * urgent.asked

    def test_no_team_is_served_less_than_a_quarter_as_often_as_all(self, world, seed):
        load = play(world, seed, (*TEAMS, NOISY))
        least = min(served(tally) for tally in load.by_team.values())
        assert least >= 0.25 * served(of(load))

    def test_the_lowest_priority_keeps_its_least_share_beside_too_many_urgent_ones(
        self, world, seed
    ):
        """Urgent requests alone are more than the searchers can do."""
        load = play(world, seed, FLOOD)
        assert served(of(load, "low".__eq__)) >= 0.25 * served(of(load))


@pytest.mark.parametrize("world", WORLDS)
class TestTotal:
    """Fair sharing redistributes; it must not cost answers."""

    @pytest.mark.parametrize("teams", [(*TEAMS, NOISY), EVEN], ids=["noisy", "even"])
    def test_as_many_are_answered_in_time_as_without_sharing(self, world, teams):
        shared, alike = (
            sum(in_time(of(play(world, seed, teams, shares=shares))) for seed in SEEDS)
            for shares in (True, False)
        )
        assert shared >= alike
