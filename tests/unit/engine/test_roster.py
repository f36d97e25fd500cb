"""The instances as one of them knows them."""

from limpethollow_node.engine.process.roster import Roster
from limpethollow_policy.process.placements import Instance


def instance(name: str, incarnation: int = 5) -> Instance:
    return Instance(name, f"{name}:1", f"{name}:2", "zone-a", 1.0, incarnation)


class TestNewStart:
    def test_one_that_left_is_live_again_after_its_start_although_the_clock_jumped_back(self):
        """An instance was named to no caller after it had been restarted on purpose.

        It had said that it leaves. The time of day had jumped back before its new start, so its
        incarnation was smaller than the old one, and the news of it was taken for old.
        """
        roster = Roster(instance("own"), lambda: None)
        roster.put(instance("other", 5000))
        roster.set_leaving("other", 5000)
        roster.set_silent("other", True, 1.0)
        assert roster.live == []
        roster.put(instance("other", 3000))
        assert [each.name for each in roster.live] == ["other"]

    def test_the_same_start_told_again_changes_nothing(self):
        roster = Roster(instance("own"), lambda: None)
        roster.put(instance("other"))
        roster.set_leaving("other", 5)
        roster.put(instance("other"))
        assert roster.live == []

    def test_a_link_from_its_next_process_is_enough(self):
        """Guards against an instance that left and is back with the entry that it had."""
        roster = Roster(instance("own"), lambda: None)
        roster.put(instance("other"))
        roster.set_leaving("other", 7)
        roster.started("other", 7)
        assert roster.live == []
        roster.started("other", 8)
        assert [each.name for each in roster.live] == ["other"]


class TestSilence:
    def test_it_is_counted_from_its_begin(self):
        roster = Roster(instance("own"), lambda: None)
        roster.put(instance("other"))
        roster.set_silent("other", True, 10.0)
        roster.set_silent("other", True, 20.0)
        assert roster.silent_for(30.0, 39.0) == []
        assert roster.silent_for(30.0, 40.0) == ["other"]
        roster.set_silent("other", False, 41.0)
        assert roster.silent_for(30.0, 80.0) == []

    def test_the_own_instance_is_live_only_while_ready(self):
        roster = Roster(instance("own"), lambda: None)
        assert roster.live == []
        roster.ready = True
        assert roster.live == [roster.own]


class TestSharers:
    def test_the_parts_of_all_instances_add_up_to_the_whole(self):
        """Second sends were refused for want of budget, although the bound was far away.

        Of 76 instances 19 took callers, and each kept to a 76th of what all may repeat.
        """
        all_instances = [instance(f"i-{number}") for number in range(76)]
        parts = []
        for own in all_instances:
            roster = Roster(own, lambda: None)
            for other in all_instances:
                roster.put(other)
            parts.append(1 / roster.share_divisor)
        assert abs(sum(parts) - 1.0) < 1e-9
        assert max(parts) > 1 / 30

    def test_where_all_take_callers_all_have_the_same_part(self):
        roster = Roster(instance("own"), lambda: None)
        for number in range(5):
            roster.put(instance(f"i-{number}"))
        assert roster.share_divisor == 6


class TestListedAgain:
    def listed_again(self, incarnation: int, *, silent: bool = True) -> Roster:
        roster = Roster(instance("own"), lambda: None)
        roster.put(instance("other", 5))
        roster.set_silent("other", silent, 10.0)
        roster.remove("other")
        roster.put(instance("other", incarnation))
        return roster

    def test_one_that_was_silent_when_it_was_removed_is_not_live(self):
        """Guards against an ended instance that is named as the store's older copy has it."""
        roster = self.listed_again(5)
        assert (roster.live, roster.is_relisted("other")) == ([], True)
        roster.set_silent("other", False, 11.0)
        assert [each.name for each in roster.live] == ["other"]
        assert not roster.is_relisted("other")

    def test_its_next_process_is_live(self):
        roster = self.listed_again(6)
        assert [each.name for each in roster.live] == ["other"]
        assert not roster.is_relisted("other")

    def test_one_that_was_not_silent_is_live(self):
        roster = self.listed_again(5, silent=False)
        assert [each.name for each in roster.live] == ["other"]
