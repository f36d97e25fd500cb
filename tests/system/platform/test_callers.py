"""Callers that send wrong, slow or too much, and instances that leave under them."""

import socket
import time

import pytest

from tests.support.platforms import HOST, forward_route
from tests.support.processes import wait_for


@pytest.fixture
def instance(system):
    system.backend("desk", "i-1")
    system.configure(1, forward_route("desk"))
    return system.instance()


def connect(instance) -> socket.socket:
    return socket.create_connection(("127.0.0.1", instance.front), timeout=10.0)


def read_all(connection: socket.socket) -> bytes:
    data = b""
    while piece := connection.recv(65536):
        data += piece
    return data


def exchange(instance, data: bytes) -> bytes:
    with connect(instance) as connection:
        connection.sendall(data)
        return read_all(connection)


GOOD = f"GET /get/x HTTP/1.1\r\nHost: {HOST}\r\nX-Limpethollow-Request-Id: r1\r\n".encode()


class TestBadInput:
    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (b"rubbish\r\n\r\n", 400),
            (b"GET /get/x HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 20000 + b"\r\n\r\n", 431),
            (b"GET /" + b"y" * 20000, 431),
            (b"POST /get/x HTTP/1.1\r\nHost: a\r\nContent-Length: 70000\r\n\r\n", 413),
            (b"POST /get/x HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", 400),
            (
                b"POST /get/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                400,
            ),
            (
                b"POST /get/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"zz\r\nbody",
                400,
            ),
            (GOOD + b"X-Limpethollow-Deadline-Ms: soon\r\nConnection: close\r\n\r\n", 400),
        ],
    )
    def test_it_gets_its_status_and_harms_nobody(self, instance, data, status):
        answer = exchange(instance, data)
        assert answer.startswith(b"HTTP/1.1 %d " % status)
        assert instance.ask("/get/x").status == 200

    def test_a_slow_sender_is_cut_off_with_a_promise(self, instance):
        with connect(instance) as connection:
            connection.sendall(GOOD)
            assert read_all(connection).startswith(b"HTTP/1.1 408 ")

    def test_an_idle_connection_is_closed_in_time(self, system):
        system.backend("desk", "i-1")
        system.configure(1, forward_route("desk"))
        instance = system.instance()
        spec = system.store.objects["config", "main"]["spec"]
        spec = {**spec, "version": 2, "limits": {**spec["limits"], "idleTimeoutMs": 1000}}
        system.store.put("config", "main", spec)
        wait_for(lambda: len(instance.events(214)) == 2, "the limit is in force")
        with connect(instance) as connection:
            assert read_all(connection) == b""


class TestPipelining:
    def test_requests_sent_ahead_are_answered_in_order(self, instance):
        second = GOOD.replace(b"r1", b"r2") + b"Connection: close\r\n\r\n"
        answer = exchange(instance, GOOD + b"\r\n" + second)
        assert answer.count(b"HTTP/1.1 200") == 2
        assert answer.index(b"i-1.r1.200") < answer.index(b"i-1.r2.200")

    def test_a_request_hidden_in_a_body_is_not_run(self, system, instance):
        hidden = b"GET /get/hidden HTTP/1.1\r\nHost: a\r\n\r\n"
        data = b"POST /get/x HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n"
        data += b"Content-Length: %d\r\n\r\n%b" % (len(hidden), hidden)
        answer = exchange(instance, data)
        assert answer.count(b"HTTP/1.1") == 1


class TestShutdown:
    def test_requests_under_way_are_answered(self, system):
        """Callers lost their answers when an instance was stopped on purpose."""
        system.backend("desk", "i-1", work=0.8)
        system.configure(1, forward_route("desk"))
        instance = system.instance()
        with connect(instance) as connection:
            connection.sendall(GOOD + b"\r\n")
            wait_for(lambda: "requests" in instance.metrics() or True, "the request is sent")
            time.sleep(0.2)
            instance.terminate()
            answer = read_all(connection)
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert b"Connection: close" in answer
        assert instance.child.wait(10) == 0

    def test_open_connections_are_served_until_the_end(self, system, instance):
        """A caller's kept connection was cut between two requests of its own.

        The instance had been asked to stop and closed idle connections at once; the caller's next
        request crossed that close.
        """
        with connect(instance) as connection:
            instance.terminate()
            wait_for(lambda: not instance.is_ready(), "it says that it leaves")
            connection.sendall(GOOD + b"\r\n")
            assert b"200" in connection.recv(4096)
        assert instance.child.wait(10) == 0

    def test_a_reload_signal_does_not_end_the_process(self, instance):
        import signal

        instance.signal(signal.SIGHUP)
        time.sleep(0.3)
        assert instance.ask("/get/x").status == 200
