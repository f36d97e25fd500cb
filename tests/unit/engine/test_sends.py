"""What a send learns of its searcher."""

from dataclasses import replace

from limpethollow_node.engine.request.attempts import Attempts
from limpethollow_node.engine.request.outgoing import Outgoing
from limpethollow_policy.request.verdicts import Verdict
from tests.support.searches import VirtualExchange
from tests.support.virtual import VirtualDispatch, reply_of, request, route


class TestReusedAddress:
    """A service got 139 requests beyond the first of each within ten seconds; 138 are allowed.

    A searcher had ended, and its address went to one of another service, which refused all that
    was meant for the first (421). Refusals that other instances met for this one did not count
    against the old address, so every search went there first. Found on a hunted day of the
    tas-north site (hunt-b23c-3).
    """

    def play(self) -> tuple[VirtualDispatch, Attempts]:
        dispatch = VirtualDispatch()
        dispatch.add("s", "i-1")
        exchange = VirtualExchange(request(), dispatch.loop.time())
        outgoing = Outgoing.of(exchange, route(), dispatch)
        tries = Attempts(dispatch, outgoing, "s", lambda ended: None)
        tries.start()
        return dispatch, tries

    def takes_calls(self, dispatch: VirtualDispatch, seconds: float) -> bool:
        now = dispatch.loop.time() + seconds
        return dispatch.fleet.get("i-1").takes_calls(now)

    def test_a_refusal_met_here_keeps_calls_from_the_address(self):
        dispatch, _ = self.play()
        reply_of(dispatch.played[0][1], 421, not_run=True)
        assert not self.takes_calls(dispatch, 5.0)

    def test_so_does_one_that_another_instance_met(self):
        dispatch, tries = self.play()
        tries._in_flight[0].delegated_call_failed(Verdict.NOT_RUN, 421, "status_421")
        assert not self.takes_calls(dispatch, 5.0)

    def test_a_searcher_that_is_full_is_asked_again(self):
        dispatch, tries = self.play()
        tries._in_flight[0].delegated_call_failed(Verdict.NOT_RUN, 503, "status_503")
        assert self.takes_calls(dispatch, 0.0)

    def test_one_that_starts_anew_is_asked_at_once(self):
        dispatch, _ = self.play()
        reply_of(dispatch.played[0][1], 421, not_run=True)
        known = dispatch.fleet.get("i-1").searcher
        dispatch.fleet.put(replace(known, address="10.0.0.2:80"), dispatch.loop.time())
        assert self.takes_calls(dispatch, 0.0)


class TestLeavingSearcher:
    def test_a_call_that_waited_until_its_searcher_drained_is_told(self):
        """Guards against logs that can't tell a queued call from a drain that is not known."""
        dispatch = VirtualDispatch()
        searcher = dispatch.add("s", "i-1")
        exchange = VirtualExchange(request(), dispatch.loop.time())
        tries = Attempts(
            dispatch, Outgoing.of(exchange, route(), dispatch), "s", lambda ended: None
        )
        tries.start()
        dispatch.played[0][1].render()
        assert dispatch.metrics.value("sends_to_leaving_searchers", "draining") == 0
        dispatch.fleet.put(replace(searcher, draining=True), dispatch.loop.time())
        dispatch.played[0][1].render()
        assert dispatch.metrics.value("sends_to_leaving_searchers", "draining") == 1
