"""Connections to one searcher: how many, and for how long."""

import asyncio

import pytest

from limpethollow_node.engine.messages import Reply
from limpethollow_node.engine.process.pools import Call, ConnectionAge, Pool

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=60\r\n\r\nok"


class CountingSearcher:
    """Answers every request, and counts its connections."""

    def __init__(self) -> None:
        self.open = self.most_open = self.taken = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open += 1
        self.taken += 1
        self.most_open = max(self.most_open, self.open)
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(ANSWER)
        except (asyncio.IncompleteReadError, ConnectionResetError):
            self.open -= 1
            writer.close()


async def ask(pool: Pool, age: ConnectionAge = ConnectionAge.ANY) -> Reply:
    """Make one call and wait for its reply."""
    waiter = asyncio.get_running_loop().create_future()
    pool.send(
        Call(
            lambda: b"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
            waiter.set_result,
            waiter.set_exception,
            age=age,
            head=False,
        )
    )
    return await asyncio.wait_for(waiter, 5.0)


async def play(pools: int, share: float, calls: int) -> CountingSearcher:
    """Let some instances make calls in turn; return the searcher while their pools are open."""
    searcher = CountingSearcher()
    server = await asyncio.start_server(searcher.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    made = [Pool(f"{host}:{port}", share, lambda error: None) for _ in range(pools)]
    async with server:
        for _ in range(calls):
            for pool in made:
                assert (await ask(pool)).status == 200
        await asyncio.sleep(0.05)
        found = CountingSearcher()
        found.open, found.most_open, found.taken = searcher.open, searcher.most_open, searcher.taken
        for pool in made:
            pool.close()
    return found


class TestManyInstances:
    """711 requests got 502 within three milliseconds, though their searcher was idle.

    It takes 120 connections, and each of 195 instances had kept the one that it may always open.
    The searcher reset the others' as they came, with a request on them that may have run.
    """

    def test_one_with_a_part_of_a_connection_keeps_none(self):
        searcher = asyncio.run(play(pools=30, share=0.3, calls=2))
        assert searcher.open == 0
        assert searcher.most_open < 10

    def test_one_with_a_whole_connection_keeps_it(self):
        searcher = asyncio.run(play(pools=3, share=1.0, calls=4))
        assert searcher.open == 3
        assert searcher.taken == 3


class TestConnectionAge:
    """Guards against a searcher's earlier end that is blamed on the request sent to it next."""

    def test_a_call_that_asks_for_a_new_connection_gets_one_right_after_a_reply(self):
        assert asyncio.run(connections_of(ConnectionAge.NEW)) == 2

    def test_others_use_one_that_was_used_just_now(self):
        assert asyncio.run(connections_of(ConnectionAge.RECENT)) == 1

    def test_it_gets_one_where_all_that_may_be_open_are_in_use(self):
        assert asyncio.run(connections_of(ConnectionAge.NEW, share=1.0)) == 2


async def connections_of(age: ConnectionAge, share: float = 5.0) -> int:
    """Make a call, and another one of an age; return how many connections the searcher took."""
    searcher = CountingSearcher()
    server = await asyncio.start_server(searcher.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    pool = Pool(f"{host}:{port}", share, lambda error: None)
    async with server:
        await ask(pool)
        assert (await ask(pool, age)).status == 200
        pool.close()
    return searcher.taken


class TestWithheld:
    def test_a_call_behind_one_that_is_withheld_gets_its_connection(self):
        """Guards against calls that wait for a connection that nobody opens.

        When a connection closed, only the next call in the queue was looked at.
        """

        async def run() -> bytes:
            searcher = CountingSearcher()
            server = await asyncio.start_server(searcher.serve, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            pool = Pool(f"{host}:{port}", 1, lambda error: None)
            failed, replied = [], asyncio.get_running_loop().create_future()

            def call(may_send, on_reply, on_failed) -> Call:
                render = lambda: b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"  # noqa: E731
                return Call(render, on_reply, on_failed, head=False, may_send=may_send)

            async with server:
                await ask(pool)
                busy = call(lambda: True, lambda reply: None, failed.append)
                pool.send(busy)
                allowed = [True]
                pool.send(call(lambda: allowed[0], lambda reply: None, failed.append))
                pool.send(call(lambda: True, replied.set_result, replied.set_exception))
                allowed[0] = False
                busy.cancel()
                reply = await asyncio.wait_for(replied, 5.0)
                pool.close()
            assert len(failed) == 1
            return reply.body

        assert asyncio.run(run()) == b"ok"


class TestLongRequests:
    @pytest.mark.parametrize(("head", "body"), [(200, 9000), (20_000, 30), (100, 3_000_000)])
    def test_head_and_body_arrive_whole_at_a_slow_reader(self, head, body):
        """Guards against pieces that are lost or swapped where one of them ends."""

        async def run() -> bytes:
            received = bytearray()

            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                while len(received) < len(sent):
                    received.extend(await reader.read(50_000))
                    await asyncio.sleep(0)
                writer.write(ANSWER)
                await reader.read()
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1024)
            host, port = server.sockets[0].getsockname()
            pool = Pool(f"{host}:{port}", 1, lambda error: None)
            replied = asyncio.get_running_loop().create_future()
            call = Call(
                lambda: sent[:head],
                replied.set_result,
                replied.set_exception,
                head=False,
                body=sent[head:],
            )
            async with server:
                pool.send(call)
                await asyncio.wait_for(replied, 8.0)
                pool.close()
                await asyncio.sleep(0.05)
            return bytes(received)

        sent = bytes(index * 7 % 251 for index in range(head + body))
        assert asyncio.run(run()) == sent
