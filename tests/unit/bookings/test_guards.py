"""Each guard of a booking against the one order of events that it is there for."""

import pytest

from limpethollow_policy.request.booking_events import LookUpAnswered
from limpethollow_policy.request.booking_periods import PERIOD_SECONDS
from limpethollow_policy.request.booking_resolutions import Resolution
from limpethollow_policy.request.bookings import (
    ENTRY_BYTES,
    BookingLedger,
    Verdict,
    not_run_outcome,
)
from limpethollow_policy.request.events import Failure
from limpethollow_wire.bookings import BookingToken, OutcomeState, SearcherBookingReply
from limpethollow_wire.exceptions import BadRequest, TokenReused
from tests.unit.bookings.worlds import BOOKING, OWNER, Call, Wish, World

ROOM = 100 * ENTRY_BYTES


def world_with_dispatch():
    """Return a world whose one booking lies in the socket of s0."""
    world = World(ROOM)
    token = world.new_token()
    world.send(token)
    world.pick(world.pending[0], 0)
    world.pick(world.pending[0], 0)
    return world, token, world.pending[0]


def run_all(world, choice=0):
    for _ in range(100):
        items = [item for item in world.pending if isinstance(item, Wish | Call)]
        if not items:
            return
        world.pick(items[0], choice)


def check(world, token, runs):
    assert world.executions[str(token)] == runs
    states = {outcome.state for outcome in world.told[str(token)]}
    assert not (runs and OutcomeState.NOT_RUN in states), states


class TestGuards:
    @pytest.mark.parametrize("failure", [Failure.TIMEOUT, Failure.BROKEN, Failure.MISMATCHED])
    def test_lost_reply_is_no_proof(self, failure):
        """Two trucks stand at one bay.

        The searcher is paused with the request in its socket, the reply is lost, the booking goes
        to another searcher, and the first one runs it when it resumes.
        """
        world, token, call = world_with_dispatch()
        world.fail(call, failure)
        assert not [item for item in world.pending if isinstance(item, Wish)]
        world.pick(call, 0)
        world.pick(call, 0)
        run_all(world)
        check(world, token, 1)
        assert world.told[str(token)][-1].state is OutcomeState.BOOKED

    def test_look_up_that_overtakes_its_request_leaves_nothing_to_run(self):
        """Two trucks stand at one bay.

        The reply is lost while the request lies in the socket of a paused searcher. It resumes and
        answers the look-up first: it has no record. The booking goes to another searcher and runs,
        and then the first one reads the request.
        """
        world, token, call = world_with_dispatch()
        world.fail(call, Failure.TIMEOUT)
        look_up = world.pending[1]
        for _ in range(3):
            world.pick(look_up, 0)
        world.pick(world.pending[-1], 1)
        run_all(world)
        check(world, token, 1)

    @pytest.mark.parametrize("failure", [Failure.REFUSED, Failure.SHED])
    def test_proof_of_not_run_lets_another_searcher_run_it(self, failure):
        world, token, call = world_with_dispatch()
        world.pending.remove(call)
        world.fail(call, failure)
        world.pick(world.pending[0], 1)
        assert world.pending[0].searcher == "s1"
        run_all(world)
        check(world, token, 1)

    def test_token_sent_again_while_it_runs_begins_no_second_run(self):
        """A bay is booked twice because the dispatcher pressed the button twice."""
        world, token, _ = world_with_dispatch()
        world.send(token)
        assert len(world.pending) == 1
        run_all(world)
        world.send(token)
        check(world, token, 1)

    def test_new_run_of_the_instance_does_not_run_a_token_of_the_old_one(self):
        """The instance is killed after it dispatched; its next run gets the same token again."""
        world, token, _ = world_with_dispatch()
        world.restart()
        world.send(token)
        assert not [item for item in world.pending if isinstance(item, Wish)]
        run_all(world)
        check(world, token, 1)

    def test_searcher_that_joined_after_the_token_was_issued_never_gets_it(self):
        """A caller was told "not run", and a searcher that joined since runs the booking.

        An instance is frozen with a booking that waits for a slot. Another instance voids the token
        at every searcher and says that it was not run. A searcher joins; the frozen one goes on.
        """
        world = World(ROOM)
        token = world.new_token()
        world.send(token)
        wish = world.pending[0]
        world.resolve(token)
        for call in world.pending[1:]:
            for _ in range(3):
                world.pick(call, 0)
        world.conclude(*world.resolutions[0])
        assert world.told[str(token)][-1].state is OutcomeState.NOT_RUN
        world.placement = "p2"
        world.pick(wish, 2)
        run_all(world)
        check(world, token, 0)

    def test_look_up_closes_a_token_that_arrives_later(self):
        """A look-up overtakes its booking, says "not run", and the booking runs after that."""
        world = World(ROOM)
        token = world.new_token()
        world.look_up(token)
        world.send(token)
        run_all(world)
        check(world, token, 0)

    def test_frozen_executor_finds_its_token_voided(self):
        """The executor is frozen before its first byte; others say "not run"; it goes on."""
        world = World(ROOM)
        token = world.new_token()
        world.send(token)
        world.pick(world.pending[0], 0)
        dispatch = world.pending[0]
        world.resolve(token)
        for call in world.pending[1:]:
            for _ in range(3):
                world.pick(call, 0)
        world.conclude(*world.resolutions[0])
        world.pick(dispatch, 0)
        run_all(world)
        check(world, token, 0)
        assert {o.state for o in world.told[str(token)]} == {OutcomeState.NOT_RUN}


class TestLedger:
    def make(self, max_bytes=ROOM):
        return BookingLedger("n0", "run", 0.0, max_bytes)

    def token(self, period, nonce="a"):
        return BookingToken("n0", "run", period, "p1", 0, nonce)

    def offer(self, ledger, token, now, fingerprint=BOOKING):
        return ledger.offer(token, OWNER, fingerprint, now + 1.0, now)

    @pytest.mark.parametrize(
        ("seconds", "verdict"),
        [
            (0.0, Verdict.DISPATCH),
            (2 * PERIOD_SECONDS - 0.001, Verdict.DISPATCH),
            (2 * PERIOD_SECONDS, Verdict.EXPIRED),
            (100 * PERIOD_SECONDS, Verdict.EXPIRED),
        ],
    )
    def test_unseen_token_is_accepted_in_its_own_and_the_next_period(self, seconds, verdict):
        assert self.offer(self.make(), self.token(0), seconds) is verdict

    @pytest.mark.parametrize(
        ("seconds", "verdict"),
        [
            (2 * PERIOD_SECONDS, Verdict.KNOWN),
            (4 * PERIOD_SECONDS - 0.001, Verdict.KNOWN),
            (4 * PERIOD_SECONDS, Verdict.FORGOTTEN),
            (100 * PERIOD_SECONDS, Verdict.FORGOTTEN),
        ],
    )
    def test_entry_outlives_the_acceptance_of_its_token(self, seconds, verdict):
        """A forgotten token is accepted again, and the booking doubles."""
        ledger = self.make()
        self.offer(ledger, self.token(0), 0.0)
        assert self.offer(ledger, self.token(0), seconds) is verdict
        assert self.offer(ledger, self.token(0, "unseen"), seconds) is not Verdict.DISPATCH

    def test_token_of_a_period_to_come_is_refused(self):
        with pytest.raises(BadRequest):
            self.offer(self.make(), self.token(2), 0.0)

    @pytest.mark.parametrize("period", [0, 1])
    def test_full_ledger_refuses_for_good(self, period):
        """A refused caller books anew, and the refused token runs once there is room again."""
        ledger = self.make(2 * ENTRY_BYTES)
        for nonce in ("a", "b"):
            assert self.offer(ledger, self.token(0, nonce), 0.0) is Verdict.DISPATCH
        refused = self.token(period, "c")
        assert self.offer(ledger, refused, 1.0) is Verdict.FULL
        assert ledger.retry_after(1.0) == PERIOD_SECONDS - 1.0
        for now in (1.0, PERIOD_SECONDS, 2 * PERIOD_SECONDS):
            assert self.offer(ledger, refused, now) is not Verdict.DISPATCH
        fresh = self.token(2, "d")
        assert self.offer(ledger, fresh, 2 * PERIOD_SECONDS) is Verdict.DISPATCH
        assert ledger.bytes <= 2 * ENTRY_BYTES

    def test_leaving_ledger_refuses_unseen_tokens_and_knows_the_others(self):
        ledger = self.make()
        self.offer(ledger, self.token(0), 0.0)
        ledger.leave()
        assert self.offer(ledger, self.token(0), 0.0) is Verdict.KNOWN
        assert self.offer(ledger, self.token(0, "unseen"), 0.0) is Verdict.LEAVING

    def test_token_of_another_booking_is_a_typed_error(self):
        ledger = self.make()
        self.offer(ledger, self.token(0), 0.0)
        with pytest.raises(TokenReused):
            self.offer(ledger, self.token(0), 0.0, fingerprint=b"another bay")
        with pytest.raises(TokenReused):
            ledger.look_up(self.token(0), b"another firm", 0.0)


class TestResolution:
    TOKEN = BookingToken("n0", "run", 0, "p1", 0, "a")

    @pytest.mark.parametrize(
        ("words", "state"),
        [
            ({"s0": "voided", "s1": "voided"}, OutcomeState.NOT_RUN),
            ({"s0": "voided"}, OutcomeState.UNKNOWN),
            ({"s0": "voided", "s1": "unknown"}, OutcomeState.UNKNOWN),
            ({"s0": "voided", "s1": "running"}, OutcomeState.IN_FLIGHT),
            ({"s1": "done"}, OutcomeState.BOOKED),
            ({"s0": "voided", "s1": "rejected"}, OutcomeState.REJECTED),
            ({}, OutcomeState.UNKNOWN),
        ],
    )
    def test_only_the_words_of_all_searchers_prove_not_run(self, words, state):
        resolution = Resolution(self.TOKEN, ("s0", "s1"))
        for searcher, word in words.items():
            reply = SearcherBookingReply(str(self.TOKEN), word)
            resolution.handle(LookUpAnswered(searcher, reply))
        assert resolution.outcome.state is state

    def test_nothing_is_known_where_the_searchers_are_not(self):
        assert Resolution(self.TOKEN, ()).outcome.state is OutcomeState.UNKNOWN

    def test_refusals_for_good_are_told_as_not_run(self):
        assert not_run_outcome(self.TOKEN, Verdict.LEAVING).state is OutcomeState.NOT_RUN


class TestToken:
    @pytest.mark.parametrize(
        "text",
        [
            "",
            "n0.run.0.a",
            "n0.run-0-p1.0",
            "n0.run-00-p1.0.a",
            "n0.run-0-p1.x.a",
            "n0.run-0-p1.².a",
        ],
    )
    def test_other_text_is_no_token(self, text):
        with pytest.raises(BadRequest):
            BookingToken.parse(text)

    def test_text_form_is_read_back(self):
        token = BookingToken("n0", "run", 3, "p1", 7, "a")
        assert BookingToken.parse(str(token)) == token
