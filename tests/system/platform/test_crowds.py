"""Clients that together send, or leave unread, more than a process has room for."""

import os
import socket
from collections.abc import Callable
from contextlib import contextmanager

import pytest
import urllib3

from tests.standins.backends import Hang
from tests.support.crowds import Crowd, CrowdClient, ResourceWatch, SlowReaders
from tests.support.platforms import HOST, PlatformInstance, configuration, forward_route

MEMORY_MB = 128
# Where descriptors are what runs out.
MAX_FDS = 700
HEADER_BYTES = 8192
BODY_BYTES = 1024 * 1024
LISTENERS = ("front", "directory", "ready", "metrics")
TARGETS = {"front": "/other/x", "directory": f"/resolve?name={HOST}&region=region&zone=zone-a"}
TARGETS |= {"ready": "/ready", "metrics": "/metrics"}
# Searchers of this route may be busy with the crowd's requests.
CROWDED = {"front": "/get/x"}
CONNECTIONS = 200


class Instance:
    """A process with little memory, and one searcher each for the crowd and for others."""

    def __init__(self, system, **backend) -> None:
        self.backend = system.backend("desk", "i-1", slots=CONNECTIONS, **backend)
        system.backend("other", "i-2")
        others = forward_route("other", name="other", pathPrefix="/other/")
        crowded = forward_route("desk", timeoutMs=20000, attempts=1)
        spec = configuration(1, crowded, others)
        for service in spec["services"]:
            service["maxConns"] = CONNECTIONS
        spec["limits"] = {
            "maxHeaderBytes": HEADER_BYTES,
            "maxBodyBytes": BODY_BYTES,
            "headerTimeoutMs": 20000,
            "idleTimeoutMs": 20000,
        }
        system.store.put("config", "main", spec)
        self.process = PlatformInstance("front-1", system.store.address, system.folder)
        self.process.settings["limits"] |= {"memoryMb": MEMORY_MB, "maxFds": 4100}
        self.process.settings["bootstrap"] = True
        self._system = system

    def start(self, max_fds: int = 4100) -> "Instance":
        self.process.settings["limits"]["maxFds"] = max_fds
        self._system.adopt(self.process).wait_ready()
        return self

    def port(self, listener: str) -> int:
        return {
            "front": self.process.front,
            "directory": self.process.directory,
            "ready": self.process.ready_port,
            "metrics": self.process.settings["internalPortRange"][1],
        }[listener]

    def ask(self, listener: str) -> urllib3.BaseHTTPResponse:
        """Send an ordinary request on a new connection."""
        headers = {"Host": HOST, "X-Limpethollow-Request-Id": "ordinary"}
        with urllib3.HTTPConnectionPool("127.0.0.1", self.port(listener)) as pool:
            return pool.urlopen(
                "GET", TARGETS[listener], headers=headers, retries=False, timeout=20.0
            )

    @contextmanager
    def watched(self, max_fds: int = 4100):
        """Check that the process stays within its limits and serves, also afterwards."""
        with ResourceWatch(self.process) as watch:
            try:
                yield watch
            finally:
                print(f"peak {watch.peak_mb:.0f} MB, {watch.descriptors} descriptors")
        self.serves()
        assert self.process.child.poll() is None
        assert watch.peak_mb < MEMORY_MB
        assert watch.descriptors < max_fds

    def serves(self) -> None:
        for listener in LISTENERS:
            assert self.ask(listener).status == 200, listener

    def withstands(
        self, listener: str, clients: int, data: bytes, max_fds: int = 4100
    ) -> list[CrowdClient]:
        """Check that it withstands clients that all send the same; return them."""
        crowd = Crowd(self.port(listener), [data] * clients)
        with self.watched(max_fds) as watch, crowd:
            crowd.send()
            self.serves()
            watch.look()
        return crowd.clients


@pytest.fixture
def instance(system) -> Instance:
    return Instance(system).start()


def post(listener: str, *headers: str) -> bytes:
    lines = [f"POST {CROWDED.get(listener, TARGETS[listener])} HTTP/1.1", f"Host: {HOST}"]
    lines += ["X-Limpethollow-Request-Id: crowd", *headers]
    return "\r\n".join([*lines, "", ""]).encode()


def chunks(size: int, total: int) -> bytes:
    """Return a chunked body without its end."""
    return b"%x\r\n%b\r\n" % (size, b"x" * size) * (total // size)


def chunked(listener: str) -> bytes:
    return post(listener, "Transfer-Encoding: chunked")


class TestHeads:
    @pytest.mark.parametrize("listener", LISTENERS)
    def test_many_short_headers(self, instance, listener):
        """Guards against memory that short headers take beside their text."""
        head = post(listener)[:-2] + b"aa:bb\r\n" * ((HEADER_BYTES - 300) // 7)
        instance.withstands(listener, 700, head)

    @pytest.mark.parametrize("listener", LISTENERS)
    @pytest.mark.parametrize("data", [b"", b"GET /get/x HT"], ids=["silent", "half a head"])
    def test_many_connections(self, system, listener, data):
        """Guards against descriptors that waiting connections take from all others."""
        instance = Instance(system).start(MAX_FDS)
        instance.withstands(listener, MAX_FDS + 300, data, MAX_FDS)


class TestBodies:
    @pytest.mark.parametrize("listener", LISTENERS)
    def test_large_chunks_that_stop_short(self, instance, listener):
        """Guards against incomplete bodies that are each within the limit."""
        data = chunked(listener) + chunks(65536, BODY_BYTES - 65536)
        instance.withstands(listener, 150, data)

    def test_small_chunks_that_stop_short(self, instance):
        """Guards against memory that chunks take beside their bytes."""
        instance.withstands("front", 40, chunked("front") + chunks(2, 128 * 1024))

    def test_bodies_with_a_length_that_stop_short(self, instance):
        """Guards against incomplete bodies that are each within the limit."""
        data = post("front", f"Content-Length: {BODY_BYTES}") + b"x" * (BODY_BYTES - 1)
        instance.withstands("front", 150, data)

    @pytest.mark.parametrize("listener", LISTENERS)
    def test_endless_trailers(self, instance, listener):
        """Guards against trailers that are read without end."""
        data = chunked(listener) + b"0\r\n" + b"aa:bb\r\n" * 70_000
        instance.withstands(listener, 16, data)

    def test_an_endless_chunk_extension_is_not_read(self, instance):
        """Guards against a connection that keeps the process busy without sending a body."""
        data = chunked("front") + b"1;" + b"x" * (16 * 1024 * 1024)
        (client,) = instance.withstands("front", 1, data)
        assert client.closed

    def test_complete_ones_in_turn(self, instance):
        """Guards against bodies that stay in memory after their requests have ended."""
        data = post("front", f"Content-Length: {BODY_BYTES}", "Connection: close")
        with instance.watched():
            for _ in range(150):
                assert reply_to(instance, data + b"x" * BODY_BYTES).startswith(b"HTTP/1.1 200 ")

    @pytest.mark.parametrize("size", [1, 2, 65536])
    def test_a_body_within_the_limit_is_served_in_calm(self, instance, size):
        """Guards against limits that a client within the configured ones would meet."""
        data = post("front", "Transfer-Encoding: chunked", "Connection: close")
        data += chunks(size, BODY_BYTES) + b"0\r\n\r\n"
        assert reply_to(instance, data).startswith(b"HTTP/1.1 200 ")
        assert len(instance.backend.seen[-1].body) == BODY_BYTES


class TestPipelining:
    def test_many_small_requests_at_once(self, system):
        """Guards against requests that are parsed long before their turn."""
        instance = Instance(system, answer=silent_for(b"POST")).start()
        first = post("front", "Content-Length: 0")
        instance.withstands("front", 100, first + b"GET / HTTP/1.1\r\n\r\n" * 11_000)

    def test_many_bodies_behind_a_slow_request(self, system):
        """Guards against bodies that wait in memory behind a request that runs."""
        instance = Instance(system, answer=silent_for(b"POST")).start()
        body = b"x" * (BODY_BYTES // 2)
        data = post("front", f"Content-Length: {len(body)}") + body
        instance.withstands("front", 40, data * 8)


class TestReplies:
    def test_long_ones_that_many_read_slowly(self, system):
        """Guards against replies that wait in memory for callers that don't read."""
        body = b"x" * 3_900_000
        answers = {b"/get/long": body}
        instance = Instance(system, answer=bodies_of(answers)).start()
        request = f"GET /get/long HTTP/1.1\r\nHost: {HOST}\r\n"
        request += "X-Limpethollow-Request-Id: long\r\n\r\n"
        with instance.watched(), SlowReaders(instance.port("front")) as readers:
            for _ in range(60):
                readers.add(request.encode())
            instance.serves()

    def test_a_long_one_is_delivered_in_calm(self, system):
        """Guards against limits that a single caller would meet."""
        body = os.urandom(8_000_000)
        instance = Instance(system, answer=bodies_of({b"/get/long": body})).start()
        request = f"GET /get/long HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n"
        request += "X-Limpethollow-Request-Id: long\r\n\r\n"
        assert reply_to(instance, request.encode()).endswith(body)


def silent_for(method: bytes) -> Callable:
    """Return an answer that never comes to requests of one method."""
    name = method.decode()
    return lambda me, seen: Hang() if seen.method == name else me.success(seen)


def bodies_of(bodies: dict[bytes, bytes]) -> Callable:
    """Return an answer with a body that depends on the target."""
    return lambda me, seen: me.success(seen, body=bodies.get(seen.target.encode(), b"short"))


def reply_to(instance: Instance, data: bytes) -> bytes:
    """Send one request and return its reply."""
    with socket.create_connection(("127.0.0.1", instance.port("front")), timeout=20.0) as caller:
        caller.sendall(data)
        read = bytearray()
        while piece := caller.recv(65536):
            read += piece
    return bytes(read)
