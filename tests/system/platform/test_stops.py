"""A process that was asked to stop, under callers that send one request after the other."""

import http.client
import signal
import socket
import threading
import time

import pytest

from tests.support.platforms import HOST, PlatformInstance, PlatformSystem, forward_route
from tests.support.processes import wait_for

GRACE_SECONDS = 3
WORK_SECONDS = 0.3
# More than is left of the grace when the last requests come that are not refused by their time.
LONG_WORK_SECONDS = 0.9
CALLERS = 8
# A process that is frozen for this part of the grace doesn't know when the signal came.
FROZEN_SECONDS = 1.2
# More than the system keeps for a caller that reads slowly.
LARGE_BYTES = 3_900_000
SMALL_WINDOW = 8192
# A request that was not passed on may lose its connection this soon after it was sent.
LOSS_SLACK_SECONDS = 0.2


class ClosedLoopCaller:
    """Sends a request as soon as it has the answer to the one before, until nobody listens.

    Attributes:
        lost: Seconds that each request without a whole answer waited, by its id.
        statuses: Statuses of the answers that came after the stop.
    """

    def __init__(self, instance: PlatformInstance, number: int) -> None:
        self._address = ("127.0.0.1", instance.front)
        self._number = number
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.stopped_at = float("inf")
        self.lost: dict[str, float] = {}
        self.statuses: list[int] = []
        self._thread.start()

    def wait(self) -> None:
        self._thread.join()

    def _run(self) -> None:
        for number in range(10_000):
            connection = http.client.HTTPConnection(*self._address, timeout=5.0)
            try:
                connection.connect()
            except OSError:
                return
            self._ask(connection, f"c{self._number}-{number}")

    def _ask(self, connection: http.client.HTTPConnection, request_id: str) -> None:
        headers = {
            "Host": HOST,
            "X-Limpethollow-Request-Id": request_id,
            "X-Limpethollow-Deadline-Ms": "2000",
        }
        sent_at = time.monotonic()
        try:
            connection.request("GET", "/get/x", headers=headers)
            reply = connection.getresponse()
            reply.read()
        except (OSError, http.client.HTTPException):
            self.lost[request_id] = time.monotonic() - sent_at
            return
        finally:
            connection.close()
        if time.monotonic() > self.stopped_at:
            self.statuses.append(reply.status)


class TestStop:
    def test_no_request_that_was_read_is_lost(self, system):
        """Guards against requests taken until the end and cut by the exit."""
        instance, callers = start_under_load(system)
        for caller in callers:
            caller.stopped_at = time.monotonic()
        instance.terminate()
        wait_for(lambda: instance.child.poll() is not None, "it ends", GRACE_SECONDS)
        for caller in callers:
            caller.wait()
        assert instance.child.returncode == 0
        passed_on = {seen.id for backend in system.backends for seen in backend.seen}
        lost = {name: waited for caller in callers for name, waited in caller.lost.items()}
        # Connections that wait in the listener's queue when it closes are reset unread.
        unread = {n for n, s in lost.items() if s < LOSS_SLACK_SECONDS and n not in passed_on}
        assert lost.keys() - unread == set()
        assert {status for caller in callers for status in caller.statuses} <= {200, 503}

    def test_a_request_that_cannot_end_in_time_is_answered(self, system):
        """Guards against a caller that is cut off by the exit while a searcher works."""
        one = system.backend("desk", "i-1", work=10.0)
        system.configure(1, forward_route("desk", timeoutMs=8000))
        instance = system.instance()
        answers: list[int] = []

        def ask() -> None:
            answers.append(instance.ask("/get/x", time_left=8000).status)

        caller = threading.Thread(target=ask)
        caller.start()
        wait_for(lambda: one.seen, "the searcher works")
        instance.terminate()
        caller.join()
        assert answers == [502]

    @pytest.mark.parametrize("kind", ["safe", "unsafe"])
    def test_a_request_that_would_not_end_in_time_is_refused_before_it_runs(self, system, kind):
        """Guards against requests that are passed on late in the grace, and cut at its end."""
        one = system.backend("desk", "i-1", work=LONG_WORK_SECONDS, slots=30)
        system.configure(1, forward_route("desk", timeoutMs=8000, sloMs=4000, type=kind))
        instance = system.instance()
        answers: dict[str, int] = {}

        def ask(request_id: str, second: float) -> None:
            wait_until(second)
            answers[request_id] = instance.ask(
                "/get/x", request_id=request_id, time_left=8000
            ).status

        def ask_all(moments: dict[str, float]) -> None:
            callers = [threading.Thread(target=ask, args=each) for each in moments.items()]
            for caller in callers:
                caller.start()
            for caller in callers:
                caller.join()

        before = {f"before-{number}": 0.0 for number in range(20)}
        ask_all(before)
        assert set(answers.values()) == {200}
        answers.clear()
        instance.terminate()
        stopped_at = time.monotonic()
        moments = {"early": 0.1, "middle": 0.4, "late": 0.66}
        ask_all({name: stopped_at + part * GRACE_SECONDS for name, part in moments.items()})
        assert answers == {"early": 200, "middle": 200, "late": 503}
        assert {seen.id for seen in one.seen} == {*before, "early", "middle"}

    def test_an_answer_that_its_caller_still_reads_is_whole(self, system):
        """Guards against answers that the exit cuts short on the way to slow callers."""
        body = b"x" * LARGE_BYTES
        system.backend("desk", "i-1", answer=lambda me, seen: me.success(seen, body=body))
        system.configure(1, forward_route("desk", timeoutMs=8000))
        instance = system.instance()
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW)
            caller.connect(("127.0.0.1", instance.front))
            caller.sendall(head_of("r1"))
            wait_for(lambda: instance.events(520), "the request is answered")
            instance.terminate()
            stopped_at = time.monotonic()
            wait_until(stopped_at + 0.75 * GRACE_SECONDS)
            read = read_all(caller)
        assert read.endswith(b"\r\n\r\n" + body)

    def test_requests_that_were_sent_ahead_are_answered(self, system):
        """Guards against requests that are read behind another one and dropped at a stop."""
        system.backend("desk", "i-1", work=WORK_SECONDS)
        system.configure(1, forward_route("desk"))
        instance = system.instance()
        instance.terminate()
        wait_for(lambda: instance.events(101), "it stops")
        with socket.create_connection(("127.0.0.1", instance.front), timeout=5.0) as caller:
            caller.sendall(head_of("r1") + head_of("r2"))
            read = read_all(caller)
        assert [f"i-1.{id}.200".encode() in read for id in ("r1", "r2")] == [True, True]
        assert read.count(b"Connection: close") == 1

    def test_a_process_that_was_frozen_ends_before_it_is_killed(self, system):
        """Guards against requests lost to a kill that comes sooner than the process believes."""
        instance, callers = start_under_load(system)
        instance.signal(signal.SIGSTOP)
        instance.terminate()
        stopped_at = time.monotonic()
        wait_until(stopped_at + FROZEN_SECONDS)
        instance.signal(signal.SIGCONT)
        wait_until(stopped_at + GRACE_SECONDS)
        assert instance.child.poll() == 0
        for caller in callers:
            caller.wait()


def start_under_load(system: PlatformSystem) -> tuple[PlatformInstance, list[ClosedLoopCaller]]:
    """Start an instance and callers that keep it busy."""
    for number in range(4):
        system.backend("desk", f"i-{number}", work=WORK_SECONDS)
    system.configure(1, forward_route("desk"))
    instance = system.instance()
    callers = [ClosedLoopCaller(instance, number) for number in range(CALLERS)]
    time.sleep(1.0)
    return instance, callers


def head_of(request_id: str) -> bytes:
    """Return a request without a body as its caller sends it."""
    lines = [
        "GET /get/x HTTP/1.1",
        f"Host: {HOST}",
        f"X-Limpethollow-Request-Id: {request_id}",
        "X-Limpethollow-Deadline-Ms: 8000",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def read_all(caller: socket.socket) -> bytes:
    """Return what comes until the connection ends."""
    read = bytearray()
    while piece := caller.recv(65536):
        read += piece
    return bytes(read)


def wait_until(second: float) -> None:
    """Wait until a monotonic second."""
    time.sleep(max(0.0, second - time.monotonic()))
