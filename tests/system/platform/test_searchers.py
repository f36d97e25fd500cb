"""Searchers that fail, lie, leave or hand out wrong bytes."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3

from tests.standins.backends import PROOF, REQUEST_ID, BackendStandIn, Cut, Hang, Reset, Seen
from tests.support.platforms import (
    PlatformInstance,
    configuration,
    forward_route,
    search_route,
)
from tests.support.processes import wait_for

FOREIGN = "HTTP/1.1 200 OK\r\n{id}: somebody\r\n{proof}: x\r\nContent-Length: 2\r\n\r\nno"


def foreign(me, seen) -> bytes:
    return FOREIGN.format(id=REQUEST_ID, proof=PROOF).encode()


def without_proof(me, seen) -> bytes:
    return f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {seen.id}\r\nContent-Length: 2\r\n\r\nno".encode()


def encoded(me, seen) -> bytes:
    return me.success(seen, "Content-Encoding: gzip")


def truncated(me, seen) -> Reset:
    return Reset(me.success(seen)[:-3])


def unframed_reset(me, seen) -> Reset:
    head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {seen.id}\r\n{PROOF}: x\r\n\r\n"
    return Reset(head.encode() + b"half a bo")


def rubbish(me, seen) -> bytes:
    return b"Content-Length is not HTTP\r\n\r\n"


WRONG = [foreign, without_proof, encoded, truncated, unframed_reset, rubbish]


# Long enough for a request to reach the queue of its searcher's connections.
QUEUED_SECONDS = 0.3


def book(instance: PlatformInstance, request_id: str) -> urllib3.BaseHTTPResponse:
    """Send a request that may run once only."""
    return instance.ask(
        "/get/x", method="POST", body=b"book", request_id=request_id, time_left=3000
    )


class TestWrongBytes:
    @pytest.mark.parametrize("answer", WRONG)
    def test_none_reaches_a_caller_and_a_safe_request_is_sent_again(self, system, answer):
        """A caller got somebody else's answer, or half of one, as a success.

        The searcher's bytes were framed well enough to be read, but belonged to another request,
        lacked the proof, or ended with a reset.
        """
        system.backend("desk", "i-1", zone="zone-a", answer=answer)
        system.backend("desk", "i-2", zone="zone-b")
        system.configure(1, forward_route("desk"))
        reply = system.instance().ask("/get/x")
        assert reply.status == 200
        assert reply.headers[PROOF] == "i-2.r1.200"

    @pytest.mark.parametrize("answer", [*WRONG, lambda me, seen: Cut()])
    def test_a_request_that_may_run_once_is_not_sent_again(self, system, answer):
        """A booking was run twice.

        Its first searcher ran it and its answer was spoilt; the instance took that for a failure
        and sent it to a second searcher.
        """
        one = system.backend("desk", "i-1", zone="zone-a", answer=answer)
        two = system.backend("desk", "i-2", zone="zone-b")
        system.configure(1, forward_route("desk", type="unsafe"))
        reply = system.instance().ask("/get/x", method="POST", body=b"book")
        assert len(one.seen) == 1
        assert not two.seen
        assert reply.status == 502

    def test_bytes_after_a_whole_answer_condemn_the_connection(self, system):
        """The second caller got the first one's second answer.

        The searcher sent an extra reply right behind the first. It was read when the next request
        on that connection was waiting for its own.
        """
        system.backend("desk", "i-1", answer=lambda me, seen: me.success(seen) * 2)
        system.configure(1, forward_route("desk"))
        instance = system.instance()
        for number in range(5):
            reply = instance.ask("/get/x", request_id=f"r{number}")
            assert reply.headers[REQUEST_ID] == f"r{number}"
            assert reply.headers[PROOF] == f"i-1.r{number}.200"

    def test_an_answer_without_length_ends_with_its_connection(self, system):
        def unframed(me, seen):
            head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {seen.id}\r\n{PROOF}: x\r\n\r\n"
            return head.encode() + b"whole body"

        system.backend("desk", "i-1", answer=unframed)
        system.configure(1, forward_route("desk"))
        reply = system.instance().ask("/get/x")
        assert (reply.status, reply.data) == (200, b"whole body")


class TestRefusals:
    def test_a_refused_booking_goes_to_another_searcher(self, system):
        one = system.backend("desk", "i-1", zone="zone-a", answer=lambda me, seen: me.refusal(seen))
        system.backend("desk", "i-2", zone="zone-b")
        system.configure(1, forward_route("desk", type="unsafe"))
        reply = system.instance().ask("/get/x", method="POST", body=b"book")
        assert len(one.seen) == 1
        assert reply.headers[PROOF] == "i-2.r1.200"

    def test_when_all_refuse_the_caller_learns_that_it_was_not_run(self, system):
        for name in ("i-1", "i-2"):
            system.backend("desk", name, answer=lambda me, seen: me.refusal(seen))
        system.configure(1, forward_route("desk", type="unsafe"))
        reply = system.instance().ask("/get/x", method="POST", body=b"book")
        assert reply.status == 503
        assert float(reply.headers["Retry-After"]) > 0

    @pytest.mark.parametrize("status", [408, 429, 503])
    def test_one_that_does_not_say_that_nothing_ran_is_no_refusal(self, system, status):
        """Guards against bookings that callers send again although a searcher has run them."""
        system.backend("desk", "i-1", answer=lambda me, seen: me.reply(seen, status))
        system.configure(1, forward_route("desk", type="unsafe"))
        reply = book(system.instance(), "r1")
        assert (reply.status, reply.headers.get(PROOF)) == (502, None)

    def test_callers_of_repeatable_requests_get_it_unchanged(self, system):
        system.backend("desk", "i-1", answer=lambda me, seen: me.reply(seen, 503))
        system.configure(1, forward_route("desk", attempts=1))
        reply = system.instance().ask("/get/x")
        assert (reply.status, reply.headers.get(PROOF)) == (503, "i-1.r1.503")

    def test_an_address_that_another_searcher_took_is_left(self, system):
        """Requests failed for seconds after a searcher was replaced.

        Its address had gone to a searcher of another service, which answered 421 to each.
        """
        system.backend("desk", "i-1", zone="zone-a", answer=lambda me, s: me.refusal(s, 421))
        system.backend("desk", "i-2", zone="zone-b")
        system.configure(1, forward_route("desk"))
        instance = system.instance()
        assert instance.ask("/get/x").headers[PROOF] == "i-2.r1.200"


class TestSecondRefusals:
    """Guards against a booking that runs twice, or is refused and runs."""

    @pytest.mark.parametrize("status", [429, 503])
    def test_a_late_one_is_not_taken_for_the_answer_to_the_next_send(self, system, status):
        searcher = system.backend("desk", "i-1", answer=SecondRefusal(status))
        system.configure(1, forward_route("desk", type="unsafe"))
        reply = book(system.instance(), "r1")
        assert (reply.status, reply.headers[PROOF]) == (200, "i-1.r1.200")
        assert len(searcher.seen) == 2


class TestLateReplies:
    """Guards against replies that each stand for the request before it."""

    def test_a_connection_that_brought_one_of_another_request_is_given_up(self, system):
        searcher = system.backend("desk", "i-1", answer=FirstReplyOfAnother())
        system.configure(1, forward_route("desk", type="unsafe"))
        instance = system.instance()
        assert book(instance, "r1").status == 502
        assert book(instance, "r2").headers[PROOF] == "i-1.r2.200"
        first, second = searcher.seen
        assert first.connection != second.connection

    def test_a_second_success_is_not_taken_for_the_answer_to_a_repeated_id(self, system):
        """Guards against an old answer for a caller that uses an id again."""
        searcher = system.backend("desk", "i-1", answer=late_second_success)
        system.configure(1, forward_route("desk", type="unsafe"))
        instance = system.instance()
        assert instance.ask("/get/x", method="POST", body=b"one").data == b"POST one"
        assert instance.ask("/get/x", method="POST", body=b"two").data == b"POST two"
        first, second = searcher.seen
        assert first.connection != second.connection


class TestRequestsWithoutAnId:
    """Guards against replies that nothing tells apart."""

    def test_they_are_refused_before_a_searcher_gets_them(self, system):
        searcher = system.backend("desk", "i-1")
        system.configure(1, forward_route("desk", type="unsafe"))
        reply = system.instance().ask("/get/x", method="POST", body=b"book", request_id="")
        assert reply.status == 400
        assert REQUEST_ID.lower() in reply.json()["message"]
        assert not searcher.seen


def late_second_success(me: BackendStandIn, seen: Seen) -> bytes:
    """Put the success that the connection's last request had before that of this one."""
    earlier = [s for s in me.seen[:-1] if s.connection == seen.connection]
    return b"".join(me.success(s, body=f"{s.method} ".encode() + s.body) for s in [*earlier, seen])


class FirstReplyOfAnother:
    """Puts a reply to another request before its first own one."""

    def __init__(self) -> None:
        self._told = False

    def __call__(self, me: BackendStandIn, seen: Seen) -> bytes:
        """Return what the searcher sends."""
        if self._told:
            return me.success(seen)
        self._told = True
        return foreign(me, seen)


class SecondRefusal:
    """Refuses a request, and again where the answer to its next send is due."""

    def __init__(self, status: int) -> None:
        self._status = status
        self._refused: set[tuple[str, int]] = set()

    def __call__(self, me: BackendStandIn, seen: Seen) -> bytes:
        """Return what the searcher sends."""
        refusal = me.refusal(seen, self._status)
        if not any(seen.id == request_id for request_id, _ in self._refused):
            self._refused.add((seen.id, seen.connection))
            return refusal
        late = refusal if (seen.id, seen.connection) in self._refused else b""
        return late + me.success(seen)


class TestTimes:
    def test_a_searcher_gets_what_is_left_of_the_callers_time(self, system):
        backend = system.backend("desk", "i-1")
        system.configure(1, forward_route("desk", timeoutMs=700))
        instance = system.instance()
        instance.ask("/get/x", time_left=5000)
        instance.ask("/get/x", time_left=300)
        assert 500 < backend.seen[0].time_left <= 700
        assert 200 < backend.seen[1].time_left <= 300

    def test_a_caller_is_answered_by_the_routes_timeout(self, system):
        system.backend("desk", "i-1", answer=lambda me, seen: Hang())
        system.configure(1, forward_route("desk", type="unsafe", timeoutMs=300))
        began = time.monotonic()
        reply = system.instance().ask("/get/x", method="POST", body=b"book")
        assert reply.status == 504
        assert time.monotonic() - began < 5.0

    def test_a_caller_that_leaves_ends_the_searchers_work(self, system):
        import socket

        backend = system.backend("desk", "i-1", answer=lambda me, seen: Hang())
        system.configure(1, forward_route("desk"))
        instance = system.instance()
        caller = socket.create_connection(("127.0.0.1", instance.front))
        head = f"GET /get/x HTTP/1.1\r\nHost: shop.example\r\n{REQUEST_ID}: r1\r\n\r\n"
        caller.sendall(head.encode())
        wait_for(lambda: backend.seen, "the request arrives")
        assert not backend.closed
        caller.close()
        wait_for(lambda: backend.closed, "the searcher's connection is closed")


class TestLeaving:
    def test_a_draining_searcher_gets_nothing_new(self, system):
        one = system.backend("desk", "i-1", zone="zone-a")
        system.backend("desk", "i-2", zone="zone-b")
        system.configure(1, forward_route("desk"))
        instance = system.instance()
        assert instance.ask("/get/x").headers[PROOF] == "i-1.r1.200"
        system.store.put("servers", "i-1", one.entry(state="draining"))
        wait_for(lambda: instance.ask("/get/x").headers[PROOF] == "i-2.r1.200", "the other is used")
        count = len(one.seen)
        for _ in range(5):
            instance.ask("/get/x")
        assert len(one.seen) == count

    def test_a_booking_that_waits_for_a_connection_to_it_goes_to_another(self, system):
        """Guards against queued calls that are sent long after their searcher drains."""
        one = system.backend("desk", "i-1", answer=lambda me, seen: Hang())
        version = configuration(1, forward_route("desk", type="unsafe", timeoutMs=6000))
        version["services"][0]["maxConns"] = 1
        system.store.put("config", "main", version)
        instance = system.instance()
        with ThreadPoolExecutor() as callers:
            callers.submit(book, instance, "r1")
            wait_for(lambda: one.seen, "the first booking holds the connection")
            waiting = callers.submit(book, instance, "r2")
            time.sleep(QUEUED_SECONDS)
            system.backend("desk", "i-2")
            system.store.put("servers", "i-1", one.entry(state="draining"))
            assert waiting.result().headers[PROOF] == "i-2.r2.200"
        assert [seen.id for seen in one.seen] == ["r1"]

    def test_an_entry_by_another_writer_leaves_the_others_in_use(self, system):
        system.backend("desk", "i-1")
        system.store.put("servers", "i-bad", {"service": "desk", "addr": 7})
        system.store.put("servers", "i-worse", "bytes")
        system.configure(1, forward_route("desk"))
        assert system.instance().ask("/get/x").status == 200


class TestConnections:
    def test_they_are_kept_between_requests(self, system):
        backend = system.backend("desk", "i-1")
        system.configure(1, forward_route("desk"))
        instance = system.instance()
        for number in range(5):
            assert instance.ask("/get/x", request_id=f"r{number}").status == 200
        assert backend.connections == 1

    def test_a_searcher_that_refuses_connections_is_left(self, system):
        dead = system.backend("desk", "i-1", zone="zone-a")
        dead.__exit__()
        system.backend("desk", "i-2", zone="zone-b")
        system.configure(1, search_route(["desk"]))
        reply = system.instance().ask("/find/x")
        assert reply.status == 200
        assert reply.headers["X-Limpethollow-Part-Stamps"] == "i-2.r1.200"


class TestDarkSearchers:
    def test_a_booking_is_not_sent_into_the_dark(self, system):
        """Bookings hung for three seconds and ended as unknown, though another searcher lived.

        Three of four searchers lost their network. Connections to them stayed open, and bookings
        were written to them; only a new connection would have shown that nobody was there.
        """
        one = system.backend("desk", "i-1", zone="zone-a", answer=_once_then_hang)
        system.backend("desk", "i-2", zone="zone-b")
        system.configure(1, forward_route("desk", type="unsafe"))
        instance = system.instance()
        assert instance.ask("/get/x", method="POST", body=b"book").headers[PROOF] == "i-1.r1.200"
        one.__exit__()
        time.sleep(0.5)
        reply = instance.ask("/get/x", method="POST", body=b"book", request_id="r2")
        assert reply.headers[PROOF] == "i-2.r2.200"


def _once_then_hang(me, seen):
    return me.success(seen) if len(me.seen) == 1 else Hang()


class TestColdStatements:
    def test_a_reply_states_that_its_searcher_is_cold(self, system):
        """Guards against a header of the platform that is read under another name."""
        header = "X-Limpethollow-Cold-Ms: 60000"
        system.backend("desk", "i-1", answer=lambda me, seen: me.success(seen, header))
        system.configure(1, forward_route("desk"))
        instance = system.instance()
        for _ in range(3):
            assert instance.ask("/get/x").status == 200
        stated = [(e["searcher"], e["cold_ms"]) for e in instance.events(554)]
        assert stated == [("i-1", 60000)]
        assert "limpethollow_searchers_stated_cold" in instance.metrics()
