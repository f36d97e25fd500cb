"""Evacuated failure domains: what stops at once, what goes on, and how they are used again."""

import asyncio
from random import Random

import pytest

from limpethollow_node.engine.frames import (
    Batch,
    BatchCall,
    BatchFailure,
    EvacuationUpdate,
    SearcherUpdate,
)
from limpethollow_node.engine.process.catalog import Catalog
from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.engine.process.pools import Call
from limpethollow_node.engine.request.attempts import Attempts
from limpethollow_node.engine.request.batchexecutions import BatchExecution
from limpethollow_node.engine.request.outgoing import Outgoing
from limpethollow_node.platform.headers import HEADERS
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.evacuations import Evacuation
from limpethollow_policy.process.fleets import Fleet
from limpethollow_policy.process.removals import REWRITE_GRACE_SECONDS
from limpethollow_policy.process.revisions import NOTHING_KNOWN
from limpethollow_policy.process.searchers import Searcher
from limpethollow_policy.process.sendbudgets import SendBudget
from limpethollow_policy.request.verdicts import Verdict
from limpethollow_policy.version.routes import CurrentVersion, ServiceLimits
from tests.support.searches import SearchPlay, VirtualExchange
from tests.support.virtual import VirtualDispatch, break_of, reply_of, request, route
from tests.unit.engine.test_catalog import FakeRoster, FleetDispatch

USUAL = 0.02


def fleet_of(*domains: str) -> Fleet:
    """Return a fleet with one searcher of a service in each failure domain."""
    fleet = Fleet("a", Random(1))
    for domain in domains:
        fleet.put(Searcher(f"i-{domain}", "s", "10.0.0.1:80", domain, 2), 0.0)
    return fleet


class TestChoice:
    def test_a_searcher_there_is_never_chosen(self):
        fleet = fleet_of("a", "b")
        fleet.evacuate("a")
        assert fleet.choose("s", 1.0, USUAL).searcher.id == "i-b"
        fleet.evacuate("b")
        assert fleet.choose("s", 1.0, USUAL) is None

    def test_one_that_registers_there_later_is_not_chosen_either(self):
        """Guards against calls to a searcher that started after its domain was evacuated."""
        fleet = fleet_of("b")
        fleet.evacuate("a")
        fleet.put(Searcher("i-a", "s", "10.0.0.1:80", "a", 2), 1.0)
        assert fleet.choose("s", 1.0, USUAL).searcher.id == "i-b"

    def test_a_restored_domain_is_used_again(self):
        fleet = fleet_of("a")
        fleet.evacuate("a")
        fleet.restore("a", 1.0)
        assert fleet.choose("s", 2.0, USUAL).searcher.id == "i-a"

    def test_callers_are_not_sent_to_its_instances_for_the_searchers_near_them(self):
        fleet = fleet_of("a", "b")
        fleet.evacuate("a")
        assert fleet.domains(["s"]) == {"b": 1}

    def test_no_time_is_told_for_a_service_that_has_searchers_there_only(self):
        fleet = fleet_of("a")
        fleet.evacuate("a")
        assert fleet.wait("s", 1.0) == float("inf")


class TestRequests:
    def play(self) -> tuple[VirtualDispatch, Attempts, list[Attempts]]:
        dispatch = VirtualDispatch()
        dispatch.add("s", "i-a", "a")
        dispatch.add("s", "i-b", "b")
        ended: list[Attempts] = []
        exchange = VirtualExchange(request(), dispatch.loop.time())
        outgoing = Outgoing.of(exchange, route(), dispatch)
        return dispatch, Attempts(dispatch, outgoing, "s", ended.append), ended

    def test_a_call_that_was_sent_before_is_not_cut(self):
        dispatch, tries, ended = self.play()
        tries.start()
        dispatch.fleet.evacuate("a")
        reply_of(dispatch.played[0][1])
        assert ended[0].verdict is Verdict.ANSWERED

    def test_a_second_send_does_not_go_there(self):
        """Guards against retries and hedges that reach an evacuated domain."""
        dispatch, tries, ended = self.play()
        dispatch.fleet.evacuate("b")
        tries.start()
        tries.hedge()
        break_of(dispatch.played[0][1], sent=True)
        assert {replica.searcher.id for replica, _ in dispatch.played} == {"i-a"}

    def test_a_search_is_answered_without_the_shards_that_are_there_only(self):
        def evacuate(dispatch: VirtualDispatch) -> None:
            for name in ("s-3-1", "s-3-2"):
                dispatch.fleet.get(name).evacuated = True

        play = SearchPlay(shards=4, prepare=evacuate)
        for shard in range(3):
            play.answer(shard)
        assert play.exchange.replies[0].status == 200
        assert play.exchange.replies[0].header(HEADERS.missing_parts) == b"1"


class TestWaitingCalls:
    """Guards against a call that waits for a connection and is sent seconds later."""

    def test_they_fail_unsent_when_the_domain_is_evacuated(self):
        assert asyncio.run(self.play()) == [("ConnectionError", False)]

    async def play(self) -> list[tuple[str, bool]]:
        listener = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()
        fleet = Fleet("a", Random(1))
        dispatch = Dispatch(fleet, SendBudget(0.2, 50, 10.0), HEADERS, Metrics())
        dispatch.put_searcher(Searcher("i-a", "s", f"{host}:{port}", "a", 2))
        ended: list[tuple[str, bool]] = []
        call = Call(
            lambda: b"",
            lambda reply: None,
            lambda error: ended.append((type(error).__name__, call.sent)),
            head=False,
        )
        dispatch.send(fleet.get("i-a"), call)
        dispatch.evacuate("a")
        listener.close()
        return ended


class RecordingLink:
    def __init__(self) -> None:
        self.frames: list = []

    def send(self, frame) -> None:
        self.frames.append(frame)


class TestBatches:
    def test_an_instance_makes_no_calls_there_for_others(self):
        """Guards against batches of instances that have not heard of the evacuation yet."""
        dispatch, link = VirtualDispatch(), RecordingLink()
        dispatch.add("s", "i-a", "a")
        dispatch.fleet.evacuate("a")
        now = dispatch.loop.time()
        calls = [BatchCall("s", "i-a")]
        frame = Batch(1, b"GET / HTTP/1.1\r\n", b"", b"r1", calls, 5, 1.0, 0.1, now)
        BatchExecution(dispatch, link, frame, lambda: None).start()
        assert not dispatch.played
        assert link.frames == [
            BatchFailure(1, "s", Verdict.NOT_SENT.value, 0, "searcher_not_in_service")
        ]


class EvacuatingDispatch(FleetDispatch):
    def evacuate(self, domain: str) -> None:
        self.fleet.evacuate(domain)

    def restore(self, domain: str) -> None:
        self.fleet.restore(domain, self.loop.time())


class FakeEngine:
    versions = CurrentVersion()


def catalog_of(dispatch: EvacuatingDispatch) -> Catalog:
    return Catalog(dispatch, FakeEngine(), FakeRoster(), 0.0, lambda version: None)


class TestNews:
    @pytest.fixture
    def dispatch(self) -> EvacuatingDispatch:
        return EvacuatingDispatch()

    @pytest.fixture
    def catalog(self, dispatch) -> Catalog:
        return catalog_of(dispatch)

    def test_evacuations_come_and_go_with_news(self, dispatch, catalog):
        catalog.apply_evacuations(EvacuationUpdate(None, 7, [Evacuation("a")], []))
        assert dispatch.fleet.evacuated == {"a"}
        catalog.apply_evacuations(EvacuationUpdate(7, 9, [Evacuation("b")], ["a"]))
        assert dispatch.fleet.evacuated == {"b"}

    def test_older_news_change_nothing(self, dispatch, catalog):
        """Guards against a restored domain that an old word from a peer evacuates again."""
        catalog.apply_evacuations(EvacuationUpdate(None, 7, [Evacuation("a")], []))
        catalog.apply_evacuations(EvacuationUpdate(None, 9, [], []))
        catalog.apply_evacuations(EvacuationUpdate(None, 8, [Evacuation("a")], []))
        assert dispatch.fleet.evacuated == set()

    def test_one_that_the_stores_older_copy_lacks_holds_until_it_could_be_written_again(
        self, dispatch, catalog
    ):
        """Guards against requests to an evacuated domain after the store has lost the order."""
        catalog.apply_evacuations(
            EvacuationUpdate(None, 7, [Evacuation("a"), Evacuation("b")], [], 1)
        )
        catalog.apply_evacuations(EvacuationUpdate(None, 5, [], [], 2))
        assert dispatch.fleet.evacuated == {"a", "b"}
        catalog.apply_evacuations(EvacuationUpdate(5, 6, [Evacuation("a")], [], 2))
        catalog.tick(dispatch.loop.time() + REWRITE_GRACE_SECONDS)
        assert dispatch.fleet.evacuated == {"a"}

    def test_that_there_are_none_is_news_too(self, catalog):
        """Guards against each starting instance listing the store for what its peers know."""
        nobody = catalog_of(EvacuatingDispatch())
        catalog.apply_evacuations(EvacuationUpdate(None, 7, [], []))
        assert catalog.known.is_ahead_of(nobody.known_up_to)
        nobody.apply_evacuations(catalog.evacuations_since(NOTHING_KNOWN))
        assert not catalog.known.is_ahead_of(nobody.known_up_to)

    def test_searchers_that_are_heard_of_later_are_not_used_there(self, dispatch, catalog):
        catalog.apply_evacuations(EvacuationUpdate(None, 7, [Evacuation("a")], []))
        one = Searcher("i-a", "s", "10.0.0.1:80", "a", 2)
        catalog.apply_searchers(SearcherUpdate(None, 8, [one], []))
        assert dispatch.fleet.choose("s", 100.0, USUAL) is None


class TestRestoredSearchers:
    def test_they_count_as_cold(self):
        """Guards against all instances sending the usual load to searchers that are cold now."""
        fleet = fleet_of("a")
        fleet.apply_cold_start_limits({"s": ServiceLimits(54, cold_seconds=3.0, cold_rate=2.0)})
        fleet.share_among(4.0)
        fleet.evacuate("a")
        fleet.restore("a", 10.0)
        replica = fleet.get("i-a")
        assert replica.cold_start.is_cold(12.9)
        assert not replica.cold_start.is_cold(13.1)
