"""What a coordinator decides: one version for all groups, which owners, one merged label."""

import pytest

from limpethollow_policy.process.owners import SilentOwners, spread_over_owners
from limpethollow_policy.request.forwards import ForwardPlan
from limpethollow_policy.request.merges import choose_common_version, merge_answers
from limpethollow_wire.exceptions import Overloaded, VersionGone
from limpethollow_wire.searches import Coverage, GroupAnswer, MissingShard, Part, ServableVersions

WANTED = {0: (0, 1), 1: (2, 3), 2: (4,)}


def group_answer(version, *covered, epoch=1, missing=()):
    label = Coverage(epoch, version, len(covered) + len(missing), covered, missing)
    return GroupAnswer(label, tuple(Part(shard, [shard]) for shard in covered))


class TestChooseAcross:
    @pytest.mark.parametrize(
        ("versions", "chosen", "groups"),
        [
            (((3, 2), (2, 1), (2,)), 2, {0, 1, 2}),
            (((3, 2), (3, 2), (3, 2)), 3, {0, 1, 2}),
            (((3,), (2,), (2,)), 2, {1, 2}),
            (((3,), (2,), (1,)), 3, {0}),
        ],
    )
    def test_version_that_covers_most_shards_wins_and_the_newest_on_a_tie(
        self, versions, chosen, groups
    ):
        known = {index: ServableVersions(1, v) for index, v in enumerate(versions)}
        assert choose_common_version(WANTED, known, 1) == (chosen, groups)

    def test_group_at_another_epoch_makes_the_search_start_over(self):
        """One group has the new partition already; its shard numbers mean other bays."""
        known = {0: ServableVersions(1, (3,)), 1: ServableVersions(2, (3,))}
        with pytest.raises(VersionGone):
            choose_common_version(WANTED, known, 1)


class TestMerge:
    def test_label_of_the_whole_names_each_missing_shard_with_its_reason(self):
        answers = {
            0: group_answer(3, 0, missing=(MissingShard(1, "objective"),)),
            1: Overloaded("busy"),
        }
        coverage, parts = merge_answers(WANTED, answers, {2: "version_gone"})
        assert coverage.covered == (0,)
        assert {m.shard: m.reason for m in coverage.missing} == {
            1: "objective",
            2: "overloaded",
            3: "overloaded",
            4: "version_gone",
        }
        assert coverage.wanted == 5
        assert [part.shard for part in parts] == [0]

    @pytest.mark.parametrize("other", [group_answer(4, 2, 3), group_answer(3, 2, 3, epoch=2)])
    def test_parts_of_two_snapshots_are_never_merged(self, other):
        """Two groups answer from different snapshots; a booking would show in one half only."""
        with pytest.raises(VersionGone):
            merge_answers(WANTED, {0: group_answer(3, 0, 1), 1: other})


class TestOwners:
    ORDER = ["a", "b", "c", "d", "e"]

    def test_one_owner_is_the_same_for_everyone(self):
        assert {spread_over_owners(self.ORDER, 1, own)[0] for own in "abcdexyz"} == {"a"}

    @pytest.mark.parametrize("owners", [2, 3, 4])
    def test_active_owners_share_the_asking_instances(self, owners):
        firsts = {spread_over_owners(self.ORDER, owners, f"n{n}")[0] for n in range(200)}
        assert firsts == set(self.ORDER[:owners])

    def test_active_owner_asks_itself_and_fallbacks_come_last(self):
        assert spread_over_owners(self.ORDER, 3, "c") == ["c", "a", "b", "d", "e"]

    def test_silent_owner_is_asked_last_for_a_while(self):
        silent = SilentOwners()
        silent.mark_silent("a", 10.0)
        assert silent.last(["a", "b"], 10.5) == ["b", "a"]
        assert silent.last(["a", "b"], 11.5) == ["a", "b"]
        silent.mark_silent("a", 20.0)
        silent.answered("a")
        assert silent.last(["a", "b"], 20.5) == ["a", "b"]


class TestForwardPlan:
    def test_lost_owner_is_replaced_at_once(self):
        plan = ForwardPlan(["a", "b"], 0.0, 1.0)
        assert plan.begin() == "a"
        assert plan.lost(0.1, 1.0) == "b"
        assert plan.lost(0.1, 1.0) is None

    def test_silent_owner_is_passed_over_once(self):
        """The owner is frozen and its link looks well; the search would wait to its deadline."""
        plan = ForwardPlan(["a", "b", "c"], 0.0, 1.0)
        plan.begin()
        assert plan.patience(0.1, 1.0) == pytest.approx(0.3)
        assert plan.next_hedge(0.39, True) is None
        assert plan.next_hedge(0.4, True) == "b"
        assert plan.next_hedge(0.9, True) is None
        assert plan.asked == ("a", "b")

    def test_without_budget_the_silent_owner_is_waited_for(self):
        plan = ForwardPlan(["a", "b"], 0.0, 1.0)
        plan.begin()
        assert plan.next_hedge(0.4, False) is None
        assert plan.patience(0.4, 1.0) == pytest.approx(0.6)

    def test_nothing_is_asked_after_the_deadline(self):
        plan = ForwardPlan(["a", "b"], 0.0, 1.0)
        plan.begin()
        assert plan.lost(1.0, 1.0) is None
