"""The list joined with own evidence."""

from random import Random

import pytest

from limpethollow_policy.process.members import WHOLE_LIST, Membership
from limpethollow_policy.process.relays import (
    RELAY_TIMEOUT_SECONDS,
    GossipPartnerSelector,
    PlatformWatchRole,
    relays_of,
)
from limpethollow_wire.instances import InstanceInfo
from limpethollow_wire.peers import Hello, InstanceListUpdate


def info(name: str, domain: str = "lton-a", state: str = "live") -> InstanceInfo:
    return InstanceInfo(name, domain, f"{name}:1", f"{name}:2", state=state)


def whole(revision: int, *instances: InstanceInfo) -> InstanceListUpdate:
    return InstanceListUpdate(WHOLE_LIST, revision, instances)


def membership(*instances: InstanceInfo) -> Membership:
    view = Membership("me")
    view.listed(whole(1, info("me"), *instances), 0.0)
    return view


def ids(view: Membership, now: float) -> set[str]:
    return {instance.id for instance in view.routable(now)}


class TestIncarnations:
    def test_a_late_word_of_a_replaced_run_changes_nothing(self):
        """An instance is replaced under its id; its predecessor's goodbye arrives late.

        Callers would be kept away from a healthy instance until the next word of it.
        """
        view = membership(info("n1"))
        view.heard("n1", "old", False, 1.0)
        view.heard("n1", "new", False, 2.0)
        view.heard("n1", "old", True, 3.0)
        assert view.state("n1", 3.0) == "live"
        assert view.incarnation("n1") == "new"

    def test_whoever_answers_at_the_listed_address_is_the_current_run(self):
        view = membership(info("n1"))
        view.heard("n1", "new", False, 1.0)
        view.heard("n1", "old", True, 2.0)
        view.heard("n1", "new", False, 3.0, dialled=True)
        assert (view.incarnation("n1"), view.state("n1", 3.0)) == ("new", "live")

    def test_a_list_that_still_shows_the_last_run_as_leaving_does_not_hide_the_next(self):
        """An instance is replaced under its id, and the list lags by half a minute.

        It shows `leaving`, which was true of the run before; callers would miss the new one.
        """
        view = membership(info("n1"))
        view.heard("n1", "old", True, 1.0)
        view.listed(whole(2, info("me"), info("n1", state="leaving")), 2.0)
        assert view.state("n1", 2.0) == "leaving"
        view.heard("n1", "new", False, 3.0)
        assert view.state("n1", 3.0) == "live"


class TestUnreachable:
    def test_routes_avoid_an_instance_that_gave_no_answer_for_longer_each_time(self):
        view = membership(info("n1"))
        view.unreachable("n1", 0.0)
        assert ids(view, 1.9) == {"me"}
        assert ids(view, 2.1) == {"me", "n1"}
        view.unreachable("n1", 2.1)
        assert ids(view, 6.0) == {"me"}
        view.answered("n1", 6.0)
        assert ids(view, 6.0) == {"me", "n1"}

    def test_its_run_is_not_named_to_callers_until_it_answers(self):
        view = membership(info("n1"))
        view.heard("n1", "run", False, 0.0)
        view.unreachable("n1", 1.0)
        assert view.incarnation("n1") == ""
        view.answered("n1", 2.0)
        assert view.incarnation("n1") == "run"


class TestWrongList:
    def test_an_instance_dropped_wrongly_stays_while_it_speaks(self):
        """The platform's list drops a healthy instance. Its callers would be sent elsewhere."""
        view = membership(info("n1"))
        view.heard("n1", "run", False, 1.0)
        view.listed(whole(2, info("me")), 2.0)
        assert ids(view, 2.5) == {"me"}
        view.asked("n1", 3.0)
        assert ids(view, 3.5) == {"me", "n1"}
        assert ids(view, 14.0) == {"me"}

    def test_an_instance_that_the_list_lacks_still_is_used_once_it_spoke(self):
        view = membership()
        view.hello_received(Hello("n9", "run", "lton-a", address="n9:1", peer_address="n9:2"), 1.0)
        assert ids(view, 1.0) == {"me", "n9"}
        assert view.get("n9").peer_address == "n9:2"

    def test_ended_instances_are_forgotten(self):
        view = membership()
        for number in range(100):
            name = f"n{number}"
            view.heard(name, "run", False, float(number))
            view.listed(whole(2 * number + 2, info("me"), info(name)), float(number))
            view.listed(whole(2 * number + 3, info("me")), float(number))
        assert len(view._evidence) <= 20


class TestListChanges:
    def test_a_follower_reaches_the_same_list_by_changes(self):
        rng = Random(3)
        leader, follower = Membership("a"), Membership("b")
        for revision in range(1, 200):
            names = rng.sample(range(20), rng.randrange(20))
            listed = [info(f"n{n}", state=rng.choice(("live", "leaving"))) for n in names]
            leader.listed(whole(revision, *listed), 0.0)
            if rng.random() < 0.3:
                change = leader.changes_since(follower.revision)
                assert follower.listed(change, 0.0)
                assert set(follower._instances) == set(leader._instances)
                assert follower.revision == leader.revision

    @pytest.mark.parametrize(
        "change", [whole(1, info("x")), InstanceListUpdate(7, 9, (info("x"),))]
    )
    def test_an_older_list_or_one_on_another_base_is_not_taken(self, change):
        view = membership(info("n1"))
        assert not view.listed(change, 0.0)
        assert view.get("n1") is not None


class TestRelays:
    def test_each_domain_has_two_and_loses_one_of_them_at_a_time(self):
        instances = [info(f"n{n}", f"d{n % 4}") for n in range(40)]
        first, second = relays_of("d1", instances)
        rest = [i for i in instances if i.id != first]
        assert relays_of("d1", rest)[0] == second

    def test_others_watch_only_after_a_silence_of_their_relays(self):
        instances = [info(f"n{n}") for n in range(9)]
        relays = relays_of("lton-a", instances)
        name = next(i.id for i in instances if i.id not in relays)
        duty = PlatformWatchRole(name, "lton-a", 0.0, Random(1))
        assert duty.should_watch(instances, 0.0)
        duty.relay_message_received(1.0)
        assert not duty.should_watch(instances, 1.0 + RELAY_TIMEOUT_SECONDS)
        assert duty.should_watch(instances, 1.1 + 2 * RELAY_TIMEOUT_SECONDS)
        assert PlatformWatchRole(relays[0], "lton-a", 0.0, Random(1)).should_watch(instances, 0.0)

    def test_members_that_lose_their_relays_do_not_call_at_once(self):
        instances = [info(f"n{n}") for n in range(90)]
        relays = relays_of("lton-a", instances)
        starts = set()
        for number, instance in enumerate(i for i in instances if i.id not in relays):
            duty = PlatformWatchRole(instance.id, "lton-a", 0.0, Random(number))
            duty.relay_message_received(0.0)
            ticks = (t / 10 for t in range(1, 100))
            starts.add(next(t for t in ticks if duty.should_watch(instances, t)))
        assert len(starts) >= 15

    def test_gossip_keeps_to_few_partners_in_many_domains(self):
        instances = tuple(info(f"n{n}", f"d{n % 4}") for n in range(100))
        choice = GossipPartnerSelector("n0", Random(1))
        partners = {choice.partner(instances) for _ in range(200)}
        assert len(partners) == 6
        assert "n0" not in partners
        assert choice.partner((info("n0"),)) is None
