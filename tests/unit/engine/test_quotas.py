"""The bound on a team's requests over all instances, and who is refused within the limit."""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from limpethollow_policy.process.quotaholders import HolderRole
from limpethollow_policy.process.quotas import Loan, QuotaBounds, Quotas
from tests.support.quotas import TEAM, World

MACHINE = settings(
    max_examples=40,
    stateful_step_count=25,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


class QuotaMachine(RuleBasedStateMachine):
    """Instances under saturating load while they fail, restart, join, and lose the network.

    `World.ran` checks the window that ends with each request, so every window is checked.
    """

    role_type: type[HolderRole] = HolderRole
    quotas_type: type[Quotas] = Quotas

    @initialize(
        count=st.one_of(st.integers(2, 30), st.integers(2, 300)),
        domains=st.integers(1, 4),
        seed=st.integers(0, 2**32),
        excess=st.sampled_from([0.0, 0.1]),
        slack=st.sampled_from([0.0, 20.0]),
        rate=st.sampled_from([0.5, 8.0, 60.0]),
        burst=st.sampled_from([0.0, 10.0, 80.0]),
    )
    def begin(self, count, domains, seed, excess, slack, rate, burst):
        self.world = World(
            count,
            domains,
            seed,
            QuotaBounds(5.0, excess, slack),
            (rate, burst),
            role_type=self.role_type,
            quotas_type=self.quotas_type,
        )
        self.run(7.0)

    def run(self, seconds: float) -> None:
        world = self.world
        busy = world.rng.sample(sorted(world.names), min(8, len(world.names)))
        busy += sorted(world.holders_of(world.lists[-1][1]))
        world.run(seconds, dict.fromkeys(busy, 3.0 * world.limits[-1][1]))

    @rule(seconds=st.sampled_from([0.2, 1.0, 5.0]))
    def pass_time(self, seconds):
        self.run(seconds)

    @rule()
    def pass_until_the_dead_are_removed(self):
        self.run(34.0)

    @rule(share=st.sampled_from([0.0, 0.34, 1.0]), back=st.booleans())
    def kill(self, share, back):
        """Kill one, a third or all; `back` starts them again at once."""
        names = self.some(share)
        for name in names:
            self.world.kill(name)
        if back or not self.world.processes:
            for name in names:
                self.world.start(name)
        self.run(0.5)

    @rule(share=st.sampled_from([0.0, 0.34, 1.0]))
    def start_the_dead(self, share):
        dead = sorted(set(self.world.names) - self.world.processes.keys())
        for name in dead[: max(1, int(share * len(dead)))]:
            self.world.start(name)
        self.run(0.5)

    @rule(count=st.sampled_from([1, 2, 10]))
    def join(self, count):
        for _ in range(count):
            self.world.start(f"i-{len(self.world.names):03}")
        self.run(0.5)

    @rule(with_store=st.booleans(), seconds=st.sampled_from([2.0, 12.0, 45.0]))
    def part_into_halves(self, with_store, seconds):
        world = self.world
        half = self.some(0.5)
        world.sides = dict.fromkeys(half, True)
        world.cut_from_store = not with_store
        self.run(seconds)

    @rule()
    def heal(self):
        self.world.sides = {}
        self.run(1.0)

    @rule(share=st.sampled_from([0.0, 0.34]), seconds=st.sampled_from([2.0, 12.0, 60.0]))
    def suspend(self, share, seconds):
        for name in self.some(share):
            process = self.world.processes.get(name)
            if process is not None:
                process.frozen_until = self.world.now + seconds
        self.run(1.0)

    @rule(rate=st.sampled_from([0.5, 8.0, 60.0]), burst=st.sampled_from([0.0, 10.0, 80.0]))
    def change_the_limit(self, rate, burst):
        self.world.set_limit(rate, burst)
        self.run(2.0)

    def some(self, share: float) -> list[str]:
        """Return instances, holders among them: one, or a share of all."""
        world = self.world
        names = sorted(world.names)
        if share:
            return world.rng.sample(names, max(1, int(share * len(names))))
        return [world.rng.choice(sorted(world.holders_of(world.lists[-1][1])) or names)]


class LendsForFree(Quotas):
    """The fault that a loan is not taken out of the bucket."""

    __slots__ = ()

    def lend(self, team: str, tokens: float, now: float) -> Loan:
        loan = super().lend(team, tokens, now)
        if loan.tokens:
            self._buckets[team].level += loan.tokens
        return loan


class StartsFull(HolderRole):
    """The fault that a process starts with full buckets."""

    __slots__ = ()

    def _update(self, now: float) -> None:
        super()._update(now)
        self.starts_full = True


class LendsForFreeMachine(QuotaMachine):
    quotas_type = LendsForFree


class StartsFullMachine(QuotaMachine):
    role_type = StartsFull


class TestBound:
    """No window of any instances' requests exceeds the quota by more than its bounds allow."""

    def test_no_window_has_more_requests(self):
        run_state_machine_as_test(QuotaMachine, settings=MACHINE)

    def test_all_holders_cut_off_from_the_store_together(self):
        """They heard each other and went on, while the others had removed and replaced them."""
        world = World(20, 1, 3, QuotaBounds(5.0, 0.0, 20.0), (8.0, 0.0))
        world.run(8.0, {})
        half = sorted(world.holders_of(world.lists[-1][1])) + world.names[:8]
        world.sides, world.cut_from_store = dict.fromkeys(half, True), True
        world.run(90.0, dict.fromkeys(world.names, 5.0))

    @pytest.mark.parametrize("machine", [LendsForFreeMachine, StartsFullMachine])
    def test_a_fault_in_the_rule_is_found(self, machine):
        """A check that passes whatever the rule does would guard nothing."""
        found = settings(MACHINE, phases=[Phase.generate], derandomize=True, max_examples=100)
        with pytest.raises(AssertionError):
            run_state_machine_as_test(machine, settings=found)


class TestWithinTheLimit:
    """Teams that keep within their rate are hardly ever refused, whoever else sends too much."""

    @staticmethod
    def refused_share(noisy_factor: float, rate: float = 50.0) -> float:
        """Return the share of refused requests of a team that sends 95 % of its rate."""
        limits = {"noisy": (rate, rate)}
        bounds = QuotaBounds(5.0, 0.1, 20.0)
        world = World(67, 4, 5, bounds, (rate, rate), is_faulty=False, other_teams=limits)
        world.run(8.0, {})
        loads = {TEAM: dict.fromkeys(world.names, 0.95 * rate / 67)}
        if noisy_factor:
            loads["noisy"] = dict.fromkeys(world.names, noisy_factor * rate / 67)
        world.run_teams(60.0, loads)
        assert world.served[TEAM] > 0.9 * 0.95 * rate * 60
        if noisy_factor:
            assert world.refused["noisy"] > world.served["noisy"]
        return world.refused[TEAM] / (world.refused[TEAM] + world.served[TEAM])

    @pytest.mark.parametrize("rate", [4.0, 50.0, 400.0])
    def test_67_instances(self, rate):
        assert self.refused_share(0.0, rate) < 0.005

    @pytest.mark.parametrize("rate", [4.0, 50.0, 400.0])
    def test_beside_a_team_that_sends_ten_times_its_rate(self, rate):
        assert self.refused_share(10.0, rate) < 0.005
