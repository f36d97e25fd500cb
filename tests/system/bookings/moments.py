"""The moments of a booking at which a fault may strike, registered by their name."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from tests.support.processes import wait_for
from tests.system.bookings.bench import Answer, Bench

Moment = Callable[[Bench, str], Iterator[tuple[Answer | None, str]]]
_MOMENTS: dict[str, Callable] = {}


def moment(name: str) -> Callable[[Moment], Moment]:
    """Register a moment: a context in which the booking is held there.

    It yields the caller's answer, None where the booking is not sent yet, and the searcher that has
    the booking, the first one where none has.
    """

    def register(hold: Moment) -> Moment:
        _MOMENTS[name] = contextmanager(hold)
        return hold

    return register


def held(name: str, bench: Bench, token: str):
    """Hold a booking at a moment."""
    return _MOMENTS[name](bench, token)


@moment("before forward")
def _before_forward(bench: Bench, token: str):
    yield None, "s0"


@moment("after forward")
def _after_forward(bench: Bench, token: str):
    bench.link.control(hold_requests=True)
    answer = bench.book(token)
    wait_for(lambda: bench.link.stats()["held"], "forward is held")
    yield answer, "s0"


@moment("before dispatch")
def _before_dispatch(bench: Bench, token: str):
    bench.fill_slots()
    before = bench.accepted()
    answer = bench.book(token)
    wait_for(lambda: bench.accepted() > before, "executor has the booking")
    yield answer, "s0"


@moment("after the request's bytes")
def _after_bytes(bench: Bench, token: str):
    yield from _at_searcher(bench, token, "read")


@moment("after execution")
def _after_execution(bench: Bench, token: str):
    yield from _at_searcher(bench, token, "executed")


@moment("before the caller's answer")
def _before_answer(bench: Bench, token: str):
    bench.link.control(hold_replies=True)
    answer = bench.book(token)
    wait_for(lambda: bench.link.stats()["held"], "reply is held")
    yield answer, "s0"


def _at_searcher(bench: Bench, token: str, step: str):
    bench.hold_searchers(step)
    answer = bench.book(token)
    yield answer, wait_for(lambda: bench.holder(step), f"booking is held at '{step}'")
