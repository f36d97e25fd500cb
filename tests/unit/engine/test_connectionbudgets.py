"""Connections that all pools of a process have open together."""

import asyncio
import errno
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from random import Random

from limpethollow_node.engine.messages import Reply
from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.engine.process.pools import Call, Pool
from limpethollow_node.platform.headers import HEADERS
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.connectionbudgets import ConnectionBudget
from limpethollow_policy.process.fleets import Fleet
from limpethollow_policy.process.searchers import Searcher
from limpethollow_policy.process.sendbudgets import SendBudget
from tests.unit.engine.test_pools import CountingSearcher, ask


@asynccontextmanager
async def serving(*serves: Callable) -> AsyncIterator[list[str]]:
    """Yield the addresses of servers; their connections have ended when the block does."""
    async with AsyncExitStack() as stack:
        servers = [await asyncio.start_server(serve, "127.0.0.1", 0) for serve in serves]
        for server in servers:
            await stack.enter_async_context(server)
        yield [f"127.0.0.1:{server.sockets[0].getsockname()[1]}" for server in servers]
        await asyncio.sleep(0.05)


class TestBudget:
    def test_the_connection_idle_for_the_longest_makes_place(self):
        budget = ConnectionBudget(2)
        assert budget.open("a", "p") and budget.open("b", "p")
        budget.set_idle("b")
        budget.set_idle("a")
        assert not budget.open("c", "q")
        assert budget.take_longest_idle() == "b"
        assert budget.next_waiting() is None
        budget.closed("b")
        assert budget.next_waiting() == "q"

    def test_pools_wait_in_the_order_in_which_they_asked(self):
        budget = ConnectionBudget(1)
        budget.open("a", "p")
        assert not budget.open("b", "q")
        assert not budget.open("c", "r")
        assert not budget.open("d", "q")
        budget.closed("a")
        budget.closed("a")
        assert [budget.next_waiting() for _ in range(3)] == ["q", "r", None]


class TestPools:
    """Guards against connections to searchers that take all descriptors of a process."""

    def test_many_pools_share_few_connections(self):
        async def run() -> None:
            searchers = [CountingSearcher() for _ in range(6)]
            async with serving(*(searcher.serve for searcher in searchers)) as addresses:
                budget = ConnectionBudget(2)
                pools = [Pool(a, 4, lambda error: None, budget=budget) for a in addresses]
                replies = await asyncio.gather(*(ask(pool) for pool in pools * 3))
                assert [reply.status for reply in replies] == [200] * 18
                await asyncio.sleep(0.05)
                assert sum(searcher.open for searcher in searchers) <= 2
                for pool in pools:
                    pool.close()

        asyncio.run(run())

    def test_calls_wait_until_a_connection_in_use_closes(self):
        async def hang(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()
            writer.close()

        async def run() -> Reply:
            async with serving(hang, CountingSearcher().serve) as (hanging, address):
                budget = ConnectionBudget(1)
                call = Call(lambda: b"GET / HTTP/1.1\r\n\r\n", print, print, head=False)
                Pool(hanging, 1, print, budget=budget).send(call)
                other = Pool(address, 1, print, budget=budget)
                waiting = asyncio.create_task(ask(other))
                await asyncio.sleep(0.05)
                assert not waiting.done()
                call.cancel()
                reply = await asyncio.wait_for(waiting, 5.0)
                other.close()
                return reply

        assert asyncio.run(run()).status == 200


class TestShortage:
    def test_a_connect_without_a_descriptor_does_not_count_against_the_searcher(self):
        """Guards against searchers that are given up for a fault of this instance."""

        async def run() -> None:
            dispatch = Dispatch(Fleet("a", Random(1)), SendBudget(0.2, 50, 10), HEADERS, Metrics())
            dispatch.put_searcher(Searcher("i-1", "s", "127.0.0.1:1", "a", 2))
            replica = dispatch.fleet.get("i-1")

            async def fail(*_: object) -> None:
                raise OSError(errno.EMFILE, "Too many open files")

            asyncio.get_running_loop().create_connection = fail
            failed = []
            call = Call(lambda: b"", print, failed.append, head=False)
            dispatch.send(replica, call)
            await asyncio.sleep(0.05)
            assert len(failed) == 1
            assert not call.sent
            assert replica.blocked_until <= asyncio.get_running_loop().time()
            assert dispatch.metrics.value("connects_without_descriptor") == 1
            assert not dispatch.metrics.value("searcher_connect_failures")

        asyncio.run(run())
