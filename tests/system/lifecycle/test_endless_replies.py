"""Replies to calls of the product's own interface that never end."""

import threading
import time

import pytest

from limpethollow_node.connection.searchers import CallFailed
from limpethollow_policy.request.events import Failure
from limpethollow_wire.bookings import SearcherBooking
from tests.standins.endless import ENDLESS, EndlessServer
from tests.system.lifecycle.test_connections import SERVICE, Instance, search

SECONDS = 0.4


@pytest.fixture
def instance():
    with Instance() as instance:
        yield instance


class TestSearches:
    """Guards against threads and connections that are never free again.

    Each byte of a head or trailer started the socket's timeout anew, and trailers and interim
    replies were read without end.
    """

    @pytest.mark.parametrize("pause", [0.0, 0.02])
    @pytest.mark.parametrize("name", ENDLESS)
    def test_the_call_ends_with_its_time_at_the_latest(self, instance, name, pause):
        with EndlessServer(*ENDLESS[name], pause=pause) as server:
            failures = []
            client = instance.client(server.address)
            call = threading.Thread(
                target=lambda: failures.append(search(client, SECONDS)), daemon=True
            )
            call.start()
            call.join(SECONDS + 2.0)
            assert failures in ([Failure.TIMEOUT], [Failure.BROKEN])
            assert instance.count("condemned") == 1


class TestBookings:
    @pytest.mark.parametrize("name", ["interim replies", "trailers"])
    @pytest.mark.parametrize("pause", [0.0, 0.02])
    def test_the_call_ends_with_its_time(self, instance, name, pause):
        began = time.monotonic()
        with EndlessServer(*ENDLESS[name], pause=pause) as server, pytest.raises(CallFailed):
            client = instance.client(server.address)
            client.book(SearcherBooking("token", SERVICE, 0, {}, timeout=SECONDS))
        assert time.monotonic() - began < SECONDS + 2.0
