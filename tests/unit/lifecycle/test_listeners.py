"""An HTTP listener on loopback: requests and replies inside the limits, one at a time."""

import socket
import time

import pytest

from limpethollow_node.connection.listeners import Listener
from limpethollow_node.connection.routes import HttpReply, Routes
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.connection.listener_limits import (
    MIN_WAIT_SECONDS,
    ListenerLimits,
    ProcessLimits,
    longest_waiting,
)
from limpethollow_wire.limits import MAX_BODY_BYTES

LARGE = "x" * (8 * 1024 * 1024)
ROUTES = Routes()


@ROUTES.add("POST", "/size")
def size(context, request):
    return HttpReply({"size": len(request.body)})


@ROUTES.add("GET", "/large")
def large(context, request):
    return HttpReply(LARGE)


class Open:
    closing = False
    refusing = False


@pytest.fixture
def listener():
    limits = ListenerLimits(8, request_bytes=2 * MAX_BODY_BYTES, reply_bytes=len(LARGE) // 2)
    with Listener("127.0.0.1", 0, 2, ROUTES, None, Open(), limits, Metrics()) as listener:
        yield listener


@pytest.fixture
def caller(listener):
    host, _, port = listener.address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=10.0) as sock:
        yield sock


def post(length: int, more: str = "") -> bytes:
    return f"POST /size HTTP/1.1\r\nHost: x\r\n{more}Content-Length: {length}\r\n\r\n".encode()


def receive(sock: socket.socket, end: bytes) -> bytes:
    """Return what arrives until it ends so."""
    data = b""
    while not data.endswith(end):
        piece = sock.recv(65536)
        assert piece, data
        data += piece
    return data


class TestCalm:
    """Guards against limits that a single caller inside the protocol's limits meets."""

    def test_largest_body_in_pieces_is_served(self, caller):
        caller.sendall(post(MAX_BODY_BYTES))
        for _ in range(16):
            caller.sendall(b"x" * (MAX_BODY_BYTES // 16))
            time.sleep(0.01)
        receive(caller, b'{"size":%d}' % MAX_BODY_BYTES)

    def test_sender_that_expects_it_is_told_once_to_continue(self, caller):
        caller.sendall(post(5, "Expect: 100-continue\r\n"))
        receive(caller, b"HTTP/1.1 100 Continue\r\n\r\n")
        caller.sendall(b"hello")
        assert b"100 Continue" not in receive(caller, b'{"size":5}')

    def test_reply_over_the_limit_of_unsent_bytes_reaches_a_slow_reader(self, caller):
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        caller.sendall(b"GET /large HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        received = 0
        while piece := caller.recv(262144):
            received += len(piece)
            time.sleep(0.001)
        assert received > len(LARGE)

    def test_requests_sent_ahead_are_answered_in_order(self, caller):
        caller.sendall(post(1) + b"x" + post(2) + b"xx" + post(3) + b"xxx")
        data = receive(caller, b'{"size":3}')
        assert [data.count(b'{"size":%d}' % length) for length in (1, 2, 3)] == [1, 1, 1]

    def test_body_that_ends_early_is_refused(self, caller):
        caller.sendall(post(10) + b"x")
        caller.shutdown(socket.SHUT_WR)
        assert b"400 Bad Request" in receive(caller, b"}")


class TestLimits:
    @pytest.mark.parametrize("descriptors", [256, 1024, 20_000])
    def test_listeners_take_half_of_the_descriptors_at_most(self, descriptors):
        limits = ProcessLimits.of(4096, descriptors)
        total = limits.callers.connections + limits.operators.connections + limits.peers
        assert total <= min(4096, descriptors // 2)

    def test_client_that_has_just_come_is_not_disconnected(self):
        assert longest_waiting([(10.0, "a"), (9.9, "b")], 10.0) is None
        assert longest_waiting([(10.0, "a"), (9.9, "b")], 10.0 + MIN_WAIT_SECONDS) == "b"
