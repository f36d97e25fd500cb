"""Requests that have ended, and what of them stays in memory."""

import gc

import pytest

from limpethollow_node.engine.process.engine import Engine
from limpethollow_node.engine.request.attempts import Attempts
from limpethollow_node.engine.request.forwards import Forward
from limpethollow_node.engine.request.searches import Search
from limpethollow_node.engine.request.sends import Send
from limpethollow_policy.version.routes import (
    CallerLimits,
    CurrentVersion,
    RoutingVersion,
    WeightedService,
)
from tests.support.searches import NoDesk, VirtualExchange
from tests.support.virtual import VirtualDispatch, break_of, reply_of, request, route


@pytest.fixture
def without_collection():
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def left() -> int:
    return sum(isinstance(each, Forward | Search | Attempts | Send) for each in gc.get_objects())


class TestBodies:
    @pytest.mark.parametrize("answered", [0, 1, 2])
    @pytest.mark.parametrize("shards", [0, 2])
    def test_they_need_no_garbage_collection(self, without_collection, shards, answered):
        """Guards against bodies that stay in memory after their requests have ended."""
        before = left()
        dispatch = VirtualDispatch()
        names = [f"s-{number}" for number in range(shards or 1)]
        for name in names:
            dispatch.add(name, f"{name}-a")
        engine = Engine(dispatch, CurrentVersion())
        engine.desk = NoDesk()
        found = route(targets=(WeightedService("s-0"),), attempts=1)
        if shards:
            found = route(shards=tuple(names), top=5, floor=0.5, attempts=1)
        engine.use_version(RoutingVersion(1, (found,), {}, CallerLimits()))
        exchange = VirtualExchange(request(), dispatch.loop.time())
        engine.handle(exchange)
        for _, call in dispatch.played[:answered]:
            reply_of(call)
        dispatch.loop.run(dispatch.loop.time() + 10.0)
        assert len(exchange.replies) == 1
        call = None
        dispatch.played.clear()
        assert left() == before

    def test_they_need_none_after_a_lost_send(self, without_collection):
        """Guards against bodies that stay in memory after their requests have failed."""
        before = left()
        dispatch = VirtualDispatch()
        dispatch.add("s-0", "i-1")
        engine = Engine(dispatch, CurrentVersion())
        found = route(targets=(WeightedService("s-0"),), attempts=1)
        engine.use_version(RoutingVersion(1, (found,), {}, CallerLimits()))
        exchange = VirtualExchange(request(), dispatch.loop.time())
        engine.handle(exchange)
        break_of(dispatch.played[0][1], sent=True)
        assert len(exchange.replies) == 1
        dispatch.played.clear()
        dispatch.loop.run(dispatch.loop.time() + 10.0)
        assert left() == before
