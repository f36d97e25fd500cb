"""Who follows the store, and who only asks whether it is there."""

from random import Random

from limpethollow_node.engine.process.followers import StoreFollower
from limpethollow_policy.process.placements import Instance
from limpethollow_policy.process.topology import WatchRole, relays_among

EVERYONE = [Instance(f"i-{n}", f"{n}:1", f"{n}:2", "zone-a") for n in range(8)]
RELAY = next(iter(relays_among(EVERYONE)))
OTHER = next(instance.name for instance in EVERYONE if instance.name != RELAY)


class FakeFeed:
    connected = True
    listed = True
    active = False

    def set_active(self, active: bool) -> None:
        self.active = active


class FakeHealth:
    away = answers = urgent = active = False

    def set_active(self, active: bool) -> None:
        self.active = active


class FakeRoster:
    ready = True
    live = EVERYONE
    known = EVERYONE


class FakePeers:
    follows = False


def follower(name: str, roster=FakeRoster) -> tuple[StoreFollower, FakeFeed, FakeHealth]:
    feed, health = FakeFeed(), FakeHealth()
    role = WatchRole(name, Random(1))
    role.relay_heard(RELAY, 99.5)
    made = StoreFollower([feed], health, role, roster(), None, FakePeers(), None)
    return made, feed, health


class StartingRoster(FakeRoster):
    """Nobody is ready for callers yet."""

    ready = False
    live: list[Instance] = []


class UnreadyRelayRoster(FakeRoster):
    """This instance is not ready, and the others have not had the time to be silent."""

    ready = False
    live = [instance for instance in EVERYONE if instance.name != RELAY]


class TestStandingIn:
    """The store went away, and every instance tried to follow it, with three feeds each.

    No relay followed it any more, so all stood in for them, and all their calls failed.
    """

    def test_a_stand_in_waits_for_a_sign_of_the_store(self):
        made, feed, health = follower(OTHER)
        made.choose(103.0)
        made.choose(103.5)
        assert (health.active, feed.active) == (True, False)
        health.answers = True
        made.choose(103.75)
        assert feed.active

    def test_a_relay_and_one_that_knows_nothing_ask_the_store_itself(self):
        made, feed, _ = follower(RELAY)
        made.choose(100.0)
        assert feed.active
        made, feed, health = follower(OTHER)
        feed.listed = False
        made.choose(100.0)
        assert (feed.active, health.urgent) == (True, True)


class TestStart:
    """The system started, and its first configuration came 15 s later.

    Without it nobody was ready, so no instance counted as a relay, and all followed the store.
    """

    def test_a_few_follow_the_store_before_anybody_is_ready(self):
        made, feed, health = follower(OTHER, StartingRoster)
        made.choose(100.0)
        assert (health.active, feed.active) == (False, False)
        made, feed, _ = follower(RELAY, StartingRoster)
        made.choose(100.0)
        assert feed.active

    def test_a_relay_follows_the_store_before_it_is_ready_itself(self):
        """All 18 instances watched the store two seconds after they had started.

        Searchers registered seconds later, so nobody was ready. Each relay left itself out of those
        that count, took another one for the relay and waited for it.
        """
        made, feed, _ = follower(RELAY, UnreadyRelayRoster)
        made.choose(100.0)
        assert feed.active
