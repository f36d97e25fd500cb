"""Stand-in for a searcher: it runs `slots` requests at once, lets some wait, and sheds the rest."""

import select
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

REQUEST_ID = "X-Limpethollow-Request-Id"
STAMP = "X-Limpethollow-Server-Stamp"
NOT_EXECUTED = "X-Limpethollow-Not-Executed"
INSTANCE_ID = "X-Limpethollow-Instance-Id"
_EXPECTED = "x-limpethollow-expect-instance"
_DEADLINE = "x-limpethollow-deadline-ms"


@dataclass(slots=True, frozen=True)
class Received:
    """A request as it reached a searcher."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    at: float

    @property
    def id(self) -> str:
        """Return the consumer's id for the request."""
        return self.headers.get(REQUEST_ID.lower(), "")

    @property
    def seconds_left(self) -> float:
        """Return how long the sender will wait."""
        return int(self.headers.get(_DEADLINE, "10000")) / 1000


@dataclass(slots=True, frozen=True)
class Arrival:
    """What became of a request at a searcher.

    Attributes:
        request: The consumer's id for the request.
        searcher: The searcher's id.
        at: Monotonic second at which it was read.
        ran: Whether the searcher began to work on it.
    """

    request: str
    searcher: str
    at: float
    ran: bool


Choice = Callable[[Received], bool]


class Searcher:
    """One searcher.

    Usage:
        with Searcher("desk", "i-1", "zone-a", work=lambda: 0.16) as searcher:
            store.put("servers", searcher.id, searcher.entry())

    Args:
        service: Its service.
        id: Its id.
        zone: Where it says that it runs.
        slots: Requests that it runs at once.
        queue: Requests that may wait for a slot.
        work: Returns the seconds that a request takes.
        sheds: Says whether a request is refused although there is room.
        hangs: Says whether a request is never answered.
        doubles: Says whether an answer is followed by a second one, which comes late: where the
            next answer on the connection is expected, or after `double_after` seconds.
        double_after: See there.
    """

    def __init__(
        self,
        service: str,
        id: str,
        zone: str,
        *,
        slots: int = 3,
        queue: int = 12,
        work: Callable[[], float] = lambda: 0.05,
        sheds: Choice = lambda request: False,
        hangs: Choice = lambda request: False,
        doubles: Choice = lambda request: False,
        double_after: float = 0.03,
    ) -> None:
        self._service = service
        self._zone = zone
        self._slots = slots
        self._queue = queue
        self._work = work
        self._sheds = sheds
        self._hangs = hangs
        self._doubles = doubles
        self._double_after = double_after
        self._free = threading.Condition()
        self._running = 0
        self._waiting = 0
        self._open: set[socket.socket] = set()
        self.id = id
        self.arrivals: list[Arrival] = []
        self.doubled = 0

    def __enter__(self) -> "Searcher":
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *_: object) -> None:
        self.end()

    def end(self) -> None:
        """Exit: the listener and all connections close."""
        for each in (self._listener, *tuple(self._open)):
            try:
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self._listener.close()

    def entry(self, **fields: object) -> dict[str, object]:
        """Return what it writes to the store about itself."""
        host, port = self._listener.getsockname()
        return {
            "service": self._service,
            "addr": f"{host}:{port}",
            "zone": self._zone,
            "version": "v1",
            "slots": self._slots,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
            "born": 1,
            **fields,
        }

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self._open.add(connection)
            threading.Thread(target=self._serve, args=[connection], daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = connection.makefile("rb")
        try:
            while (request := _read(stream)) is not None:
                answer = self._answer(connection, request)
                if answer is None:
                    return
                connection.sendall(answer)
                if self._doubles(request):
                    self.doubled += 1
                    select.select([connection], [], [], self._double_after)
                    connection.sendall(answer)
        except OSError:
            return
        finally:
            self._open.discard(connection)
            connection.close()

    def _answer(self, connection: socket.socket, request: Received) -> bytes | None:
        if request.path == "/health":
            return _render(200, {INSTANCE_ID: self.id})
        if request.headers.get(_EXPECTED, self.id) != self.id:
            return self._reject(request, 421)
        if self._sheds(request) or not self._take_slot(request):
            return self._reject(request, 503)
        try:
            self.arrivals.append(Arrival(request.id, self.id, request.at, ran=True))
            if self._hangs(request):
                _wait_until_closed(connection)
                return None
            time.sleep(self._work())
        finally:
            self._give_slot()
        stamp = f"{self.id}.{request.id}.200"
        headers = {REQUEST_ID: request.id, STAMP: stamp}
        return _render(200, headers, f"{self.id} ran {request.id}".encode())

    def _reject(self, request: Received, status: int) -> bytes:
        self.arrivals.append(Arrival(request.id, self.id, request.at, ran=False))
        return _render(status, {REQUEST_ID: request.id, NOT_EXECUTED: "1", INSTANCE_ID: self.id})

    def _take_slot(self, request: Received) -> bool:
        with self._free:
            if self._running >= self._slots and self._waiting >= self._queue:
                return False
            self._waiting += 1
            found = self._free.wait_for(
                lambda: self._running < self._slots, timeout=request.seconds_left
            )
            self._waiting -= 1
            self._running += found
            return found

    def _give_slot(self) -> None:
        with self._free:
            self._running -= 1
            self._free.notify()


def _wait_until_closed(connection: socket.socket) -> None:
    while connection.recv(4096):
        pass


def _render(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def _read(stream) -> Received | None:
    first = stream.readline()
    if not first:
        return None
    at = time.monotonic()
    method, path, _ = first.decode("latin-1").split(" ", 2)
    headers: dict[str, str] = {}
    while line := stream.readline().strip():
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = stream.read(int(headers.get("content-length", 0)))
    return Received(method, path, headers, body, at)
