"""Stand-in for the platform's metadata store, with the drill of the users' newest letter.

In a drill the store is away for a moment and comes back from a copy that is some seconds old. Its
revisions go back with it and are given out again, and `Store-Era` rises by one.
"""

import copy
import json
import socket
import threading
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit

_FIRST_REVISION = 100
_PAGE = 500
_LONGEST_WAIT = 30.0

Answer = tuple[int, Any]


class _Away(Exception):
    """The store answers nothing now."""


@dataclass(slots=True, frozen=True)
class Change:
    """One change, as watches tell it."""

    revision: int
    kind: str
    stored: dict[str, Any]
    deleted: bool


@dataclass(slots=True, frozen=True)
class Copy:
    """All that the store held at one revision."""

    revision: int
    objects: dict[tuple[str, str], dict[str, Any]]
    history: list[Change]


class MetadataStore(ThreadingHTTPServer):
    """Keeps objects in memory and serves them on threads of its own.

    Usage:
        with MetadataStore() as store:
            store.put("servers", "i-1", {"service": "desk"})
            print(store.address)
    """

    daemon_threads = True
    request_queue_size = 128

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), _Connection)
        self._changed = threading.Condition()
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._history: list[Change] = []
        self._sockets: set[socket.socket] = set()
        self._away = False
        self._thread = threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True)
        self.revision = _FIRST_REVISION
        self.era = 1

    def __enter__(self) -> "MetadataStore":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.shutdown()
        self.server_close()

    @property
    def address(self) -> str:
        """Return where it listens."""
        return f"127.0.0.1:{self.server_address[1]}"

    @property
    def away(self) -> bool:
        """Return whether it answers nothing now."""
        return self._away

    # What the operator and the searchers write.

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object; return the store's revision after it, which is the acknowledgement."""
        with self._changed:
            known = self._objects.get((kind, name))
            if known is not None and known["spec"] == spec:
                return self.revision
            self.revision += 1
            meta = {
                "name": name,
                "revision": self.revision,
                "created": known["meta"]["created"] if known else self.revision,
                "finalizers": [],
                "deleting": False,
            }
            self._note(Change(self.revision, kind, _stored(meta, spec), deleted=False))
            return self.revision

    def remove(self, kind: str, name: str) -> int:
        """Remove an object; return the store's revision after it."""
        with self._changed:
            known = self._objects.get((kind, name))
            if known is not None:
                self.revision += 1
                meta = {**known["meta"], "revision": self.revision}
                self._note(Change(self.revision, kind, _stored(meta, known["spec"]), deleted=True))
            return self.revision

    # The drill.

    def copy(self) -> Copy:
        """Return a copy of all that it holds now."""
        with self._changed:
            return Copy(self.revision, copy.deepcopy(self._objects), list(self._history))

    def go_away(self) -> None:
        """Reset all connections and answer nothing until `come_back`."""
        with self._changed:
            self._away = True
            self._changed.notify_all()
            sockets = tuple(self._sockets)
        for each in sockets:
            _shut(each)

    def come_back(self, kept: Copy) -> None:
        """Serve again, from a copy."""
        with self._changed:
            self._objects = copy.deepcopy(kept.objects)
            self._history = list(kept.history)
            self.revision = kept.revision
            self.era += 1
            self._away = False

    # What the system asks for.

    def answer(self, method: str, target: str, body: Any) -> Answer:
        """Answer one call.

        Raises:
            _Away: The store is away.
        """
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix("/objects/").partition("/")
        if self._away:
            raise _Away
        if method == "GET" and name:
            return self._read(kind, name)
        if method == "GET" and "watch" in query:
            wait = min(int(query.get("waitMs", "0")) / 1000, _LONGEST_WAIT)
            return self._watch(kind, int(query["watch"]), wait)
        if method == "GET":
            return self._list(kind, query.get("after", ""))
        return self._write(method, kind, name, body, query)

    def opened(self, connection: socket.socket) -> None:
        """Note a connection, so that the drill can end it."""
        with self._changed:
            self._sockets.add(connection)

    def closed(self, connection: socket.socket) -> None:
        """Forget a connection."""
        with self._changed:
            self._sockets.discard(connection)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Keep quiet about callers that went away."""

    def _read(self, kind: str, name: str) -> Answer:
        with self._changed:
            stored = self._objects.get((kind, name))
        return (404, None) if stored is None else (200, stored)

    def _list(self, kind: str, after: str) -> Answer:
        with self._changed:
            names = sorted(n for of, n in self._objects if of == kind and n > after)
            items = [self._objects[kind, name] for name in names[:_PAGE]]
            more = len(names) > _PAGE
            return 200, {"items": items, "more": more, "currentRev": self.revision}

    def _watch(self, kind: str, after: int, wait: float) -> Answer:
        with self._changed:
            if after > self.revision:
                return 410, None
            era = self.era

            def news() -> list[Change]:
                return [c for c in self._history if c.kind == kind and c.revision > after]

            self._changed.wait_for(lambda: self._away or news(), timeout=wait)
            if self._away or self.era != era:
                raise _Away
            events = [{"object": c.stored, "deleted": c.deleted} for c in news()]
            return 200, {"events": events, "currentRev": self.revision}

    def _write(self, method: str, kind: str, name: str, body: Any, query: dict[str, str]) -> Answer:
        meta = (body or {}).get("meta", {})
        name = name.removesuffix("/status") or meta["name"]
        with self._changed:
            known = self._objects.get((kind, name))
            wanted = query.get("revision", meta.get("revision"))
            if method == "POST" and known is not None:
                return 409, known
            if method != "POST" and known is None:
                return 404, None
            if wanted is not None and known and int(wanted) != known["meta"]["revision"]:
                return 409, known
            if method == "DELETE":
                self.remove(kind, name)
                return 200, known
            self.put(kind, name, body.get("spec"))
            return 200, self._objects[kind, name]

    def _note(self, change: Change) -> None:
        key = (change.kind, change.stored["meta"]["name"])
        if change.deleted:
            self._objects.pop(key, None)
        else:
            self._objects[key] = change.stored
        self._history.append(change)
        self._changed.notify_all()


class _Connection(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    wbufsize = -1
    server: MetadataStore

    def setup(self) -> None:
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.server.opened(self.connection)

    def finish(self) -> None:
        self.server.closed(self.connection)
        super().finish()

    def do_GET(self) -> None:  # noqa: N802
        self._serve()

    def do_POST(self) -> None:  # noqa: N802
        self._serve()

    def do_PUT(self) -> None:  # noqa: N802
        self._serve()

    def do_DELETE(self) -> None:  # noqa: N802
        self._serve()

    def log_message(self, *_: Any) -> None:
        return

    def _serve(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        body = json.loads(self.rfile.read(length)) if length else None
        try:
            status, content = self.server.answer(self.command, self.path, body)
        except _Away:
            self.close_connection = True
            return
        data = json.dumps(content).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.send_header("Store-Era", str(self.server.era))
        self.end_headers()
        self.wfile.write(data)
        self.wfile.flush()


def _stored(meta: dict[str, Any], spec: Any) -> dict[str, Any]:
    return {"meta": meta, "spec": spec, "status": None}


def _shut(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
