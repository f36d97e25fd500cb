"""Searchers that state in their replies for how long they stay cold."""

import logging
from random import Random

import pytest

from limpethollow_node.engine.frames import (
    Batch,
    BatchCall,
    BatchFailure,
    BatchParts,
    decode_frame,
    encode_frame,
)
from limpethollow_node.engine.messages import Reply
from limpethollow_node.engine.request.attempts import Attempts
from limpethollow_node.engine.request.batches import BatchManager
from limpethollow_node.engine.request.batchexecutions import BatchExecution
from limpethollow_node.engine.request.carriers import BatchingCarrier
from limpethollow_node.engine.request.outgoing import Outgoing
from limpethollow_node.engine.request.sends import Send
from limpethollow_node.platform.headers import HEADERS
from limpethollow_policy.process.fleets import Fleet
from limpethollow_policy.process.searchers import Searcher
from limpethollow_policy.request.verdicts import Verdict
from limpethollow_policy.version.routes import ServiceLimits
from limpethollow_wire.codecs import from_cbor, to_cbor
from tests.support.searches import VirtualExchange
from tests.support.virtual import VirtualDispatch, request, route
from tests.unit.engine.test_batchworks import RecordingLink
from tests.unit.engine.test_carriers import FakeLinks, Owner
from tests.unit.engine.test_coldstarts import COLD_SECONDS, fleet_of, replica_of


def entry(**fields) -> Searcher:
    return Searcher("i-1", "s", "10.0.0.1:80", "a", 2, **fields)


def cold_reply(value: bytes, status: int = 200) -> Reply:
    headers = [(b"X-Limpethollow-Cold-Ms", value), (HEADERS.request_id, b"r1")]
    headers.append((HEADERS.proof, b"proof") if status == 200 else (HEADERS.not_run, b"1"))
    return Reply(status, headers, b"body")


class TestNewerStatement:
    def test_a_reply_marks_it_cold_for_that_long(self):
        fleet = fleet_of(8)
        assert fleet.cold_stated(replica_of(fleet), 2.0, 105.0)
        assert replica_of(fleet).cold_start.is_cold(106.9)
        assert not replica_of(fleet).cold_start.is_cold(107.1)

    def test_its_calls_are_paced_as_those_of_one_with_a_cold_entry(self):
        """Guards against the usual load on a searcher that just said that it is cold."""
        fleet = fleet_of(8)
        fleet.cold_stated(replica_of(fleet), 2.0, 105.0)
        replica_of(fleet).sent(105.0)
        assert not replica_of(fleet).takes_calls(105.3)

    @pytest.mark.parametrize("seconds", [0.0, 0.5])
    def test_a_reply_replaces_an_older_entry(self, seconds):
        fleet = fleet_of(8, cold_left=COLD_SECONDS)
        assert not fleet.cold_stated(replica_of(fleet), seconds, 101.0)
        assert not replica_of(fleet).cold_start.is_cold(101.1 + seconds)

    @pytest.mark.parametrize("seconds", [1.0, 9.0])
    def test_an_entry_replaces_an_older_reply(self, seconds):
        """Guards against the longer statement that counts instead of the newer one."""
        fleet = fleet_of(8)
        fleet.cold_stated(replica_of(fleet), 5.0, 101.0)
        fleet.put(entry(cold_left=seconds), 102.0)
        assert replica_of(fleet).cold_start.is_cold(102.0 + seconds - 0.1)
        assert not replica_of(fleet).cold_start.is_cold(102.0 + seconds + 0.1)

    def test_an_entry_that_changed_elsewhere_repeats_nothing(self):
        """Guards against an old cold time in an entry that overrides the searcher's own `0`."""
        fleet = fleet_of(8, cold_left=COLD_SECONDS)
        fleet.cold_stated(replica_of(fleet), 0.0, 101.0)
        fleet.put(entry(cold_left=COLD_SECONDS, draining=True), 101.5)
        assert not replica_of(fleet).cold_start.is_cold(101.6)

    def test_a_restored_domain_counts_as_cold_whatever_was_stated(self):
        """Guards against a statement from before an evacuation that shortens the cold time."""
        fleet = fleet_of(8)
        fleet.cold_stated(replica_of(fleet), 0.0, 101.0)
        fleet.evacuate("a")
        fleet.restore("a", 110.0)
        assert replica_of(fleet).cold_start.is_cold(110.0 + COLD_SECONDS - 0.1)

    def test_a_statement_ends_with_its_process(self):
        fleet = fleet_of(8)
        fleet.cold_stated(replica_of(fleet), 60.0, 101.0)
        fleet.put(entry(incarnation=2), 102.0)
        assert not replica_of(fleet).cold_start.is_cold(102.1)

    @pytest.mark.parametrize("seconds", [0.0, 1.0])
    def test_one_that_could_not_be_reached_is_cold_for_as_long_as_it_states(self, seconds):
        """Guards against a guessed cold time that replaces the stated one."""
        fleet = fleet_of(8)
        fleet.unreachable(replica_of(fleet), 110.0)
        fleet.cold_stated(replica_of(fleet), seconds, 120.0)
        replica_of(fleet).observe(1.0, 120.0)
        assert not replica_of(fleet).cold_start.is_cold(120.1 + seconds)

    def test_without_a_rate_no_call_is_held_back(self):
        fleet = Fleet("a", Random(1))
        fleet.put(entry(), 100.0)
        fleet.cold_stated(fleet.get("i-1"), 5.0, 101.0)
        assert fleet.get("i-1").takes_calls(101.0)


class TestReplies:
    def play(self, reply: Reply) -> VirtualDispatch:
        dispatch = VirtualDispatch()
        dispatch.add("s", "i-1")
        exchange = VirtualExchange(request(), dispatch.loop.time())
        outgoing = Outgoing.of(exchange, route(), dispatch)
        Attempts(dispatch, outgoing, "s", lambda tries: None).start()
        call = dispatch.played[0][1]
        call.sent = True
        call.on_reply(reply)
        return dispatch

    @pytest.mark.parametrize("status", [200, 503])
    def test_any_reply_counts(self, status):
        """Guards against a cold searcher that refuses and is called on at the usual rate."""
        dispatch = self.play(cold_reply(b"2000", status))
        assert dispatch.fleet.get("i-1").cold_start.is_cold(101.9)
        assert not dispatch.fleet.get("i-1").cold_start.is_cold(102.1)
        assert dispatch.metrics.value("searchers_stated_cold") == 1

    @pytest.mark.parametrize(
        "value", [b"", b"-1", b"1.5", b"soon", b"1 2", b"1e3", b"\xb2", b"1" * 10]
    )
    def test_a_malformed_value_is_ignored_and_logged(self, value, caplog):
        """Guards against a reply that is lost, or a searcher that is cold, for a bad header."""
        caplog.set_level(logging.DEBUG, logger="limpethollow")
        dispatch = self.play(cold_reply(value))
        replica = dispatch.fleet.get("i-1")
        assert not replica.cold_start.is_cold(100.1)
        assert not replica.cold_start.is_stated
        assert replica.failures == 0
        assert [r.event for r in caplog.records if r.event == 553] == [553]
        assert dispatch.metrics.value("cold_statements_unreadable") == 1

    def test_a_reply_without_it_states_nothing(self):
        dispatch = self.play(Reply(200, [(HEADERS.request_id, b"r1"), (HEADERS.proof, b"proof")]))
        assert not dispatch.fleet.get("i-1").cold_start.is_stated


class TestBatches:
    def test_the_instance_that_made_the_calls_learns_it_and_passes_it_on(self):
        """Guards against a sender that chooses cold searchers since it sees no reply itself."""
        dispatch, link = VirtualDispatch(), RecordingLink()
        for shard in ("s", "t", "u"):
            dispatch.add(shard, f"{shard}-1")
        calls = [BatchCall(shard, f"{shard}-1") for shard in ("s", "t", "u")]
        frame = Batch(7, b"GET / HTTP/1.1\r\n", b"", b"r1", calls, 5, 1.0, 0.02, 100.0)
        BatchExecution(dispatch, link, frame, lambda: None).start()
        without = Reply(200, [(HEADERS.request_id, b"r1"), (HEADERS.proof, b"other")], b"body")
        replies = (cold_reply(b"2000"), cold_reply(b"3000", 503), without)
        for (_, call), reply in zip(dispatch.played, replies, strict=True):
            call.sent = True
            call.on_reply(reply)
        assert dispatch.fleet.get("s-1").cold_start.is_cold(101.9)
        found = [decode_frame(encode_frame(each)) for each in link.sent]
        assert [f.cold_ms for f in found if isinstance(f, BatchFailure)] == [3000]
        assert [f.cold_ms for f in found if isinstance(f, BatchParts)] == [{"s": 2000}]

    def test_the_instance_that_sent_the_batch_marks_the_searchers(self):
        dispatch, links = VirtualDispatch(), FakeLinks()
        desk = BatchManager(dispatch, links)
        shards = ("s", "t", "u")
        exchange = VirtualExchange(request(), dispatch.loop.time())
        outgoing = Outgoing.of(exchange, route(shards=shards, top=5), dispatch)
        carrier = BatchingCarrier(dispatch, desk, outgoing, lambda proofs, body: None)
        for shard in shards:
            dispatch.add(shard, f"{shard}-1", "b")
            replica = dispatch.fleet.get(f"{shard}-1")
            carrier.offer(Send(Owner(dispatch, outgoing, shard), replica, 100.0))
        carrier.flush()
        link = links.links["b"][0]
        number = link.sent[0].number
        proofs = {"s": b"p", "u": b"q"}
        links.on_batch_frame(link, BatchParts(number, proofs, [5, 5], b"", [None] * 2, {"s": 2000}))
        refused = BatchFailure(number, "t", Verdict.NOT_RUN.value, 503, "full", 3000)
        links.on_batch_frame(link, refused)
        cold = [dispatch.fleet.get(f"{shard}-1").cold_start.is_cold(101.9) for shard in shards]
        assert cold == [True, True, False]
        assert dispatch.fleet.get("t-1").cold_start.is_cold(102.9)

    def test_frames_of_releases_without_it_are_read(self):
        """Guards against a rolling update in which results of older instances are refused."""
        parts = BatchParts(1, {"s": b"p"}, [5], b"", [None], {"s": 1})
        failure = BatchFailure(1, "s", "not_run", 0, "x", 1)
        batch = Batch(1, b"", b"", b"r1", [], 5, 1.0, 0.02, 100.0, homes=["north"])
        older = [
            decode_frame(to_cbor(from_cbor(encode_frame(each))[:-1]))
            for each in (parts, failure, batch)
        ]
        assert [older[0].cold_ms, older[1].cold_ms, older[2].homes] == [{}, None, None]


class TestLimits:
    def test_the_pace_of_a_stated_cold_time_is_that_of_the_service(self):
        fleet = Fleet("a", Random(1))
        limits = ServiceLimits(54, cold_seconds=3.0, cold_rate=2.0)
        fleet.put(entry(), 100.0)
        fleet.apply_cold_start_limits({"s": limits})
        fleet.cold_stated(fleet.get("i-1"), 9.0, 101.0)
        fleet.get("i-1").sent(101.0)
        assert round(fleet.wait("s", 101.0), 3) == 0.5
