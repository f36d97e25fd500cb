"""Stand-in for a searcher as the users' platform defines it, with full control over its bytes.

`answer` decides what a request gets: a `Bytes` is written as it stands, `HANG` is never answered,
`CUT` closes the connection after the request was read, `RESET` resets it, `CRASH` ends the
searcher.
"""

import select
import socket
import struct
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from tests.standins.endless import send_endless

PROOF = "X-Limpethollow-Server-Stamp"
REQUEST_ID = "X-Limpethollow-Request-Id"
NOT_RUN = "X-Limpethollow-Not-Executed"
RECORD_BYTES = 16


@dataclass(slots=True)
class Seen:
    """A request as it reached the searcher."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float
    # Number of the connection that it came on, from 1.
    connection: int = 0

    @property
    def id(self) -> str:
        return self.headers.get(REQUEST_ID.lower(), "")

    @property
    def time_left(self) -> int:
        return int(self.headers["x-limpethollow-deadline-ms"])


class Hang:
    """Never answer."""


class Cut:
    """Close the connection without an answer."""


class Reset:
    """Reset the connection, after some bytes if any are given."""

    def __init__(self, before: bytes = b"") -> None:
        self.before = before


class Crash:
    """End the searcher: all its connections and its listener close."""


@dataclass(slots=True, frozen=True)
class Endless:
    """Send some bytes and then others again and again, until the connection is closed."""

    start: bytes
    block: bytes
    pause: float = 0.0


class Doubled:
    """Send a reply, and a copy of it later or with the next request, whichever is first."""

    def __init__(self, reply: bytes, after: float) -> None:
        self.reply = reply
        self.after = after


Answer = bytes | Hang | Cut | Reset | Crash | Doubled | Endless


@dataclass
class BackendStandIn:
    """One searcher.

    Args:
        service: Its service.
        name: Its id.
        zone: Where it says that it runs.
        slots: How many requests it says it runs at once.
        work: Seconds that a request takes.
        answer: Decides on each request; a plain success where left out.
    """

    service: str
    name: str
    zone: str = "zone-a"
    slots: int = 2
    work: float = 0.0
    answer: Callable[["BackendStandIn", Seen], Answer] | None = None
    records: list[bytes] = field(default_factory=list)
    seen: list[Seen] = field(default_factory=list)
    closed: list[float] = field(default_factory=list)
    connections: int = 0
    ended: bool = False
    _open: list[socket.socket] = field(default_factory=list)

    def __enter__(self) -> "BackendStandIn":
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self._port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *_: object) -> None:
        # Closing alone leaves the thread in accept(), and with it the port open.
        if self._listener.fileno() >= 0:
            self._listener.shutdown(socket.SHUT_RDWR)
            self._listener.close()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._port}"

    def crash(self) -> None:
        """End as a killed process does."""
        self.ended = True
        self.__exit__()
        for connection in self._open:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue

    def entry(self, **fields: object) -> dict[str, object]:
        """Return what the searcher writes to the store about itself."""
        return {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
            "born": 1,
            **fields,
        }

    def body(self) -> bytes:
        return b"".join(self.records) or f"{self.name} answers".encode()

    def success(self, seen: Seen, *headers: str, body: bytes | None = None) -> bytes:
        """Return a whole, correct success."""
        return self.reply(seen, 200, *headers, body=self.body() if body is None else body)

    def reply(self, seen: Seen, status: int, *headers: str, body: bytes = b"") -> bytes:
        lines = [
            f"HTTP/1.1 {status} Status",
            f"{REQUEST_ID}: {seen.id}",
            f"{PROOF}: {self.name}.{seen.id}.{status}",
            f"Content-Length: {len(body)}",
            *headers,
        ]
        return "\r\n".join([*lines, "", ""]).encode() + body

    def refusal(self, seen: Seen, status: int = 503) -> bytes:
        """Return a refusal that says the request has not run."""
        lines = [
            f"HTTP/1.1 {status} Status",
            f"{REQUEST_ID}: {seen.id}",
            f"{NOT_RUN}: 1",
            "Content-Length: 0",
        ]
        return "\r\n".join([*lines, "", ""]).encode()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            self._open.append(connection)
            serve = (connection, self.connections)
            threading.Thread(target=self._serve, args=serve, daemon=True).start()

    def _serve(self, connection: socket.socket, number: int) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = connection.makefile("rb")
        try:
            while (seen := _read(stream)) is not None:
                seen.connection = number
                self.seen.append(seen)
                time.sleep(self.work)
                answer = self.answer(self, seen) if self.answer else self.success(seen)
                if not self._send(connection, answer):
                    return
        except OSError:
            return
        finally:
            self.closed.append(time.monotonic())
            connection.close()

    def _send(self, connection: socket.socket, answer: Answer) -> bool:
        """Act out an answer; return whether the connection goes on."""
        if isinstance(answer, Hang):
            connection.recv(1)
            return False
        if isinstance(answer, Cut):
            return False
        if isinstance(answer, Endless):
            send_endless(connection, answer.start, answer.block, answer.pause)
            return False
        if isinstance(answer, Crash):
            self.crash()
            return False
        if isinstance(answer, Reset):
            if answer.before:
                connection.sendall(answer.before)
                time.sleep(0.05)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            return False
        if isinstance(answer, Doubled):
            connection.sendall(answer.reply)
            select.select([connection], [], [], answer.after)
            answer = answer.reply
        connection.sendall(answer)
        return b"Content-Length" in answer or b"chunked" in answer


def _read(stream) -> Seen | None:
    first = stream.readline()
    if not first:
        return None
    method, target, _ = first.decode("latin-1").split(" ", 2)
    headers: dict[str, str] = {}
    while (line := stream.readline().strip()) != b"":
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = stream.read(int(headers.get("content-length", 0)))
    return Seen(method, target, headers, body, time.monotonic())
