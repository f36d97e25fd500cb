"""The session's decisions: how long routes are kept, and when the next address may be tried."""

from collections.abc import Callable
from typing import Any

import pytest

from limpethollow import Session
from limpethollow.adapters import Adapter
from limpethollow.exceptions import (
    CoverageTooLow,
    InstanceBusy,
    NoReply,
    NotConnected,
    OutcomeUnknown,
    Overloaded,
    Unauthorized,
)
from limpethollow.models import BookingOutcome, Coverage, OutcomeState, Route, SearchAnswer
from limpethollow_wire.instances import RouteInstance

ANSWER = SearchAnswer("r", "finder", Coverage(1, 1, 1, (0,), ()), ())
TTL = 5.0


class FakeAdapter(Adapter):
    """Answers from a script, and remembers what was sent where."""

    def __init__(self, reply: Callable[[str, str, Any], Any]) -> None:
        self.reply = reply
        self.sent: list[tuple[str, str, Any]] = []

    def send(self, address, method, path, key, reply, body=None, timeout=5.0):
        kind = path.rsplit("/", 1)[-1]
        if path.count("bookings/"):
            kind = "look-up"
        self.sent.append((address, kind, body))
        result = self.reply(address, kind, body)
        if isinstance(result, Exception):
            raise result
        return result

    def close(self) -> None:
        self.sent.clear()

    def addresses(self, kind: str) -> list[str]:
        return [address for address, sent_kind, _ in self.sent if sent_kind == kind]


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now

    def sleep(self, seconds: float) -> None:
        self.now += seconds


def route(*addresses: str) -> Route:
    instances = (RouteInstance(a, a, "d", token_prefix=f"{a}.run") for a in addresses)
    return Route("finder", TTL, tuple(instances))


def make(reply: Callable[[str, str, Any], Any]) -> tuple[Session, FakeAdapter, Clock]:
    adapter, clock = FakeAdapter(reply), Clock()
    session = Session(["seed"], "key", adapter=adapter, clock=clock, sleep=clock.sleep)
    return session, adapter, clock


class TestRoutes:
    def test_route_is_kept_for_its_time_to_live(self):
        session, adapter, clock = make(lambda a, kind, b: route("a"))
        session.route("finder")
        clock.now += TTL - 0.1
        session.route("finder")
        assert adapter.addresses("route") == ["seed"]
        clock.now += 0.2
        session.route("finder")
        assert adapter.addresses("route") == ["seed", "a"]

    def test_known_instances_are_asked_when_the_first_address_is_gone(self):
        """The instance a caller was set up with is replaced; its address answers no more.

        The session learned other addresses before, and must go on through them for good.
        """
        gone: set[str] = set()

        def reply(address, kind, body):
            if address in gone:
                return NotConnected("gone")
            return route("a", "b") if kind == "route" else ANSWER

        session, adapter, _ = make(reply)
        session.search("finder", {})
        gone |= {"seed", "a"}
        assert session.search("finder", {}) == ANSWER
        assert session.search("finder", {}) == ANSWER
        assert adapter.addresses("search")[-1] == "b"


class TestSearches:
    @pytest.mark.parametrize("failure", [NotConnected("x"), NoReply("x"), InstanceBusy("x")])
    def test_next_address_is_tried_after_what_is_safe(self, failure):
        def reply(address, kind, body):
            if kind == "route":
                return route("a", "b")
            return failure if address == "a" else ANSWER

        session, adapter, _ = make(reply)
        assert session.search("finder", {}) == ANSWER
        assert adapter.addresses("search") == ["a", "b"]

    @pytest.mark.parametrize(
        "failure", [Overloaded("x", retry_after=1.0), CoverageTooLow("x"), Unauthorized("x")]
    )
    def test_answer_of_the_service_itself_is_final(self, failure):
        """An overloaded service refuses; asking every instance in turn would add to its load."""
        session, adapter, _ = make(
            lambda a, kind, b: route("a", "b") if kind == "route" else failure
        )
        with pytest.raises(type(failure)):
            session.search("finder", {})
        assert adapter.addresses("search") == ["a"]

    def test_second_address_gets_only_what_is_left_of_the_deadline(self):
        def reply(address, kind, body):
            if kind == "route":
                return route("a", "b")
            if address == "a":
                clock.now += 0.75
                return NoReply("x")
            return ANSWER

        session, adapter, clock = make(reply)
        session.search("finder", {}, deadline=1.0)
        assert [body.deadline for _, kind, body in adapter.sent if kind == "search"] == [1.0, 0.25]


class TestBookings:
    def test_token_goes_on_only_where_it_was_not_run(self):
        def reply(address, kind, body):
            if kind == "route":
                return route("a", "b")
            if address == "a":
                return NotConnected("x")
            return BookingOutcome(body.token, OutcomeState.BOOKED)

        session, adapter, _ = make(reply)
        assert session.book("finder", 0, {}).state == OutcomeState.BOOKED
        tokens = [body.token for _, kind, body in adapter.sent if kind == "bookings"]
        assert adapter.addresses("bookings") == ["a", "b"]
        assert len(set(tokens)) == 1

    def test_booking_without_a_reply_is_looked_up_and_never_sent_again(self):
        """A dispatcher's connection breaks after the booking was sent.

        Sent again elsewhere it might run twice and put two trucks at one bay; so the session asks
        for its outcome instead.
        """

        def reply(address, kind, body):
            if kind == "route":
                return route("a", "b")
            if kind == "bookings":
                return NoReply("x")
            return BookingOutcome("t", OutcomeState.BOOKED)

        session, adapter, _ = make(reply)
        assert session.book("finder", 0, {}).state == OutcomeState.BOOKED
        assert adapter.addresses("bookings") == ["a"]
        assert adapter.addresses("look-up") == ["a"]

    @pytest.mark.parametrize("refusal", [InstanceBusy("x"), NotConnected("x"), Unauthorized("x")])
    def test_refused_look_up_proves_nothing_about_the_booking(self, refusal):
        """The booking went out without a reply, and then every look-up is refused.

        The refusal is about the look-up; passed on as it is, it would read as "not run".
        """

        def reply(address, kind, body):
            if kind == "route":
                return route("a", "b")
            return NoReply("x") if kind == "bookings" else refusal

        session, _, _ = make(reply)
        with pytest.raises(OutcomeUnknown) as caught:
            session.book("finder", 0, {})
        assert caught.value.details["token"]
