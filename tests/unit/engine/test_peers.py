"""Which links carry calls, and how often something is said on the others."""

import asyncio
from random import Random

from limpethollow_node.engine.frames import Heartbeat, QuotaAsk, QuotaGrant
from limpethollow_node.engine.process.peers import Peers
from limpethollow_node.engine.process.quarantines import Quarantines
from limpethollow_node.engine.process.roster import Roster
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.catchups import KnownState, Source
from limpethollow_policy.process.objectcaches import ObjectCache
from limpethollow_policy.process.placements import Instance
from limpethollow_policy.process.revisions import Revision
from limpethollow_policy.process.topology import (
    HEARTBEAT_SECONDS,
    SLOW_HEARTBEAT_SECONDS,
    WatchRole,
)

STRONG, WEAK = 2.0, 0.5
DOMAINS = "ab"


def fleet() -> list[Instance]:
    """Return 36 instances in two failure domains, of which 16 are strong."""
    found = []
    for number in range(36):
        strength = STRONG if number < 16 else WEAK
        domain = DOMAINS[number % 2]
        found.append(
            Instance(f"i-{number:02}", f"{number}:1", f"10.0.0.{number}:2", domain, strength)
        )
    return found


class FakeCatalog:
    known = KnownState()
    known_up_to = KnownState(1, 0, 0)
    version_number = 1

    def __init__(self) -> None:
        self.searchers = ObjectCache(lambda item: None, lambda name: None)
        self.instances = ObjectCache(lambda item: None, lambda name: None)
        self.delays: list[float] = []

    def confirm_version(self, delay: float) -> None:
        self.delays.append(delay)

    def confirm_searchers(self) -> None:
        """Take no note of it."""


class FakeLink:
    """A link on which the other end was just heard."""

    def __init__(self, instance: Instance, own_domain: str) -> None:
        self.name = instance.name
        self.source = Source(far=instance.failure_domain != own_domain)
        self.heartbeat_due = 0.0
        self.ready = True
        self.beats: list[Heartbeat] = []

    def is_silent(self, now: float) -> bool:
        return False

    def send_encoded(self, data: bytes, frame: object) -> None:
        if isinstance(frame, Heartbeat):
            self.beats.append(frame)


class Play:
    """One instance with links to all others.

    Args:
        own: Its number; below 16 it is strong.
    """

    def __init__(self, own: int) -> None:
        all_instances = fleet()
        self.roster = Roster(all_instances[own], lambda: None)
        self.roster.ready = True
        self.catalog = FakeCatalog()
        role = WatchRole(all_instances[own].name, Random(1))
        self.peers = Peers(
            self.roster,
            self.catalog,
            role,
            Random(1),
            Metrics(),
            Quarantines(Metrics(), lambda: 0.0),
        )
        self.links: dict[str, FakeLink] = {}
        for instance in all_instances:
            if instance.name != all_instances[own].name:
                self.roster.put(instance)
                link = FakeLink(instance, all_instances[own].failure_domain)
                self.links[instance.name] = self.peers._links[instance.name] = link

    def beat(self, times: int) -> None:
        """Say heartbeats that are due, twice a second."""

        async def run() -> None:
            now = asyncio.get_running_loop().time()
            for turn in range(times):
                moment = now + turn * HEARTBEAT_SECONDS
                asyncio.get_running_loop().time = lambda at=moment: at
                self.peers._run_cycle(moment)

        asyncio.run(run())


class TestHeartbeats:
    """Two thirds of the bytes between failure domains were heartbeats of 195 instances.

    Each said one twice a second to all relays and to one instance more in every failure domain,
    though most of these links never carried a call.
    """

    def test_they_are_rare_where_a_link_between_failure_domains_carries_no_calls(self):
        weak = Play(own=20)
        weak.beat(9)
        beats = {name: len(link.beats) for name, link in weak.links.items()}
        assert beats["i-22"] == 9
        assert beats["i-21"] == beats["i-01"] == 3

    def test_leading_instances_hear_of_each_other_twice_a_second(self):
        strong = Play(own=0)
        strong.beat(9)
        assert len(strong.links["i-01"].beats) == 9
        assert len(strong.links["i-21"].beats) == 3

    def test_each_says_how_long_to_wait_for_the_next_one(self):
        strong = Play(own=0)
        strong.beat(1)
        assert strong.links["i-01"].beats[0].interval == HEARTBEAT_SECONDS
        assert strong.links["i-21"].beats[0].interval == SLOW_HEARTBEAT_SECONDS

    def test_all_hear_at_once_that_an_instance_is_ready_no_more(self):
        weak = Play(own=20)
        weak.beat(1)
        weak.roster.ready = False
        weak.beat(1)
        assert [beat.ready for beat in weak.links["i-01"].beats] == [True, False]


class TestNear:
    def test_calls_go_to_leading_instances_while_there_are_any(self):
        """New connections to searchers doubled, and look-ups took 8 ms longer.

        A leading instance has a link to every weak one. They made most of the calls for it, each on
        a connection that was opened for it.
        """
        strong = Play(own=0)
        strong.beat(1)
        found = {link.name for _ in range(40) for link in strong.peers.near("b", 1, 0.0)}
        assert found == {f"i-{number:02}" for number in range(1, 16, 2)}

    def test_without_a_leading_one_they_go_to_another(self):
        strong = Play(own=0)
        strong.beat(1)
        for number in range(1, 16, 2):
            strong.peers.suspect(strong.links[f"i-{number:02}"], until=10.0)
        assert strong.peers.near("b", 1, 0.0)[0].name not in {f"i-{n:02}" for n in range(16)}


class TestQuotas:
    """Quotas need to know who has the same list of instances, and whether it is the store's."""

    def test_frames_reach_the_quotas_and_go_to_linked_instances_only(self):
        play = Play(own=0)
        got = []
        play.peers.on_quota_frame = lambda link, frame: got.append(frame)
        ask, grant = QuotaAsk(1, "t", 1.0), QuotaGrant(1, 1.0, 0.0)
        link = play.links["i-01"]
        play.peers._on_frame(link, ask)
        play.peers._on_frame(link, grant)
        assert got == [ask, grant]
        sent = []
        link.send = sent.append
        assert play.peers.send_to("i-01", ask, 0.0)
        assert sent == [ask]
        assert not play.peers.send_to("i-99", ask, 0.0)

    def test_a_follower_confirms_the_list_unless_it_knows_a_later_one(self):
        """An instance that lists the store at its start reports a later revision than the others.

        Their lists are the same; when equal revisions were demanded, it never held a part again.
        """
        play = Play(own=0)
        follower = play.links["i-01"]
        for link in play.links.values():
            link.follows = False
            link.source.known = KnownState(instances=7)
        play.peers._catalog.instances.changed_at = Revision(0, 9)
        play.peers._catalog.instances.revision = Revision(0, 9)
        assert not play.peers.hears_store_list(0.0)
        follower.follows = True
        assert play.peers.hears_store_list(0.0)
        follower.source.known = KnownState(instances=10)
        assert not play.peers.hears_store_list(0.0)
        assert "i-01" not in play.peers.without_newer_instances(0.0)
        assert play.peers.with_own_instances(0.0) == ["i-01"]


class TestConfirmations:
    def test_a_heartbeat_that_waited_confirms_the_version_at_the_time_it_was_sent(self):
        """Guards against a wrong 401 after a suspension: heartbeats from before it are read then.

        A key that was added meanwhile is not in the version that they confirm.
        """
        play = Play(0)
        link = play.links["i-01"]
        link.lag = lambda sent_at: 6.5
        link.heard_at = link.interval = 0.0
        play.peers._on_frame(link, Heartbeat(True, True, KnownState(1, 0, 0), 0.0, 0.5))
        assert play.catalog.delays == [6.5]
