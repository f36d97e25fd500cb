"""Which teams' requests use the rate that an instance admits under overload."""

import hashlib
from collections import Counter
from collections.abc import Callable
from random import Random

import pytest

from limpethollow_policy.process.sharing import Claim, FairShares, WorkEstimate
from limpethollow_policy.process.shedding import LoadShedder

NORMAL = (1, 0)


def claim(team: str | None, rank: tuple[int, ...] = NORMAL, work: float = 1.0) -> Claim:
    return Claim(team, rank, work)


def limited(rate: float) -> LoadShedder:
    """Return a shedder that admits about this rate from second 100 on and keeps to it."""
    shedder = LoadShedder()
    count = round(rate / 0.75)
    for number in range(count):
        shedder.wait(99.0 + number / count)
    for _ in range(4):
        shedder.ended(1.0, 99.9, 100.0, 0.1)
    return shedder


class Offers:
    """Requests of teams offered to shedders at random, and how many of them were admitted.

    Args:
        shedders: One for each instance; each request goes to one of them at random.
        rates: Requests per second by claim, from all instances together.
        seed: Draws the requests.
        shares: Whether teams share the rate.
    """

    def __init__(
        self, shedders: list[LoadShedder], rates: dict[Claim, float], seed: int, *, shares=True
    ) -> None:
        self.asked: Counter[Claim] = Counter()
        self.admitted: Counter[Claim] = Counter()
        self._shedders = shedders
        self._rates = rates
        self._rng = Random(seed)
        self._shares = shares
        self._now = 100.0

    def run(self, seconds: float, depth: Callable[[], float] | None = None) -> "Offers":
        end = self._now + seconds
        claims, rates = list(self._rates), list(self._rates.values())
        while True:
            self._now += self._rng.expovariate(sum(rates))
            if self._now > end:
                return self
            taken = self._rng.choices(claims, rates)[0]
            shedder = self._rng.choice(self._shedders)
            wait = shedder.wait(
                self._now,
                queue_depth=None if depth is None else depth(),
                claim=taken if self._shares else None,
            )
            self.asked[taken] += 1
            self.admitted[taken] += wait == 0.0

    def served(self, *claims: Claim) -> float:
        """Return the admitted fraction of the requests with these claims, or of all."""
        chosen = claims or tuple(self._rates)
        return sum(self.admitted[c] for c in chosen) / sum(self.asked[c] for c in chosen)


class TestWithoutTeams:
    def test_decisions_are_those_of_the_release_before_sharing(self):
        """The hook for teams must change no decision of a deployment without teams.

        The digest is of the same decisions by the code of commit 88d85e8.
        """
        rng, shedder, now, waits = Random(5), LoadShedder(), 100.0, []
        for number in range(4000):
            now += rng.expovariate(40.0)
            depth = rng.uniform(0, 4) if number > 2000 else None
            waits.append(shedder.wait(now, in_time=rng.random() < 0.8, queue_depth=depth))
            if rng.random() < 0.5:
                shedder.ended(float(rng.random() < 0.3), now - 0.05, now, 0.1)
            if depth is not None:
                shedder.target.answered(depth, late=rng.random() < 0.2)
        digest = hashlib.sha256(repr(waits).encode()).hexdigest()
        assert digest == "6f95fee407eac89e1f305e9b5dc75f5d6b2403976d0d5d92a5432790ed27e2a9"


@pytest.mark.parametrize("seed", [1, 2])
class TestNoisyTeam:
    """A team sent ten times its share, and the others were refused as often as it was."""

    def test_only_its_requests_are_refused(self, seed):
        noisy, others = claim("noisy"), [claim(f"t{n}") for n in range(8)]
        rates = {noisy: 50.0} | dict.fromkeys(others, 2.5)
        offers = Offers([limited(40.0)], rates, seed).run(30.0)
        assert offers.served(*others) > 0.98
        assert offers.served(noisy) < 0.9 * offers.served()
        assert offers.served(noisy) > 0.25 * offers.served()

    def test_it_is_recognised_by_instances_that_each_see_a_few_requests_a_second(self, seed):
        """With 67 instances and 76 teams, one sees a request of a usual team in 20 seconds."""
        noisy, others = claim("noisy"), [claim(f"t{n}") for n in range(75)]
        rates = {noisy: 4.0 * 67} | dict.fromkeys(others, 3.6 / 75 * 67)
        shedders = [limited(5.0) for _ in range(67)]
        offers = Offers(shedders, rates, seed).run(15.0)
        assert offers.served(*others) > 0.98
        assert offers.served(noisy) > 0.25 * offers.served()

    def test_as_much_is_admitted_as_without_teams(self, seed):
        rates = {claim("noisy"): 50.0} | {claim(f"t{n}"): 2.5 for n in range(8)}
        with_teams = Offers([limited(40.0)], rates, seed).run(30.0)
        without = Offers([limited(40.0)], rates, seed, shares=False).run(30.0)
        difference = sum(with_teams.admitted.values()) - sum(without.admitted.values())
        assert abs(difference) < 0.02 * sum(without.admitted.values())

    def test_searchers_that_report_their_queues_are_shared_the_same(self, seed):
        noisy, others = claim("noisy"), [claim(f"t{n}") for n in range(8)]
        rates = {noisy: 50.0} | dict.fromkeys(others, 2.5)
        offers = Offers([LoadShedder()], rates, seed).run(30.0, lambda: 2.0)
        assert offers.served(*others) > 0.98
        assert 0.45 < offers.served() < 0.55
        assert offers.served(noisy) > 0.25 * offers.served()

    def test_few_costly_requests_count_as_much_as_many_cheap_ones(self, seed):
        """Fairness by count let a team of wide searches take nearly all of the searchers."""
        wide, narrow = claim("wide", work=10.0), claim("narrow", work=1.0)
        offers = Offers([limited(40.0)], {wide: 20.0, narrow: 40.0}, seed).run(30.0)
        assert offers.served(narrow) > 0.98
        assert offers.served(wide) < 0.8

    def test_requests_without_a_team_count_as_one_team(self, seed):
        public, other = claim(None), claim("t")
        offers = Offers([limited(30.0)], {public: 80.0, other: 10.0}, seed).run(20.0)
        assert offers.served(other) > 0.98
        assert offers.served(public) < 0.5


@pytest.mark.parametrize("seed", [1, 2])
class TestPriorities:
    def test_urgent_requests_are_served_first(self, seed):
        urgent, normal = claim("u", (0, 0)), claim("n")
        offers = Offers([limited(30.0)], {urgent: 20.0, normal: 40.0}, seed).run(20.0)
        assert offers.served(urgent) > 0.99

    def test_route_priority_ranks_requests_of_one_team_priority(self, seed):
        first, second = claim("a", (1, 0)), claim("a", (1, 1))
        offers = Offers([limited(30.0)], {first: 20.0, second: 40.0}, seed).run(20.0)
        assert offers.served(first) > 0.99

    def test_the_lowest_keeps_its_least_share(self, seed):
        """Urgent requests alone were more than the rate, and no other request was served."""
        urgent, low = claim("u", (0, 0)), claim("l", (2, 0))
        offers = Offers([limited(30.0)], {urgent: 80.0, low: 20.0}, seed).run(30.0)
        assert offers.served(low) > 0.25 * offers.served()


class TestQuietTeam:
    def test_its_first_request_is_admitted_beside_a_noisy_one(self):
        """A noisy team alone must not use up the credit from which the others are admitted."""
        shedder = limited(10.0)
        now, refused = 100.0, 0
        for number in range(400):
            now += 0.01
            refused += shedder.wait(now, claim=claim("noisy")) > 0
            if number % 20 == 19:
                assert shedder.wait(now, claim=claim(f"quiet-{number}")) == 0.0
        assert refused > 300

    def test_its_late_request_is_admitted_beside_a_noisy_one(self):
        """Calls that a noisy team made slow let the quick requests of others look late."""
        shedder = limited(10.0)
        now = 100.0
        for _ in range(200):
            now += 0.01
            shedder.wait(now, claim=claim("noisy"))
        assert shedder.wait(now, in_time=False, claim=claim("noisy")) > 0
        now = next(
            at
            for at in (now + 0.01 * number for number in range(1, 400))
            if shedder.wait(at, claim=claim("noisy")) == 0.0
        )
        assert shedder.wait(now + 0.2, in_time=False, claim=claim("quiet")) == 0.0


class TestMemory:
    def test_idle_teams_are_dropped(self):
        """An instance that runs for months must not keep every team that it ever served."""
        shares = FairShares()
        for number in range(1000):
            shares.arrived(claim(f"t{number}"), 100.0 + number, in_time=True)
        assert shares.flows < 20

    def test_refused_requests_count_as_demand(self):
        shares = FairShares()
        now = 100.0
        for _ in range(300):
            now += 0.01
            for team, requests in (("noisy", 5), ("t", 1)):
                for _ in range(requests):
                    shares.arrived(claim(team), now, in_time=True)
                    shares.admits(claim(team), 0.5, 0.5, now)
        assert shares.share(claim("noisy")) == pytest.approx(0.4, abs=0.02)
        assert shares.share(claim("t")) == 1.0


class TestWorkEstimate:
    def test_waiting_under_overload_is_not_counted_as_work(self):
        """Call times ten times as long made the same request cost as much as ten."""
        estimate = WorkEstimate()
        assert estimate.seconds(0.02, 100.0) == 0.02
        assert estimate.seconds(0.2, 103.0) < 0.03

    def test_work_that_stays_longer_is_learnt(self):
        estimate = WorkEstimate()
        estimate.seconds(0.02, 100.0)
        for second in range(300):
            seconds = estimate.seconds(0.2, 101.0 + second)
        assert seconds > 0.19
