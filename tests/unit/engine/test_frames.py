"""Frames between instances: what they weigh, and when they come."""

import zlib

import pytest

from limpethollow_node.engine.connection.peerlinks import PeerLink
from limpethollow_node.engine.frames import (
    Batch,
    BatchCall,
    BatchFailure,
    Heartbeat,
    InstanceUpdate,
    SearcherUpdate,
    decode_frame,
    encode_frame,
)
from limpethollow_node.engine.request.batches import MAX_BATCH_DELAY, BatchManager
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.catchups import KnownState
from limpethollow_policy.process.searchers import Searcher
from limpethollow_policy.request.verdicts import Verdict
from limpethollow_wire.codecs import to_cbor
from limpethollow_wire.exceptions import BadRequest
from limpethollow_wire.limits import MAX_FRAME_BYTES
from tests.support.virtual import VirtualDispatch


class FakeSocket:
    transport = property(lambda self: self)

    def get_extra_info(self, name: str) -> None:
        return None


class FakeLinks:
    on_batch_frame = on_link_lost = None


class KeepingLink(PeerLink):
    """Keeps what it is given to send."""

    __slots__ = ("sent",)

    def __init__(self) -> None:
        super().__init__(FakeSocket(), lambda link, frame: None, Metrics(), 100.0, dialled=True)
        self.sent: list = []

    def send(self, frame) -> None:
        self.sent.append(frame)


def batch(number: int, sent_at: float) -> Batch:
    calls = [BatchCall("s", "i-1")]
    return Batch(number, b"GET / HTTP/1.1\r\n", b"", b"r1", calls, 5, 1.0, 0.05, sent_at)


class TestLateBatches:
    """A search's caller left, and its calls reached searchers a second later.

    The batch and the word that it was over both waited on a crowded link, one behind the other.
    """

    @pytest.mark.parametrize("lag, worked", [(0.0, True), (MAX_BATCH_DELAY + 0.1, False)])
    def test_a_batch_that_was_held_up_is_not_worked_on(self, lag, worked):
        dispatch, links, link = VirtualDispatch(), FakeLinks(), KeepingLink()
        dispatch.add("s", "i-1")
        BatchManager(dispatch, links)
        # The clocks of the two ends have nothing to do with each other.
        link.heard_at = 100.0
        links.on_batch_frame(link, batch(1, 5000.0))
        link.heard_at = 101.0 + lag
        links.on_batch_frame(link, batch(2, 5001.0))
        assert len(dispatch.played) == 1 + worked
        refused = [f for f in link.sent if isinstance(f, BatchFailure) and f.number == 2]
        assert [f.verdict for f in refused] == ([] if worked else [Verdict.NOT_SENT.value])


class TestOtherReleases:
    """Guards against a rolling update in which instances can't read each other's frames."""

    def test_news_of_a_release_without_eras_tell_none(self):
        frame = decode_frame(to_cbor(["searchers", None, 7, [], []]))
        assert frame == SearcherUpdate(None, 7, [], [], era=0)

    def test_neither_do_its_heartbeats(self):
        known = {"version": 1, "searchers": 2, "instances": 3, "evacuations": 0}
        frame = decode_frame(to_cbor(["beat", True, True, known, 5.0, 0.5]))
        assert frame.known == KnownState(1, 2, 3, era=0)

    def test_a_batch_without_a_version_is_one_of_a_release_without_teams(self):
        """Guards against a batch of an older release that passes for one without a key."""
        fields = ["batch", 1, b"h", b"", b"r1", [], 5, 1.0, 0.02, 3.0]
        frame = decode_frame(to_cbor(fields))
        assert (frame.digest, frame.tenant, frame.version) == (b"", "", -1)

    def test_fields_that_a_later_release_adds_are_passed_over(self):
        frame = decode_frame(to_cbor(["instances", 5, 7, [], [], 2, "later"]))
        assert frame == InstanceUpdate(5, 7, [], [], era=2)


class TestSize:
    def test_a_list_of_searchers_shrinks_and_comes_back_the_same(self):
        many = [Searcher(f"i-{n}", f"s-{n}", f"10.0.0.{n}:80", "a", 2) for n in range(200)]
        news = SearcherUpdate(None, 7, many, [])
        data = encode_frame(news)
        assert len(data) < 5000
        assert decode_frame(data) == news

    def test_small_frames_are_sent_as_they_are(self):
        beat = Heartbeat(True, False, KnownState(1, 2, 3), 5.0, 0.5)
        assert encode_frame(beat)[:1] != b"\x78"
        assert decode_frame(encode_frame(beat)) == beat

    @pytest.mark.parametrize(
        "data",
        [
            zlib.compress(b"\0" * (MAX_FRAME_BYTES + 1)),
            zlib.compress(b"\0" * 5000)[:-8],
            b"\x78\x01 no compressed data",
        ],
    )
    def test_what_unpacks_to_too_much_or_not_at_all_is_refused(self, data):
        with pytest.raises(BadRequest):
            decode_frame(data)
