"""What all links to other instances together keep in memory and open."""

import asyncio
from contextlib import asynccontextmanager
from functools import partial

import pytest
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import WebSocketException

from limpethollow_node.engine.connection.peergate import AcceptedConnection, PeerGate
from limpethollow_node.engine.connection.peerlinks import LINK_OPTIONS, PeerLink
from limpethollow_node.engine.frames import Batch, Leaving
from limpethollow_node.process.metrics import Metrics


def batch(number: int, size: int) -> Batch:
    body = bytes(index * index % 251 for index in range(size))
    return Batch(number, b"head", body, b"r1", [], 5, 1.0, 1.0, 0.0)


@asynccontextmanager
async def link(gate: PeerGate):
    """Open a link that the other end doesn't read; yield it and that end."""
    accepted: asyncio.Future[PeerLink] = asyncio.get_running_loop().create_future()

    async def accept(socket) -> None:
        link = PeerLink(socket, lambda *_: None, Metrics(), 0.0, dialled=False, gate=gate)
        accepted.set_result(link)
        await link.run()

    create = partial(AcceptedConnection, gate)
    async with serve(accept, "127.0.0.1", 0, create_connection=create, **LINK_OPTIONS) as server:
        port = server.sockets[0].getsockname()[1]
        async with connect(f"ws://127.0.0.1:{port}/", proxy=None, **LINK_OPTIONS) as other:
            yield await accepted, other
            other.transport.abort()


class TestUnnamed:
    """Guards against connections that never say who they are and take all descriptors."""

    def test_a_host_may_have_a_few_named_or_not(self):
        """Guards against a peer that states another name on each connection."""
        gate = PeerGate(Metrics(), sockets=512)
        connections = [object() for _ in range(32)]
        assert all(gate.accept(connection, "a") for connection in connections)
        gate.named(connections[0])
        assert not gate.accept(object(), "a")
        assert gate.accept(object(), "b")
        gate.lost(connections[0])
        assert gate.accept(object(), "a")

    def test_those_that_are_named_make_place(self):
        gate = PeerGate(Metrics(), sockets=16)
        assert gate.accept(1, "a") and gate.accept(2, "b")
        assert not gate.accept(3, "c")
        gate.named(1)
        assert gate.accept(3, "c")

    def test_195_instances_may_connect_in_the_same_second(self):
        """Guards against a limit that keeps a large deployment from starting."""
        gate = PeerGate(Metrics(), sockets=4100 - 200)
        assert all(gate.accept(object(), f"10.0.0.{number}") for number in range(2 * 195))

    def test_one_that_is_refused_fails_as_a_dialler_expects(self):
        metrics = Metrics()
        gate = PeerGate(metrics)
        gate.is_member = lambda host: False

        async def run() -> None:
            async with link(gate):
                pass

        with pytest.raises((OSError, WebSocketException)):
            asyncio.run(run())
        assert metrics.value("peers_refused", "not_a_member") == 1


class TestQueues:
    def test_long_frames_arrive_whole(self):
        """Guards against fragments that are lost or swapped."""

        async def run() -> list[int]:
            gate = PeerGate(Metrics())
            async with link(gate) as (sender, other):
                received = []
                receiver = PeerLink(
                    other, lambda _, frame: received.append(frame), Metrics(), 0.0, dialled=True
                )
                reading = asyncio.create_task(receiver.run())
                sent = [batch(1, 2_000_000), batch(2, 10), batch(3, 70_000)]
                for frame in sent:
                    sender.send(frame)
                while len(received) < len(sent):
                    await asyncio.sleep(0.01)
                assert received == sent
                reading.cancel()
                while gate.sending.used:
                    await asyncio.sleep(0.01)

        asyncio.run(asyncio.wait_for(run(), 8.0))

    def test_the_link_with_most_frames_waiting_is_closed(self, monkeypatch):
        """Guards against frames for peers that don't read, which exceed the memory together."""
        monkeypatch.setattr(
            "limpethollow_node.engine.connection.peerlinks.encode_frame",
            lambda frame: b"x" * 3_000_000,
        )

        async def run() -> bool:
            gate = PeerGate(Metrics(), memory_mb=128)
            async with link(gate) as (slow, _), link(gate) as (other, _):
                for _ in range(4):
                    slow.send(Leaving())
                for _ in range(3):
                    other.send(Leaving())
                assert gate.sending.used < gate.sending.limit
                return slow._socket.transport.is_closing(), other._socket.transport.is_closing()

        assert asyncio.run(run()) == (True, False)


class TestFrames:
    def test_the_longest_frame_that_stops_short_is_given_up_first(self):
        """Guards against frames that never end, which exceed the memory together."""

        class Closing:
            def __init__(self) -> None:
                self.remote_address = ("a", 1)
                self.transport = self
                self.aborted = False

            def abort(self) -> None:
                self.aborted = True

        async def run() -> list[bool]:
            gate = PeerGate(Metrics(), memory_mb=64)
            connections = [Closing() for _ in range(4)]
            for size, connection in zip((8, 2, 2, 6), connections, strict=True):
                gate.received(connection, size * 1_000_000)
            return [connection.aborted for connection in connections]

        assert asyncio.run(run()) == [True, False, False, False]
