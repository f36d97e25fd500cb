"""Replies that never end: a faulty server sends bytes until its connection is closed."""

import asyncio
import gc
import time
from collections.abc import Iterator

import pytest

from limpethollow_node.engine.connection.clients import (
    BrokenConnection,
    ClientConnection,
    ReplyCutOff,
)
from limpethollow_node.engine.connection.replylimits import (
    MAX_HEAD_BYTES,
    MAX_HEADERS,
    PIECE_BYTES,
    SEARCHER_LIMITS,
    ReplyLimit,
)
from limpethollow_node.engine.process.httpclients import HttpClient
from limpethollow_node.engine.request.attempts import Attempts
from limpethollow_node.engine.request.outgoing import Outgoing
from limpethollow_policy.request.verdicts import Verdict
from tests.standins.endless import ENDLESS, EndlessServer
from tests.support.processes import wait_for
from tests.support.searches import VirtualExchange
from tests.support.virtual import VirtualDispatch, request, route

# Far above the time that a local server needs to reach a limit in bytes.
LONG = 8.0
SHORT = 0.4
LIMITS = {
    "status line": ReplyLimit.HEAD,
    "header name": ReplyLimit.HEAD,
    "header value": ReplyLimit.HEAD,
    "headers": ReplyLimit.HEAD,
    "interim replies": ReplyLimit.HEAD,
    "interim headers": ReplyLimit.HEAD,
    "chunk size": ReplyLimit.FRAMING,
    "chunk extension": ReplyLimit.FRAMING,
    "chunk extensions": ReplyLimit.FRAMING,
    "trailer": ReplyLimit.FRAMING,
    "trailers": ReplyLimit.FRAMING,
    "chunks": ReplyLimit.FRAMING,
    "large chunks": ReplyLimit.BODY,
    "body with a length": ReplyLimit.BODY,
    "body without a length": ReplyLimit.BODY,
}


@pytest.fixture(autouse=True)
def no_collection() -> Iterator[None]:
    """Let memory be released by reference counts only, as the next collection may be far away."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def open_connections() -> int:
    """Return how many connection objects are in memory."""
    return sum(type(found) is ClientConnection for found in gc.get_objects())


async def ask(server: EndlessServer, timeout: float) -> tuple[Exception, int]:
    """Return how a request failed, and how many connection objects were left in memory after it."""
    client = HttpClient(server.address, 1)
    with pytest.raises(OSError) as raised:
        await client.ask(b"GET", b"/health", timeout=timeout)
    # The event loop reports the end of a connection in its next two cycles.
    await asyncio.sleep(0.05)
    left = open_connections()
    client.close()
    return raised.value, left


async def answer(reply: bytes) -> int:
    """Return the size of the body that is read from a reply of these bytes."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(reply)
        await writer.drain()

    async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
        client = HttpClient(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", 1)
        try:
            return len((await client.ask(b"GET", b"/", timeout=LONG)).body)
        finally:
            client.close()


class TestFast:
    """Guards against a server that fills this instance's memory before a time limit is reached."""

    @pytest.mark.parametrize("name", ENDLESS)
    def test_it_is_cut_off_at_its_limit_in_bytes(self, name):
        with EndlessServer(*ENDLESS[name]) as server:
            error, left = asyncio.run(ask(server, LONG))
            wait_for(lambda: server.closed, "the connection is closed")
        assert isinstance(error, ReplyCutOff)
        assert error.limit is LIMITS[name]
        assert left == 0


class TestTrickling:
    """Guards against replies that hold a connection forever because each byte comes in time."""

    # The blocks of the others reach a limit in bytes within the time.
    NAMES = sorted(set(ENDLESS) - {"body with a length", "chunk extensions", "large chunks"})

    @pytest.mark.parametrize("name", NAMES)
    def test_it_ends_with_the_time_of_the_whole_request(self, name):
        start, block = ENDLESS[name]
        with EndlessServer(start, block, pause=0.02) as server:
            began = time.monotonic()
            error, left = asyncio.run(ask(server, SHORT))
            wait_for(lambda: server.closed, "the connection is closed")
        assert isinstance(error, TimeoutError)
        assert SHORT <= server.closed[0] - began < SHORT + 1.0
        assert left == 0

    def test_a_body_whose_length_is_over_the_limit_is_not_waited_for(self):
        with EndlessServer(*ENDLESS["body with a length"], pause=0.02) as server:
            error, _ = asyncio.run(ask(server, LONG))
        assert isinstance(error, ReplyCutOff)

    def test_a_body_within_the_limit_ends_with_the_time_too(self):
        start = b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"
        with EndlessServer(start, b"x", pause=0.02) as server:
            error, left = asyncio.run(ask(server, SHORT))
        assert isinstance(error, TimeoutError)
        assert left == 0


class TestOtherEnds:
    def test_an_upgrade_is_an_invalid_reply(self):
        """Guards against an exception that the event loop reports as unexpected."""
        upgrade = b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"
        with EndlessServer(upgrade, b"x") as server:
            error, _ = asyncio.run(ask(server, LONG))
        assert type(error) is BrokenConnection


class TestValidReplies:
    """Guards against limits that cut off what searchers may send."""

    BODY = b"x" * 1024 * 1024

    def test_a_body_of_a_megabyte_with_a_length(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(self.BODY)
        assert asyncio.run(answer(head + self.BODY)) == len(self.BODY)

    @pytest.mark.parametrize(
        "chunk", [b"40\r\n" + b"x" * 0x40 + b"\r\n", b"4000\r\n" + b"x" * 0x4000 + b"\r\n"]
    )
    def test_a_body_of_a_megabyte_in_chunks(self, chunk):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunks = chunk * (len(self.BODY) // chunk.count(b"x"))
        trailer = b"0\r\nSum: 1\r\n\r\n"
        assert asyncio.run(answer(head + chunks + trailer)) == len(self.BODY)

    def test_a_long_head_after_interim_replies(self):
        interim = b"HTTP/1.1 100 Continue\r\n\r\n" * 10
        head = b"HTTP/1.1 200 OK\r\n" + b"A: %b\r\n" % (b"b" * 60) * 200
        assert len(interim + head) < MAX_HEAD_BYTES
        assert asyncio.run(answer(interim + head + b"Content-Length: 2\r\n\r\nok")) == 2

    def test_an_unchanged_resource_may_be_larger_than_the_limit(self):
        """A 304 reply names the length of the body that it does not have."""
        head = b"HTTP/1.1 304 Not Modified\r\nContent-Length: 99999999\r\n\r\n"
        assert asyncio.run(answer(head)) == 0


class TestVerdict:
    """Guards against a faulty searcher that is called again and again."""

    def play(self) -> tuple[VirtualDispatch, Attempts]:
        dispatch = VirtualDispatch()
        dispatch.add("s", "i-1")
        outgoing = Outgoing.of(
            VirtualExchange(request(), dispatch.loop.time()), route(idempotent=False), dispatch
        )
        tries = Attempts(dispatch, outgoing, "s", lambda ended: None)
        tries.start()
        return dispatch, tries

    def test_a_cut_off_reply_counts_as_a_failure(self):
        dispatch, tries = self.play()
        _, call = dispatch.played[0]
        call.sent = True
        call.on_failed(ReplyCutOff(ReplyLimit.HEAD))
        assert tries.verdict is Verdict.UNKNOWN
        assert dispatch.fleet.get("i-1").failures > 0
        assert dispatch.metrics.value("replies_cut_off", "head") == 1

    @pytest.mark.parametrize("is_in_reply", [True, False])
    def test_only_a_reply_that_had_begun_at_the_deadline_does(self, is_in_reply):
        """A searcher that is merely late has not failed; its calls are limited by its window."""
        dispatch, tries = self.play()
        _, call = dispatch.played[0]
        call.sent = True
        connection = ClientConnection(lambda _: None, lambda _: None)
        connection.reply_started = is_in_reply
        call._connection = connection
        dispatch.loop.run(tries.outgoing.deadline)
        tries.abandon()
        assert bool(dispatch.fleet.get("i-1").failures) is is_in_reply
        assert dispatch.metrics.value("replies_cut_off", "time") == is_in_reply


class TestMemory:
    def test_40_replies_at_their_limits_leave_room_in_an_instance_of_200_mb(self):
        """Guards against a limit that is raised beyond what the smallest instances have."""
        body = SEARCHER_LIMITS.body_bytes * 9 // 8
        headers = (MAX_HEADERS + PIECE_BYTES // len(b"A:\r\n")) * 160
        assert 40 * (body + headers) < 200 * 1024 * 1024 * 0.6
