"""What is known and logged of a request whose searchers' connections end under it."""

import asyncio
import logging

import pytest

from limpethollow_node.engine.connection.clients import (
    BrokenConnection,
    ClientConnection,
    LostConnection,
)
from limpethollow_node.engine.messages import Request
from limpethollow_node.engine.request.replychecks import verdict_on_failure
from limpethollow_node.platform.headers import HEADERS
from limpethollow_policy.request.verdicts import Verdict
from tests.support.overload import ModelInstance, World
from tests.support.searches import VirtualExchange
from tests.support.virtual import VirtualLoop, lose, request


class Transport(asyncio.Transport):
    """Takes bytes and forgets them."""

    def write(self, data: bytes) -> None:
        """Take bytes."""

    def abort(self) -> None:
        """Close at once."""


def failure_after(data: bytes) -> Exception:
    """Return how a request ends whose connection is lost after some bytes of a reply."""
    errors: list[Exception] = []
    connection = ClientConnection(lambda _: None, lambda _: None)
    connection.connection_made(Transport())
    connection.send(b"GET / HTTP/1.1\r\n\r\n", lambda _: None, errors.append, head=False)
    if data:
        connection.data_received(data)
    connection.connection_lost(None)
    return errors[0]


class TestVerdict:
    def test_a_connection_that_ends_before_a_reply_is_lost(self):
        assert isinstance(failure_after(b""), LostConnection)

    def test_a_reply_that_breaks_off_shows_that_the_searcher_had_run_the_request(self):
        error = failure_after(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
        assert isinstance(error, BrokenConnection)
        assert not isinstance(error, LostConnection)

    @pytest.mark.parametrize(
        ("error", "sent", "expected"),
        [
            (LostConnection(), True, Verdict.LOST),
            (LostConnection(), False, Verdict.NOT_SENT),
            (BrokenConnection(), True, Verdict.UNKNOWN),
        ],
    )
    def test_only_a_request_that_was_sent_can_have_ended_a_searcher(self, error, sent, expected):
        assert verdict_on_failure(error, sent=sent) is expected


class TestFingerprint:
    def test_a_repeat_has_the_same(self):
        first, repeat = request(target=b"/x?page=2"), request(target=b"/x?page=2")
        repeat.headers = [(b"host", b"H"), (HEADERS.request_id, b"r2"), (HEADERS.time_left, b"90")]
        assert first.fingerprint == repeat.fingerprint

    @pytest.mark.parametrize(
        "other",
        [
            Request(b"POST", b"/x", [(b"Host", b"h")]),
            Request(b"GET", b"/y", [(b"Host", b"h")]),
            Request(b"GET", b"/x", [(b"Host", b"i")]),
            Request(b"GET", b"/x", [(b"Host", b"h"), (b"Authorization", b"Token k")]),
            Request(b"GET", b"/x", [(b"Host", b"h")], b"body"),
        ],
    )
    def test_another_request_has_another(self, other):
        assert other.fingerprint != request().fingerprint


class TestLog:
    def test_it_tells_what_was_asked_by_whom_and_which_searchers_were_lost(self, caplog):
        """Searchers ended, and no line told what they had been running."""
        caplog.set_level(logging.INFO, logger="limpethollow")
        loop = VirtualLoop()
        instance = ModelInstance(World(single=True), loop, {"desk/0": None, "desk/1": None})
        exchange = VirtualExchange(request(target=b"/single/x?page=2"), loop.time())
        instance.dispatch.on_send = lambda replica, call: loop.call_later(0.01, lambda: lose(call))
        instance.engine.handle(exchange)
        loop.run(loop.time() + 0.1)
        (lost,) = (record for record in caplog.records if record.event == 410)
        (ended,) = (record for record in caplog.records if record.event == 520)
        assert (lost.target, lost.caller) == ("/single/x?page=2", exchange.caller_host)
        assert lost.fingerprint == ended.fingerprint
        assert lost.searchers == ended.searchers
