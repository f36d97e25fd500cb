"""Replies that come a second time, at any later moment, against a searcher that counts its runs."""

import asyncio
from collections import Counter, defaultdict
from contextlib import closing
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limpethollow_node.engine.connection.carried import CarriedRequests
from limpethollow_node.engine.messages import Request
from limpethollow_node.engine.process.pools import Call, Pool
from limpethollow_node.engine.request.attempts import Attempts
from limpethollow_node.engine.request.outgoing import Outgoing
from limpethollow_node.platform.headers import HEADERS
from limpethollow_policy.process.searchers import Replica
from limpethollow_policy.request.verdicts import Verdict
from tests.support.searches import VirtualExchange
from tests.support.virtual import VirtualDispatch, route

REFUSED = (Verdict.NOT_RUN, Verdict.NOT_SENT)
OUTCOME_SECONDS = 5.0


@dataclass(slots=True, frozen=True)
class Step:
    """What a searcher does with a request.

    Attributes:
        runs: Whether it runs the request; it refuses it otherwise.
        seconds: Further replies that it sends, each where a later one on the connection is due.
        after: Requests on the connection before which these wait.
    """

    runs: bool
    seconds: int = 0
    after: int = 1


@dataclass(slots=True)
class Booking:
    """A request that may run once, and what became of it."""

    request_id: bytes
    body: bytes
    ended: asyncio.Future[Attempts] = field(default_factory=asyncio.Future)


class ReplayingSearcher:
    """Goes through its steps, one for each request, and counts what it has run."""

    def __init__(self, steps: list[Step]) -> None:
        self._steps = iter(steps)
        self.runs: Counter[bytes] = Counter()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        late: defaultdict[int, list[bytes]] = defaultdict(list)
        number = 0
        try:
            while True:
                request_id, body = await _read(reader)
                step = next(self._steps, Step(runs=True))
                self.runs[body] += step.runs
                reply = _render(request_id, body, runs=step.runs)
                number += 1
                late[number + step.after].extend([reply] * step.seconds)
                writer.write(b"".join(late.pop(number, [])) + reply)
        except (asyncio.IncompleteReadError, ConnectionResetError):
            writer.close()


class PooledDispatch(VirtualDispatch):
    """Sends calls over real connections to one searcher."""

    def __init__(self, address: str, connections: int) -> None:
        super().__init__(loop=asyncio.get_running_loop())
        self.add("s", "i-1")
        self._pool = Pool(address, connections, lambda error: None)

    def send(self, replica: Replica, call: Call) -> None:
        self._pool.send(call)


async def _read(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:-2])
    body = await reader.readexactly(int(fields[b"content-length"]))
    return fields[HEADERS.request_id], body


def _render(request_id: bytes, body: bytes, *, runs: bool) -> bytes:
    mark = HEADERS.proof if runs else HEADERS.not_run
    status, body = (200, body) if runs else (503, b"")
    return b"HTTP/1.1 %d Status\r\n%b: %b\r\n%b: 1\r\nContent-Length: %d\r\n\r\n%b" % (
        status,
        HEADERS.request_id,
        request_id,
        mark,
        len(body),
        body,
    )


def begin(dispatch: PooledDispatch, booking: Booking) -> None:
    """Send a booking to the searcher."""
    headers = [(b"Host", b"h"), (HEADERS.request_id, booking.request_id)]
    request = Request(b"POST", b"/x", headers, booking.body)
    exchange = VirtualExchange(request, dispatch.loop.time())
    outgoing = Outgoing.of(exchange, route(idempotent=False), dispatch)
    Attempts(dispatch, outgoing, "s", booking.ended.set_result).start()


async def play(steps: list[Step], ids: list[int], connections: int) -> list[str]:
    """Play bookings; return what was wrong with them.

    Args:
        steps: What the searcher does with the requests that reach it, in order.
        ids: For each booking, the number of its id.
        connections: Connections that the searcher takes.
    """
    searcher = ReplayingSearcher(steps)
    server = await asyncio.start_server(searcher.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    # From Python 3.12 on, `async with` would wait for the connections that the pool keeps.
    with closing(server):
        dispatch = PooledDispatch(f"{host}:{port}", connections)
        bookings = [Booking(b"r%d" % id, b"b%d" % n) for n, id in enumerate(ids)]
        for booking in bookings:
            begin(dispatch, booking)
            await asyncio.wait([booking.ended], timeout=OUTCOME_SECONDS)
        return [wrong for b in bookings for wrong in faults(b, searcher.runs[b.body])]


def faults(booking: Booking, runs: int) -> list[str]:
    """Return what is wrong with the outcome of a booking that ran so many times."""
    if not booking.ended.done():
        return [f"{booking.body} has no outcome"]
    tries = booking.ended.result()
    found = []
    if runs > 1:
        found.append(f"{booking.body} ran {runs} times")
    if tries.verdict in REFUSED and not tries.may_have_run and runs:
        found.append(f"{booking.body} was refused and ran")
    if tries.verdict is Verdict.ANSWERED and tries.reply.body != booking.body:
        found.append(f"{booking.body} got {tries.reply.body}")
    return found


STEPS = st.lists(
    st.builds(Step, st.booleans(), st.integers(0, 2), st.integers(1, 3)), min_size=1, max_size=12
)
IDS = st.lists(st.integers(0, 2), min_size=1, max_size=6)
REFUSED_TWICE = [Step(runs=False, seconds=1), Step(runs=True), Step(runs=True)]
ANSWERED_TWICE = [Step(runs=True, seconds=1), Step(runs=True)]


class TestSecondReplies:
    """Guards against a late reply that is taken for the one to a later send."""

    @settings(deadline=None, max_examples=150, derandomize=True)
    @given(STEPS, IDS, st.integers(1, 3))
    def test_no_booking_runs_twice_or_gets_another_answer(self, steps, ids, connections):
        assert asyncio.run(play(steps, ids, connections)) == []

    @pytest.mark.parametrize(
        ("steps", "ids"),
        [(REFUSED_TWICE, [1]), (ANSWERED_TWICE, [1, 1])],
        ids=["refusal", "success"],
    )
    def test_a_connection_that_forgets_what_it_carried_is_found(self, steps, ids, monkeypatch):
        assert asyncio.run(play(steps, ids, 1)) == []
        monkeypatch.setattr(CarriedRequests, "__contains__", lambda self, request_id: False)
        assert asyncio.run(play(steps, ids, 1)) != []
