"""Requests that have ended, and what of them stays in memory."""

import gc

import pytest

from limpethollow_node.engine.process.engine import Engine
from limpethollow_node.engine.request.attempts import Attempts
from limpethollow_node.engine.request.forwards import Forward
from limpethollow_node.engine.request.sends import Send
from limpethollow_policy.version.routes import (
    CallerLimits,
    CurrentVersion,
    RoutingVersion,
    WeightedService,
)
from tests.support.searches import VirtualExchange
from tests.support.virtual import VirtualDispatch, break_of, reply_of, request, route


@pytest.fixture
def without_collection():
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def left() -> int:
    return sum(isinstance(each, Forward | Attempts | Send) for each in gc.get_objects())


class TestForwards:
    @pytest.mark.parametrize("answers", [True, False])
    def test_its_bodies_need_no_garbage_collection(self, without_collection, answers):
        """Guards against long replies that stay in memory after their callers have read them."""
        before = left()
        dispatch = VirtualDispatch()
        dispatch.add("s", "i-1")
        engine = Engine(dispatch, CurrentVersion())
        found = route(targets=(WeightedService("s"),), attempts=1)
        engine.use_version(RoutingVersion(1, (found,), {}, CallerLimits()))
        exchange = VirtualExchange(request(), dispatch.loop.time())
        engine.handle(exchange)
        call = dispatch.played[0][1]
        if answers:
            reply_of(call)
        else:
            break_of(call, sent=True)
        assert len(exchange.replies) == 1
        del call
        dispatch.played.clear()
        dispatch.loop.run(dispatch.loop.time() + 10.0)
        assert left() == before
