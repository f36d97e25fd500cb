"""Steps of the fault matrix of bookings."""

from types import SimpleNamespace

import pytest
from pytest_bdd import given, parsers, then, when

from limpethollow import OutcomeState
from tests.support.clusters import Cluster
from tests.system.bookings.bench import Bench, told
from tests.system.bookings.faults import answer_of, struck
from tests.system.bookings.moments import held


@pytest.fixture(scope="module")
def bench():
    with Cluster() as cluster:
        bench = Bench(cluster)
        yield bench
        bench.check_finished()


@pytest.fixture
def cell():
    return SimpleNamespace(token="", moment="", first=None, finals=set())


@given(parsers.parse('a booking that is held "{moment}"'))
def _booking(bench, cell, moment):
    bench.heal()
    cell.moment = moment
    cell.token = bench.new_token()


@when(parsers.parse('"{fault}" strikes'))
def _strikes(bench, cell, fault):
    with held(cell.moment, bench, cell.token) as (answer, searcher):
        with struck(fault, bench, cell.moment, searcher):
            cell.first = answer_of(answer, bench, cell.token).wait()
        bench.release_holds()


@when("the same booking is sent again to every instance")
def _again(bench, cell):
    for instance in bench.running_instances():
        with bench.session(instance) as session:
            state = told(session, cell.token)
        if state.is_final:
            cell.finals.add(state)


@then("every instance gives the same final answer")
def _same_answer(bench, cell):
    for instance in bench.running_instances():
        cell.finals.add(bench.final_state(cell.token, instance))
    if cell.first.is_final:
        cell.finals.add(cell.first)
    assert len(cell.finals) == 1, (cell.first, cell.finals)


@then("no instance gives an answer that is not true")
def _true_answers(bench, cell):
    """Check where the only searcher that knows is gone, so that the outcome may stay unknown."""
    if cell.first.is_final:
        cell.finals.add(cell.first)
    assert len(cell.finals) <= 1, (cell.first, cell.finals)


@then("the booking ran exactly as often as was told")
def _ran_as_told(bench, cell):
    runs = bench.executions(cell.token)
    assert runs <= 1
    for state in cell.finals:
        assert runs == (1 if state is OutcomeState.BOOKED else 0), (state, runs)
        bench.remember(cell.token, state)
