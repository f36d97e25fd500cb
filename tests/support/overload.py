"""Callers, instances and searchers on a virtual clock, to play loads that are too much for them.

The instances run the engine's own code, from a request's arrival to its answer. What stands outside
is modelled: searchers with slots, a short queue and pauses, and callers that come back once after a
refusal.
"""

import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from limpethollow_node.engine.connection.carried import CarriedRequests
from limpethollow_node.engine.messages import Reply, Request
from limpethollow_node.engine.process.engine import Engine
from limpethollow_node.engine.process.pools import Call
from limpethollow_node.platform.headers import HEADERS
from limpethollow_policy.process.searchers import Replica
from limpethollow_policy.version.routes import (
    CallerLimits,
    CurrentVersion,
    Route,
    RoutingVersion,
    WeightedService,
)
from tests.support.searches import NoDesk, VirtualExchange
from tests.support.virtual import VirtualDispatch, VirtualLoop

# One way between a caller and an instance, and between an instance and a searcher, in seconds.
CALLER_WAY = 0.003
SEARCHER_WAY = 0.001
# Statuses that promise that a request has not run.
_REFUSALS = (429, 503)
NOT_RUN = [(HEADERS.not_run, b"1")]


@dataclass(slots=True, frozen=True)
class Kind:
    """One kind of request.

    Attributes:
        route: Its route.
        share: Its share of all requests.
        work: Mean seconds of a searcher's work on it.
    """

    route: Route
    share: float
    work: float


@dataclass(slots=True, frozen=True)
class World:
    """What is played.

    Attributes:
        shards: Shards of a search.
        replicas: Searchers of each shard.
        slots: Calls that a searcher works on at once.
        queue: Calls that wait at a searcher before it refuses.
        instances: Instances that take callers.
        rate: Searches a second in calm times.
        pause: Seconds that a searcher pauses now and then.
        pause_every: Mean seconds between two pauses.
        slow: Share of the searchers that are slow during the burst.
        slow_factor: How much longer they take.
        slow_instances: How many instances have little processor during the burst.
        instance_delay: Seconds by which these take each request up late.
        repeats: How often a caller comes back after a refusal.
        patient: Whether callers come back when they were told to, or at once.
        single: Whether each request goes to one searcher of one service, whose searchers these
            `replicas` are, instead of to all shards.
        tells_load: Whether searchers say in their replies how many calls they have.
    """

    shards: int = 20
    replicas: int = 2
    slots: int = 2
    queue: int = 12
    instances: int = 6
    rate: float = 45.0
    pause: float = 0.15
    pause_every: float = 3.6
    slow: float = 0.0
    slow_factor: float = 4.0
    slow_instances: int = 0
    instance_delay: float = 0.2
    repeats: int = 1
    patient: bool = True
    single: bool = False
    tells_load: bool = False

    @property
    def services(self) -> list[str]:
        """Return the names of the services that the searchers belong to."""
        return ["desk"] if self.single else [f"s-{number}" for number in range(self.shards)]

    def kinds(self) -> list[Kind]:
        """Return the kinds of request: one wide and slow, one quick; or single ones."""
        if self.single:
            targets = (WeightedService("desk"),)
            desk = Route("single", "h", "/single/", True, 6.0, 0.55, 2, targets=targets)
            return [Kind(desk, 1.0, 0.135)]
        shards = tuple(self.services)

        def route(name: str, timeout: float, objective: float, floor: float) -> Route:
            prefix = f"/{name}/"
            return Route(
                name, "h", prefix, True, timeout, objective, 3, shards=shards, top=5, floor=floor
            )

        return [
            Kind(route("wide", 0.8, 0.145, 0.89), 0.75, 0.0225),
            Kind(route("quick", 0.3, 0.068, 0.75), 0.25, 0.0075),
        ]


class ModelSearcher:
    """A searcher: runs `slots` calls at once, lets some wait, refuses the rest, pauses at times."""

    def __init__(self, world: World, loop: VirtualLoop, rng: Random, name: str) -> None:
        self._world = world
        self._loop = loop
        self._rng = rng
        self._name = name
        self._speed = rng.choice((0.8, 1.0, 1.3))
        self._running: set[ModelConnection] = set()
        self._queue: deque[ModelConnection] = deque()
        self._paused_until = 0.0
        self.slowness = 1.0
        self.worked = 0.0
        self._plan_pause()

    def _plan_pause(self) -> None:
        self._loop.call_later(self._rng.expovariate(1 / self._world.pause_every), self._pause)

    def _pause(self) -> None:
        self._paused_until = self._loop.time() + self._world.pause
        self._loop.call_at(self._paused_until, self._work)
        self._plan_pause()

    def take(self, connection: "ModelConnection") -> None:
        """Take a call in."""
        if connection.closed:
            return
        if len(self._running) >= self._world.slots and len(self._queue) >= self._world.queue:
            self._loop.call_later(SEARCHER_WAY, lambda: connection.reply(503, NOT_RUN))
            return
        self._queue.append(connection)
        self._work()

    def forget(self, connection: "ModelConnection") -> None:
        """Stop work on a call whose connection was closed."""
        if connection in self._running:
            self._running.discard(connection)
            self._work()
        elif connection in self._queue:
            self._queue.remove(connection)

    def _work(self) -> None:
        if self._loop.time() < self._paused_until:
            return
        while self._queue and len(self._running) < self._world.slots:
            connection = self._queue.popleft()
            self._running.add(connection)
            spread = self._rng.lognormvariate(-0.06, 0.35)
            tail = 5.0 if self._rng.random() < 0.01 else 1.0
            seconds = connection.work * spread * tail * self._speed * self.slowness
            self.worked += seconds
            end = max(self._loop.time(), self._paused_until) + seconds
            self._loop.call_at(end, lambda done=connection: self._done(done))

    def _done(self, connection: "ModelConnection") -> None:
        if connection not in self._running:
            return
        pause_left = self._paused_until - self._loop.time()
        if pause_left > 0:
            self._loop.call_later(pause_left, lambda: self._done(connection))
            return
        self._running.discard(connection)
        proof = b"%b.%b" % (self._name.encode(), connection.request_id)
        reply = [(HEADERS.proof, proof)]
        if self._world.tells_load:
            load = b"%d,%d,%d" % (len(self._running), len(self._queue), self._world.slots)
            reply.append((HEADERS.load, load))
        self._loop.call_later(SEARCHER_WAY, lambda: connection.reply(200, reply))
        self._work()


class ModelConnection:
    """The connection of one call; closing it ends the searcher's work."""

    def __init__(self, searcher: ModelSearcher, loop: VirtualLoop, kinds: list[Kind]) -> None:
        self._searcher = searcher
        self._loop = loop
        self._kinds = kinds
        self._on_reply: Callable[[Reply], None] | None = None
        self.closed = False
        self.work = 0.0
        self.request_id = b""
        self.carried = CarriedRequests()
        self.was_used = False
        self.reply_started = False

    def send(
        self, data: bytes, on_reply, on_broken, *, head: bool, body=b"", may_send=None
    ) -> None:
        """Take a request's bytes."""
        self._on_reply = on_reply
        target = data.split(b" ", 2)[1].decode()
        self.work = next(k.work for k in self._kinds if target.startswith(k.route.prefix))
        lines = data.split(b"\r\n")
        name = HEADERS.request_id.lower()
        self.request_id = next(
            line.split(b": ")[1] for line in lines if line.lower().startswith(name)
        )
        self._loop.call_later(SEARCHER_WAY, lambda: self._searcher.take(self))

    def close(self) -> None:
        self.closed = True
        self._loop.call_later(SEARCHER_WAY, lambda: self._searcher.forget(self))

    def reply(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        if not self.closed:
            own = [(HEADERS.request_id, self.request_id), *headers]
            self._on_reply(Reply(status, own, b"0123456789abcdef"))


class ModelInstance:
    """An instance: the engine over a dispatch of its own."""

    def __init__(self, world: World, loop: VirtualLoop, searchers: dict[str, ModelSearcher]):
        kinds = world.kinds()
        self._loop = loop
        self.delay = 0.0
        self.dispatch = VirtualDispatch(slack=52.0, loop=loop)
        self.dispatch.budget.share_among(world.instances, 0.0)
        for name in searchers:
            self.dispatch.add(name.rpartition("/")[0], name)

        def carry(replica: Replica, call: Call) -> None:
            call.write_to(ModelConnection(searchers[replica.searcher.id], loop, kinds))

        self.dispatch.on_send = carry
        self.engine = Engine(self.dispatch, CurrentVersion())
        self.engine.desk = NoDesk()
        routes = tuple(kind.route for kind in kinds)
        self.engine.use_version(RoutingVersion(1, routes, {}, CallerLimits()))

    def take(self, exchange: VirtualExchange) -> None:
        """Take a caller's request, late where the instance has little processor."""
        exchange.arrived_at = self._loop.time()
        self._loop.call_later(self.delay, lambda: self.engine.handle(exchange))


class ModelCaller:
    """One request of a caller and its repeats."""

    def __init__(self, load: "Load", kind: Kind) -> None:
        self._load = load
        self._kind = kind
        self._began = load.loop.time()
        self._left = load.world.repeats
        self._over = False
        self._exchange: VirtualExchange | None = None
        load.loop.call_later(kind.route.timeout, self._leave)
        self._try()

    def _try(self) -> None:
        if self._over:
            return
        loop = self._load.loop
        left = self._kind.route.timeout - (loop.time() - self._began)
        number = b"%d" % next(self._load.numbers)
        headers = [
            (b"Host", b"h"),
            (HEADERS.request_id, number),
            (HEADERS.time_left, b"%d" % int(left * 1000)),
        ]
        request = Request(b"GET", self._kind.route.prefix.encode() + b"x", headers)
        exchange = self._exchange = VirtualExchange(request, 0.0)
        exchange.on_reply = lambda reply: loop.call_later(CALLER_WAY, lambda: self._replied(reply))
        instance = self._load.rng.choice(self._load.instances)
        loop.call_later(CALLER_WAY, lambda: instance.take(exchange))

    def _replied(self, reply: Reply) -> None:
        if self._over:
            return
        now = self._load.loop.time()
        took = now - self._began
        if reply.status == 200:
            missing = int(reply.header(HEADERS.missing_parts) or 0)
            share = 1 - missing / max(1, len(self._kind.route.shards))
            self._end("in_time" if took <= self._kind.route.objective else "late", share**2)
        elif self._left > 0:
            self._left -= 1
            self._load.counts["repeats"] += 1
            told = float(reply.header(b"retry-after") or 0) if self._load.world.patient else 0.0
            self._load.loop.call_later(min(told, (self._kind.route.timeout - took) / 3), self._try)
        else:
            self._end("refused" if reply.status in _REFUSALS else "failed", 0.0)

    def _leave(self) -> None:
        if not self._over:
            self._end("failed", 0.0)
            if self._exchange is not None and self._exchange.on_disconnect is not None:
                self._exchange.on_disconnect()

    def _end(self, how: str, worth: float) -> None:
        self._over = True
        self._load.told(self._began, how, worth)


@dataclass(slots=True)
class Tally:
    """How requests ended that began in one span of time.

    Attributes:
        asked: All of them.
        in_time: Answered within their objective.
        late: Answered after it.
        refused: Told twice that they were not run.
        failed: Without an answer by their deadline, or failed otherwise.
        worth: Sum of the squared shares of the answers in time.
    """

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    worth: float = 0.0


class Load:
    """Calm traffic, a burst, and calm traffic again.

    Args:
        world: What is played.
        times: How many times the calm traffic comes in the burst.
        burst: Seconds of the burst.
        calm: Seconds of calm traffic before it and after it.
        seed: Draws everything.
    """

    def __init__(
        self, world: World, times: float, *, burst: float = 4.0, calm: float = 2.0, seed: int = 1
    ) -> None:
        self.world = world
        self.rng = Random(seed)
        self.loop = VirtualLoop()
        self.numbers = itertools.count(1)
        self.counts = {"repeats": 0}
        self._times = times
        self._burst = burst
        self._calm = calm
        self._began = self.loop.time()
        self._tallies = {name: Tally() for name in ("before", "burst", "settling", "after")}
        self._searchers = {
            name: ModelSearcher(world, self.loop, self.rng, name) for name in _searchers_of(world)
        }
        self.instances = [
            ModelInstance(world, self.loop, self._searchers) for _ in range(world.instances)
        ]

    def play(self) -> dict[str, Tally]:
        """Play the load; return the tallies of `before`, `burst`, `settling` and `after`.

        `settling` is the first second after the burst.
        """
        self.loop.call_at(self._began + self._calm, lambda: self._trouble(True))
        self.loop.call_at(self._began + self._calm + self._burst, lambda: self._trouble(False))
        self._arrive()
        self.loop.run(self._began + 2 * self._calm + self._burst + 1.0)
        return self._tallies

    def told(self, began: float, how: str, worth: float) -> None:
        """Count how a request ended."""
        tally = self._tallies[self._phase(began)]
        tally.asked += 1
        setattr(tally, how, getattr(tally, how) + 1)
        if how == "in_time":
            tally.worth += worth

    def _phase(self, when: float) -> str:
        since = when - self._began - self._calm
        if since < 0:
            return "before"
        if since < self._burst:
            return "burst"
        return "settling" if since < self._burst + 1.0 else "after"

    def _arrive(self) -> None:
        since = self.loop.time() - self._began
        if since > 2 * self._calm + self._burst:
            return
        in_burst = self._calm <= since < self._calm + self._burst
        rate = self.world.rate * (self._times if in_burst else 1.0)
        kinds = self.world.kinds()
        kind = self.rng.choices(kinds, [kind.share for kind in kinds])[0]
        ModelCaller(self, kind)
        self.loop.call_later(self.rng.expovariate(rate), self._arrive)

    def _trouble(self, begins: bool) -> None:
        world = self.world
        slow = self.rng.sample(sorted(self._searchers), int(world.slow * len(self._searchers)))
        for name in self._searchers:
            self._searchers[name].slowness = world.slow_factor if begins and name in slow else 1.0
        for instance in self.instances[: world.slow_instances]:
            instance.delay = world.instance_delay if begins else 0.0


def _searchers_of(world: World) -> list[str]:
    return [
        f"{service}/{replica}" for service in world.services for replica in range(world.replicas)
    ]
