"""Links between instances through a proxy that cuts, freezes and truncates."""

import threading
from random import Random

import pytest
from websockets.exceptions import ConnectionClosed, InvalidStatus
from websockets.sync.client import connect

from limpethollow_node.connection.peer_listeners import PeerListener
from limpethollow_node.connection.peers import PeerLink, PeerLost, PeerUnreachable
from limpethollow_node.process.links import PeerLinks
from limpethollow_node.process.metrics import Metrics
from limpethollow_wire.codecs import to_cbor
from limpethollow_wire.exceptions import Overloaded
from limpethollow_wire.instances import InstanceInfo
from limpethollow_wire.limits import MAX_FRAME_BYTES
from limpethollow_wire.peers import Acknowledgement, Hello
from tests.support.clusters import Cluster
from tests.support.processes import wait_for
from tests.system.lifecycle.callers import Background

KEY = "key-of-the-peers-in-this-test"
LONG = 600.0
REQUESTS_OF_ONE_PEER = 32


class Members:
    """A list with one peer, `n0`."""

    def __init__(self, address: str) -> None:
        self.info = InstanceInfo("n0", "lton-a", "", address)
        self.lost = 0

    def get(self, peer_id: str) -> InstanceInfo:
        return self.info

    def hello_received(self, hello: Hello, dialled: bool = False) -> None:
        assert hello.instance == "n0"

    def unreachable(self, peer_id: str) -> None:
        self.lost += 1


class Peer:
    """The listener of `n0`, whose requests of kind `group.wait` end when told to."""

    def __init__(self) -> None:
        self.go_on = threading.Event()
        self.open = threading.Semaphore(0)
        self.metrics = Metrics()
        self.listener = PeerListener(
            "127.0.0.1",
            0,
            KEY,
            lambda: Hello("n0", "run", "lton-a"),
            lambda hello: None,
            self.answer,
            self.metrics,
        )

    def __enter__(self) -> "Peer":
        self.listener.__enter__()
        return self

    def __exit__(self, *_: object) -> None:
        self.go_on.set()
        self.listener.__exit__()

    def answer(self, peer, kind, body):
        if kind == "group.wait":
            self.open.release()
            self.go_on.wait()
        if kind == "config.garbage":
            return {"accepted": "not a number"}
        return Acknowledgement(body or 0)


@pytest.fixture
def peer():
    with Peer() as peer:
        yield peer


@pytest.fixture
def cluster():
    with Cluster() as cluster:
        yield cluster


@pytest.fixture
def proxy(cluster, peer):
    return cluster.start_proxy("peer-proxy", peer.listener.address)


@pytest.fixture
def members(proxy):
    return Members(proxy.ready["entry"])


@pytest.fixture
def links(members):
    hello = Hello("n1", "run", "lton-b")
    with PeerLinks(members, KEY, lambda: hello, Random(1), Metrics()) as links:
        yield links


def ask(links: PeerLinks, kind: str = "config.echo", number: int = 1, timeout: float = 10.0) -> int:
    return links.request("n0", kind, number, Acknowledgement, timeout).accepted


class TestLostLink:
    def test_silent_link_costs_its_request_and_is_replaced(self, links, proxy):
        """The machine between two instances loses track of their link; new ones work."""
        assert ask(links) == 1
        proxy.control(freeze=True)
        with pytest.raises(PeerLost) as lost:
            ask(links, timeout=0.5)
        assert not lost.value.is_slow
        assert ask(links, number=2) == 2

    def test_cut_link_fails_its_requests_at_once_as_maybe_handled(self, links, proxy, peer):
        waiting = Background(ask, links, "group.wait", 1, LONG)
        peer.open.acquire()
        proxy.control(cut=True)
        with pytest.raises(PeerLost):
            waiting.result()
        assert ask(links, number=2) == 2

    def test_truncated_reply_is_a_lost_request(self, links, proxy):
        assert ask(links) == 1
        proxy.control(truncate=1)
        with pytest.raises(PeerLost):
            ask(links, timeout=LONG)
        assert ask(links, number=2) == 2

    def test_peer_that_cannot_be_reached_got_nothing(self, links, proxy, members):
        proxy.control(refuse=True)
        with pytest.raises(PeerUnreachable):
            ask(links)
        with pytest.raises(PeerUnreachable) as second:
            ask(links)
        assert second.value.retry_after > 0
        proxy.control(refuse=False)
        wait_for(lambda: _answers(links), "a new link")

    def test_reply_of_a_wrong_type_is_not_told_as_not_run(self, links):
        with pytest.raises(PeerLost):
            ask(links, "config.garbage")

    def test_other_instance_at_the_peers_address_is_not_taken_for_it(self, proxy):
        """A peer was replaced and its address went to another instance."""
        hello = Hello("n1", "run", "lton-b")
        with pytest.raises(PeerUnreachable):
            PeerLink(proxy.ready["entry"], KEY, hello, lambda theirs: None, "n7")


def _answers(links: PeerLinks) -> bool:
    try:
        return ask(links) == 1
    except PeerUnreachable:
        return False


class TestSlowRequest:
    def test_it_does_not_close_the_link_under_the_others(self, links, peer, members):
        """A search is slower than its deadline while a booking waits on the same link.

        If the slow one closed the link, the booking's outcome would be unknown.
        """
        booking = Background(ask, links, "group.wait", 7, LONG)
        peer.open.acquire()
        slow = Background(ask, links, "group.wait", 8, 0.5)
        peer.open.acquire()
        with pytest.raises(PeerLost) as lost:
            while ask(links, timeout=LONG) == 1:
                if not slow.is_running:
                    slow.result()
        assert lost.value.is_slow
        assert members.lost == 0
        peer.go_on.set()
        assert booking.result() == 7

    def test_late_reply_is_never_taken_for_another_request(self, links, peer):
        assert ask(links) == 1
        with pytest.raises(PeerLost):
            ask(links, "group.wait", 1, timeout=0.2)
        peer.go_on.set()
        assert [ask(links, number=n) for n in range(2, 20)] == list(range(2, 20))


class TestBadPeer:
    @pytest.mark.parametrize(
        ("frame", "reason"),
        [
            ("text", "bad_frame"),
            (b"\xff\xff\xff", "bad_frame"),
            (b"\x81" * 5000, "bad_frame"),
            (to_cbor({"id": "one", "kind": 5}), "bad_frame"),
            (to_cbor([1, 2, 3]), "bad_frame"),
            (b"\x00" * (MAX_FRAME_BYTES + 1), "too_large"),
        ],
        ids=["text", "no-cbor", "deep", "wrong-types", "no-frame", "too-large"],
    )
    def test_garbage_ends_its_own_link_only(self, links, peer, frame, reason):
        assert ask(links) == 1
        with connect(
            f"ws://{peer.listener.address}/",
            additional_headers={"Authorization": f"Bearer {KEY}"},
            proxy=None,
        ) as bad:
            bad.send(to_cbor(Hello("n2", "run", "lton-c")))
            bad.recv()
            with pytest.raises(ConnectionClosed):
                bad.send(frame)
                bad.recv()
        wait_for(lambda: peer.metrics.value("peers_refused", reason), "it is counted")
        assert ask(links, number=2) == 2

    def test_wrong_key_is_refused_and_counted(self, peer):
        with pytest.raises(InvalidStatus):
            connect(
                f"ws://{peer.listener.address}/",
                additional_headers={"Authorization": "Bearer wrong"},
                proxy=None,
            )
        assert peer.metrics.value("peers_refused", "unauthorized") == 1

    def test_slow_requests_of_one_peer_starve_nobody(self, links, peer):
        """One instance's searches all hang here. Hellos, pushes and the other peers go on."""
        waiting = [
            Background(ask, links, "group.wait", n, LONG) for n in range(REQUESTS_OF_ONE_PEER)
        ]
        for _ in waiting:
            peer.open.acquire()
        with pytest.raises(Overloaded):
            ask(links, "group.wait", timeout=LONG)
        assert ask(links, "config.push", 5) == 5
        hello = Hello("n2", "run", "lton-c")
        other = PeerLink(peer.listener.address, KEY, hello, lambda theirs: None, "n0")
        assert other.request("group.echo", 6, 10.0) == {"accepted": 6}
        other.close()
        peer.go_on.set()
        assert sorted(w.result() for w in waiting) == list(range(REQUESTS_OF_ONE_PEER))

    def test_frozen_peer_holds_no_sender_past_its_timeout(self, links, proxy):
        """A peer reads nothing any more; the buffers between are full, and so a send blocks."""
        assert ask(links) == 1
        proxy.control(delay=LONG)
        big = "x" * (MAX_FRAME_BYTES // 2)
        senders = [
            Background(links.request, "n0", "config.echo", big, Acknowledgement, 1.0)
            for _ in range(8)
        ]
        for sender in senders:
            with pytest.raises((PeerLost, PeerUnreachable)):
                sender.result()
