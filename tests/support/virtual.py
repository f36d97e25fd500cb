"""A virtual clock and a dispatch without a network, to play requests in microseconds."""

import heapq
import itertools
from collections.abc import Callable
from random import Random

from limpethollow_node.engine.connection.clients import LostConnection
from limpethollow_node.engine.messages import Reply, Request
from limpethollow_node.engine.process.pools import Call
from limpethollow_node.engine.process.quarantines import Quarantines
from limpethollow_node.platform.headers import HEADERS
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.fleets import Fleet
from limpethollow_policy.process.homes import Regions
from limpethollow_policy.process.isolation import Isolation
from limpethollow_policy.process.searchers import Replica, Searcher
from limpethollow_policy.process.sendbudgets import SendBudget
from limpethollow_policy.process.timings import (
    AnswerDelayEstimator,
    CallPaceEstimator,
    RouteTimings,
)
from limpethollow_policy.request.permits import UNRESTRICTED
from limpethollow_policy.version.routes import Route, RoutingVersion


class Timer:
    """A callback that can be cancelled."""

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback
        self.cancelled = False

    def cancel(self) -> None:
        """Drop the callback, as the handles of event loops do."""
        self.cancelled = True
        self.callback = None


class VirtualLoop:
    """Has the clock of an event loop, moved by hand."""

    def __init__(self) -> None:
        self.now = 100.0
        self._timers: list[tuple[float, int, Timer]] = []
        self._order = itertools.count()

    def time(self) -> float:
        return self.now

    def call_at(self, when: float, callback: Callable[[], None]) -> Timer:
        timer = Timer(callback)
        heapq.heappush(self._timers, (when, next(self._order), timer))
        return timer

    def call_later(self, delay: float, callback: Callable[[], None]) -> Timer:
        return self.call_at(self.now + delay, callback)

    def run(self, until: float) -> None:
        """Run all timers up to a second."""
        while self._timers and self._timers[0][0] <= until:
            when, _, timer = heapq.heappop(self._timers)
            self.now = max(self.now, when)
            if not timer.cancelled:
                timer.callback()
        self.now = max(self.now, until)


class VirtualDispatch:
    """Stands for the engine's dispatch; `played` has all calls that were sent."""

    def __init__(self, slack: float = 56.0, loop: VirtualLoop | None = None) -> None:
        self.loop = loop or VirtualLoop()
        self.clock = self.loop.time
        self.isolation = Isolation()
        self.own_delay = AnswerDelayEstimator()
        self.own_pace = CallPaceEstimator()
        self.fleet = Fleet("a", Random(1))
        self.budget = SendBudget(0.2, slack, 10.0)
        self.names = HEADERS
        self.delegated_permit = lambda *_, **__: UNRESTRICTED
        self.metrics = Metrics()
        self.regions = Regions()
        self.quarantines = Quarantines(self.metrics, self.loop.time)
        self.played: list[tuple[Replica, Call]] = []
        self.on_send: Callable[[Replica, Call], None] = lambda replica, call: None
        self._timings: dict[str, RouteTimings] = {}

    def timings(self, route: Route) -> RouteTimings:
        return self._timings.setdefault(route.name, RouteTimings(route.objective))

    def send(self, replica: Replica, call: Call) -> None:
        self.played.append((replica, call))
        self.on_send(replica, call)

    def use_version(self, version: RoutingVersion) -> None:
        """Take over the limits of a new version: there are none to take over."""

    def add(self, service: str, name: str, domain: str = "a") -> Searcher:
        searcher = Searcher(name, service, "10.0.0.1:80", domain, 2)
        self.fleet.put(searcher, self.loop.time())
        return searcher


def reply_of(
    call: Call,
    status: int = 200,
    *,
    request_id: bytes = b"r1",
    not_run: bool = False,
    proof: bytes = b"proof",
):
    """Let a call get a reply, as if its bytes had gone out."""
    headers = [(HEADERS.request_id, request_id)]
    if not_run:
        headers.append((HEADERS.not_run, b"1"))
    else:
        headers.append((HEADERS.proof, proof))
    call.sent = True
    call.on_reply(Reply(status, headers, b"body"))


def break_of(call: Call, *, sent: bool):
    """Let a call end without a reply."""
    call.sent = sent
    call.on_failed(ConnectionResetError("reset"))


def lose(call: Call):
    """Let a call's connection end after the request was sent, as when its searcher crashes."""
    call.sent = True
    call.on_failed(LostConnection("ended"))


def request(method: bytes = b"GET", target: bytes = b"/x") -> Request:
    return Request(method, target, [(b"Host", b"h"), (HEADERS.request_id, b"r1")])


def route(**fields) -> Route:
    usual = {
        "name": "r",
        "host": "h",
        "prefix": "/",
        "idempotent": True,
        "timeout": 2.0,
        "objective": 0.1,
        "attempts": 2,
    }
    return Route(**{**usual, **fields})
