"""The watch for callers that hang up."""

import socket
import time

import pytest

from limpethollow_node.connection.hangups import HangUpWatch
from limpethollow_node.process.metrics import Metrics

NOTICED_SECONDS = 2.0


@pytest.fixture
def watch():
    with HangUpWatch(Metrics()) as watch:
        yield watch


@pytest.fixture
def pair():
    ours, theirs = socket.socketpair()
    yield ours, theirs
    ours.close()
    theirs.close()


def is_noticed(watch: HangUpWatch) -> bool:
    """Return whether a caller that hangs up now is noticed."""
    ours, theirs = socket.socketpair()
    with ours, watch.caller(ours) as caller:
        theirs.close()
        until = time.monotonic() + NOTICED_SECONDS
        while not caller.is_gone and time.monotonic() < until:
            time.sleep(0.01)
        return caller.is_gone


class TestHangUpWatch:
    def test_a_caller_that_hangs_up_is_noticed(self, watch):
        assert is_noticed(watch)

    def test_one_whose_request_ended_just_before_does_not_end_the_watch(self, watch, pair):
        """Guards against an instance that notices no hang-up any more until it is restarted."""
        ours, _ = pair
        select = watch._selector.select

        def late(*args):
            """Let the request end, and its connection close, before the hang-up is looked at."""
            found = select(*args)
            if any(key.fileobj is ours for key, _ in found):
                watch.remove(watched)
                ours.close()
            return found

        watch._selector.select = late
        assert is_noticed(watch)
        watched = watch.add(ours, watch.caller(ours))
        pair[1].close()
        time.sleep(0.1)
        assert is_noticed(watch)

    def test_the_end_of_a_request_whose_connection_is_closed_already_is_no_error(self, watch, pair):
        ours, theirs = pair
        with watch.caller(ours) as caller:
            theirs.close()
            until = time.monotonic() + NOTICED_SECONDS
            while not caller.is_gone and time.monotonic() < until:
                time.sleep(0.01)
            ours.close()
        assert is_noticed(watch)
