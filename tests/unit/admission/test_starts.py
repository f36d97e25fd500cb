"""When the scheduler starts a waiting search, and when it refuses it instead."""

from limpethollow_policy.request.events import FailSearch
from limpethollow_wire.services import AdmissionPolicy, CallerSpec, Objective
from tests.unit.search.drivers import Driver, make_spec

COVERAGE = Objective(mode="coverage", latency=0.2, deadline=1.0)
CALL_SECONDS = 0.1


def warm_driver(*held, firms=("flood", "calm"), max_queue=50, **fields):
    """Return a driver whose scheduler knows what its searchers serve and how long a call takes."""
    callers = tuple(CallerSpec(firm, "") for firm in firms)
    admission = AdmissionPolicy(max_queue=max_queue)
    fields.setdefault("objective", COVERAGE)
    driver = Driver(make_spec(*held, callers=callers, admission=admission, **fields))
    driver.search("first", versions_only=True)
    driver.answer_inventories()
    for number in range(30):
        driver.search(f"warm-{number}", firm="flood")
        driver.answer_all(after=CALL_SECONDS)
    return driver


def answer_oldest(driver):
    """Answer the oldest call and return the searches of the call that took its slot."""
    before = len(driver.started)
    driver.answer(next(iter(driver.calls)), after=CALL_SECONDS)
    return [query.query["id"] for call in driver.started[before:] for query in call.queries]


def refused(driver, search_id):
    final = driver.finals.get(search_id)
    return final.error if isinstance(final, FailSearch) else None


class TestStart:
    def test_flood_can_not_go_round_the_queue_as_started_searches(self):
        """A driver waits behind a rival's searches that were started but have no slot yet.

        The rival's dozens come first, the driver's one afterwards. The cause is starting more
        searches than free slots: started ones get slots in order of start.
        """
        driver = warm_driver((0,), slots=1)
        for number in range(10):
            driver.search(f"flood-{number}", firm="flood")
        answer_oldest(driver)
        driver.search("calm", firm="calm")
        assert "calm" in answer_oldest(driver) + answer_oldest(driver)

    def test_search_that_waits_for_a_version_holds_up_nobody(self):
        driver = warm_driver((0,), slots=1)
        driver.search("newer", min_version=2, firm="calm")
        driver.answer_inventories()
        driver.search("now", firm="calm")
        driver.answer_all()
        assert driver.coverage("now").complete


class TestRepartition:
    def test_search_that_waits_while_shards_are_cut_anew_starts_over(self):
        """An answer claims all of four shards at a cut that has six.

        A search waits its place, the configuration goes over to the new cut, then the search gets
        its snapshot there. The cause is keeping its old set of shards.
        """
        driver = warm_driver((0, 1), slots=1)
        driver.search("runs", firm="calm")
        driver.search("waits", firm="calm")
        driver.reconfigure(make_spec((0, 1, 2), slots=1, objective=COVERAGE, epoch=2))
        assert refused(driver, "waits").code == "version_gone"
        assert refused(driver, "runs") is None


class TestTooLate:
    def test_search_that_can_not_finish_in_time_is_refused_and_not_run(self):
        """Slots are busy, yet a tenth of what they do is thrown away at its deadline.

        A search waits nearly its whole deadline, gets a slot and is cut off before its reply. The
        cause is starting whatever has not expired yet.
        """
        driver = warm_driver((0,), slots=1)
        driver.search("long", firm="flood", within=10.0)
        driver.search("tight", firm="flood", within=1.0)
        started = len(driver.started)
        driver.advance(1.0 - CALL_SECONDS)
        assert refused(driver, "tight").code == "overloaded"
        assert driver.counts["admissions_refused", "flood/waited_out"] == 1
        assert not any(
            query.query["id"] == "tight"
            for call in driver.started[started:]
            for query in call.queries
        )

    def test_group_whose_calls_turned_slower_than_the_deadline_goes_on_trying(self):
        """A service that was slow for a minute never answers again.

        All its searches are refused as hopeless, so nothing shows that it is fast again. The cause
        is an estimate that only the refused work could mend.
        """
        driver = warm_driver((0,), slots=1)
        for number in range(300):
            driver.search(f"slow-{number}", firm="flood", within=60.0)
            driver.answer_all(after=2.0)
        driver.search("next", firm="calm", within=1.0)
        driver.answer_all(after=CALL_SECONDS)
        assert driver.coverage("next").complete


class TestRetryAfter:
    def test_flooding_firm_is_told_how_long_its_own_backlog_takes(self):
        driver = warm_driver((0,), slots=1, max_queue=5)
        for number in range(40):
            driver.search(f"flood-{number}", firm="flood", within=10.0)
        for _ in range(30):
            answer_oldest(driver)
            driver.search(f"more-{driver.now}", firm="flood", within=10.0)
        driver.search("refused", firm="flood", within=10.0)
        assert 0.4 <= refused(driver, "refused").retry_after <= 0.6
