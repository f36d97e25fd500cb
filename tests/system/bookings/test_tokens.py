"""One token, sent more than once or for more than one booking, over real processes."""

import pytest

from limpethollow import OutcomeState
from limpethollow.exceptions import NotRun, TokenReused
from tests.support.clusters import Cluster
from tests.support.processes import wait_for
from tests.system.bookings.bench import DEADLINE, SEARCHERS, SERVICE, Bench, told


@pytest.fixture(scope="module")
def bench():
    with Cluster() as cluster:
        bench = Bench(cluster)
        yield bench
        bench.check_finished()


class TestTokenSentAgain:
    @pytest.mark.parametrize("instance", ["entry", "executor"])
    def test_in_flight_at_either_instance_begins_no_second_run(self, bench, instance):
        """A bay is booked twice because the dispatcher pressed the button twice.

        The first request is still at the searcher when the second one comes.
        """
        bench.heal()
        token = bench.new_token()
        bench.hold_searchers("running")
        first = bench.book(token)
        wait_for(lambda: bench.holder("running"), "the booking runs")
        with bench.session(instance) as session:
            assert session.look_up(SERVICE, token).state is OutcomeState.IN_FLIGHT
            second = told(session, token)
        bench.release_holds()
        assert first.wait() in (OutcomeState.BOOKED, OutcomeState.UNKNOWN)
        assert second in (OutcomeState.BOOKED, OutcomeState.UNKNOWN)
        assert bench.final_state(token, instance) is OutcomeState.BOOKED
        assert bench.executions(token) == 1
        bench.remember(token, OutcomeState.BOOKED)

    def test_after_a_shed_everywhere_never_runs(self, bench):
        """A caller was told "not run", and its booking runs once the searchers have room."""
        bench.heal()
        token = bench.new_token()
        for name in SEARCHERS:
            bench.cluster.searchers[name].control(shedding=True)
        assert bench.book(token).wait() is OutcomeState.NOT_RUN
        for name in SEARCHERS:
            bench.cluster.searchers[name].control(shedding=False)
        bench.heal()
        assert bench.book(token).wait() is OutcomeState.NOT_RUN
        bench.remember(token, OutcomeState.NOT_RUN)

    def test_after_a_look_up_of_an_unseen_token_never_runs(self, bench):
        """A look-up overtakes its booking, says "not run", and the booking runs after that."""
        bench.heal()
        token = bench.new_token()
        assert bench.final_state(token, "entry") is OutcomeState.NOT_RUN
        with bench.session("executor") as session, pytest.raises(NotRun):
            session.book(SERVICE, 0, {"bay": 12}, token=token, deadline=DEADLINE)
        bench.remember(token, OutcomeState.NOT_RUN)


class TestTokenOfAnotherBooking:
    @pytest.mark.parametrize("instance", ["entry", "executor"])
    def test_another_booking_is_a_typed_error_and_does_not_run(self, bench, instance):
        bench.heal()
        token = bench.new_token()
        assert bench.book(token).wait() is OutcomeState.BOOKED
        with bench.session(instance) as session, pytest.raises(TokenReused):
            session.book(SERVICE, 0, {"bay": 13}, token=token, deadline=DEADLINE)
        bench.remember(token, OutcomeState.BOOKED)

    def test_another_shard_is_a_typed_error_and_does_not_run(self, bench):
        token = bench.new_token().replace(".0.cell", ".1.cell")
        with bench.session("entry") as session, pytest.raises(TokenReused):
            session.book(SERVICE, 0, {"bay": 12}, token=token, deadline=DEADLINE)
        bench.remember(token, OutcomeState.NOT_RUN)
