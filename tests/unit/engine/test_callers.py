"""Connections of callers that share the memory and the sockets of a process."""

import asyncio
import socket
from collections.abc import Callable

from limpethollow_node.engine.connection.callerresources import CallerResources
from limpethollow_node.engine.connection.callers import CallerServer, Exchange
from limpethollow_node.engine.connection.listeners import open_listener
from limpethollow_node.engine.messages import Reply
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.callerbounds import CallerBounds, ListenerKind

HALF = b"POST /half HTTP/1.1\r\nContent-Length: 90000\r\n\r\n" + b"x" * 80_000
GET = b"GET /works HTTP/1.1\r\n\r\n"


class Callers:
    """A server whose requests are answered by the test."""

    def __init__(self, **bounds: int) -> None:
        self.metrics = Metrics()
        filled = {"received_bytes": 200_000, "unsent_bytes": 100_000, "sockets": 128, **bounds}
        resources = CallerResources(CallerBounds(**filled), self.metrics)
        self.taken: list[Exchange] = []
        self.server = CallerServer(
            self.taken.append, lambda error: None, resources, ListenerKind.FRONT
        )
        self._listener = open_listener("127.0.0.1", 0)
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> "Callers":
        await self.server.serve(self._listener)
        return self

    async def connect(self, data: bytes = b"", window: int = 65536) -> asyncio.StreamReader:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        sock.connect(self._listener.getsockname())
        reader, writer = await asyncio.open_connection(sock=sock)
        self._writers.append(writer)
        writer.write(data)
        return reader

    async def next_taken(self) -> Exchange:
        await until(lambda: self.taken)
        return self.taken.pop(0)

    def limited(self, reason: str) -> int:
        return self.metrics.value("callers_limited", reason)


async def until(holds: Callable[[], object]) -> None:
    """Wait for a condition."""
    async with asyncio.timeout(20.0):
        while not holds():
            await asyncio.sleep(0.002)


class TestReceived:
    def test_a_request_that_works_is_answered_before_the_refusal_of_the_next(self):
        """Guards against requests cut while a searcher works on them."""

        async def play() -> bytes:
            callers = await Callers().start()
            reader = await callers.connect(GET + HALF)
            works = await callers.next_taken()
            while not callers.limited("received"):
                await callers.connect(HALF)
                await asyncio.sleep(0.01)
            works.respond(Reply(200, [], b"done"))
            return await reader.read()

        read = asyncio.run(play())
        assert read.index(b"HTTP/1.1 200 OK") < read.index(b"HTTP/1.1 503 ")
        assert b"Retry-After: 1.000" in read

    def test_what_is_left_unparsed_is_handled_in_order(self):
        """Guards against requests that are lost behind those that may wait."""
        sent = [b"/%d" % number for number in range(100)]

        async def play() -> list[bytes]:
            callers = await Callers().start()
            await callers.connect(b"".join(b"GET %b HTTP/1.1\r\n\r\n" % each for each in sent))
            found = []
            for _ in sent:
                exchange = await callers.next_taken()
                found.append(exchange.request.target)
                exchange.respond(Reply(200))
            return found

        assert asyncio.run(play()) == sent


class TestUnsent:
    def test_the_one_that_holds_most_is_closed(self):
        """Guards against replies that wait in memory for callers that don't read."""

        async def play() -> None:
            callers = await Callers(unsent_bytes=5_000_000).start()
            # asyncio's readers take some bytes; the kernel has the first buffers.
            while not callers.limited("unsent"):
                await callers.connect(GET, window=4096)
                exchange = await callers.next_taken()
                exchange.respond(Reply(200, [], b"x" * 3_000_000))
            await until(lambda: len(callers.server.connections) < 3)

        asyncio.run(play())

    def test_no_further_request_starts_before_the_replies_are_read(self):
        """Guards against a connection that is closed for its replies while a request runs."""

        async def play() -> bytes:
            callers = await Callers(unsent_bytes=5_000_000).start()
            reader = await callers.connect(GET * 2, window=4096)
            first = await callers.next_taken()
            first.respond(Reply(200, [], b"x" * 3_000_000))
            assert not callers.taken
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(3_000_000)
            second = await callers.next_taken()
            second.respond(Reply(200, [], b"second"))
            return await reader.readuntil(b"second")

        assert asyncio.run(play()).startswith(b"HTTP/1.1 200 OK")


class TestConnections:
    def test_a_new_one_is_refused_only_if_all_others_are_at_work(self):
        """Guards against requests cut while a searcher works on them."""

        async def play() -> list[bytes]:
            callers = await Callers(sockets=6).start()
            works = await callers.connect(GET)
            first = await callers.next_taken()
            idle = await callers.connect()
            also_works = await callers.connect(GET)
            second = await callers.next_taken()
            await until(idle.at_eof)
            refused = await callers.connect()
            await until(refused.at_eof)
            for exchange in (first, second):
                exchange.respond(Reply(200, [], b"done"))
            return [await reader.readuntil(b"done") for reader in (works, also_works)]

        assert all(read.startswith(b"HTTP/1.1 200 OK") for read in asyncio.run(play()))
