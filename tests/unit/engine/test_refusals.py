"""What a caller and an engineer learn of a search that was refused."""

import logging

from limpethollow_policy.process.shedding import LoadShedder
from tests.support.overload import TEAM_HEADER, ModelInstance, Team, World
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

    def test_refusals_are_counted_by_team_and_logged_once_in_a_while(self, monkeypatch, caplog):
        """An operator must see whose requests are refused, without a line for each of them."""
        monkeypatch.setattr(LoadShedder, "wait", lambda self, now, **_: 0.2)
        caplog.set_level(logging.INFO, logger="limpethollow")
        loop = VirtualLoop()
        instance = ModelInstance(World(teams=(Team("a", 0.5), Team("b", 0.5))), loop, {})
        for team in (b"a", b"a", b"b"):
            taken = request(target=b"/wide/x")
            taken.headers.append((TEAM_HEADER, team))
            instance.engine.handle(VirtualExchange(taken, loop.time()))
        metrics = instance.dispatch.metrics
        assert [metrics.value("team_requests_shed", team) for team in "ab"] == [2, 1]
        lines = [record for record in caplog.records if record.event in (560, 561)]
        assert [(record.team, record.refused) for record in lines] == [("a", 1), ("b", 1)]

    def test_teams_are_not_counted_where_the_version_has_none(self, monkeypatch):
        monkeypatch.setattr(LoadShedder, "wait", lambda self, now, **_: 0.2)
        loop = VirtualLoop()
        instance = ModelInstance(World(), loop, {})
        instance.engine.handle(VirtualExchange(request(target=b"/wide/x"), loop.time()))
        assert "team_requests_shed" not in instance.dispatch.metrics.render()
