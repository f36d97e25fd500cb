"""The listener for other instances: keys, frames, and threads that no peer can take alone."""

import socket
import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

from websockets.exceptions import ConnectionClosedError, WebSocketException
from websockets.http11 import Request, Response
from websockets.sync.server import ServerConnection, serve

from limpethollow_node.connection.peer_sockets import PeerConnections, PeerServerSocket
from limpethollow_node.connection.peers import (
    MAX_QUEUED_FRAMES,
    OPEN_TIMEOUT,
    PING_SECONDS,
    limit_send,
)
from limpethollow_node.process import events
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.connection.links import PeerRequestLimiter
from limpethollow_wire.codecs import convert, from_cbor, to_cbor
from limpethollow_wire.exceptions import (
    BadRequest,
    InternalError,
    LimpethollowError,
    Overloaded,
    Unauthorized,
)
from limpethollow_wire.keys import keys_equal, parse_bearer_key
from limpethollow_wire.limits import MAX_FRAME_BYTES
from limpethollow_wire.peers import Frame, Hello

_WORKERS = 64
_CONTROL_WORKERS = 4
_CONTROL_BACKLOG = 64
_LARGE_FRAME_BYTES = 64 * 1024
_LARGE_FRAMES = 4
_REQUESTS_OF_ONE_PEER = 32
_WORK_KINDS = ("group.", "booking.")
_CONNECTIONS = 1024
_HANDSHAKE_SECONDS = 1.0
_SEND_SECONDS = 2.0
_RETRY_AFTER = 0.1
_CLOSE_CODE_TOO_LARGE = 1009

ConnectionHandler = Callable[[socket.socket, Any], None]
Answer = Callable[[str, str, Any], Any]


class PeerListener:
    """Answers the requests of other instances.

    Args:
        host: IP number to bind.
        port: Port, 0 for a free one.
        key: The peers' shared key.
        hello: Returns who we are, current at each new link.
        hello_received: Told of each peer's hello.
        answer: Called with peer id, kind and plain body; returns the reply's message.
        metrics: Where refusals are counted.
        connections: Connections open at once.
    """

    def __init__(
        self,
        host: str,
        port: int,
        key: str,
        hello: Callable[[], Hello],
        hello_received: Callable[[Hello], None],
        answer: Answer,
        metrics: Metrics,
        connections: int = _CONNECTIONS,
    ) -> None:
        self._key = key
        self._hello = hello
        self._greeted = hello_received
        self._answer = answer
        self._metrics = metrics
        self._workers = ThreadPoolExecutor(_WORKERS, thread_name_prefix="peer-request")
        self._control = ThreadPoolExecutor(_CONTROL_WORKERS, thread_name_prefix="peer-control")
        self._open = PeerRequestLimiter(_REQUESTS_OF_ONE_PEER)
        self._open_lock = threading.Lock()
        self._large_frames = threading.BoundedSemaphore(_LARGE_FRAMES)
        self._connections = PeerConnections(
            connections, lambda reason: metrics.count("connections_evicted", reason)
        )
        self._server = serve(
            self._handle,
            sock=PeerServerSocket(host, port, self._connections),
            process_request=self._check_key,
            open_timeout=_HANDSHAKE_SECONDS,
            ping_interval=PING_SECONDS,
            ping_timeout=PING_SECONDS,
            close_timeout=OPEN_TIMEOUT,
            max_size=MAX_FRAME_BYTES,
            max_queue=MAX_QUEUED_FRAMES,
            compression=None,
        )
        self._server.handler = self._counted(self._server.handler)
        self._thread = threading.Thread(
            target=self._server.serve_forever, name="peer-listener", daemon=True
        )

    def __enter__(self) -> "PeerListener":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._server.shutdown()
        self._workers.shutdown(wait=False, cancel_futures=True)
        self._control.shutdown(wait=False, cancel_futures=True)

    @property
    def address(self) -> str:
        """`host:port` that was bound."""
        host, port = self._server.socket.getsockname()[:2]
        return f"{host}:{port}"

    @property
    def open_requests(self) -> int:
        """Requests of peers that have no answer yet, those waiting for a thread included."""
        with self._open_lock:
            return self._open.total

    def _counted(self, handle: ConnectionHandler) -> ConnectionHandler:
        """Return a handler after which its connection counts no more."""

        def handle_and_uncount(sock: socket.socket, address: Any) -> None:
            try:
                handle(sock, address)
            finally:
                self._connections.ended(sock)

        return handle_and_uncount

    def _check_key(self, connection: ServerConnection, request: Request) -> Response | None:
        try:
            given = parse_bearer_key(request.headers.get("Authorization"))
        except Unauthorized:
            given = ""
        if keys_equal(given, self._key):
            return None
        self._metrics.count("peers_refused", "unauthorized")
        events.PEER_REFUSED.log(reason="unauthorized")
        return connection.respond(401, "The peers' key is missing or wrong.\n")

    def _handle(self, link: ServerConnection) -> None:
        try:
            # A peer that is frozen reads no replies; without a limit it would hold the threads
            # that send them, one after the other, until none is left for the other peers.
            limit_send(link.socket, _SEND_SECONDS)
            hello = convert(from_cbor(_frame_bytes(link.recv(OPEN_TIMEOUT))), Hello)
            self._connections.greeted(link.socket)
            link.send(to_cbor(self._hello()))
            self._greeted(hello)
            events.PEER_LINKED.log(peer=hello.instance)
            backlog = threading.BoundedSemaphore(_CONTROL_BACKLOG)
            for data in link:
                self._take(link, hello.instance, _frame_bytes(data), backlog)
        except BadRequest as error:
            self._refuse("bad_frame", str(error))
        except ConnectionClosedError as error:
            if error.sent is not None and error.sent.code == _CLOSE_CODE_TOO_LARGE:
                self._refuse("too_large", str(error))
        except (WebSocketException, TimeoutError, OSError, RuntimeError):
            return

    def _refuse(self, reason: str, error: str) -> None:
        self._metrics.count("peers_refused", reason)
        events.PEER_REFUSED.log(reason=reason, error=error)

    def _take(
        self, link: ServerConnection, peer: str, data: bytes, backlog: threading.BoundedSemaphore
    ) -> None:
        """Hand a request to the threads of its lane.

        Searches and bookings may take seconds. Hellos, configuration and notices have threads of
        their own, so that they never wait behind them. A link whose `backlog` is full, or whose
        large frame finds too many of them being handled, is not read until some were.
        """
        slots = self._large_frames if len(data) > _LARGE_FRAME_BYTES else backlog
        slots.acquire()
        try:
            frame = convert(from_cbor(data), Frame)
            call = self._lane(link, peer, frame)
        except BaseException:
            slots.release()
            raise
        call.add_done_callback(lambda _: slots.release())

    def _lane(self, link: ServerConnection, peer: str, frame: Frame) -> "Future[None]":
        """Submit a frame; return the call that ends once the frame no longer takes memory."""
        if not frame.kind.startswith(_WORK_KINDS):
            return self._control.submit(self._reply, link, peer, frame)
        with self._open_lock:
            is_taken = self._open.begin(peer)
        if is_taken:
            self._workers.submit(self._work, link, peer, frame)
            # The number of these requests is limited for each peer.
            done: Future[None] = Future()
            done.set_result(None)
            return done
        self._metrics.count("peer_requests_refused", "too_many_of_one_peer")
        error = Overloaded("The peer has too many requests open here.", retry_after=_RETRY_AFTER)
        return self._control.submit(self._send, link, Frame(frame.id, error=error.to_body()))

    def _work(self, link: ServerConnection, peer: str, frame: Frame) -> None:
        try:
            self._reply(link, peer, frame)
        finally:
            with self._open_lock:
                self._open.end(peer)

    def _reply(self, link: ServerConnection, peer: str, frame: Frame) -> None:
        try:
            reply = Frame(frame.id, body=self._answer(peer, frame.kind, frame.body))
        except LimpethollowError as error:
            reply = Frame(frame.id, error=error.to_body())
        except Exception as error:
            events.UNEXPECTED_ERROR.log(
                where="peer request", kind=frame.kind, error=repr(error), exc_info=True
            )
            reply = Frame(frame.id, error=InternalError("The peer has a defect.").to_body())
        self._send(link, reply)

    def _send(self, link: ServerConnection, reply: Frame) -> None:
        try:
            link.send(to_cbor(reply))
        except (WebSocketException, OSError):
            return


def _frame_bytes(data: str | bytes) -> bytes:
    if isinstance(data, str):
        raise BadRequest("A text frame came where CBOR was expected.")
    return data
