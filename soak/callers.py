"""Callers that keep their connections open, and what became of each of their requests."""

import http.client
import threading
import time
from dataclasses import dataclass
from enum import Enum
from random import Random

from soak.world import CRASHING, World, request_header
from tests.support.platforms import HOST

# Seconds that callers wait; the routes allow as much.
DEADLINE_SECONDS = 1.5
_PAUSE_SECONDS = (0.01, 0.06)
_RESOLVE_SECONDS = 1.0
# Callers that don't pause keep their addresses for longer than instances take to stop.
_LONG_RESOLVE_SECONDS = 5.0
# Seconds between two tries of a request that ends its searchers.
_CRASHING_PAUSE_SECONDS = 0.7


class Kind(Enum):
    """Kinds of requests."""

    SEARCH = "/find/x"
    BOOKING = "/get/x"
    LOOK_UP = ""
    CRASHING = f"/find/{CRASHING}"


@dataclass(slots=True, frozen=True)
class Outcome:
    """What became of a request.

    Attributes:
        request: Its id.
        kind: Its kind.
        path: Its path.
        instance: Index of the instance that was asked.
        begun: When it was sent.
        ended: When the answer was whole, or the connection broke.
        status: The answer's status; None without an answer.
        headers: The answer's headers, names in lower case.
        body: The answer's body.
        kept: Whether the connection had carried a request before.
        key: The key that it carried; None where no key is needed.
    """

    request: str
    kind: Kind
    path: str
    instance: int
    begun: float
    ended: float
    status: int | None
    headers: dict[str, str]
    body: bytes
    kept: bool
    key: str | None = None


class Caller(threading.Thread):
    """Sends one request after the other until told to stop.

    Args:
        name: Makes its request ids unlike those of others.
        world: The system.
        rng: Draws what it does.
        outcomes: Takes each outcome.
        pauses: Whether it waits a moment between an answer and its next request; where there is
            no answer it always does.
        team: The team whose keys it sends; None where no key is needed.
    """

    def __init__(
        self,
        name: str,
        world: World,
        rng: Random,
        outcomes: list[Outcome],
        *,
        pauses: bool = True,
        team: str | None = None,
    ) -> None:
        super().__init__(daemon=True)
        self._team = team
        self._pauses = pauses
        self._name = name
        self._world = world
        self._rng = rng
        self._outcomes = outcomes
        self._connections: dict[int, http.client.HTTPConnection] = {}
        self._addresses: list[str] = []
        self._resolved_at = float("-inf")
        self.stopping = threading.Event()

    def run(self) -> None:
        """Send requests until told to stop."""
        number = 0
        while not self.stopping.is_set():
            index = self._choose()
            answered = False
            if index is not None:
                number += 1
                outcome = self._ask(f"{self._name}-{number}", index)
                self._outcomes.append(outcome)
                answered = outcome.status is not None
            if self._pauses or not answered:
                time.sleep(self._rng.uniform(*_PAUSE_SECONDS))

    def _choose(self) -> int | None:
        """Return an instance that a directory names; None where no directory answers."""
        now = time.monotonic()
        kept = _RESOLVE_SECONDS if self._pauses else _LONG_RESOLVE_SECONDS
        if now - self._resolved_at > kept:
            self._addresses = self._resolve() or self._addresses
            self._resolved_at = now
        by_address = {each.address: n for n, each in enumerate(self._world.instances)}
        named = [by_address[address] for address in self._addresses if address in by_address]
        return self._rng.choice(named) if named else None

    def _resolve(self) -> list[str]:
        for instance in self._rng.sample(self._world.instances, len(self._world.instances)):
            try:
                return instance.process.addresses()
            except Exception:  # noqa: S112 - a dead directory; the next one is asked
                continue
        return []

    def _kind(self) -> Kind:
        return self._rng.choice((Kind.SEARCH, Kind.SEARCH, Kind.BOOKING, Kind.LOOK_UP))

    def _ask(self, request: str, index: int) -> Outcome:
        kind = self._kind()
        path = kind.value or f"{self._rng.choice(self._world.routes)[0]}x"
        kept = index in self._connections
        connection = self._connections.pop(index, None) or self._connect(index)
        key = None if self._team is None else self._world.keys.choose(self._team, self._rng)
        begun = time.monotonic()
        status, headers, body = None, {}, b""
        try:
            method = "POST" if kind is Kind.BOOKING else "GET"
            sent = {"Host": HOST, **request_header(request, DEADLINE_SECONDS)}
            if key is not None:
                sent["Authorization"] = f"Token {key}"
            connection.request(method, path, b"bay" if method == "POST" else None, sent)
            reply = connection.getresponse()
            body = reply.read()
            status = reply.status
            headers = {name.lower(): value for name, value in reply.getheaders()}
            if reply.will_close:
                connection.close()
            else:
                self._connections[index] = connection
        except (OSError, http.client.HTTPException):
            connection.close()
        ended = time.monotonic()
        return Outcome(request, kind, path, index, begun, ended, status, headers, body, kept, key)

    def _connect(self, index: int) -> http.client.HTTPConnection:
        port = self._world.instances[index].process.front
        return http.client.HTTPConnection("127.0.0.1", port, timeout=2 * DEADLINE_SECONDS)


class CrashingCaller(Caller):
    """Sends the same request again and again, which ends each searcher that runs it."""

    def run(self) -> None:
        """Send it until told to stop, and see to it that searchers come back."""
        number = 0
        while not self.stopping.wait(_CRASHING_PAUSE_SECONDS):
            index = self._choose()
            if index is not None:
                number += 1
                self._outcomes.append(self._ask(f"{self._name}-{number}", index))
            self._world.restart_ended()

    def _kind(self) -> Kind:
        return Kind.CRASHING
