"""The sends of one request: at most once, attempts, hedges, budget."""

from hypothesis import given, settings
from hypothesis import strategies as st

from limpethollow_node.engine.request.attempts import Attempts
from limpethollow_node.engine.request.outgoing import Outgoing
from limpethollow_policy.request.verdicts import Verdict
from tests.support.searches import VirtualExchange
from tests.support.virtual import VirtualDispatch, break_of, reply_of, request, route


class RecordingConnection:
    """Stands for a connection to a searcher; tells whether it was closed."""

    def __init__(self) -> None:
        self.closed = False

    def send(
        self, data: bytes, on_reply, on_broken, *, head: bool, body=b"", may_send=None
    ) -> None:
        """Take the request."""

    def close(self) -> None:
        self.closed = True


class Play:
    """One request over `searchers` searchers of a service."""

    def __init__(self, searchers: int = 3, slack: float = 56.0, **fields) -> None:
        self.dispatch = VirtualDispatch(slack)
        for number in range(searchers):
            self.dispatch.add("s", f"i-{number}")
        self.ended: list[Attempts] = []
        taken = route(**fields)
        exchange = VirtualExchange(request(), self.dispatch.loop.time())
        outgoing = Outgoing.of(exchange, taken, self.dispatch)
        self.tries = Attempts(self.dispatch, outgoing, "s", self.ended.append)
        self.tries.start()

    @property
    def calls(self):
        return [call for _, call in self.dispatch.played]

    @property
    def verdict(self) -> Verdict | None:
        return self.ended[0].verdict if self.ended else None


class TestIdempotent:
    def test_a_failed_send_is_repeated_at_another_searcher(self):
        play = Play()
        break_of(play.calls[0], sent=True)
        assert len(play.calls) == 2
        reply_of(play.calls[1])
        assert play.verdict is Verdict.ANSWERED
        assert len(set(play.tries.searchers)) == 2

    def test_no_more_run_than_the_route_allows(self):
        play = Play(attempts=2)
        break_of(play.calls[0], sent=True)
        break_of(play.calls[1], sent=True)
        assert len(play.calls) == 2
        assert play.verdict is Verdict.UNKNOWN

    def test_refusals_do_not_use_up_the_attempts(self):
        play = Play(attempts=2)
        reply_of(play.calls[0], 503, not_run=True)
        break_of(play.calls[1], sent=True)
        reply_of(play.calls[2])
        assert play.verdict is Verdict.ANSWERED

    def test_only_refusals_as_full_tell_that_the_searchers_are_full(self):
        """Addresses that belong to other searchers now refuse with 421, at any load."""
        full, moved = Play(searchers=1), Play(searchers=1)
        for play, status in ((full, 503), (moved, 421)):
            while play.verdict is None:
                reply_of(play.calls[-1], status, not_run=True)
        assert full.verdict is moved.verdict is Verdict.NOT_RUN
        assert full.tries.is_refused_at_capacity
        assert not moved.tries.is_refused_at_capacity

    def test_a_hedge_asks_another_searcher_and_the_first_answer_wins(self):
        play = Play()
        play.dispatch.loop.run(100.05)
        play.tries.hedge()
        reply_of(play.calls[1])
        assert play.verdict is Verdict.ANSWERED
        reply_of(play.calls[0])
        assert len(play.ended) == 1

    def test_the_searcher_that_lost_to_a_hedge_stops_at_once(self):
        """Parts were missing for a second after each pause of a searcher.

        It had been paused, and the calls on it had lost to second sends at its sibling. Their
        connections were kept open for another quarter of a second, so when it woke it worked off
        all of them, and new calls waited behind.
        """
        play = Play()
        connection = RecordingConnection()
        play.calls[0].write_to(connection)
        play.dispatch.loop.run(100.05)
        play.tries.hedge()
        assert not connection.closed
        reply_of(play.calls[1])
        assert connection.closed

    def test_a_searcher_that_lost_to_a_hedge_is_not_the_first_choice_again(self):
        """A searcher turned ten times slower, and searches went on to be sent to it first.

        Each call there was ended as soon as its second send had won, at twice the usual time, and
        that age was all that was held against the searcher.
        """
        play = Play(searchers=2)
        usual = play.dispatch.timings(route()).usual
        slow = play.dispatch.played[0][0]
        play.calls[0].sent = True
        play.dispatch.loop.run(100.0 + 2 * usual)
        play.tries.hedge()
        reply_of(play.calls[1])
        assert slow.slowness > 1.5

    def test_a_call_that_still_waits_for_a_connection_is_moved_at_no_cost(self):
        play = Play(slack=0.0)
        play.tries.hedge()
        assert len(play.calls) == 2
        assert play.tries.hedges == 0

    def test_without_budget_nothing_is_repeated(self):
        play = Play(slack=0.0)
        break_of(play.calls[0], sent=True)
        assert len(play.calls) == 1
        assert play.verdict is Verdict.UNKNOWN

    def test_without_a_searcher_it_ends_at_once(self):
        play = Play(searchers=0)
        assert play.verdict is Verdict.NOT_SENT
        assert not play.tries.may_have_run


class TestOnce:
    def test_a_send_that_may_have_run_is_the_last(self):
        play = Play(idempotent=False)
        break_of(play.calls[0], sent=True)
        assert len(play.calls) == 1
        assert play.verdict is Verdict.UNKNOWN
        assert play.tries.may_have_run

    def test_a_send_that_did_not_go_out_is_repeated(self):
        play = Play(idempotent=False)
        break_of(play.calls[0], sent=False)
        reply_of(play.calls[1])
        assert play.verdict is Verdict.ANSWERED

    def test_hedges_are_not_made(self):
        play = Play(idempotent=False)
        play.calls[0].sent = True
        play.tries.hedge()
        assert len(play.calls) == 1

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        ends=st.lists(
            st.sampled_from(["answer", "fail", "refuse", "reset", "unsent", "foreign"]),
            min_size=1,
            max_size=8,
        ),
        hedge_before=st.integers(0, 8),
        searchers=st.integers(1, 4),
    )
    def test_in_any_order_of_ends_it_runs_once_at_most_and_says_so_truly(
        self, ends, hedge_before, searchers
    ):
        """Each send ends in one way of a generated order; what ran is counted as searchers see it.

        A request is never sent on while a send may have run it, and where the outcome promises
        that it has not run, no searcher had it.
        """
        play = Play(searchers=searchers, idempotent=False)
        ran = 0
        for number, end in enumerate(ends):
            if number >= len(play.calls):
                break
            assert ran == 0
            if number == hedge_before:
                play.tries.hedge()
            call = play.calls[number]
            ran += end in ("answer", "fail", "reset", "foreign")
            _end(call, end)
        if play.ended:
            promised = play.verdict in (Verdict.NOT_RUN, Verdict.NOT_SENT)
            assert not (promised and ran)
            assert play.tries.may_have_run == bool(ran)


def _end(call, end: str) -> None:
    if end == "answer":
        reply_of(call)
    elif end == "fail":
        reply_of(call, 500)
    elif end == "refuse":
        reply_of(call, 503, not_run=True)
    elif end == "foreign":
        reply_of(call, 503, request_id=b"other", not_run=True)
    else:
        break_of(call, sent=end == "reset")
