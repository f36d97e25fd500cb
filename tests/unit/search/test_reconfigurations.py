"""New configurations while searches and bookings run."""

import msgspec

from limpethollow_policy.request.events import DenySlot, GrantSlot
from limpethollow_wire.services import AdmissionPolicy
from tests.unit.search.drivers import make_spec
from tests.unit.search.test_answers import COVERAGE, warm_driver


class TestReconfigure:
    def test_running_and_waiting_searches_are_answered(self):
        """An operator confirms a change; searches that run or wait would be cut off."""
        driver = warm_driver((0, 1), slots=1, objective=COVERAGE)
        for number in range(12):
            driver.search(f"q{number}")
        changed = msgspec.structs.replace(driver.spec, admission=AdmissionPolicy(max_queue=1))
        driver.reconfigure(changed)
        driver.answer_all()
        assert all(driver.coverage(f"q{number}").complete for number in range(12))

    def test_open_calls_count_against_the_slots_of_a_searcher_that_stays(self):
        """After a change, calls of the old and the new version together would be over the slots.

        The driver checks the slots at every step; here all are taken when the change comes.
        """
        driver = warm_driver((0,), slots=2)
        driver.search("a")
        driver.search("b")
        driver.reconfigure(msgspec.structs.replace(driver.spec, epoch=1, route_ttl=9.0))
        driver.search("c")
        driver.answer_inventories()
        assert len(driver.search_calls()) == 2

    def test_searcher_that_was_removed_and_named_again_keeps_its_open_calls(self):
        """Two changes in a row would forget a call that is still on its way to the searcher."""
        driver = warm_driver((0,), (0,), slots=1, objective=COVERAGE)
        driver.search("a")
        (call,) = driver.search_calls()
        both, only = driver.spec, [s for s in driver.spec.searchers if s.id != call.searcher_id]
        driver.reconfigure(msgspec.structs.replace(both, searchers=tuple(only)))
        driver.reconfigure(both)
        driver.search("b")
        driver.search("c")
        driver.answer_inventories()
        assert len(driver.calls_to(call.searcher_id)) == 1

    def test_removed_searcher_gets_no_new_call_but_its_reply_counts(self):
        driver = warm_driver((0,), (0,), objective=COVERAGE)
        driver.search("a")
        (call,) = driver.search_calls()
        kept = tuple(s for s in driver.spec.searchers if s.id != call.searcher_id)
        driver.reconfigure(msgspec.structs.replace(driver.spec, searchers=kept))
        driver.answer(call.call_id)
        assert driver.coverage("a").complete
        driver.search("b")
        assert not driver.calls_to(call.searcher_id)

    def test_new_replica_gets_calls_though_the_others_could_serve_all(self):
        """An operator adds a replica to relieve others; under steady load it would stay idle."""
        driver = warm_driver((0,), slots=1, objective=COVERAGE)
        driver.reconfigure(make_spec((0,), (0,), slots=1, objective=COVERAGE))
        driver.search("a")
        driver.search("b")
        driver.answer_inventories()
        assert len(driver.calls_to("s1")) == 1

    def test_new_searchers_are_asked_for_their_versions_before_use(self):
        driver = warm_driver((0,))
        driver.reconfigure(make_spec((0,), (1,)))
        driver.search()
        driver.answer_all()
        assert driver.coverage("q").covered == (0, 1)

    def test_booking_that_waits_is_given_no_searcher_that_its_configuration_did_not_name(self):
        """A booking would run where nobody looks for its outcome, and be booked twice.

        It waits for a slot of the only searcher it may use when a change replaces that one.
        """
        driver = warm_driver((0,), slots=1)
        driver.book("first")
        driver.book("second", holders=frozenset({("s0", "127.0.0.1:1")}))
        other = msgspec.structs.replace(driver.spec.searchers[0], id="new", address="127.0.0.1:9")
        driver.reconfigure(msgspec.structs.replace(driver.spec, searchers=(other,)))
        assert isinstance(driver.slots["first"], GrantSlot)
        assert isinstance(driver.slots["second"], DenySlot)


def in_domains(spec, *domains: str):
    """Return a service whose searchers run in these failure domains, in order."""
    placed = zip(spec.searchers, domains, strict=True)
    searchers = tuple(msgspec.structs.replace(s, failure_domain=d) for s, d in placed)
    return msgspec.structs.replace(spec, searchers=searchers)


class TestEvacuations:
    def test_an_evacuated_searcher_gets_nothing_new_and_what_it_has_ends(self):
        """Guards against work for searchers that the operator is emptying, and against cutting."""
        driver = warm_driver((0,), (0,), objective=COVERAGE)
        spec = in_domains(driver.spec, "a", "b")
        driver.search("before")
        (call,) = driver.search_calls()
        gone = next(s for s in spec.searchers if s.id == call.searcher_id)
        driver.reconfigure(msgspec.structs.replace(spec, evacuated=(gone.failure_domain,)))
        driver.answer(call.call_id)
        assert driver.coverage("before").complete
        driver.search("after")
        assert not driver.calls_to(gone.id)
        driver.answer_all()
        assert driver.coverage("after").complete

    def test_a_restored_searcher_is_used_again(self):
        driver = warm_driver((0,), objective=COVERAGE)
        spec = in_domains(driver.spec, "a")
        driver.reconfigure(msgspec.structs.replace(spec, evacuated=("a",)))
        driver.reconfigure(spec)
        driver.search("q")
        driver.answer_all()
        assert driver.coverage("q").complete
