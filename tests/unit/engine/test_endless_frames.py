"""Peers whose handshakes and frames never end."""

import asyncio
import struct
import time

import pytest
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import WebSocketException

from limpethollow_node.engine.connection import peerlinks
from limpethollow_node.engine.connection.peerlinks import LINK_OPTIONS, PeerLink
from limpethollow_node.process.metrics import Metrics
from limpethollow_wire.limits import MAX_FRAME_BYTES
from tests.standins.endless import ENDLESS, EndlessServer

PATIENCE = 0.3
BINARY, CONTINUATION = 0x02, 0x00
FINAL = 0x80
MASKED = 0x80
KEY = b"\0\0\0\0"


def frame(opcode: int, length: int, data: bytes = b"") -> bytes:
    """Return the start of a client's frame that announces a length."""
    return struct.pack("!BBQ", opcode, MASKED | 127, length) + KEY + data


async def link_until_closed(start: bytes, block: bytes, pause: float) -> float:
    """Send bytes on an open link as a faulty peer does; return after how long it is closed."""
    ended: asyncio.Future[float] = asyncio.get_running_loop().create_future()

    async def accept(socket) -> None:
        began = time.monotonic()
        link = PeerLink(socket, lambda *_: None, Metrics(), began, dialled=False)
        await link.run()
        ended.set_result(time.monotonic() - began)

    async with serve(accept, "127.0.0.1", 0, **LINK_OPTIONS) as server:
        port = server.sockets[0].getsockname()[1]
        socket = await connect(f"ws://127.0.0.1:{port}/", proxy=None, **LINK_OPTIONS)
        socket.transport.write(start)

        async def send() -> None:
            while not socket.transport.is_closing():
                socket.transport.write(block)
                await asyncio.sleep(pause)

        sender = asyncio.create_task(send())
        try:
            return await asyncio.wait_for(ended, 8.0)
        finally:
            sender.cancel()
            socket.transport.abort()


@pytest.fixture
def impatient(monkeypatch):
    monkeypatch.setattr(peerlinks, "_FIRST_FRAME_SECONDS", PATIENCE)


class TestFrames:
    def test_one_that_announces_too_many_bytes_is_refused_at_once(self):
        start = frame(FINAL | BINARY, MAX_FRAME_BYTES + 1)
        assert asyncio.run(link_until_closed(start, b"x", 0.02)) < 2.0

    def test_fragments_that_add_up_to_too_many_bytes_are_refused(self):
        data = b"x" * 65536
        start = frame(BINARY, len(data), data)
        block = frame(CONTINUATION, len(data), data)
        assert asyncio.run(link_until_closed(start, block, 0.001)) < 4.0

    def test_empty_fragments_without_end_are_refused(self):
        """Guards against fragments whose sizes never add up to the limit in bytes."""
        start = frame(BINARY, 0)
        block = frame(CONTINUATION, 0) * 1000
        assert asyncio.run(link_until_closed(start, block, 0.001)) < 4.0

    def test_a_first_one_that_trickles_ends_with_its_time(self, impatient):
        """Guards against links that no missing heartbeat closes, since no peer was named yet."""
        start = frame(FINAL | BINARY, MAX_FRAME_BYTES)
        assert PATIENCE <= asyncio.run(link_until_closed(start, b"x", 0.02)) < PATIENCE + 2.0

    def test_a_later_one_that_trickles_is_no_sign_of_life(self):
        """Guards against a peer that counts as alive by a frame that it never completes."""

        async def run() -> bool:
            heard: list[PeerLink] = []

            async def accept(socket) -> None:
                link = PeerLink(socket, lambda *_: None, Metrics(), 0.0, dialled=False)
                heard.append(link)
                await link.run()

            async with serve(accept, "127.0.0.1", 0, **LINK_OPTIONS) as server:
                port = server.sockets[0].getsockname()[1]
                socket = await connect(f"ws://127.0.0.1:{port}/", proxy=None, **LINK_OPTIONS)
                socket.transport.write(frame(FINAL | BINARY, 1000, b"x" * 10))
                await asyncio.sleep(0.2)
                silent = heard[0].is_silent(10.0)
                socket.transport.abort()
                return silent

        assert asyncio.run(run())


class TestHandshake:
    @pytest.mark.parametrize("name", ["status line", "headers", "body without a length"])
    @pytest.mark.parametrize("pause", [0.0, 0.02])
    def test_an_endless_answer_to_it_ends_the_attempt(self, name, pause):
        """Guards against a dialler that waits for one address forever or reads without a limit."""

        async def dial(address: str) -> None:
            await connect(f"ws://{address}/", open_timeout=PATIENCE, proxy=None, **LINK_OPTIONS)

        with EndlessServer(*ENDLESS[name], pause=pause) as server:
            began = time.monotonic()
            with pytest.raises((OSError, WebSocketException)):
                asyncio.run(dial(server.address))
        assert time.monotonic() - began < 2.0
