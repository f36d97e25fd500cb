"""Graceful shutdown of real instances under real callers."""

import socket
import threading
import time

import pytest
import urllib3

from tests.support.clusters import DOMAINS, Cluster
from tests.support.processes import Process, wait_for
from tests.system.lifecycle.callers import Background, CallerLoad, KeptConnection

SERVICE = "driver-finder"
EXIT_SECONDS = 60.0
LONG = 3.0
LAST_MOMENT = 0.5
# A search that was not read may lose its connection this soon after it was sent.
LOSS_SLACK_SECONDS = 0.2


@pytest.fixture
def cluster():
    with Cluster() as cluster:
        yield cluster


def start(cluster: Cluster, instances: int = 3, extra: str = "", **searcher) -> None:
    cluster.start_instances(instances, extra)
    searchers = cluster.start_searchers(SERVICE, [[0, 1], [0, 1]], **searcher)
    cluster.put_service(SERVICE, searchers)


def address(cluster: Cluster, instance: str) -> str:
    return cluster.listed[instance]["address"]


def token_of(cluster: Cluster, instance: str, nonce: str) -> str:
    """Return a token for shard 0 that this instance executes."""
    with cluster.session(instance) as session:
        route = session.route(SERVICE)
    prefix = next(i.token_prefix for i in route.instances if i.id == instance)
    return f"{prefix}.0.{nonce}"


def running(cluster: Cluster) -> int:
    return sum(searcher.stats()["running"] for searcher in cluster.searchers.values())


def executions(cluster: Cluster, token: str) -> int:
    return sum(s.stats()["executions"].get(token, 0) for s in cluster.searchers.values())


def wait_for_state(cluster: Cluster, instance: str, state: str) -> None:
    wait_for(lambda: cluster.status(instance).state == state, f"{instance} is {state}")


def owner_and_other(cluster: Cluster) -> tuple[str, str]:
    with cluster.session() as session:
        first, second = session.route(SERVICE).instances[:2]
    return first.id, second.id


class TestCallersThatHoldAnAddress:
    def test_address_is_served_until_the_last_moment_of_the_route_that_names_it(self, cluster):
        """A dispatcher books rarely, and keeps the address that a peer of the leaver named.

        The request comes just before the route expires; nothing came meanwhile that could have
        kept the instance.
        """
        cluster.start_instances(2)
        specs = cluster.start_searchers(SERVICE, [[0, 1], [0, 1]])
        cluster.put_service(SERVICE, specs, route_ttl=5.0)
        with cluster.session("n1") as session:
            route = session.route(SERVICE)
        expires = time.monotonic() + route.ttl
        assert "n0" in [instance.id for instance in route.instances]
        cluster.instances["n0"].terminate()
        time.sleep(expires - time.monotonic() - LAST_MOMENT)
        with KeptConnection(address(cluster, "n0")) as caller:
            assert caller.search(SERVICE)[0] == 200
        assert cluster.instances["n0"].wait(EXIT_SECONDS) == 0

    def test_kept_connection_is_answered_until_the_route_that_names_the_instance_expires(
        self, cluster
    ):
        """A driver's app got an address just before that instance was told to leave.

        The app uses the address for the answer's whole time to live, on one kept connection. Every
        request must be answered; only after that may the instance go.
        """
        start(cluster, instances=2)
        with cluster.session("n1") as session:
            route = session.route(SERVICE)
        expires = time.monotonic() + route.ttl
        assert "n0" in [instance.id for instance in route.instances]
        statuses = []
        with KeptConnection(address(cluster, "n0")) as caller:
            caller.search(SERVICE)
            cluster.instances["n0"].terminate()
            while time.monotonic() < expires:
                statuses.append(caller.search(SERVICE)[0])
        assert set(statuses) == {200}
        assert cluster.instances["n0"].wait(EXIT_SECONDS) == 0

    def test_leaving_instance_is_named_in_no_new_route(self, cluster):
        start(cluster)
        with KeptConnection(address(cluster, "n0")) as caller:
            busy = Background(caller.search, SERVICE)
            cluster.instances["n0"].terminate()
            wait_for(lambda: cluster.status("n1").peers["n0"] == "leaving", "n1 knows")
            for instance in ("n1", "n2"):
                with cluster.session(instance) as session:
                    assert "n0" not in [i.id for i in session.route(SERVICE).instances]
            assert busy.result()[0] == 200

    def test_request_on_a_kept_connection_while_closing_is_answered(self, cluster):
        """A long search holds the closing instance open.

        Another caller's request arrives on a connection that it kept; a server that closes idle
        connections first would reset it.
        """
        start(cluster, instances=2, service_time=LONG, slots=2)
        with (
            KeptConnection(address(cluster, "n0")) as long,
            KeptConnection(address(cluster, "n0")) as kept,
        ):
            kept.send("GET", f"/v1/services/{SERVICE}/route")
            search = Background(long.search, SERVICE)
            wait_for(lambda: running(cluster), "the search runs")
            cluster.instances["n0"].terminate()
            wait_for_state(cluster, "n0", "closing")
            status, answer = kept.search(SERVICE)
            assert status == 200
            assert answer["coverage"]["missing"] == []
            assert kept.headers["Connection"] == "close"
            assert search.result()[0] == 200
        assert cluster.instances["n0"].wait(EXIT_SECONDS) == 0


class TestWorkInFlight:
    def test_long_search_and_booking_in_flight_get_their_answers(self, cluster):
        start(cluster, service_time=LONG)
        token = token_of(cluster, "n0", "in-flight")
        with (
            KeptConnection(address(cluster, "n0")) as one,
            KeptConnection(address(cluster, "n0")) as two,
        ):
            search = Background(one.search, SERVICE)
            booking = Background(two.book, SERVICE, token)
            wait_for(lambda: running(cluster) >= 2, "both run")
            cluster.instances["n0"].terminate()
            status, answer = search.result()
            assert (status, answer["coverage"]["missing"]) == (200, [])
            assert booking.result()[1]["state"] == "booked"
        assert cluster.instances["n0"].wait(EXIT_SECONDS) == 0
        assert executions(cluster, token) == 1

    def test_requests_that_other_instances_forwarded_get_their_answers(self, cluster):
        """A dispatcher talks to n1, which forwards to the owner.

        The owner leaves meanwhile and has no request of its own callers open.
        """
        start(cluster, service_time=LONG)
        owner, other = owner_and_other(cluster)
        token = token_of(cluster, owner, "forwarded")
        with (
            KeptConnection(address(cluster, other)) as one,
            KeptConnection(address(cluster, other)) as two,
        ):
            search = Background(one.search, SERVICE)
            booking = Background(two.book, SERVICE, token)
            wait_for(lambda: running(cluster) >= 2, "both run")
            cluster.instances[owner].terminate()
            status, answer = search.result()
            assert (status, answer["coverage"]["missing"]) == (200, [])
            assert booking.result()[1]["state"] == "booked"
        assert cluster.instances[owner].wait(EXIT_SECONDS) == 0
        assert executions(cluster, token) == 1
        assert cluster.metric(other, 'forwards_failed_total{reason="unavailable"}') == 0

    def test_unseen_token_is_not_run_and_a_finished_one_can_be_looked_up(self, cluster):
        """A dispatcher's token names the instance that leaves.

        Whatever it says must stay true: a token it never saw is not run, also when the request
        comes again, and a booking made before is still found.
        """
        start(cluster, service_time=LONG)
        known, unseen = token_of(cluster, "n0", "known"), token_of(cluster, "n0", "unseen")
        with KeptConnection(address(cluster, "n0")) as caller:
            assert caller.book(SERVICE, known)[1]["state"] == "booked"
        with (
            KeptConnection(address(cluster, "n0")) as long,
            KeptConnection(address(cluster, "n0")) as caller,
            KeptConnection(address(cluster, "n1")) as other,
        ):
            search = Background(long.search, SERVICE)
            wait_for(lambda: running(cluster), "the search runs")
            cluster.instances["n0"].terminate()
            wait_for(lambda: cluster.status("n0").state in ("leaving", "closing"), "n0 leaves")
            assert caller.book(SERVICE, unseen)[1]["code"] == "not_run"
            assert caller.book(SERVICE, known)[1]["state"] == "booked"
            assert other.look_up(SERVICE, known)[1]["state"] == "booked"
            assert other.book(SERVICE, unseen)[1]["code"] == "not_run"
            assert search.result()[0] == 200
        assert executions(cluster, unseen) == 0
        assert executions(cluster, known) == 1


class TestRollingReplacement:
    def test_replacing_all_instances_under_load_fails_no_request(self, cluster):
        """All instances are replaced one by one while drivers search and dispatchers book.

        No caller may see a failure, and no booking runs twice.
        """
        start(cluster, instances=3)
        old = list(cluster.listed)
        with CallerLoad(cluster, SERVICE, searching=3, booking=1) as load:
            for number, leaver in enumerate(old):
                replace(cluster, leaver, f"m{number}", DOMAINS[number])
        assert load.failures == []
        assert load.done["complete"] > 0
        assert load.done["partial"] == 0
        for token, state in load.outcomes.items():
            assert (state, executions(cluster, token)) in {("booked", 1), ("not_run", 0)}

    def test_instances_that_leave_at_the_same_time_fail_no_request(self, cluster):
        """A second instance is told to leave while the first is still leaving.

        Each is told of the other, and callers that hold either address are answered.
        """
        start(cluster, instances=4)
        with CallerLoad(cluster, SERVICE, searching=3, booking=1) as load:
            wait_for(lambda: load.done["complete"] > 20, "load")
            cluster.instances["n0"].terminate()
            wait_for(lambda: cluster.status("n0").state != "serving", "n0 leaves")
            cluster.instances["n1"].terminate()
            assert cluster.instances["n0"].wait(EXIT_SECONDS) == 0
            assert cluster.instances["n1"].wait(EXIT_SECONDS) == 0
        assert load.failures == []
        for token, state in load.outcomes.items():
            assert (state, executions(cluster, token)) in {("booked", 1), ("not_run", 0)}


def replace(cluster: Cluster, leaver: str, fresh: str, domain: str) -> None:
    """Start a new instance, wait until all know it, and let an old one leave."""
    cluster.start_instance(fresh, domain)
    cluster.publish_list()
    alive = [i for i in cluster.listed if cluster.instances[i].is_running]
    wait_for(
        lambda: all(fresh in cluster.status(i).peers for i in alive), f"{fresh} is seen by all"
    )
    wait_for(lambda: SERVICE in cluster.status(fresh).versions, f"{fresh} is configured")
    cluster.instances[leaver].terminate()
    assert cluster.instances[leaver].wait(EXIT_SECONDS) == 0
    del cluster.listed[leaver]
    cluster.publish_list()


class ClosedLoopCaller:
    """Searches at one address, each time on a new connection, until nobody listens there.

    Attributes:
        statuses: Statuses of the answers.
        cut: Seconds that each request without a whole answer waited.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._thread = threading.Thread(target=self._run)
        self.statuses: list[int] = []
        self.cut: list[float] = []
        self._thread.start()

    def wait(self) -> None:
        self._thread.join()

    def _run(self) -> None:
        while True:
            sent_at = time.monotonic()
            with KeptConnection(self._address) as caller:
                try:
                    self.statuses.append(caller.search(SERVICE)[0])
                except urllib3.exceptions.NewConnectionError:
                    return
                except (OSError, urllib3.exceptions.HTTPError):
                    self.cut.append(time.monotonic() - sent_at)


class TestCallersInAClosedLoop:
    def test_no_search_is_cut_off_by_the_exit(self, cluster):
        """Guards against a shutdown that waits for a quiet moment which never comes."""
        start(cluster, service_time=LONG)
        callers = [ClosedLoopCaller(address(cluster, "n0")) for _ in range(6)]
        wait_for(lambda: all(caller.statuses for caller in callers), "all are served")
        cluster.instances["n0"].terminate()
        assert cluster.instances["n0"].wait(EXIT_SECONDS) == 0
        for caller in callers:
            caller.wait()
        # Connections that wait in the listener's queue when it closes are reset unread.
        assert [s for caller in callers for s in caller.cut if s > LOSS_SLACK_SECONDS] == []
        assert {status for caller in callers for status in caller.statuses} <= {200, 503}


class TestWaitingIsBounded:
    FOREVER = 600.0
    DEADLINE = 60.0

    def open_work(self, cluster, token):
        one = KeptConnection(address(cluster, "n0"))
        two = KeptConnection(address(cluster, "n0"))
        search = Background(one.search, SERVICE, self.DEADLINE)
        booking = Background(two.book, SERVICE, token, self.DEADLINE)
        return search, booking

    def check_answers(self, search, booking):
        status, answer = search.result()
        assert status == 503
        assert answer["code"] == "unavailable"
        assert answer["retry_after"] is not None
        assert booking.result()[1]["code"] == "outcome_unknown"

    def test_second_signal_ends_the_waiting_with_true_answers(self, cluster):
        """An operator signals twice while a search and a booking wait for a slow searcher.

        The booking may have run, so its outcome is unknown; the search is refused with a time to
        come back.
        """
        start(cluster, instances=2, service_time=self.FOREVER)
        token = token_of(cluster, "n0", "hurried")
        search, booking = self.open_work(cluster, token)
        wait_for(lambda: running(cluster) >= 2, "both run")
        cluster.instances["n0"].terminate()
        wait_for(lambda: cluster.status("n0").state != "serving", "n0 leaves")
        cluster.instances["n0"].terminate()
        self.check_answers(search, booking)
        assert cluster.instances["n0"].wait(EXIT_SECONDS) == 0

    def test_frozen_searcher_does_not_hold_the_exit_past_the_bound(self, cluster):
        """All searchers freeze with requests in their sockets.

        The shutdown's bound comes first; the callers get typed answers before it, and the frozen
        searcher may run the booking later.
        """
        start(cluster, instances=2, service_time=self.FOREVER)
        token = token_of(cluster, "n0", "frozen")
        search, booking = self.open_work(cluster, token)
        wait_for(lambda: running(cluster) >= 2, "both run")
        for searcher in cluster.searchers.values():
            searcher.freeze()
        cluster.instances["n0"].terminate()
        self.check_answers(search, booking)
        assert cluster.instances["n0"].wait(EXIT_SECONDS) == 0
        for searcher in cluster.searchers.values():
            searcher.resume()


class TestLateRequests:
    FOREVER = 600.0
    DEADLINE = 60.0
    BOUND_SECONDS = 20.0
    LATE_SECONDS = 0.8 * BOUND_SECONDS

    def test_booking_that_comes_late_is_refused_before_it_is_passed_on(self, cluster):
        """Guards against bookings whose time is cut by the exit, with an outcome nobody knows."""
        start(cluster, instances=2, service_time=self.FOREVER)
        token = token_of(cluster, "n1", "late")
        with (
            KeptConnection(address(cluster, "n0")) as long,
            KeptConnection(address(cluster, "n0")) as caller,
        ):
            search = Background(long.search, SERVICE, self.DEADLINE)
            wait_for(lambda: running(cluster), "the search runs")
            cluster.instances["n0"].terminate()
            time.sleep(self.LATE_SECONDS)
            status, answer = caller.book(SERVICE, token, self.DEADLINE)
            assert (status, answer["code"]) == (503, "instance_busy")
            assert executions(cluster, token) == 0
            assert caller.headers["Connection"] == "close"
            assert search.result()[0] == 503
        assert cluster.instances["n0"].wait(EXIT_SECONDS) == 0

    def test_request_that_is_half_read_at_the_exit_is_refused(self, cluster):
        """Guards against connections that end without a word in the middle of a request."""
        start(cluster, instances=2, service_time=self.FOREVER)
        host, _, port = address(cluster, "n0").rpartition(":")
        with (
            KeptConnection(address(cluster, "n0")) as long,
            socket.create_connection((host, int(port)), timeout=EXIT_SECONDS) as half,
        ):
            search = Background(long.search, SERVICE, self.DEADLINE)
            wait_for(lambda: running(cluster), "the search runs")
            half.sendall(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhello")
            cluster.instances["n0"].terminate()
            wait_for(lambda: cluster.status("n0").state != "serving", "n0 leaves")
            cluster.instances["n0"].terminate()
            assert half.recv(4096).startswith(b"HTTP/1.1 503")
            assert search.result()[0] == 503
        assert cluster.instances["n0"].wait(EXIT_SECONDS) == 0


class TestSignalDuringTheStart:
    def test_signal_right_after_the_ready_line_ends_in_a_clean_exit(self, cluster):
        start(cluster, instances=1)
        process: Process = cluster.start_instance("n9", DOMAINS[1])
        process.terminate()
        assert process.wait(EXIT_SECONDS) == 0

    def test_start_with_the_platform_down_can_be_stopped(self, cluster):
        """An instance starts during a platform outage and knows nothing; it must still go."""
        cluster.platform.control(down=True)
        process = cluster.start_instance("n0", DOMAINS[0])
        process.terminate()
        assert process.wait(EXIT_SECONDS) == 0
