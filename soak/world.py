"""The system under soak: a store, searchers, instances, and what lies between them."""

import threading
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b
from pathlib import Path
from random import Random

from soak.teams import KEY_MARK, KeyRing
from tests.standins.backends import (
    RECORD_BYTES,
    REQUEST_ID,
    Answer,
    BackendStandIn,
    Crash,
    Cut,
    Doubled,
    Hang,
    Reset,
    Seen,
)
from tests.standins.objectstore import ObjectStoreStandIn
from tests.standins.proxy import ProxyStandIn
from tests.support.platforms import PlatformInstance, configuration, forward_route, search_route

SHARDS = [f"finder-{number}" for number in range(6)]
DESK = "desk"
ZONES = ("zone-a", "zone-b", "zone-c")
TOP = 4
# Seconds of work of a call: usual, and while a searcher is slow.
USUAL_WORK, SLOW_WORK = 0.008, 0.12
# What the path of a request ends with that ends each searcher which runs it.
CRASHING = "crash"
# Seconds until a searcher that has ended runs again, under another id.
_RESTART_SECONDS = 0.4
# Shares of requests that a shedding searcher refuses, and of its replies that it sends twice, the
# second one up to so many seconds later.
_SHED_SHARE, _DOUBLED_SHARE, _LATEST_SECONDS = 0.45, 0.2, 0.04
# A second reply that nobody asked for.
FOREIGN_BYTES = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"


class Mood(Enum):
    """How a searcher behaves."""

    WELL = "well"
    SLOW = "slow"
    HANGS = "hangs"
    CUTS = "cuts"
    RESETS = "resets"
    REFUSES = "refuses"
    GARBLES = "garbles"
    ADDS_BYTES = "adds bytes"
    DOUBLES = "sheds and doubles"


@dataclass(slots=True, frozen=True)
class Run:
    """A request that a searcher began to work on."""

    request: str
    service: str
    searcher: str
    at: float
    # The team that the searcher was told, and whether a key was in any part of the request.
    team: str | None = None
    has_key: bool = False


def records_of(shard: str, request: str) -> list[bytes]:
    """Return a shard's records for a request; no two requests have any in common."""
    return [
        blake2b(f"{shard}/{request}/{number}".encode(), digest_size=RECORD_BYTES).digest()
        for number in range(TOP)
    ]


class SoakSearcher:
    """A searcher whose mood faults change.

    Args:
        service: Its service.
        name: Its id.
        zone: Where it runs.
        runs: Takes each request that it begins to work on.
    """

    def __init__(self, service: str, name: str, zone: str, runs: list[Run]) -> None:
        self.mood = Mood.WELL
        self.proxy: ProxyStandIn | None = None
        self._runs = runs
        self._starts = 1
        self._rng = Random(name)
        self._first_name = name
        self.backend = BackendStandIn(service, name, zone=zone, answer=self._answer)

    def entry(self, **fields: object) -> dict[str, object]:
        """Return what it writes to the store about itself; callers reach it through its proxy."""
        return {**self.backend.entry(), "addr": self.proxy.entry_address, **fields}

    def start_again(self) -> None:
        """Run again after an end, under another id and behind the same proxy."""
        self._starts += 1
        ended = self.backend
        name = f"{self._first_name}r{self._starts}"
        self.backend = BackendStandIn(ended.service, name, zone=ended.zone, answer=self._answer)
        self.backend.__enter__()
        host, _, port = self.backend.address.rpartition(":")
        self.proxy.target = (host, int(port))

    def _answer(self, backend: BackendStandIn, seen: Seen) -> Answer:
        mood = self.mood
        if mood is Mood.DOUBLES:
            return self._double(backend, seen)
        if mood is Mood.REFUSES:
            return backend.refusal(seen)
        self._runs.append(_run(backend, seen))
        time.sleep(SLOW_WORK if mood is Mood.SLOW else USUAL_WORK)
        if seen.target.endswith(CRASHING):
            return Crash()
        if mood is Mood.HANGS:
            return Hang()
        if mood is Mood.CUTS:
            return Cut()
        if mood is Mood.RESETS:
            return Reset(b"HTTP/1.1 200 OK\r\nContent-Le")
        if mood is Mood.GARBLES:
            return b"\x00\x01 this is no reply\r\n\r\n"
        whole = backend.success(seen, body=self._body(seen))
        return whole + FOREIGN_BYTES if mood is Mood.ADDS_BYTES else whole

    def _double(self, backend: BackendStandIn, seen: Seen) -> Answer:
        """Refuse some requests and run the others, and send some of the replies twice."""
        if self._rng.random() < _SHED_SHARE:
            reply = backend.refusal(seen)
        else:
            self._runs.append(_run(backend, seen))
            time.sleep(USUAL_WORK)
            reply = backend.success(seen, body=self._body(seen))
        if self._rng.random() < _DOUBLED_SHARE:
            return Doubled(reply, self._rng.uniform(0.0, _LATEST_SECONDS))
        return reply

    def _body(self, seen: Seen) -> bytes:
        if self.backend.service == DESK:
            return desk_body(self.backend.name, seen.id)
        return b"".join(reversed(records_of(self.backend.service, seen.id)))


def _run(backend: BackendStandIn, seen: Seen) -> Run:
    parts = (seen.target, *seen.headers.values(), seen.body.decode("latin-1"))
    return Run(
        seen.id,
        backend.service,
        backend.name,
        time.monotonic(),
        seen.headers.get("x-limpethollow-tenant"),
        any(KEY_MARK in part for part in parts),
    )


def desk_body(searcher: str, request: str) -> bytes:
    """Return what a desk's searcher answers to a booking."""
    return f"{searcher} booked {request}".encode()


@dataclass(slots=True)
class Disturbed:
    """Spans of time in which something was disturbed, in monotonic seconds."""

    spans: list[list[float]] = field(default_factory=list)

    @contextmanager
    def span(self) -> Iterator[None]:
        """Count the time of a block as disturbed."""
        span = [time.monotonic(), float("inf")]
        self.spans.append(span)
        try:
            yield
        finally:
            span[1] = time.monotonic()

    def touches(self, start: float, end: float) -> bool:
        """Return whether a span overlaps a time."""
        return any(begun <= end and over >= start for begun, over in self.spans)


class SoakInstance:
    """An instance, its way to the store, and when it was disturbed."""

    def __init__(self, process: PlatformInstance, proxy: ProxyStandIn) -> None:
        self.process = process
        self.proxy = proxy
        self.rough = Disturbed()
        self.stopped = Disturbed()
        self._claimed = threading.Lock()

    @property
    def zone(self) -> str:
        """Return its failure domain."""
        return self.process.settings["zone"]

    @contextmanager
    def claim(self) -> Iterator[bool]:
        """Say whether no other fault has the process in hand, and keep it for a block."""
        if not self._claimed.acquire(blocking=False):
            yield False
            return
        try:
            yield True
        finally:
            self._claimed.release()

    @property
    def address(self) -> str:
        """Return where callers connect."""
        return f"127.0.0.1:{self.process.front}"


class World:
    """Starts everything, and ends it.

    Usage:
        with World(folder, instances=3) as world:
            world.instances[0].process.kill()

    Args:
        folder: Where settings and logs go.
        instances: How many instances.
        keys: Keys of the teams that callers belong to; None where no key is needed.
    """

    def __init__(self, folder: Path, instances: int, keys: KeyRing | None = None) -> None:
        self.keys = keys
        self._folder = folder
        self._count = instances
        self._stack = ExitStack()
        self.runs: list[Run] = []
        self.store = ObjectStoreStandIn()
        self.searchers: list[SoakSearcher] = []
        self.instances: list[SoakInstance] = []
        self.store_rough = Disturbed()
        self.drained: dict[str, float] = {}
        self.routes: list[tuple[str, float]] = []
        self._version = 0
        # A version that is written late must not bring back a key that another one removed.
        self._writing = threading.Lock()

    def __enter__(self) -> "World":
        self._stack.enter_context(self.store)
        for service in (*SHARDS, DESK):
            for number in range(2):
                self._start_searcher(service, number)
        self.configure()
        for number in range(self._count):
            self._start_instance(number)
        for instance in self.instances:
            instance.process.wait_ready()
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    def configure(self) -> None:
        """Write the next version; each adds a route to the desk."""
        with self._writing:
            self._write_version()

    def restart_ended(self) -> None:
        """Start the searchers again that have ended, a moment later."""
        ended = [searcher for searcher in self.searchers if searcher.backend.ended]
        if not ended:
            return
        time.sleep(_RESTART_SECONDS)
        for searcher in ended:
            self.store.take_away("servers", searcher.backend.name)
            is_leaving = searcher.backend.name in self.drained
            searcher.start_again()
            self._stack.callback(searcher.backend.__exit__)
            if not is_leaving:
                self.store.put("servers", searcher.backend.name, searcher.entry())

    def drain(self, searcher: SoakSearcher) -> None:
        """Let a searcher say that it leaves."""
        self.store.put("servers", searcher.backend.name, searcher.entry(state="draining"))
        self.drained[searcher.backend.name] = time.monotonic()

    def _write_version(self) -> None:
        self._version += 1
        prefix = f"/extra-{self._version}/"
        routes = [
            search_route(SHARDS, topK=TOP, timeoutMs=1500, sloMs=200),
            forward_route(DESK, type="unsafe", timeoutMs=1500),
            *(
                forward_route(DESK, name=f"extra-{number}", pathPrefix=f"/extra-{number}/")
                for number in range(1, self._version + 1)
            ),
        ]
        version = configuration(self._version, *routes)
        if self.keys is not None:
            version["tenants"] = self.keys.to_configuration()
        self.store.put("config", "main", version)
        self.routes.append((prefix, time.monotonic()))

    def _start_searcher(self, service: str, number: int) -> None:
        zone = ZONES[(hash_of(service) + number) % len(ZONES)]
        searcher = SoakSearcher(service, f"{service}-s{number}", zone, self.runs)
        self._stack.enter_context(searcher.backend)
        searcher.proxy = self._proxy(searcher.backend.address)
        self.searchers.append(searcher)
        self.store.put("servers", searcher.backend.name, searcher.entry())

    def _start_instance(self, number: int) -> None:
        proxy = self._proxy(self.store.address)
        zone = ZONES[number % len(ZONES)]
        process = PlatformInstance(f"front-{number}", proxy.entry_address, self._folder, zone)
        process.settings["bounds"] = {"drainMs": 3000, "graceS": 4, "configApplyMs": 3000}
        if self.keys is not None:
            process.settings["bounds"] |= self.keys.bounds.to_settings()
        self._stack.enter_context(process)
        self.instances.append(SoakInstance(process, proxy))

    def _proxy(self, target: str) -> ProxyStandIn:
        proxy = ProxyStandIn(target)
        threading.Thread(target=proxy.accept, daemon=True).start()
        self._stack.callback(proxy.entry.close)
        return proxy


def hash_of(name: str) -> int:
    """Return a number for a name that is the same in each run."""
    return blake2b(name.encode(), digest_size=2).digest()[0]


def request_header(request: str, seconds: float) -> dict[str, str]:
    """Return the headers of a caller's request."""
    return {REQUEST_ID: request, "X-Limpethollow-Deadline-Ms": str(int(seconds * 1000))}
