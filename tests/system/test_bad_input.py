"""Bad requests at a real instance: each gets a typed error with its remedy, and is counted."""

import json
import socket

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from limpethollow_wire.limits import MAX_BODY_BYTES, MAX_HEADER_BYTES
from tests.support.clusters import CALLER_KEY, OPERATOR_KEY, Cluster
from tests.support.processes import wait_for

SEARCH = "/v1/services/finder/search"
BOOKINGS = "/v1/services/finder/bookings"
KEY = f"Bearer {CALLER_KEY}"
FUZZ_EXAMPLES = 60

# method, path, key, body, expected status, expected code
CASES = {
    "unknown service": ("POST", "/v1/services/nothing/search", KEY, b"{}", 404, "unknown_service"),
    "unknown path": ("GET", "/v2/anything", KEY, b"", 404, "not_found"),
    "wrong method": ("DELETE", SEARCH, KEY, b"", 405, "method_not_allowed"),
    "no key": ("POST", SEARCH, None, b'{"query": {}}', 401, "unauthorized"),
    "wrong key": ("POST", SEARCH, "Bearer wrong", b'{"query": {}}', 401, "unauthorized"),
    "not a bearer key": ("POST", SEARCH, "Basic x", b'{"query": {}}', 401, "unauthorized"),
    "operators' key": ("POST", SEARCH, f"Bearer {OPERATOR_KEY}", b"{}", 401, "unauthorized"),
    "malformed JSON": ("POST", SEARCH, KEY, b'{"query": ', 400, "bad_request"),
    "not UTF-8": ("POST", SEARCH, KEY, b'{"query": "\xff"}', 400, "bad_request"),
    "empty body": ("POST", SEARCH, KEY, b"", 400, "bad_request"),
    "missing field": ("POST", SEARCH, KEY, b"{}", 400, "bad_request"),
    "unknown field": ("POST", SEARCH, KEY, b'{"query": {}, "dedline": 1}', 400, "bad_request"),
    "wrong type": ("POST", SEARCH, KEY, b'{"query": []}', 400, "bad_request"),
    "wrong shard type": (
        "POST",
        SEARCH,
        KEY,
        b'{"query": {}, "shards": "all"}',
        400,
        "bad_request",
    ),
    "no shards": ("POST", SEARCH, KEY, b'{"query": {}, "shards": []}', 400, "bad_request"),
    "unknown shard": ("POST", SEARCH, KEY, b'{"query": {}, "shards": [9]}', 400, "bad_request"),
    "too many shards": (
        "POST",
        SEARCH,
        KEY,
        json.dumps({"query": {}, "shards": list(range(5000))}).encode(),
        400,
        "bad_request",
    ),
    "deep nesting": ("POST", SEARCH, KEY, b'{"query": ' + b"[" * 9999, 400, "bad_request"),
    "past deadline": ("POST", SEARCH, KEY, b'{"query": {}, "deadline": 0}', 408, "deadline_passed"),
    "negative deadline": (
        "POST",
        SEARCH,
        KEY,
        b'{"query": {}, "deadline": -1}',
        408,
        "deadline_passed",
    ),
    "endless deadline": (
        "POST",
        SEARCH,
        KEY,
        b'{"query": {}, "deadline": 1e9}',
        400,
        "bad_request",
    ),
    "infinite deadline": (
        "POST",
        SEARCH,
        KEY,
        b'{"query": {}, "deadline": 1e999}',
        400,
        "bad_request",
    ),
    "token of another form": (
        "POST",
        BOOKINGS,
        KEY,
        b'{"token": "mine", "shard": 0, "booking": {}}',
        400,
        "bad_request",
    ),
    "booking on an unknown shard": (
        "POST",
        BOOKINGS,
        KEY,
        b'{"token": "n0.x.1", "shard": 9, "booking": {}}',
        400,
        "bad_request",
    ),
}

# raw bytes, expected status, expected code
RAW_CASES = {
    "body too large": (
        f"POST {SEARCH} HTTP/1.1\r\nHost: x\r\nAuthorization: {KEY}\r\n"
        f"Content-Length: {MAX_BODY_BYTES + 1}\r\n\r\n".encode() + b" " * (MAX_BODY_BYTES + 1),
        413,
        "too_large",
    ),
    "headers too large": (
        b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"a" * (MAX_HEADER_BYTES + 1) + b"\r\n\r\n",
        413,
        "too_large",
    ),
    "request line too large": (
        b"GET /" + b"a" * (MAX_HEADER_BYTES + 1) + b" HTTP/1.1\r\n\r\n",
        414,
        "too_large",
    ),
    "length not a number": (
        f"POST {SEARCH} HTTP/1.1\r\nHost: x\r\nContent-Length: many\r\n\r\n".encode(),
        400,
        "bad_request",
    ),
    "chunked body": (
        f"POST {SEARCH} HTTP/1.1\r\nHost: x\r\n".encode()
        + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
        "bad_framing",
    ),
    "not HTTP": (b"\x16\x03\x01\x02\x00\x01\r\n\r\n", 400, "bad_request"),
    "another protocol version": (b"GET / HTTP/9.9\r\n\r\n", 505, "bad_request"),
    "header without colon": (b"GET / HTTP/1.1\r\nHost\r\n\r\n", 400, "bad_request"),
}


@pytest.fixture(scope="module")
def cluster():
    with Cluster() as cluster:
        cluster.start_instances(1)
        searchers = cluster.start_searchers("finder", [[0, 1]])
        cluster.put_service("finder", searchers)
        yield cluster


def exchange(address: str, data: bytes) -> bytes:
    """Send raw bytes, and return all that comes back before the connection closes."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=30) as sock:
        received = b""
        try:
            sock.sendall(data)
            while chunk := sock.recv(65536):
                received += chunk
        except ConnectionError:
            pass
        return received


def request_bytes(method: str, path: str, key: str | None, body: bytes) -> bytes:
    head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
    if key:
        head += f"Authorization: {key}\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def check_error(reply: bytes, status: int, code: str) -> dict:
    head, _, body = reply.partition(b"\r\n\r\n")
    assert int(head.split()[1]) == status, reply
    error = json.loads(body)
    assert error["code"] == code
    assert error["message"]
    assert error["remedy"]
    return error


def refused(cluster: Cluster, code: str) -> float:
    return cluster.metric("n0", f'requests_refused_total{{reason="{code}"}}')


class TestBadRequests:
    @pytest.mark.parametrize("name", CASES)
    def test_request_gets_its_typed_error_and_is_counted(self, cluster, name):
        method, path, key, body, status, code = CASES[name]
        before = refused(cluster, code)
        reply = exchange(cluster.listed["n0"]["address"], request_bytes(method, path, key, body))
        check_error(reply, status, code)
        assert refused(cluster, code) == before + 1

    @pytest.mark.parametrize("name", RAW_CASES)
    def test_broken_bytes_get_a_typed_error_and_are_counted(self, cluster, name):
        data, status, code = RAW_CASES[name]
        before = refused(cluster, code)
        check_error(exchange(cluster.listed["n0"]["address"], data), status, code)
        assert refused(cluster, code) == before + 1


class TestOperatorListener:
    @pytest.mark.parametrize(
        ("method", "path"),
        [
            ("GET", "/v1/services"),
            ("GET", "/v1/instances"),
            ("GET", "/v1/status"),
            ("GET", "/metrics"),
            ("POST", "/v1/plans"),
            ("POST", "/v1/plans/x/confirm"),
        ],
    )
    @pytest.mark.parametrize("key", [None, KEY, "Bearer wrong"])
    def test_every_path_is_behind_the_operators_key(self, cluster, method, path, key):
        address = cluster.listed["n0"]["operator_address"]
        check_error(exchange(address, request_bytes(method, path, key, b"{}")), 401, "unauthorized")

    def test_unknown_plan_says_so(self, cluster):
        address = cluster.listed["n0"]["operator_address"]
        data = request_bytes("POST", "/v1/plans/x/confirm", f"Bearer {OPERATOR_KEY}", b"{}")
        check_error(exchange(address, data), 404, "not_found")


class TestSlowSenders:
    """Senders that drip their bytes.

    A caller sends a byte every now and then and never finishes. Each byte restarts the socket's
    own timeout, so without a bound on the whole request every such caller holds a thread for ever,
    and drivers get no answer once all threads are held.
    """

    def test_dripping_headers_and_bodies_are_cut_off_and_others_are_served(self, cluster):
        host, _, port = cluster.listed["n0"]["address"].rpartition(":")
        starts = [
            b"GET / HTTP/1.1\r\n",
            request_bytes("POST", SEARCH, KEY, b"x" * 1000)[:-990],
        ]
        socks = [socket.create_connection((host, int(port)), timeout=1) for _ in range(60)]
        try:
            for number, sock in enumerate(socks):
                sock.sendall(starts[number % 2])
            done = wait_for(lambda: drip_until_closed(socks), "cutting off slow senders", 60)
            assert done
        finally:
            for sock in socks:
                sock.close()
        assert refused(cluster, "slow_sender") >= 60
        with cluster.session() as session:
            assert session.search("finder", {}, deadline=10.0).coverage.complete


def drip_until_closed(socks: list[socket.socket]) -> bool:
    """Send one more byte on every connection; true once the instance closed them all."""
    still_open = 0
    for sock in socks:
        try:
            sock.send(b"a")
            still_open += 1
        except OSError:
            continue
    return still_open == 0


class TestRandomBytes:
    @settings(
        max_examples=FUZZ_EXAMPLES,
        derandomize=True,
        deadline=None,
        suppress_health_check=[HealthCheck.function_scoped_fixture, HealthCheck.too_slow],
    )
    @given(
        st.one_of(
            st.binary(max_size=400),
            st.binary(max_size=400).map(lambda body: request_bytes("POST", SEARCH, KEY, body)),
            st.recursive(
                st.none() | st.booleans() | st.floats() | st.text(max_size=20),
                lambda inner: st.lists(inner, max_size=4)
                | st.dictionaries(
                    st.sampled_from(["query", "shards", "deadline", "min_version", "x"]), inner
                ),
                max_leaves=12,
            ).map(lambda v: request_bytes("POST", SEARCH, KEY, json.dumps(v).encode())),
        )
    )
    def test_instance_answers_typed_or_closes_and_never_has_a_defect(self, cluster, data):
        reply = exchange(cluster.listed["n0"]["address"], data + b"\r\n\r\n")
        assert b'"internal"' not in reply
        assert refused(cluster, "internal") == 0
