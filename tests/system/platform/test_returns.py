"""The store comes back from a copy that is some seconds old; revisions are given out again."""

import time

import pytest

from limpethollow_node.engine.process.failuredetector import ALONE_SECONDS
from tests.standins.backends import BackendStandIn
from tests.support.crashes import send_crashing, start_search
from tests.support.platforms import (
    PlatformInstance,
    PlatformSystem,
    forward_route,
    two_domains,
)
from tests.support.processes import wait_for

# Changes of other searchers that the copy doesn't have.
LOST = 8
# A draining searcher must get nothing later than this; the setting `drainMs`.
DRAIN_SECONDS = 3.0
WATCHED_SECONDS = 1.0
# Searchers that lost their entries write them again this much later.
REWRITTEN_SECONDS = 1.5
# Lists of the new era are read within this time of the first answer of it.
NEWS_SECONDS = 0.5
# An instance that has just started waits up to this long after changes until it watches again.
LONGEST_PAUSE_SECONDS = 1.5
# The other searcher is slower than the draining one, which is chosen wherever it may be.
SLOW_SECONDS = 0.1


def change_others(system: PlatformSystem, count: int) -> None:
    """Let searchers of another service write, so that the store's revision rises."""
    for number in range(count):
        other = BackendStandIn("other", f"o-{number}")
        other._port = 9
        system.store.put("servers", other.name, other.entry())


def lose_changes(system: PlatformSystem, *, settle: float = 0.0) -> None:
    """Make changes that instances take in, wait, and go back to a copy without them."""
    kept = system.store.copy()
    change_others(system, LOST)
    for instance in system.instances:
        wait_for(
            lambda instance=instance: f"searchers_known {LOST + 2}" in instance.metrics(),
            "the changes are known",
        )
    time.sleep(settle)
    system.store.restore(kept)


def wait_linked(instance: PlatformInstance) -> None:
    """Wait until an instance hears one other."""
    wait_for(lambda: "instances_heard 1" in instance.metrics(), "the instances are linked")


def drain(system: PlatformSystem, *instances: PlatformInstance) -> None:
    """Let a searcher drain, and check that it gets nothing once its time is over."""
    draining = system.backends[0]
    system.store.put("servers", draining.name, draining.entry(state="draining"))
    check_drained(draining, *instances)


def check_drained(draining: BackendStandIn, *instances: PlatformInstance) -> None:
    """Check that a searcher that drains from now on gets nothing once its time is over."""
    drained_at = time.monotonic()
    while time.monotonic() < drained_at + DRAIN_SECONDS + WATCHED_SECONDS:
        for instance in instances:
            assert instance.ask("/get/x").status == 200
    late = [seen.at - drained_at for seen in draining.seen if seen.at > drained_at + DRAIN_SECONDS]
    assert late == []


@pytest.fixture
def desk(system):
    """A service with two searchers."""
    system.backend("desk", "i-1")
    system.backend("desk", "i-2", work=SLOW_SECONDS)
    system.configure(1, forward_route("desk"))
    return system


class TestDrainAfterAReturn:
    """Guards against beliefs that ignore all news while the store's revisions are lower."""

    def test_a_searcher_that_drains_gets_nothing_more(self, desk):
        instance = desk.instance()
        lose_changes(desk)
        drain(desk, instance)

    def test_it_is_known_where_the_revision_has_passed_the_old_one(self, desk):
        """Guards against a watch that goes on from a revision of the time before the return."""
        instance = desk.instance()
        lose_changes(desk)
        draining = desk.backends[0]
        desk.store.put("servers", draining.name, draining.entry(state="draining"))
        change_others(desk, 2 * LOST)
        check_drained(draining, instance)

    @pytest.mark.parametrize("era", [None, 0, 1])
    def test_it_is_known_where_the_store_keeps_the_watches_of_the_time_before(self, desk, era):
        """Guards against a first return that isn't noticed, as the era before it was none or 0."""
        desk.store.era = era
        desk.store.cuts_watches = False
        instance = desk.instance()
        lose_changes(desk, settle=LONGEST_PAUSE_SECONDS)
        drain(desk, instance)

    def test_instances_that_hear_of_it_from_a_relay_know_too(self, desk):
        instances = [desk.instance(f"front-{number}") for number in range(3)]
        lose_changes(desk)
        drain(desk, *instances)

    def test_an_instance_that_starts_after_the_return_does_not_learn_old_news(self, desk):
        """Guards against a start that takes the belief of the time before from its peers."""
        first, restarted = desk.instance("front-1"), desk.instance("front-2")
        lose_changes(desk)
        restarted.kill()
        restarted.start()
        restarted.wait_ready()
        wait_linked(restarted)
        drain(desk, first, restarted)


class TestCalmTraffic:
    def test_no_request_fails_while_lost_entries_are_written_again(self, system):
        """Guards against a return that takes all searchers out of use until they have written."""
        system.configure(1, forward_route("desk"))
        kept = system.store.copy()
        searchers = [system.backend("desk", name) for name in ("i-1", "i-2")]
        instances = [system.instance(f"front-{number}") for number in range(2)]
        for instance in instances:
            wait_linked(instance)
        system.store.restore(kept)
        assert set(ask_for(REWRITTEN_SECONDS, *instances)) == {200}
        for searcher in searchers:
            system.store.put("servers", searcher.name, searcher.entry())
        assert set(ask_for(DRAIN_SECONDS, *instances)) == {200}
        assert system.store.names("instances") == {"front-0", "front-1"}

    def test_a_lost_own_entry_is_written_again_once(self, system):
        """Guards against an instance that nobody who starts after a return hears of."""
        system.configure(1, forward_route("desk"))
        system.backend("desk", "i-1")
        kept = system.store.copy()
        system.instance("front-1")
        wait_for(lambda: "front-1" in system.store.names("instances"), "it is listed")
        writes = system.store.calls["create"] + system.store.calls["replace"]
        system.store.restore(kept)
        wait_for(lambda: "front-1" in system.store.names("instances"), "it is listed again", 4.0)
        time.sleep(WATCHED_SECONDS)
        assert system.store.calls["create"] + system.store.calls["replace"] - writes <= 2


class TestQuarantines:
    @pytest.mark.parametrize("away", [0.0, 2.0])
    def test_a_lost_quarantine_is_written_again(self, system, away):
        """Guards against crashing requests that run again at a start of all after a return."""
        searchers, instances = start_search(system)
        kept = system.store.copy()
        send_crashing(searchers, instances, "/find/", times=1)
        wait_for(lambda: system.store.names("quarantines"), "the store has it")
        system.store.refuses = away > 0
        time.sleep(away)
        system.store.restore(kept)
        system.store.refuses = False
        wait_for(lambda: system.store.names("quarantines"), "the store has it again", 4.0)


class TestEvacuations:
    def test_one_that_the_copy_lacks_holds_until_it_is_written_again(self, system):
        """Guards against requests to an evacuated failure domain between return and operator."""
        evacuated = two_domains(system)
        other = system.backends[1]
        instance = system.instance()
        kept = system.store.copy()
        system.store.put("evacuations", "zone-a", {})
        wait_for(lambda: instance.events(407), "the evacuation is known")
        reached = len(evacuated.seen)
        system.store.restore(kept)
        assert set(ask_for(REWRITTEN_SECONDS, instance)) == {200}
        system.store.put("evacuations", "zone-a", {})
        assert set(ask_for(DRAIN_SECONDS, instance)) == {200}
        assert (len(evacuated.seen), instance.events(408)) == (reached, [])
        assert other.seen

    def test_one_that_is_taken_back_after_the_return_ends(self, system):
        """Guards against an evacuation that outlasts its end while revisions are low."""
        two_domains(system)
        system.store.put("evacuations", "zone-a", {})
        instance = system.instance()
        lose_changes(system)
        wait_for(lambda: instance.events(217), "the return is known")
        time.sleep(NEWS_SECONDS)
        system.store.take_away("evacuations", "zone-a")
        wait_for(lambda: instance.events(408), "the end is known", DRAIN_SECONDS)


class TestDirectory:
    @pytest.mark.parametrize("others", [1, 2])
    def test_an_instance_that_is_gone_is_not_named_as_the_copy_has_it(self, desk, others):
        """Guards against callers that are sent to an address which the drill brought back."""
        live = [desk.instance(f"front-{number}") for number in range(others)]
        gone = desk.instance("front-gone")
        for instance in live:
            wait_for(lambda i=instance: f"instances_heard {others}" in i.metrics(), "linked")
        kept = desk.store.copy()
        gone.kill()
        own = {f"127.0.0.1:{instance.front}" for instance in live}
        time.sleep(ALONE_SECONDS)
        desk.store.take_away("instances", "front-gone")
        for instance in live:
            assert set(instance.addresses()) == own
        desk.store.restore(kept)
        until = time.monotonic() + DRAIN_SECONDS
        while time.monotonic() < until:
            for instance in live:
                assert set(instance.addresses()) == own


def ask_for(seconds: float, *instances: PlatformInstance) -> list[int]:
    """Send requests for some seconds, and return the statuses of the answers."""
    until = time.monotonic() + seconds
    statuses = []
    while time.monotonic() < until:
        statuses += [instance.ask("/get/x").status for instance in instances]
    return statuses
