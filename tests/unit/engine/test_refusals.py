"""What a caller and an engineer learn of a search that was refused."""

import logging

from limpethollow_policy.process.shedding import LoadShedder
from tests.support.overload import ModelInstance, World
from tests.support.searches import VirtualExchange
from tests.support.virtual import VirtualLoop, request


class TestOverloaded:
    def test_the_caller_is_told_when_to_come_back_and_the_log_which_route_it_was(
        self, monkeypatch, caplog
    ):
        """A user complained of refused searches, and nobody could tell which ones.

        The log line of a request that was refused before it started named no route.
        """
        monkeypatch.setattr(LoadShedder, "wait", lambda self, now, **_: 0.2)
        caplog.set_level(logging.INFO, logger="limpethollow")
        loop = VirtualLoop()
        instance = ModelInstance(World(), loop, {})
        exchange = VirtualExchange(request(target=b"/wide/x"), loop.time())
        instance.engine.handle(exchange)
        (reply,) = exchange.replies
        assert reply.status == 429
        assert 0 < float(reply.header(b"retry-after")) <= 1
        ended = [record for record in caplog.records if record.event == 520]
        assert [(record.route, record.reason) for record in ended] == [("wide", "overloaded")]


class TestDeadlineHeader:
    def test_hundreds_of_digits_are_a_bad_request(self):
        """Guards against an exchange without an answer: the number was too large for a float."""
        loop = VirtualLoop()
        instance = ModelInstance(World(), loop, {})
        asked = request(target=b"/wide/x")
        asked.headers.append((instance.dispatch.names.time_left, b"9" * 400))
        exchange = VirtualExchange(asked, loop.time())
        instance.engine.handle(exchange)
        assert [reply.status for reply in exchange.replies] == [400]
