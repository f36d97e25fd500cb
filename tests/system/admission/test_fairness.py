"""One firm floods a service that another firm uses, with real processes."""

import threading
from collections import Counter

import pytest

from limpethollow.exceptions import Overloaded
from limpethollow_wire.keys import key_digest
from limpethollow_wire.services import AdmissionPolicy, CallerSpec, Objective
from tests.support.clusters import Cluster
from tests.support.processes import wait_for

SERVICE = "driver-finder"
FLOODERS = 20
MAX_QUEUE = 8
SEARCHES = 12
DEADLINE = 20.0


@pytest.fixture(scope="module")
def cluster():
    with Cluster() as cluster:
        cluster.start_instances(2)
        searchers = cluster.start_searchers(SERVICE, [[0], [0]], service_time=0.03)
        callers = tuple(CallerSpec(firm, key_digest(f"key-{firm}")) for firm in ("flood", "calm"))
        cluster.put_service(
            SERVICE,
            searchers,
            callers=callers,
            admission=AdmissionPolicy(max_queue=MAX_QUEUE),
            objective=Objective(mode="coverage", deadline=DEADLINE),
        )
        yield cluster


class Firm:
    """Searches of one firm, each with a query of its own, and what became of them."""

    def __init__(self, cluster, name):
        self._cluster = cluster
        self._name = name
        self.outcomes = Counter()
        self.retry_after = []

    def search(self, times, until=None):
        with self._cluster.session(key=f"key-{self._name}") as session:
            for number in range(times):
                if until is not None and until.is_set():
                    return
                self._search_once(session, number)

    def _search_once(self, session, number):
        query = {"firm": self._name, "thread": threading.get_ident(), "number": number}
        try:
            answer = session.search(SERVICE, query, deadline=DEADLINE)
            self.outcomes["complete" if answer.coverage.complete else "partial"] += 1
        except Overloaded as error:
            self.outcomes["overloaded"] += 1
            self.retry_after.append(error.retry_after)


class TestFlood:
    def test_only_the_flooding_firm_is_refused(self, cluster):
        """A driver gets "come back later" although his firm sends one search at a time.

        A rival keeps twenty searches open against four slots and a queue of eight; the driver's
        firm then searches. The cause is a queue that doesn't ask whose searches fill it.
        """
        flood, calm, stop = Firm(cluster, "flood"), Firm(cluster, "calm"), threading.Event()
        threads = [
            threading.Thread(target=flood.search, args=[10_000, stop]) for _ in range(FLOODERS)
        ]
        for thread in threads:
            thread.start()
        try:
            wait_for(lambda: flood.outcomes["overloaded"], "the flood's first refusal")
            calm.search(SEARCHES)
        finally:
            stop.set()
            for thread in threads:
                thread.join()
        assert calm.outcomes == {"complete": SEARCHES}
        assert flood.outcomes["complete"] > 0
        assert all(seconds > 0 for seconds in flood.retry_after)
        assert self.refusals(cluster, "calm") == 0
        assert self.refusals(cluster, "flood") == flood.outcomes["overloaded"]
        peaks = [searcher.stats()["peaks"] for searcher in cluster.searchers.values()]
        assert max(peak["open"] for peak in peaks) <= 2

    def refusals(self, cluster, firm):
        reasons = ("queue_full", "gave_way", "wait_too_long", "waited_out")
        return sum(
            cluster.metric(instance, f'admissions_refused_total{{reason="{firm}/{reason}"}}')
            for instance in cluster.listed
            for reason in reasons
        )
