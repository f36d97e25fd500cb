"""Endless bytes where no reply is expected: after a reply, beside a request, or without one."""

import asyncio
import time

import pytest

from limpethollow_node.engine.messages import Reply
from limpethollow_node.engine.process.pools import Call, Pool
from tests.standins.endless import EndlessServer
from tests.support.processes import wait_for
from tests.unit.engine.test_endless_replies import open_connections

# What a caller's kernel and one read of the event loop may take before the connection is reset.
MAX_SENT = 16 * 1024 * 1024
SHORT_REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
BLOCK = b"x" * 16 * 1024


def pool_of(server: EndlessServer) -> Pool:
    return Pool(server.address, 2, lambda error: None)


async def send(pool: Pool, *, head: bool = False, body: bytes = b"") -> tuple[list, Call]:
    """Send a call; return the list that receives its outcome, and the call."""
    outcome: list[Reply | Exception] = []
    method = b"HEAD" if head else b"POST"
    data = b"%b / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%b" % (method, len(body), body)
    call = Call(lambda: data, outcome.append, outcome.append, head=head)
    pool.send(call)
    return outcome, call


async def until(condition, seconds: float = 5.0) -> None:
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end
        await asyncio.sleep(0.005)


def check_closed(server: EndlessServer, left: int) -> None:
    wait_for(lambda: server.closed, "the connection is closed")
    assert max(server.sent) < MAX_SENT
    assert left == 0


@pytest.mark.parametrize("pause", [0.0, 0.02])
class TestBytes:
    """Guards against a faulty server whose bytes are kept, or read without end."""

    @pytest.mark.parametrize(
        ("status", "head"),
        [(b"200 OK", True), (b"204 No Content", False), (b"304 Not Modified", False)],
    )
    def test_a_body_where_there_is_none(self, status, head, pause):
        async def play() -> tuple[list, int]:
            pool = pool_of(server)
            outcome = (await send(pool, head=head))[0]
            await until(lambda: outcome)
            await until(lambda: not open_connections())
            pool.close()
            return outcome, open_connections()

        start = b"HTTP/1.1 %b\r\nContent-Length: 5\r\n\r\n" % status
        with EndlessServer(start, BLOCK, pause) as server:
            outcome, left = asyncio.run(play())
            check_closed(server, left)
        assert isinstance(outcome[0], Reply)
        assert (len(outcome), outcome[0].body) == (1, b"")

    def test_bytes_after_a_complete_reply(self, pause):
        async def play() -> tuple[list, int]:
            pool = pool_of(server)
            outcome = (await send(pool))[0]
            await until(lambda: outcome)
            await until(lambda: not open_connections())
            return outcome, open_connections()

        with EndlessServer(SHORT_REPLY, BLOCK, pause) as server:
            outcome, left = asyncio.run(play())
            check_closed(server, left)
        assert outcome[0].body == b"ok"

    @pytest.mark.parametrize("start", [b"HTTP/1.1 200 OK\r\nA: ", SHORT_REPLY])
    def test_a_reply_while_a_long_body_is_sent(self, start, pause):
        async def play() -> tuple[list, int]:
            pool = pool_of(server)
            outcome = (await send(pool, body=b"b" * 8 * 1024 * 1024))[0]
            await until(lambda: outcome)
            await until(lambda: not open_connections())
            return outcome, open_connections()

        with EndlessServer(start, BLOCK, pause) as server:
            outcome, left = asyncio.run(play())
            check_closed(server, left)
        assert len(outcome) == 1

    @pytest.mark.parametrize("start", [b"HTTP/1.1 200 OK\r\n\r\n", b"HTTP/1.1 200 OK\r\nA: "])
    def test_a_reply_that_goes_on_after_it_was_given_up(self, start, pause):
        async def play() -> tuple[list, int]:
            pool = pool_of(server)
            outcome, call = await send(pool)
            while not (call.is_in_reply or outcome):
                await asyncio.sleep(0.001)
            call.cancel()
            del call
            await until(lambda: not open_connections())
            return outcome, open_connections()

        with EndlessServer(start, b"x", pause) as server:
            _, left = asyncio.run(play())
            check_closed(server, left)


class TestWithoutRequest:
    def test_bytes_on_a_connection_that_carries_none(self):
        """Guards against bytes that are kept until a request is sent."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                while True:
                    writer.write(SHORT_REPLY * 100)
                    await writer.drain()
            except OSError:
                ended.append(True)

        async def play() -> None:
            async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
                host, port = server.sockets[0].getsockname()
                pool = Pool(f"{host}:{port}", 2, lambda error: None)
                pool.probe()
                await until(lambda: ended)
                await until(lambda: not open_connections())

        ended: list[bool] = []
        asyncio.run(play())
