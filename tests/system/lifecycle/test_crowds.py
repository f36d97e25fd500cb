"""Crowds of faulty clients at the listeners of one instance of the product's own interface."""

import json

import pytest
import urllib3
from websockets.exceptions import WebSocketException
from websockets.sync.client import connect

from limpethollow_wire.codecs import to_cbor
from limpethollow_wire.limits import MAX_BODY_BYTES, MAX_FRAME_BYTES
from limpethollow_wire.peers import Frame, Hello
from tests.support.clusters import CALLER_KEY, OPERATOR_KEY, PEER_KEY, Cluster
from tests.support.own_crowds import Client, Crowd, Watch, descriptor_limit
from tests.support.processes import wait_for
from tests.system.lifecycle.callers import KeptConnection

SERVICE = "finder"
CLIENTS = 300
DESCRIPTORS = 256
# 16 descriptors under the limit must stay free: at the limit, accept and every call out fail.
OPEN_DESCRIPTORS = DESCRIPTORS - 16
PEAK_BYTES = 200 * 1024 * 1024
LARGE_REPLY_ROWS = 20_000
LINKS = 16
LARGE_FRAME_BYTES = 4_000_000


def head(path: str, key: str, framing: str) -> bytes:
    """Return the head of a POST with its framing headers."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n{framing}\r\n\r\n"
    ).encode()


def faulty_clients(path: str, key: str) -> dict[str, Client]:
    chunked = head(path, key, "Transfer-Encoding: chunked")
    sized = head(path, key, f"Content-Length: {MAX_BODY_BYTES}")
    too_large = head(path, key, f"Content-Length: {MAX_BODY_BYTES + 2}")
    large_chunk = f"{0xFFFF:x}\r\n".encode() + b"x" * 0xFFFF + b"\r\n"
    return {
        "silent": Client(b""),
        "half a head": Client(sized[:-2]),
        "endless headers": Client(sized[:-2], b"A: b\r\n"),
        "body short of its end": Client(sized + b"x" * (MAX_BODY_BYTES - 1)),
        "body too large, short of its end": Client(too_large + b"x" * MAX_BODY_BYTES),
        "large chunks short of their end": Client(chunked + large_chunk * 3 + b"0\r\n"),
        "small chunks short of their end": Client(chunked + b"1\r\nx\r\n" * 40_000 + b"0\r\n"),
        "endless trailers": Client(chunked + b"1\r\nx\r\n0\r\n", b"A: b\r\n"),
        "requests sent ahead": Client(b"", b"GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n"),
    }


CALLERS = faulty_clients(f"/v1/services/{SERVICE}/search", CALLER_KEY)
OPERATORS = faulty_clients("/v1/plans", OPERATOR_KEY)


@pytest.fixture
def cluster():
    with Cluster() as cluster:
        searchers = cluster.start_searchers(SERVICE, [[0, 1]], rows_per_shard=2)
        with descriptor_limit(DESCRIPTORS):
            cluster.start_instances(1)
        cluster.put_service(SERVICE, searchers)
        yield cluster


def is_answered(cluster: Cluster) -> bool:
    """Return whether one ordinary search gets its whole answer."""
    try:
        with KeptConnection(cluster.listed["n0"]["address"]) as caller:
            status, answer = caller.search(SERVICE)
    except (OSError, urllib3.exceptions.HTTPError):
        return False
    return status == 200 and not answer["coverage"]["missing"]


def is_served_by_operator_listener(cluster: Cluster) -> bool:
    try:
        return cluster.status("n0").id == "n0"
    except OSError:
        return False


def meet(cluster: Cluster, listener: str, clients: list[Client], served=is_answered) -> None:
    """Let a crowd meet a listener and check what must hold meanwhile and afterwards."""
    instance = cluster.instances["n0"]
    with Watch(instance.pid) as watch:
        with Crowd(cluster.listed["n0"][listener], clients) as crowd:
            crowd.wait_until_met()
            wait_for(lambda: served(cluster), "an ordinary request is answered in the crowd")
            wait_for(lambda: is_answered(cluster), "a caller is answered in the crowd")
        wait_for(lambda: served(cluster), "an ordinary request is answered after the crowd")
        assert instance.is_running
        print("descriptors", watch.descriptors, "peak MiB", watch.peak_bytes >> 20)
        assert watch.descriptors <= OPEN_DESCRIPTORS
        assert watch.peak_bytes <= PEAK_BYTES


class TestCallers:
    """Guards against clients that take all descriptors, threads or memory of the process."""

    @pytest.mark.parametrize("name", CALLERS)
    def test_crowd_of_one_kind_leaves_room_for_others(self, cluster, name):
        meet(cluster, "address", [CALLERS[name]] * CLIENTS)

    def test_slow_readers_of_large_answers_leave_room_for_others(self, cluster):
        """Guards against replies that hold a thread each while they are read slowly."""
        cluster.searchers[f"{SERVICE}-s0"].control(rows_per_shard=LARGE_REPLY_ROWS)
        body = json.dumps({"query": {"number": "large"}, "deadline": 20.0}).encode()
        path = f"/v1/services/{SERVICE}/search"
        request = head(path, CALLER_KEY, f"Content-Length: {len(body)}") + body
        meet(cluster, "address", [Client(request)] * CLIENTS)


class TestOperators:
    """Guards against a crowd at the small pool of the operators' listener."""

    def test_mixed_crowd_leaves_room_for_others(self, cluster):
        clients = list(OPERATORS.values()) * (CLIENTS // len(OPERATORS))
        meet(cluster, "operator_address", clients, is_served_by_operator_listener)


def is_linked(cluster: Cluster) -> bool:
    """Return whether a peer with the key gets a link."""
    address = cluster.listed["n0"]["peer_address"]
    headers = {"Authorization": f"Bearer {PEER_KEY}"}
    try:
        with connect(f"ws://{address}/", additional_headers=headers, proxy=None) as socket:
            socket.send(to_cbor(Hello("n7", "run", "lton-b")))
            return bool(socket.recv(5.0))
    except (OSError, EOFError, WebSocketException):
        return False


UPGRADE = (
    "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\nSec-WebSocket-Version: 13\r\n"
)
KEYED = f"{UPGRADE}Authorization: Bearer {PEER_KEY}\r\n\r\n".encode()
LARGE_FRAME = b"\x82\xff" + MAX_FRAME_BYTES.to_bytes(8, "big") + bytes(4)
PEERS = {
    "silent": Client(b""),
    "half a head": Client(UPGRADE.encode()),
    "endless headers": Client(UPGRADE.encode(), b"A: b\r\n"),
    "wrong key": Client(f"{UPGRADE}\r\n".encode()),
    "chunked, endless trailers": Client(head("/", "x", "Transfer-Encoding: chunked"), b"A: b\r\n"),
    "no hello": Client(KEYED),
    "frame short of its end": Client(KEYED + LARGE_FRAME + b"x" * 0xFFFFF),
}


def frame(payload: bytes) -> bytes:
    """Return a final binary frame; its mask of zeros leaves the payload as it is."""
    return b"\x82\xff" + len(payload).to_bytes(8, "big") + bytes(4) + payload


class TestPeers:
    """Guards against a thread and a descriptor for each connection without a bound."""

    @pytest.mark.parametrize("name", PEERS)
    def test_crowd_of_one_kind_leaves_room_for_others(self, cluster, name):
        meet(cluster, "peer_address", [PEERS[name]] * CLIENTS, is_linked)

    def test_links_with_large_frames_leave_room_for_others(self, cluster):
        """Guards against frames that wait in queues without a bound on their bytes."""
        large = to_cbor(Frame(1, "config.nothing", "x" * LARGE_FRAME_BYTES))
        clients = [
            Client(KEYED + frame(to_cbor(Hello(f"m{n}", "run", "lton-b"))) + frame(large) * 8)
            for n in range(LINKS)
        ]
        meet(cluster, "peer_address", clients, is_linked)
