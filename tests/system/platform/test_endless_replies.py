"""Searchers whose replies never end."""

import threading
import time
from pathlib import Path

import pytest

from limpethollow_node.engine.connection.replylimits import SEARCHER_LIMITS
from tests.standins.backends import PROOF, Endless
from tests.standins.endless import ENDLESS
from tests.support.platforms import PlatformInstance, forward_route, search_route
from tests.support.processes import wait_for

SHARDS = 40
# A body that stops just below its limit, and exceeds it when all others have got there.
BELOW_LIMIT = (
    b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * (SEARCHER_LIMITS.body_bytes * 9 // 10),
    b"x" * (SEARCHER_LIMITS.body_bytes // 5),
    0.4,
)
MEMORY_MB = 200


def resident(instance: PlatformInstance) -> int:
    """Return the resident memory of an instance's process in bytes."""
    lines = Path(f"/proc/{instance.child.pid}/status").read_text().splitlines()
    (line,) = (line for line in lines if line.startswith("VmRSS:"))
    return int(line.split()[1]) * 1024


class MemoryWatch:
    """Records the highest resident memory of a process while a test runs."""

    def __init__(self, instance: PlatformInstance) -> None:
        self._instance = instance
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self.highest = 0

    def __enter__(self) -> "MemoryWatch":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._ended.set()
        self._thread.join()

    def _watch(self) -> None:
        while not self._ended.wait(0.005):
            self.highest = max(self.highest, resident(self._instance))


class TestForwards:
    """Guards against callers that get no answer although another searcher could give one."""

    @pytest.mark.parametrize(
        ("name", "limit"),
        [("headers", "head"), ("trailers", "framing"), ("body without a length", "body")],
    )
    def test_a_request_that_may_be_repeated_is_served_by_another(self, system, name, limit):
        bad = system.backend("desk", "i-1", answer=lambda me, seen: Endless(*ENDLESS[name]))
        system.backend("desk", "i-2", zone="zone-b")
        system.configure(1, forward_route("desk"))
        instance = system.instance()
        for number in range(4):
            reply = instance.ask("/get/x", request_id=f"r{number}")
            assert reply.headers[PROOF] == f"i-2.r{number}.200"
        assert len(bad.seen) == 1
        (told,) = instance.events(420)
        assert (told["searcher"], told["limit"]) == ("i-1", limit)
        assert f'replies_cut_off_total{{reason="{limit}"}} 1' in instance.metrics()

    def test_one_that_may_run_once_is_not_sent_again(self, system):
        bad = system.backend("desk", "i-1", answer=lambda me, seen: Endless(*ENDLESS["headers"]))
        other = system.backend("desk", "i-2", zone="zone-b")
        system.configure(1, forward_route("desk", type="unsafe"))
        reply = system.instance().ask("/get/x", method="POST", body=b"book")
        assert reply.status == 502
        assert len(bad.seen) == 1
        assert not other.seen

    def test_one_that_trickles_ends_with_the_callers_time(self, system):
        bad = system.backend(
            "desk", "i-1", answer=lambda me, seen: Endless(*ENDLESS["headers"], 0.02)
        )
        system.configure(1, forward_route("desk", type="unsafe", timeoutMs=300))
        instance = system.instance()
        began = time.monotonic()
        assert instance.ask("/get/x", method="POST", body=b"book").status == 504
        assert time.monotonic() - began < 2.0
        wait_for(lambda: bad.closed, "the connection is closed")
        (told,) = instance.events(420)
        assert (told["searcher"], told["limit"]) == ("i-1", "time")


class TestMemory:
    @pytest.mark.parametrize(
        "endless",
        [BELOW_LIMIT, ENDLESS["chunks"], ENDLESS["headers"], ENDLESS["chunk extension"]],
        ids=["body below its limit", "chunks", "headers", "chunk extension"],
    )
    def test_40_at_once_leave_an_instance_within_its_memory(self, system, endless):
        """Guards against instances that the platform ends for their memory.

        40 searchers of one search were faulty; each reply alone was within its limit.
        """
        shards = [f"s{number}" for number in range(SHARDS)]
        bad = [
            system.backend(shard, f"{shard}-a", answer=lambda me, seen: Endless(*endless))
            for shard in shards
        ]
        for shard in shards:
            system.backend(shard, f"{shard}-b", zone="zone-b")
        route = search_route(shards, minVersion=1.0, sloMs=1000)
        system.configure(1, route)
        instance = system.instance()
        before = resident(instance)
        with MemoryWatch(instance) as watch:
            reply = instance.ask("/find/x")
        assert sum(len(searcher.seen) for searcher in bad) >= SHARDS * 3 // 4
        assert reply.status == 200
        stamps = reply.headers["X-Limpethollow-Part-Stamps"].split(",")
        assert {stamp.strip().split(".")[0] for stamp in stamps} == {f"{s}-b" for s in shards}
        # Buffers grow by an eighth; a copy of one body exists while a reply is delivered.
        assert watch.highest - before < (SHARDS + 1) * SEARCHER_LIMITS.body_bytes * 9 // 8
        assert watch.highest < MEMORY_MB * 1024 * 1024
