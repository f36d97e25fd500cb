"""Batches that this instance works on: what it sends back, and when."""

from limpethollow_node.engine.frames import (
    Batch,
    BatchCall,
    BatchCancel,
    BatchFailure,
    BatchParts,
)
from limpethollow_node.engine.request.batches import BatchManager
from limpethollow_node.engine.request.batchexecutions import BatchExecution
from limpethollow_policy.request.verdicts import Verdict
from tests.support.virtual import VirtualDispatch, reply_of

MERGE_FOR = 0.02


class RecordingLink:
    def __init__(self) -> None:
        self.sent: list = []

    def send(self, frame) -> None:
        self.sent.append(frame)

    def lag(self, sent_at: float) -> float:
        return 0.0


class Play:
    """A batch of six calls."""

    def __init__(self) -> None:
        self.dispatch = VirtualDispatch()
        self.link = RecordingLink()
        shards = [f"s-{number}" for number in range(6)]
        for shard in shards:
            self.dispatch.add(shard, f"{shard}-1")
        calls = [BatchCall(shard, f"{shard}-1") for shard in shards]
        batch = Batch(7, b"GET / HTTP/1.1\r\n", b"", b"r1", calls, 5, 1.0, MERGE_FOR, 100.0)
        self.worked = BatchExecution(self.dispatch, self.link, batch, lambda: None)
        self.worked.start()

    def answer(self, number: int, proof: bytes | None = None) -> None:
        reply_of(self.dispatch.played[number][1], proof=proof or b"proof-%d" % number)

    def run(self, seconds: float) -> None:
        self.dispatch.loop.run(self.dispatch.loop.time() + seconds)

    @property
    def parts(self) -> list[BatchParts]:
        return [frame for frame in self.link.sent if isinstance(frame, BatchParts)]


class TestMerging:
    def test_parts_within_the_time_for_merging_come_in_one_frame_with_their_own_times(self):
        play = Play()
        play.run(0.005)
        play.answer(0)
        play.run(0.01)
        play.answer(3)
        assert play.parts == []
        play.run(MERGE_FOR)
        calls = [list(parts.calls) for parts in play.parts]
        assert calls == [[("s-0", 0.005, None), ("s-3", 0.015, None)]]

    def test_the_same_signature_for_two_shards_does_not_count(self):
        """A caller refused a whole answer, since two of its parts bore the same signature."""
        play = Play()
        play.answer(0, proof=b"same")
        play.answer(1, proof=b"same")
        play.run(2 * MERGE_FOR)
        assert [list(parts.proofs) for parts in play.parts] == [["s-0"]]
        assert [(f.shard, f.verdict) for f in play.link.sent if isinstance(f, BatchFailure)] == [
            ("s-1", Verdict.UNKNOWN.value)
        ]


class TestLateParts:
    """A weak instance took 35 ms to take in the parts of a quick look-up.

    They came after the time for merging, within 5 ms of each other, each in a frame of its own.
    """

    def test_those_that_come_together_are_told_together(self):
        play = Play()
        play.run(MERGE_FOR)
        for number in range(4):
            play.answer(number)
            play.run(0.0005)
        play.run(MERGE_FOR)
        assert [sorted(parts.proofs) for parts in play.parts] == [["s-0", "s-1", "s-2", "s-3"]]

    def test_one_waits_a_part_of_that_time_at_most(self):
        play = Play()
        play.run(MERGE_FOR)
        play.answer(0)
        play.run(0.15 * MERGE_FOR)
        assert len(play.parts) == 1

    def test_the_last_one_waits_for_nothing(self):
        play = Play()
        play.run(MERGE_FOR)
        for number in range(6):
            play.answer(number)
        assert len(play.parts) == 1
        assert len(play.parts[0].proofs) == 6

    def test_nothing_is_told_once_nobody_waits(self):
        play = Play()
        play.run(MERGE_FOR)
        play.answer(0)
        play.worked.end()
        play.run(1.0)
        assert play.parts == []


class Links:
    on_batch_frame = on_link_lost = None


class TestMemory:
    """Guards against bodies of batches that together exceed the memory of an instance."""

    def batch(self, number: int, body: bytes) -> Batch:
        calls = [BatchCall("s", "s-1")]
        return Batch(number, b"POST / HTTP/1.1\r\n", body, b"r1", calls, 5, 1.0, MERGE_FOR, 100.0)

    def test_a_batch_without_room_is_answered_as_not_sent_until_another_ends(self):
        dispatch, links, link = VirtualDispatch(), Links(), RecordingLink()
        dispatch.add("s", "s-1")
        desk = BatchManager(dispatch, links, memory_mb=64)
        body = b"x" * 3_000_000
        for number in range(3):
            links.on_batch_frame(link, self.batch(number, body))
        (failure,) = link.sent
        assert (failure.number, failure.verdict) == (2, Verdict.NOT_SENT.value)
        assert len(dispatch.played) == 2
        assert dispatch.metrics.value("batches_refused") == 1
        links.on_batch_frame(link, BatchCancel(0))
        links.on_batch_frame(link, self.batch(3, body))
        assert len(dispatch.played) == 3
        links.on_link_lost(link)
        assert desk._memory.used == 0
