"""The promises on teams, each broken once: a check that can't fail proves nothing."""

from random import Random
from types import SimpleNamespace

import pytest

from soak.faults import EXTRA_PLANS, TEAMS
from soak.promises import Seen, broken
from soak.teams import KEY_MARK, NOISY, Key, KeyRing, Team, TeamBounds
from soak.world import DESK, Disturbed, Run
from tests.unit.soak.test_promises import booking, seen

BOUNDS = TeamBounds()
KEPT, REMOVED, OTHER = f"{KEY_MARK}a-0", f"{KEY_MARK}a-1", f"{KEY_MARK}b-0"
REMOVED_AT = 100.0


def ring(rate: float = 2.0, burst: float = 5.0) -> KeyRing:
    found = KeyRing((Team("a", rate, burst), Team("b", rate, burst)), BOUNDS)
    found.keys = {
        KEPT: Key(KEPT, "a", 0.0),
        REMOVED: Key(REMOVED, "a", 0.0, REMOVED_AT - 0.1, REMOVED_AT),
        OTHER: Key(OTHER, "b", 0.0),
    }
    return found


def ran(request: str, at: float, team: str | None = "a", *, has_key: bool = False) -> Run:
    return Run(request, DESK, f"{DESK}-s0", at, team, has_key)


def asked(key: str, begun: float = 100.0, request: str = "b1", **fields):
    return booking(request, begun, key=key, **fields)


class TestKept:
    def test_a_served_request_of_a_team_breaks_nothing(self):
        assert seen([asked(KEPT)], [ran("b1", 100.01)], keys=ring()) == []

    def test_a_removed_key_may_be_served_within_its_bound(self):
        begun = REMOVED_AT + BOUNDS.revoke - 0.1
        assert seen([asked(REMOVED, begun)], [ran("b1", begun + 0.05)], keys=ring()) == []

    def test_a_full_quota_breaks_nothing(self):
        allowed = int(Team("a", 2.0, 5.0).allowed(BOUNDS))
        outcomes = [asked(KEPT, 100.0 + n / 100, f"b{n}") for n in range(allowed)]
        runs = [ran(o.request, o.begun) for o in outcomes]
        assert seen(outcomes, runs, keys=ring()) == []

    @pytest.mark.parametrize(
        ("key", "begun"), [(REMOVED, 100.1), (REMOVED, 99.88), (KEPT, BOUNDS.apply - 0.1)]
    )
    def test_a_401_is_right_for_a_removed_key_and_for_a_new_one(self, key, begun):
        refused = asked(key, begun, status=401, headers={}, body=b"")
        assert seen([refused], keys=ring()) == []


class TestBroken:
    def test_by_a_searcher_that_sees_a_key(self):
        assert len(seen([asked(KEPT)], [ran("b1", 100.01, has_key=True)], keys=ring())) == 1

    @pytest.mark.parametrize("team", ["b", None, ""])
    def test_by_a_searcher_that_is_told_another_team_or_none(self, team):
        assert len(seen([asked(KEPT)], [ran("b1", 100.01, team)], keys=ring())) == 1

    def test_by_a_removed_key_that_is_served_after_its_bound(self):
        late = REMOVED_AT + BOUNDS.revoke + 0.4
        assert len(seen([asked(REMOVED, late - 0.1)], [ran("b1", late)], keys=ring())) == 1

    def test_by_a_request_that_waited_until_its_key_was_past_its_bound(self):
        """Guards against a check of the moment at which the caller sent it."""
        late = REMOVED_AT + BOUNDS.revoke + 0.4
        outcome = asked(REMOVED, REMOVED_AT - 1.0, ended=REMOVED_AT)
        assert len(seen([outcome], [ran("b1", late)], keys=ring())) == 1

    def test_by_a_good_key_that_is_answered_401(self):
        refused = asked(KEPT, status=401, headers={}, body=b"")
        assert len(seen([refused], keys=ring())) == 1

    def test_by_a_window_over_the_quota(self):
        count = int(Team("a", 2.0, 5.0).allowed(BOUNDS)) + 1
        # The runs of one team only are counted, and the window does not start with the first.
        outcomes = [asked(KEPT, 100.0 + n * 0.1, f"b{n}") for n in range(count)]
        outcomes += [asked(KEPT, 90.0, "early"), asked(OTHER, 100.0, "other")]
        runs = [ran(o.request, o.begun) for o in outcomes if o.key == KEPT]
        runs.append(ran("other", 100.0, "b"))
        assert len(seen(outcomes, runs, keys=ring())) == 1

    def test_not_by_one_request_with_many_runs(self):
        """A request counts once, whatever its fan-out."""
        count = 2 * int(Team("a", 2.0, 5.0).allowed(BOUNDS))
        runs = [Run("s1", f"finder-{n}", f"f{n}", 100.0, "a") for n in range(count)]
        outcome = asked(KEPT, request="s1", status=502, headers={}, body=b"")
        found = seen([outcome], runs, keys=ring())
        assert not any("quota" in line for line in found)


class TestRecovery:
    def play(self, key: str, status: int) -> list[str]:
        keys = ring()
        keys.keys["n"] = Key("n", NOISY, 0.0)
        instance = SimpleNamespace(rough=Disturbed(), stopped=Disturbed())
        world = SimpleNamespace(
            instances=[instance], store_rough=Disturbed(), drained={}, routes=[], keys=keys
        )
        outcomes = [asked(KEPT, 110.0 + n, f"b{n}", status=200) for n in range(5)]
        outcomes += [asked(key, 110.0 + n, f"c{n}", status=status) for n in range(20)]
        lines = broken(Seen(world, outcomes, [], 100.0))
        return [line for line in lines if line.startswith("requests are served again")]

    def test_refusals_of_removed_keys_and_over_the_quota_are_no_failures(self):
        assert self.play(REMOVED, 401) == []
        assert self.play("n", 429) == []

    def test_refusals_of_other_teams_are(self):
        """Guards against a noisy team that takes the others' requests with it."""
        assert len(self.play(KEPT, 429)) == 1
        assert len(self.play("n", 503)) == 1


class TestKeyRing:
    def test_a_replaced_key_is_in_no_later_version_and_the_new_one_is(self):
        keys = KeyRing.of_three()
        before = {key.text for key in keys.of(NOISY)}
        written = []
        keys.replace(NOISY, lambda: written.append(keys.to_configuration()))
        (version,) = written
        (noisy,) = (team for team in version if team["name"] == NOISY)
        removed = before - set(noisy["apiKeys"])
        assert len(removed) == 1
        assert len(noisy["apiKeys"]) == len(before)
        key = keys.keys[removed.pop()]
        assert key.removing_at <= key.removed_at < float("inf")

    def test_callers_send_removed_keys_too(self):
        """Guards against a run in which no revocation could be broken."""
        keys = KeyRing.of_three()
        keys.replace(NOISY, lambda: None)
        good = {key.text for key in keys.of(NOISY)}
        rng = Random(1)
        assert {keys.choose(NOISY, rng) for _ in range(200)} > good

    def test_the_first_replacement_comes_early_in_a_run(self):
        faults = EXTRA_PLANS[TEAMS].faults(7, 10.0)
        assert min(planned.at for planned in faults) < 1.0
