"""Many large transfers at once, between an instance and its searchers and peers."""

import socket
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path

from tests.standins.backends import BackendStandIn, Endless
from tests.support.platforms import (
    HOST,
    PlatformInstance,
    PlatformSystem,
    configuration,
    forward_route,
    search_route,
)
from tests.support.processes import wait_for

MEGABYTE = 1024 * 1024


def limited(system: PlatformSystem, **limits: int) -> PlatformInstance:
    """Start an instance with lower limits in its settings."""
    instance = PlatformInstance("front-1", system.store.address, system.folder)
    instance.settings["limits"].update(limits)
    instance.settings["bootstrap"] = True
    return system.adopt(instance).wait_ready()


def peak_memory(instance: PlatformInstance) -> int:
    """Return the highest resident memory of an instance's process so far, in megabytes."""
    lines = Path(f"/proc/{instance.child.pid}/status").read_text().splitlines()
    (line,) = (line for line in lines if line.startswith("VmHWM:"))
    return int(line.split()[1]) // 1024


def open_descriptors(instance: PlatformInstance) -> int:
    """Return how many file descriptors an instance's process has open."""
    return sum(1 for _ in Path(f"/proc/{instance.child.pid}/fd").iterdir())


def request_bytes(path: str, number: int, body: bytes = b"") -> bytes:
    """Return a caller's request."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {len(body)}\r\n"
        f"X-Limpethollow-Request-Id: c{number}\r\nX-Limpethollow-Deadline-Ms: 8000\r\n\r\n"
    )
    return head.encode() + body


@contextmanager
def callers(instance: PlatformInstance, requests: list[bytes]) -> Iterator[list[socket.socket]]:
    """Send each request on a connection of its own; they stay open."""
    with ExitStack() as stack:
        made = []
        for data in requests:
            caller = socket.create_connection(("127.0.0.1", instance.front))
            made.append(stack.enter_context(caller))
            caller.sendall(data)
        yield made


def wait_settled(instance: PlatformInstance) -> None:
    """Wait until the highest memory has not risen for a second."""
    highest = [(peak_memory(instance), time.monotonic())]

    def settled() -> bool:
        if peak_memory(instance) > highest[-1][0]:
            highest.append((peak_memory(instance), time.monotonic()))
        return time.monotonic() - highest[-1][1] > 1.0

    wait_for(settled, "the memory has settled")


def assert_within_limits(instance: PlatformInstance) -> None:
    """Check that the process lives and has met neither limit of its settings."""
    assert instance.child.poll() is None
    limits = instance.settings["limits"]
    assert peak_memory(instance) < limits["memoryMb"]
    assert open_descriptors(instance) < limits["maxFds"]


class TestReplies:
    """Guards against long replies, each within its limit, that together exceed the memory."""

    LONG = b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * (MEGABYTE * 5 // 4)

    def test_many_that_stop_short_leave_an_instance_within_its_memory(self, system):
        searchers = [
            system.backend(
                "long",
                f"l-{number}",
                slots=26,
                answer=lambda me, seen: Endless(self.LONG, b"x", pause=0.5),
            )
            for number in range(6)
        ]
        system.backend("desk", "i-1")
        routes = [
            forward_route("long", name="long", pathPrefix="/long/", timeoutMs=8000, sloMs=8000),
            forward_route("desk"),
        ]
        system.configure(1, *routes)
        instance = limited(system, memoryMb=150)
        requests = [request_bytes("/long/x", number) for number in range(120)]
        with callers(instance, requests):
            wait_for(
                lambda: sum(len(searcher.seen) for searcher in searchers) >= 100,
                "the searchers have the requests",
            )
            wait_settled(instance)
            assert instance.ask("/get/x").status == 200
        assert_within_limits(instance)


class Unreading(BackendStandIn):
    """A searcher whose kernel accepts connections, but which reads nothing from them."""

    def _accept(self) -> None:
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)


class TestRequests:
    """Guards against a copy of a request's body for each of the searchers that it goes to."""

    BODY = b"x" * (4 * MEGABYTE)

    def test_searchers_that_read_nothing_leave_an_instance_within_its_memory(self, system):
        shards = [f"s{number}" for number in range(40)]
        with ExitStack() as stack:
            for shard in shards:
                searcher = stack.enter_context(Unreading(shard, f"{shard}-a"))
                system.store.put("servers", searcher.name, searcher.entry())
            system.backend("desk", "i-1")
            routes = [search_route(shards, timeoutMs=8000, sloMs=8000), forward_route("desk")]
            content = configuration(1, *routes)
            content["limits"]["maxBodyBytes"] = 2 * len(self.BODY)
            system.store.put("config", "main", content)
            instance = limited(system, memoryMb=120)
            with callers(instance, [request_bytes("/find/x", 1, self.BODY)]):
                wait_settled(instance)
                assert instance.ask("/get/x").status == 200
            assert_within_limits(instance)
