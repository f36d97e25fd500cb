"""Answers of the store that never end."""

import asyncio
import time

import pytest

from limpethollow_node.engine.connection.replylimits import STORE_LIMITS
from limpethollow_node.platform.store import ChangesTooLarge, Store
from limpethollow_node.process.metrics import Metrics
from limpethollow_wire.exceptions import Unavailable
from tests.standins.endless import ENDLESS, EndlessServer

LIMITS = [
    ("headers", "head"),
    ("trailers", "framing"),
    ("chunks", "framing"),
    ("large chunks", "body"),
    ("body with a length", "body"),
    ("body without a length", "body"),
]
# A list page of objects, of which one has the largest allowed value of 1 MB.
PAGE = b'{"items": [{"meta": {"name": "a"}, "spec": "%b"}], "currentRev": 5}' % (b"x" * 1024 * 1024)


async def list_from(address: str, metrics: Metrics) -> int:
    """Return the number of objects that a store lists."""
    store = Store(address, metrics)
    try:
        return len((await store.list("servers", lambda stored: stored.name)).items)
    finally:
        store.close()


class TestEndless:
    """Guards against a faulty store that fills the memory of all instances at once."""

    @pytest.mark.parametrize(("name", "limit"), LIMITS)
    def test_a_fast_one_is_cut_off_at_its_limit(self, name, limit):
        metrics = Metrics()
        with EndlessServer(*ENDLESS[name]) as server, pytest.raises(Unavailable):
            asyncio.run(list_from(server.address, metrics))
        assert metrics.value("replies_cut_off", limit) == 1

    def test_a_trickling_one_ends_with_the_calls_time(self):
        with EndlessServer(*ENDLESS["headers"], pause=0.02) as server:
            began = time.monotonic()
            with pytest.raises(Unavailable):
                asyncio.run(list_from(server.address, Metrics()))
        assert time.monotonic() - began < 3.0

    def test_a_watch_over_its_limit_is_not_sent_again(self):
        """Guards against changes that never arrive, since the same answer is cut off each time."""

        async def watch(address: str) -> None:
            store = Store(address, Metrics())
            try:
                await store.watch("servers", 5, 1.0)
            finally:
                store.close()

        with EndlessServer(*ENDLESS["large chunks"]) as server, pytest.raises(ChangesTooLarge):
            asyncio.run(watch(server.address))


class TestLarge:
    def test_a_page_with_the_largest_object_is_read(self):
        """Guards against a limit that hides objects which the store accepts."""
        reply = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(PAGE), PAGE)

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(reply)
            await writer.drain()

        async def run() -> int:
            async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
                host, port = server.sockets[0].getsockname()
                return await list_from(f"{host}:{port}", Metrics())

        assert asyncio.run(run()) == 1

    def test_a_watch_answer_may_hold_several_of_them(self):
        assert STORE_LIMITS.body_bytes >= 4 * len(PAGE)
