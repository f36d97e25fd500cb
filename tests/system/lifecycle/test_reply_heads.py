"""Heads of replies that end early or state no valid status, on each path that reads replies."""

import asyncio

import pytest

from limpethollow.adapters import HttpAdapter
from limpethollow.exceptions import NoReply
from limpethollow_node.connection.searchers import CallFailed
from limpethollow_node.engine.connection.clients import BrokenConnection
from limpethollow_node.engine.process.httpclients import HttpClient
from limpethollow_node.process.metrics import Metrics
from limpethollow_node.process.platforms import PlatformClient
from limpethollow_policy.request.events import Failure
from limpethollow_wire.bookings import SearcherBooking
from limpethollow_wire.exceptions import Unavailable
from limpethollow_wire.settings import PlatformSettings
from tests.standins.replies import ByteServer
from tests.system.lifecycle.test_connections import SERVICE, Instance

SECONDS = 2.0
HEAD = b"HTTP/1.1 %03d Some Reason\r\nContent-Type: text/plain\r\nX-Other: one, two\r\n\r\n"
FINAL = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
# Inside the status line, at its end, inside a header, between two, and before the empty line.
CUTS = [9, 11, 12, 16, 25, 26, 27, 31, 40, len(HEAD) - 6, len(HEAD) - 5, len(HEAD) - 3]
STATUSES = [200, 404, 409, 503]
INVALID_STATUSES = [0, 1, 99, 101, 600, 999]


@pytest.fixture(params=[(status, cut) for status in STATUSES for cut in CUTS], ids=str)
def cut_off(request):
    """Stands for a server that ends in the middle of a reply's head."""
    status, cut = request.param
    with ByteServer((HEAD % status)[:cut], closes=True) as server:
        yield server.address


@pytest.fixture(params=[(s, closes) for s in INVALID_STATUSES for closes in (False, True)], ids=str)
def invalid(request):
    """Stands for a server that sends no valid status, and a whole reply behind it."""
    status, closes = request.param
    head = b"HTTP/1.1 %03d Odd\r\nContent-Length: 0\r\n\r\n" % status
    with ByteServer(head + FINAL, closes=closes) as server:
        yield server.address


@pytest.fixture(params=[102, 103, 199])
def interim(request):
    """Stands for a server that sends an interim reply before the final one."""
    head = b"HTTP/1.1 %d Interim\r\nLink: a\r\n\r\n" % request.param
    with ByteServer(head + FINAL, closes=False) as server:
        yield server.address


class TestEngine:
    """Guards against callers that get a reply which the searcher never made whole."""

    def test_a_head_that_is_cut_off_is_no_reply(self, cut_off):
        assert self.ask(cut_off) is BrokenConnection

    def test_an_invalid_status_is_no_reply_nor_an_interim_one(self, invalid):
        assert self.ask(invalid) is BrokenConnection

    def test_the_final_reply_counts(self, interim):
        assert self.ask(interim) == (200, b"{}")

    def ask(self, address: str) -> tuple[int, bytes] | type[Exception]:
        async def run() -> tuple[int, bytes] | type[Exception]:
            client = HttpClient(address, 1)
            try:
                reply = await client.ask(b"GET", b"/", timeout=SECONDS)
            except BrokenConnection as error:
                return type(error)
            finally:
                client.close()
            return reply.status, reply.body

        return asyncio.run(run())


class TestOwnInterface:
    """Guards against a booking that counts as not run because half a head says so."""

    def test_a_head_that_is_cut_off_is_no_reply(self, cut_off):
        assert self.book(cut_off) is Failure.BROKEN

    def test_an_invalid_status_is_no_reply_nor_an_interim_one(self, invalid):
        assert self.book(invalid) is Failure.BROKEN

    def book(self, address: str) -> Failure:
        with Instance() as instance, pytest.raises(CallFailed) as raised:
            booking = SearcherBooking("token", SERVICE, 0, {}, timeout=SECONDS)
            instance.client(address).book(booking)
        return raised.value.failure


class TestObjectClient:
    """Guards against an object that counts as absent because half a head says so."""

    def test_a_head_that_is_cut_off_is_no_answer(self, cut_off):
        assert self.read(cut_off) == "ProtocolError"

    def test_an_invalid_status_is_no_answer_nor_an_interim_one(self, invalid):
        assert self.read(invalid) == "ProtocolError"

    def test_the_final_answer_counts(self, interim):
        assert self.read(interim) == "Unavailable"

    def read(self, address: str) -> str:
        """Return the name of the error that made a list unavailable."""
        settings = PlatformSettings(address, timeout=SECONDS)
        with (
            PlatformClient(settings, Metrics()) as client,
            pytest.raises(Unavailable) as raised,
        ):
            client.list("service")
        return raised.value.message.split("(")[1].split(")")[0]


class TestCallersClient:
    """Guards against an empty answer for one that an instance never made whole."""

    def test_a_head_that_is_cut_off_is_no_reply(self, cut_off):
        with pytest.raises(NoReply):
            self.send(cut_off)

    def test_an_invalid_status_is_no_reply_nor_an_interim_one(self, invalid):
        with pytest.raises(NoReply):
            self.send(invalid)

    def test_the_final_reply_counts(self, interim):
        assert self.send(interim) == "{}"

    def send(self, address: str) -> str:
        adapter = HttpAdapter()
        try:
            return adapter.send(address, "GET", "/metrics", "key", str, timeout=SECONDS)
        finally:
            adapter.close()
