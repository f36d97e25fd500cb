"""A small HTTP server for the stand-ins: one thread a connection, every reply one write."""

import json
import socket
import sys
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qsl, urlsplit

Reply = tuple[int, Any]
Handler = Callable[[dict[str, Any], dict[str, str]], Reply]


class DropConnection(Exception):
    """Close the connection without a reply."""


class Truncate(Exception):
    """Send only the first half of a reply, then close the connection."""

    def __init__(self, body: Any) -> None:
        super().__init__("truncate")
        self.body = body


class StandInServer(ThreadingHTTPServer):
    """Serves handlers registered by method and first path parts."""

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, port: int = 0) -> None:
        super().__init__(("127.0.0.1", port), _Connection)
        self.handlers: dict[tuple[str, str], Handler] = {}
        self.connections = 0
        self.lock = threading.Lock()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.server_address[1]}"

    def connection_opened(self) -> bool:
        """Return whether a new connection is accepted."""
        return True

    def connection_closed(self) -> None:
        """Note that a connection ended."""

    def headers_of_all(self) -> dict[str, str]:
        """Return what stands in the head of each reply."""
        return {}

    def encode(self, body: Any) -> bytes:
        """Return the bytes of a reply's body."""
        return json.dumps(body).encode()

    def find(self, method: str, path: str) -> tuple[Handler | None, str]:
        """Return the handler with the longest registered prefix, and the rest of the path."""
        parts = path.strip("/").split("/")
        for size in range(len(parts), 0, -1):
            handler = self.handlers.get((method, "/".join(parts[:size])))
            if handler:
                return handler, "/".join(parts[size:])
        return None, ""

    def __enter__(self) -> "StandInServer":
        """Serve on a thread of this process."""
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()
        return self

    def __exit__(self, *_: object) -> None:
        self.shutdown()
        self.server_close()

    def run(self) -> None:
        """Print the ready line and serve for ever."""
        print(json.dumps({"ready": {"http": self.address}}), flush=True)
        self.serve_forever()

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Keep quiet about callers that went away."""
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)


class _Connection(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: StandInServer
    wbufsize = -1

    def setup(self) -> None:
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.accepted = self.server.connection_opened()

    def handle(self) -> None:
        if self.accepted:
            super().handle()

    def finish(self) -> None:
        try:
            super().finish()
        finally:
            if self.accepted:
                self.server.connection_closed()

    def do_GET(self) -> None:  # noqa: N802
        self._serve()

    def do_PUT(self) -> None:  # noqa: N802
        self._serve()

    def do_POST(self) -> None:  # noqa: N802
        self._serve()

    def do_DELETE(self) -> None:  # noqa: N802
        self._serve()

    def log_message(self, *_: Any) -> None:
        return

    def _serve(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        body = json.loads(self.rfile.read(length)) if length else {}
        url = urlsplit(self.path)
        names = dict(parse_qsl(url.query))
        handler, names["rest"] = self.server.find(self.command, url.path)
        if handler is None:
            return self._send(404, {"code": "no_such_path"})
        try:
            return self._send(*handler(body, names))
        except DropConnection:
            self.close_connection = True
        except Truncate as cut:
            self._send(200, cut.body, part=0.5)
            self.close_connection = True

    def _send(self, status: int, body: Any, part: float = 1.0) -> None:
        data = self.server.encode(body)
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        for name, value in self.server.headers_of_all().items():
            self.send_header(name, value)
        if isinstance(body, dict) and "retry_after" in body:
            self.send_header("Retry-After", str(body["retry_after"]))
        self.end_headers()
        self.wfile.write(data[: int(len(data) * part)])
        self.wfile.flush()
