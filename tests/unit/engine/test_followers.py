"""Who follows the store, and who only asks whether it is there."""

import asyncio
from dataclasses import replace
from random import Random

from limpethollow_node.engine.process.followers import (
    FIRST_LIST_SECONDS,
    FIRST_START_SECONDS,
    RESTART_SECONDS,
    StoreFollower,
)
from limpethollow_policy.process.objectcaches import ObjectCache
from limpethollow_policy.process.placements import Instance
from limpethollow_policy.process.revisions import Revision
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
    own = EVERYONE[0]
    ready = True
    live = EVERYONE
    known = EVERYONE


class FakePeers:
    follows = False


class FakeCatalog:
    """Has listed some instances."""

    def __init__(self, *listed: Instance) -> None:
        self.instances = ObjectCache(lambda instance: None, lambda name: None)
        self.instances.replace({instance.name: instance for instance in listed}, Revision(1, 7))


class FakeEntry:
    """Keeps whether the own entry was found as it should be, as often as that was looked at."""

    missing = False

    def __init__(self) -> None:
        self.found: list[bool] = []
        self.joins = 0

    def look(self, listed: bool, era: int, now: float) -> bool:
        self.found.append(listed)
        return self.missing

    async def join(self) -> None:
        self.joins += 1
        await asyncio.sleep(0.01)


def follower(name: str, roster=FakeRoster) -> tuple[StoreFollower, FakeFeed, FakeHealth]:
    feed, health = FakeFeed(), FakeHealth()
    role = WatchRole(name, Random(1))
    role.relay_message_received(RELAY, 99.5)
    made = StoreFollower(feed, [], health, role, roster(), FakeCatalog(), FakePeers(), FakeEntry())
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


class Start:
    """An instance that starts, and has read nothing.

    Args:
        name: Its name.
        *listed: The instances that the store has.
        first: Whether all others start too, for the first time.
    """

    def __init__(self, name: str, *listed: Instance, first: bool = True) -> None:
        self.members, self.other, self.health = FakeFeed(), FakeFeed(), FakeHealth()
        self.entry = FakeEntry()
        self.members.listed = self.other.listed = False
        self.follower = StoreFollower(
            self.members,
            [self.other],
            self.health,
            WatchRole(name, Random(1)),
            StartingRoster(),
            FakeCatalog(*listed),
            FakePeers(),
            self.entry,
            first_start=first,
        )

    def choose(self, now: float) -> tuple[bool, bool]:
        """Decide; return whether the instances and whether the other kind are read now."""
        self.follower.choose(now)
        return self.members.active, self.other.active


class TestFirstStart:
    """195 instances started, and the store got 2,750 calls before the first request.

    Each listed all kinds, though the relays had them a tenth of a second after their own start.
    """

    def test_instances_are_read_first_and_the_rest_by_relays_alone(self):
        for name, expected in ((RELAY, True), (OTHER, False)):
            play = Start(name)
            assert play.choose(100.0) == (False, False)
            assert play.choose(100.0 + FIRST_LIST_SECONDS) == (True, False)
            play.members.listed = True
            assert play.choose(100.6) == (False, expected)

    def test_without_news_from_a_relay_all_is_read_in_the_end(self):
        play = Start(OTHER)
        play.members.listed = True
        play.choose(100.0)
        assert play.choose(100.0 + FIRST_START_SECONDS) == (False, True)
        assert play.health.urgent

    def test_news_from_a_relay_are_enough(self):
        play = Start(OTHER)
        play.members.listed = True
        play.choose(100.0)
        play.other.listed = True
        assert play.choose(101.0) == (False, False)
        assert not play.health.active


class TestRestart:
    """Guards against each instance that starts listing all searchers, 50 a call, for itself."""

    def test_all_but_relays_wait_for_a_peers_news(self):
        for name, expected in ((RELAY, True), (OTHER, False)):
            play = Start(name, first=False)
            assert play.choose(100.0) == (True, False)
            play.members.listed = True
            assert play.choose(100.1) == (False, expected)

    def test_without_news_from_a_peer_all_is_read_soon(self):
        play = Start(OTHER, first=False)
        play.members.listed = True
        play.choose(100.0)
        assert play.choose(100.0 + RESTART_SECONDS) == (False, True)
        assert play.health.urgent

    def test_a_store_that_does_not_give_the_instances_is_still_asked_for_the_rest(self):
        play = Start(OTHER, first=False)
        play.choose(100.0)
        assert play.choose(100.0 + RESTART_SECONDS) == (True, True)


class TestOwnEntry:
    """Guards against a write to the store at each restart, for an entry that says the same."""

    def look(self, *listed: Instance) -> list[bool]:
        play = Start(OTHER, *listed, first=False)
        play.members.listed = True
        play.choose(100.0)
        return play.entry.found

    def test_that_of_the_process_before_is_as_good(self):
        assert self.look(replace(FakeRoster.own, incarnation=3)) == [True]

    def test_one_with_another_address_is_not(self):
        assert self.look(replace(FakeRoster.own, address="9:9")) == [False]

    def test_none_is_not(self):
        assert self.look() == [False]

    def test_nothing_is_looked_for_before_the_instances_are_known(self):
        play = Start(OTHER, first=False)
        play.choose(100.0)
        assert play.entry.found == []

    def test_it_is_written_once_at_a_time(self):
        """Guards against two writes where the lists of several kinds come in the same moment."""
        assert asyncio.run(self.lists_in_one_moment()) == (1, 2)

    async def lists_in_one_moment(self) -> tuple[int, int]:
        play = Start(OTHER, first=False)
        play.members.listed = play.entry.missing = True
        play.choose(100.0)
        play.choose(100.0)
        await asyncio.sleep(0.02)
        at_first = play.entry.joins
        play.choose(100.1)
        await asyncio.sleep(0.02)
        return at_first, play.entry.joins
