"""Memory that all replies being read share."""

import asyncio

import pytest

from limpethollow_node.engine.connection.clients import ReplyCutOff
from limpethollow_node.engine.connection.replylimits import (
    ReplyLimit,
    ReplyLimits,
    SharedBytes,
    searcher_limits,
)
from limpethollow_node.engine.process.httpclients import HttpClient
from limpethollow_policy.process.memorypools import MemoryPool

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
LONG = 8.0


class HoldingSearcher:
    """Sends the start of a reply to `/held`, and whole replies to other requests."""

    def __init__(self, held: int, whole: int) -> None:
        self._held = HEAD % (held + 1) + b"x" * held
        self._whole = HEAD % whole + b"x" * whole

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while request := await reader.readuntil(b"\r\n\r\n"):
                writer.write(self._held if b"/held" in request else self._whole)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


async def play(limits: ReplyLimits, searcher: HoldingSearcher) -> tuple[Exception | None, int]:
    """Return how the held reply failed, and the size of the other one, which came after it."""
    async with await asyncio.start_server(searcher.serve, "127.0.0.1", 0) as server:
        client = HttpClient(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", 2, limits)
        held = asyncio.create_task(client.ask(b"GET", b"/held", timeout=LONG))
        while not limits.memory.used:
            await asyncio.sleep(0.01)
        reply = await client.ask(b"GET", b"/whole", timeout=LONG)
        held.cancel() if not held.done() else None
        (error,) = await asyncio.gather(held, return_exceptions=True)
        client.close()
        await asyncio.sleep(0.05)
        return error, len(reply.body)


class TestReplies:
    def limits(self, memory: int) -> ReplyLimits:
        return ReplyLimits(1_000_000, 1_000_000, SharedBytes(0), MemoryPool(memory, 1000))

    def test_one_that_holds_memory_for_long_makes_place_for_another(self):
        """Guards against replies within their own limits that together exceed the memory."""
        limits = self.limits(100_000)
        error, size = asyncio.run(play(limits, HoldingSearcher(60_000, 80_000)))
        assert isinstance(error, ReplyCutOff)
        assert error.limit is ReplyLimit.MEMORY
        assert size == 80_000
        assert limits.memory.used == 0

    def test_both_are_read_while_there_is_memory(self):
        limits = self.limits(200_000)
        error, size = asyncio.run(play(limits, HoldingSearcher(60_000, 80_000)))
        assert isinstance(error, asyncio.CancelledError)
        assert size == 80_000
        assert limits.memory.used == 0


class TestLimits:
    @pytest.mark.parametrize("memory_mb", [128, 200, 300, 1024])
    def test_one_reply_of_the_largest_size_has_room(self, memory_mb):
        """Guards against instances on which a valid reply is cut off in calm."""
        limits = searcher_limits(memory_mb)
        assert limits.memory.limit > limits.body_bytes + 128 * 1024
