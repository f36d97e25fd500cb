"""Many large transfers at once, between an instance and its searchers and peers."""

import socket
import struct
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager, suppress
from pathlib import Path
from random import Random

import pytest

from limpethollow_node.engine.frames import Ask, Batch, BatchCall, Frame, Hello
from limpethollow_policy.process.catchups import KnownState
from limpethollow_wire.codecs import to_cbor
from limpethollow_wire.limits import MAX_FRAME_BYTES
from tests.standins.backends import BackendStandIn, Endless
from tests.support.platforms import (
    HOST,
    PlatformInstance,
    PlatformSystem,
    configuration,
    forward_route,
    search_route,
)
from tests.support.processes import wait_for

MEGABYTE = 1024 * 1024


def limited(system: PlatformSystem, **limits: int) -> PlatformInstance:
    """Start an instance with lower limits in its settings."""
    instance = PlatformInstance("front-1", system.store.address, system.folder)
    instance.settings["limits"].update(limits)
    instance.settings["bootstrap"] = True
    return system.adopt(instance).wait_ready()


def peak_memory(instance: PlatformInstance) -> int:
    """Return the highest resident memory of an instance's process so far, in megabytes."""
    lines = Path(f"/proc/{instance.child.pid}/status").read_text().splitlines()
    (line,) = (line for line in lines if line.startswith("VmHWM:"))
    return int(line.split()[1]) // 1024


def open_descriptors(instance: PlatformInstance) -> int:
    """Return how many file descriptors an instance's process has open."""
    return sum(1 for _ in Path(f"/proc/{instance.child.pid}/fd").iterdir())


def request_bytes(path: str, number: int, body: bytes = b"") -> bytes:
    """Return a caller's request."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {len(body)}\r\n"
        f"X-Limpethollow-Request-Id: c{number}\r\nX-Limpethollow-Deadline-Ms: 8000\r\n\r\n"
    )
    return head.encode() + body


@contextmanager
def callers(instance: PlatformInstance, requests: list[bytes]) -> Iterator[list[socket.socket]]:
    """Send each request on a connection of its own; they stay open."""
    with ExitStack() as stack:
        made = []
        for data in requests:
            caller = socket.create_connection(("127.0.0.1", instance.front))
            made.append(stack.enter_context(caller))
            caller.sendall(data)
        yield made


def wait_settled(instance: PlatformInstance) -> None:
    """Wait until the highest memory has not risen for a second."""
    highest = [(peak_memory(instance), time.monotonic())]

    def settled() -> bool:
        if peak_memory(instance) > highest[-1][0]:
            highest.append((peak_memory(instance), time.monotonic()))
        return time.monotonic() - highest[-1][1] > 1.0

    wait_for(settled, "the memory has settled")


def assert_within_limits(instance: PlatformInstance) -> None:
    """Check that the process lives and has met neither limit of its settings."""
    assert instance.child.poll() is None
    limits = instance.settings["limits"]
    assert peak_memory(instance) < limits["memoryMb"]
    assert open_descriptors(instance) < limits["maxFds"]


class TestReplies:
    """Guards against long replies, each within its limit, that together exceed the memory."""

    LONG = b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * (MEGABYTE * 5 // 4)

    def test_many_that_stop_short_leave_an_instance_within_its_memory(self, system):
        searchers = [
            system.backend(
                "long",
                f"l-{number}",
                slots=26,
                answer=lambda me, seen: Endless(self.LONG, b"x", pause=0.5),
            )
            for number in range(6)
        ]
        system.backend("desk", "i-1")
        routes = [
            forward_route("long", name="long", pathPrefix="/long/", timeoutMs=8000, sloMs=8000),
            forward_route("desk"),
        ]
        system.configure(1, *routes)
        instance = limited(system, memoryMb=150)
        requests = [request_bytes("/long/x", number) for number in range(120)]
        with callers(instance, requests):
            wait_for(
                lambda: sum(len(searcher.seen) for searcher in searchers) >= 100,
                "the searchers have the requests",
            )
            wait_settled(instance)
            assert instance.ask("/get/x").status == 200
        assert_within_limits(instance)


class Unreading(BackendStandIn):
    """A searcher whose kernel accepts connections, but which reads nothing from them."""

    def _accept(self) -> None:
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)


class TestRequests:
    """Guards against a copy of a request's body for each of the searchers that it goes to."""

    BODY = b"x" * (4 * MEGABYTE)

    def test_searchers_that_read_nothing_leave_an_instance_within_its_memory(self, system):
        shards = [f"s{number}" for number in range(40)]
        with ExitStack() as stack:
            for shard in shards:
                searcher = stack.enter_context(Unreading(shard, f"{shard}-a"))
                system.store.put("servers", searcher.name, searcher.entry())
            system.backend("desk", "i-1")
            routes = [search_route(shards, timeoutMs=8000, sloMs=8000), forward_route("desk")]
            content = configuration(1, *routes)
            content["limits"]["maxBodyBytes"] = 2 * len(self.BODY)
            system.store.put("config", "main", content)
            instance = limited(system, memoryMb=120)
            with callers(instance, [request_bytes("/find/x", 1, self.BODY)]):
                wait_settled(instance)
                assert instance.ask("/get/x").status == 200
            assert_within_limits(instance)


class PeerSocket:
    """A link to an instance, on which nothing is sent or read by itself.

    Args:
        instance: The instance.
        source: Own address.
    """

    _HANDSHAKE = (
        b"GET / HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
        b"Sec-WebSocket-Key: MDEyMzQ1Njc4OWFiY2RlZg==\r\nSec-WebSocket-Version: 13\r\n\r\n"
    )

    def __init__(self, instance: PlatformInstance, source: str = "127.0.0.1") -> None:
        port = instance.settings["internalPortRange"][0]
        self.socket = socket.create_connection(
            ("127.0.0.1", port), timeout=10.0, source_address=(source, 0)
        )

    def __enter__(self) -> "PeerSocket":
        return self

    def __exit__(self, *_: object) -> None:
        self.socket.close()

    def shake_hands(self) -> None:
        self.socket.sendall(self._HANDSHAKE)
        while b"\r\n\r\n" not in (answer := self.socket.recv(4096, socket.MSG_PEEK)):
            if not answer:
                raise ConnectionError("The instance closed the connection.")

    def send(self, frame: Frame) -> None:
        data = to_cbor(frame)
        self.start_frame(len(data), data)

    def start_frame(self, length: int, data: bytes) -> None:
        """Send a frame's header and the first of its bytes."""
        self.socket.sendall(struct.pack("!BBQI", 0x82, 0x80 | 127, length, 0) + data)


class TestPeers:
    def ordinary(self, system: PlatformSystem, **limits: int) -> PlatformInstance:
        system.backend("desk", "i-1")
        system.configure(1, forward_route("desk"))
        return limited(system, **limits)

    def test_frames_that_stop_short_leave_an_instance_within_its_memory(self, system):
        """Guards against connections that name no instance and send the start of a long frame."""
        instance = self.ordinary(system, memoryMb=120)
        length = MAX_FRAME_BYTES * 9 // 10
        with ExitStack() as stack:
            for _ in range(40):
                with suppress(OSError):
                    peer = stack.enter_context(PeerSocket(instance))
                    peer.shake_hands()
                    peer.start_frame(length + 1, b"x" * length)
            wait_settled(instance)
            assert instance.ask("/get/x").status == 200
        assert_within_limits(instance)

    def test_peers_that_read_nothing_leave_an_instance_within_its_memory(self, system):
        """Guards against frames that wait for a peer, of which only the number was limited."""
        system.backend("desk", "i-1")
        rng = Random(1)
        routes = [
            forward_route("desk", name=f"route-{n}", pathPrefix=f"/{rng.randbytes(200).hex()}/")
            for n in range(1200)
        ]
        system.configure(1, *routes, forward_route("desk"))
        instance = limited(system, memoryMb=100)
        with ExitStack() as stack:
            peers = [stack.enter_context(PeerSocket(instance)) for _ in range(5)]
            for number, peer in enumerate(peers):
                peer.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                peer.shake_hands()
                peer.send(Hello(f"front-{number + 10}", 1, "zone-b", KnownState()))
            for peer in peers:
                with suppress(OSError):
                    for _ in range(60):
                        peer.send(Ask(KnownState()))
            wait_settled(instance)
            assert instance.ask("/get/x").status == 200
        assert_within_limits(instance)

    @pytest.mark.parametrize("source", ["127.0.0.1", "127.0.0.2"], ids=["member", "stranger"])
    def test_connections_leave_an_instance_descriptors(self, system, source):
        """Guards against connections to peers' port that take all descriptors of a process."""
        instance = self.ordinary(system, maxFds=300)
        most = 0
        with ExitStack() as stack:
            for _ in range(400):
                with suppress(OSError):
                    stack.enter_context(PeerSocket(instance, source))
                most = max(most, open_descriptors(instance))
            assert instance.ask("/get/x").status == 200
        assert most < instance.settings["limits"]["maxFds"]
        assert_within_limits(instance)


class TestBatches:
    """Guards against batches of other instances, each of which holds a body."""

    BODY = b"x" * (MEGABYTE * 7 // 2)

    def test_many_with_long_bodies_leave_an_instance_within_its_memory(self, system):
        with Unreading("slow", "s-1") as searcher:
            system.store.put("servers", searcher.name, searcher.entry())
            system.backend("desk", "i-1")
            system.configure(1, forward_route("slow", pathPrefix="/s/"), forward_route("desk"))
            instance = limited(system, memoryMb=120)
            with PeerSocket(instance) as peer:
                peer.shake_hands()
                peer.send(Hello("front-9", 1, "zone-b", KnownState()))
                with suppress(OSError):
                    for number in range(40):
                        peer.send(self.batch(number))
                        time.sleep(0.05)
                wait_settled(instance)
                assert instance.ask("/get/x").status == 200
            assert_within_limits(instance)

    def batch(self, number: int) -> Batch:
        calls = [BatchCall("slow", "s-1")]
        head = b"POST /s/x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n" % len(self.BODY)
        id = b"b%d" % number
        return Batch(number, head, self.BODY, id, calls, 5, 8.0, 8.0, time.monotonic())


class TestConnections:
    def test_searches_leave_an_instance_descriptors(self, system):
        """Guards against connections to searchers that take all descriptors of a process."""
        shards = [f"s{number}" for number in range(100)]
        most = 0
        with ExitStack() as stack:
            for shard in shards:
                searcher = stack.enter_context(Unreading(shard, f"{shard}-a"))
                system.store.put("servers", searcher.name, searcher.entry())
            system.backend("desk", "i-1")
            routes = [search_route(shards, timeoutMs=8000, sloMs=8000), forward_route("desk")]
            system.configure(1, *routes)
            instance = limited(system, maxFds=280)
            searches = [request_bytes("/find/x", number) for number in range(4)]
            with callers(instance, searches):
                until = time.monotonic() + 2.0
                while time.monotonic() < until:
                    most = max(most, open_descriptors(instance))
            assert instance.ask("/get/x").status == 200
        assert most < instance.settings["limits"]["maxFds"]
        assert_within_limits(instance)
