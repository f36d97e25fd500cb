"""Which evidence says that a searcher is leaving, and what follows from it."""

from random import Random

import pytest

from limpethollow_policy.connection.drains import LISTING_TRUSTED_SECONDS as LONG
from limpethollow_policy.connection.drains import PROBE_SECONDS, DrainEvidence
from limpethollow_policy.process.schedulers import GroupScheduler
from limpethollow_policy.request.events import (
    Failure,
    GrantSlot,
    NotifyDrain,
    Search,
    SlotRequest,
    StartCall,
)
from limpethollow_policy.version.groups import partition_service
from limpethollow_wire.searches import SearcherReply
from limpethollow_wire.services import SearcherSpec, ServiceSpec

STEPS = {
    "leaves": lambda evidence, at: evidence.said(True, at),
    "stays": lambda evidence, at: evidence.said(False, at),
    "refuses": lambda evidence, at: evidence.refused(),
    "listed": lambda evidence, at: evidence.listed(True, at),
    "unlisted": lambda evidence, at: evidence.listed(False, at),
}


def after(steps: str, configured: bool = False) -> bool:
    """Return whether the searcher counts as leaving after steps such as `leaves@1 stays@2`."""
    evidence = DrainEvidence(configured)
    for step in steps.split():
        name, _, at = step.partition("@")
        STEPS[name](evidence, float(at))
    return evidence.is_leaving()


class TestEvidenceOrder:
    @pytest.mark.parametrize(
        ("story", "steps", "leaving"),
        [
            ("nothing is known", "", False),
            ("its reply says so", "leaves@1", True),
            ("it was called off", "leaves@1 stays@2", False),
            ("a late notice does not beat its newer reply", "stays@2 leaves@1", False),
            ("a late all-clear does not beat its newer word", "leaves@2 stays@1", True),
            ("the list comes first", "listed@1", True),
            ("a reply from before the listing", "stays@0.5 listed@1", True),
            ("a reply after the listing, but it never left", "listed@1 stays@2", True),
            ("it left and returned while the list lags", "listed@1 leaves@2 stays@3", False),
            ("it was restarted while the list lags", "listed@1 refuses@2 stays@3", False),
            ("it has said for long that it stays", f"listed@1 stays@{1 + LONG}", False),
            ("the list shows it live again", "listed@1 unlisted@2", False),
            ("the list shows it live, its own word does not", "leaves@1 unlisted@2", True),
            ("the list lags behind its return", "leaves@1 listed@2 stays@3", False),
        ],
    )
    def test_strongest_evidence_wins(self, story, steps, leaving):
        assert after(steps) is leaving, story

    def test_configuration_beats_the_searchers_own_word(self):
        assert after("stays@5", configured=True)

    def test_probe_is_asked_for_once_a_while_and_only_while_leaving(self):
        evidence = DrainEvidence(configured=False)
        assert not evidence.wants_probe(0.0)
        evidence.said(True, 0.0)
        assert evidence.wants_probe(1.0)
        assert not evidence.wants_probe(1.0 + PROBE_SECONDS / 2)
        assert evidence.wants_probe(1.0 + PROBE_SECONDS)


def scheduler() -> GroupScheduler:
    searchers = tuple(SearcherSpec(f"s{n}", f"127.0.0.1:{n + 1}", (0,)) for n in range(2))
    spec = ServiceSpec("finder", shards=1, searchers=searchers)
    return GroupScheduler(spec, partition_service(spec)[0], Random(1))


def search(name: str, now: float) -> Search:
    return Search(name, "firm", {}, frozenset((0,)), deadline=now + 5.0, epoch=1)


def reply(draining: bool = False) -> SearcherReply:
    return SearcherReply("r", "finder", 1, draining, {"0": (1,)})


def answer_inventories(group: GroupScheduler, actions: list, now: float, **draining: bool) -> list:
    """Answer all inventory calls among the actions; return what follows from them."""
    following = []
    for action in actions:
        if isinstance(action, StartCall) and not action.queries:
            word = reply(draining.get(action.searcher_id, False))
            following += group.call_answered(action.call_id, word, now)
    return following


def called(actions: list) -> set[str]:
    return {a.searcher_id for a in actions if isinstance(a, StartCall) and a.queries}


class TestNoNewWork:
    def test_searcher_that_says_it_leaves_gets_no_search_and_the_owners_are_told(self):
        group = scheduler()
        actions = group.search_arrived(search("a", 0.0), 0.0)
        following = answer_inventories(group, actions, 0.0, s0=True)
        assert NotifyDrain("s0", True) in following
        assert called(following) == {"s1"}

    def test_notice_from_a_peer_stops_new_work_though_the_last_reply_said_otherwise(self):
        """Another owner heard that the searcher leaves; this one last heard from it long ago.

        Without the notice this owner goes on until its own next reply from the searcher.
        """
        group = scheduler()
        answer_inventories(group, group.search_arrived(search("a", 0.0), 0.0), 0.0)
        group.drain_reported("s0", draining=True, reported_at=0.5, listed=False, now=0.6)
        group.drain_reported("s1", draining=True, reported_at=-0.5, listed=False, now=0.6)
        actions = group.search_arrived(search("b", 0.7), 0.7)
        assert called(actions) <= {"s1"}

    def test_leaving_searcher_is_asked_with_traffic_only_and_gets_work_once_it_is_back(self):
        group = scheduler()
        actions = group.search_arrived(search("a", 0.0), 0.0)
        answer_inventories(group, actions, 0.0, s0=True)
        assert not [a for a in group.tick(60.0) if isinstance(a, StartCall)]
        actions = group.search_arrived(search("b", 60.0), 60.0)
        assert "s0" in {a.searcher_id for a in actions if isinstance(a, StartCall)}
        following = answer_inventories(group, actions, 60.0)
        assert NotifyDrain("s0", False) in following
        assert not group.replicas["s0"].draining

    def test_booking_asks_the_other_holder_where_the_fresh_one_is_busy(self):
        """One searcher's inventory call is lost, and the other one's slots are all taken.

        If only bookings without any fresh holder asked, this one would wait for its deadline while
        a searcher stands idle.
        """
        group = scheduler()
        actions = group.slot_requested(SlotRequest("a", 0, deadline=5.0), 0.0)
        calls = {a.searcher_id: a.call_id for a in actions if isinstance(a, StartCall)}
        group.call_answered(calls["s0"], reply(), 0.1)
        group.slot_requested(SlotRequest("b", 0, deadline=5.0), 0.1)
        group.call_failed(calls["s1"], Failure.TIMEOUT, None, 0.25)
        actions = group.slot_requested(SlotRequest("c", 0, deadline=5.0), 0.3)
        (call,) = [a for a in actions if isinstance(a, StartCall)]
        following = group.call_answered(call.call_id, reply(), 0.4)
        assert [a.searcher_id for a in following if isinstance(a, GrantSlot)] == ["s1"]

    def test_booking_after_a_quiet_hour_asks_before_it_is_sent(self):
        """A searcher left an hour ago, and nobody asked it since. A dispatcher books.

        By the evidence of an hour ago the booking would go to the searcher that left.
        """
        group = scheduler()
        answer_inventories(group, group.search_arrived(search("a", 0.0), 0.0), 0.0)
        actions = group.slot_requested(SlotRequest("b", 0, deadline=3605.0), 3600.0)
        assert not [a for a in actions if isinstance(a, GrantSlot)]
        following = answer_inventories(group, actions, 3600.0, s0=True)
        grants = [a for a in following if isinstance(a, GrantSlot)]
        assert [g.searcher_id for g in grants] == ["s1"]
