"""Websocket links between instances: many requests at once over one connection each way."""

import itertools
import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from concurrent.futures import TimeoutError as FutureTimeout
from typing import Any

from websockets.exceptions import ConnectionClosed, InvalidHandshake, WebSocketException
from websockets.http11 import Request, Response
from websockets.sync.client import connect
from websockets.sync.server import ServerConnection, serve

from limpethollow_node.process import events
from limpethollow_node.process.metrics import Metrics
from limpethollow_wire.codecs import convert, from_cbor, to_cbor
from limpethollow_wire.exceptions import (
    BadRequest,
    DeadlinePassed,
    InternalError,
    LimpethollowError,
    Unauthorized,
    Unavailable,
    error_from_body,
)
from limpethollow_wire.keys import bearer_key, keys_equal
from limpethollow_wire.limits import MAX_FRAME_BYTES
from limpethollow_wire.peers import Frame, Hello

_OPEN_TIMEOUT = 0.5
_PING_SECONDS = 5.0
_WORKERS = 64
_RETRY_AFTER = 0.5

Answer = Callable[[str, str, Any], Any]


class PeerUnreachable(Unavailable):
    """No link to the peer could be opened, so nothing was sent to it."""


class PeerLost(Unavailable):
    """The link broke or went silent after the request was sent; it may have been handled."""


class PeerLink:
    """This instance's link to one peer.

    Args:
        address: `host:port` of the peer's websocket listener.
        key: The peers' shared key.
        hello: Who we are.
        greeted: Told of the peer's own hello.
    """

    def __init__(
        self, address: str, key: str, hello: Hello, greeted: Callable[[Hello], None]
    ) -> None:
        self._ids = itertools.count(1)
        self._waiting: dict[int, Future[Any]] = {}
        self._lock = threading.Lock()
        self._closed = False
        try:
            self._socket = connect(
                f"ws://{address}/",
                additional_headers={"Authorization": f"Bearer {key}"},
                open_timeout=_OPEN_TIMEOUT,
                close_timeout=_OPEN_TIMEOUT,
                ping_interval=_PING_SECONDS,
                ping_timeout=_PING_SECONDS,
                max_size=MAX_FRAME_BYTES,
                compression=None,
                proxy=None,
            )
            self._socket.send(to_cbor(hello))
            greeted(convert(from_cbor(self._socket.recv(_OPEN_TIMEOUT)), Hello))
        except (OSError, InvalidHandshake, WebSocketException, BadRequest, EOFError) as error:
            raise PeerUnreachable(
                f"The peer at {address} can't be reached ({type(error).__name__}).",
                retry_after=_RETRY_AFTER,
            ) from None
        self._thread = threading.Thread(target=self._read, name="peer-link", daemon=True)
        self._thread.start()

    @property
    def is_open(self) -> bool:
        """Whether requests can be sent."""
        return not self._closed

    def close(self) -> None:
        """Close the link; requests still open on it fail."""
        self._socket.close()

    def request(self, kind: str, body: Any, timeout: float) -> Any:
        """Send a request and wait for its reply.

        Args:
            kind: Registered name of the request.
            body: Its message.
            timeout: Seconds to wait.

        Returns:
            The reply's message as plain values.

        Raises:
            PeerUnreachable: The link was closed before anything was sent.
            PeerLost: No reply came; the peer may have handled the request.
            LimpethollowError: The peer answered with a typed error.
        """
        number = next(self._ids)
        future: Future[Any] = Future()
        with self._lock:
            if self._closed:
                raise PeerUnreachable("The link is closed.", retry_after=_RETRY_AFTER)
            self._waiting[number] = future
        try:
            self._socket.send(to_cbor(Frame(number, kind, body)))
            return future.result(timeout)
        except LimpethollowError:
            # Some typed errors are also built-in OSError or TimeoutError; the peer's own refusal
            # must not be taken for a lost link.
            raise
        except (FutureTimeout, ConnectionClosed, OSError):
            raise PeerLost("The peer gave no reply in time.", retry_after=_RETRY_AFTER) from None
        finally:
            self._waiting.pop(number, None)

    def _read(self) -> None:
        try:
            for data in self._socket:
                self._take(convert(from_cbor(data), Frame))
        except (WebSocketException, BadRequest, OSError, TypeError):
            self._socket.close()
        finally:
            self._fail_all()

    def _take(self, frame: Frame) -> None:
        """Hand a reply to its request; a reply that nobody waits for any more is dropped."""
        future = self._waiting.pop(frame.id, None)
        if future is None:
            return
        if frame.error is not None:
            future.set_exception(error_from_body(frame.error))
        else:
            future.set_result(frame.body)

    def _fail_all(self) -> None:
        with self._lock:
            self._closed = True
            waiting, self._waiting = self._waiting, {}
        for future in waiting.values():
            lost = PeerLost("The link to the peer broke.", retry_after=_RETRY_AFTER)
            future.set_exception(lost)


class PeerListener:
    """Answers the requests of other instances.

    Args:
        host: IP number to bind.
        port: Port, 0 for a free one.
        key: The peers' shared key.
        hello: Returns who we are, current at each new link.
        greeted: Told of each peer's hello.
        answer: Called with peer id, kind and plain body; returns the reply's message.
        metrics: Where refusals are counted.
    """

    def __init__(
        self,
        host: str,
        port: int,
        key: str,
        hello: Callable[[], Hello],
        greeted: Callable[[Hello], None],
        answer: Answer,
        metrics: Metrics,
    ) -> None:
        self._key = key
        self._hello = hello
        self._greeted = greeted
        self._answer = answer
        self._metrics = metrics
        self._workers = ThreadPoolExecutor(_WORKERS, thread_name_prefix="peer-request")
        self._open = 0
        self._open_lock = threading.Lock()
        self._server = serve(
            self._handle,
            host,
            port,
            process_request=self._check_key,
            ping_interval=_PING_SECONDS,
            ping_timeout=_PING_SECONDS,
            close_timeout=_OPEN_TIMEOUT,
            max_size=MAX_FRAME_BYTES,
            compression=None,
        )
        self._thread = threading.Thread(
            target=self._server.serve_forever, name="peer-listener", daemon=True
        )

    def __enter__(self) -> "PeerListener":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._server.shutdown()
        self._workers.shutdown(wait=False, cancel_futures=True)

    @property
    def address(self) -> str:
        """`host:port` that was bound."""
        host, port = self._server.socket.getsockname()[:2]
        return f"{host}:{port}"

    @property
    def open_requests(self) -> int:
        """Requests of peers that have no answer yet, those waiting for a thread included."""
        return self._open

    def _check_key(self, connection: ServerConnection, request: Request) -> Response | None:
        try:
            given = bearer_key(request.headers.get("Authorization"))
        except Unauthorized:
            given = ""
        if keys_equal(given, self._key):
            return None
        self._metrics.count("peers_refused", "unauthorized")
        events.PEER_REFUSED.log(reason="unauthorized")
        return connection.respond(401, "The peers' key is missing or wrong.\n")

    def _handle(self, socket: ServerConnection) -> None:
        try:
            hello = convert(from_cbor(_frame_bytes(socket.recv(_OPEN_TIMEOUT))), Hello)
            socket.send(to_cbor(self._hello()))
            self._greeted(hello)
            events.PEER_LINKED.log(peer=hello.instance)
            for data in socket:
                frame = convert(from_cbor(_frame_bytes(data)), Frame)
                self._opened(1)
                self._workers.submit(self._reply, socket, hello.instance, frame)
        except BadRequest as error:
            self._metrics.count("peers_refused", "bad_frame")
            events.PEER_REFUSED.log(reason="bad_frame", error=str(error))
        except (WebSocketException, TimeoutError, OSError, RuntimeError):
            return

    def _reply(self, socket: ServerConnection, peer: str, frame: Frame) -> None:
        try:
            reply = Frame(frame.id, body=self._answer(peer, frame.kind, frame.body))
        except LimpethollowError as error:
            reply = Frame(frame.id, error=error.to_body())
        except Exception as error:
            events.DEFECT.log(
                where="peer request", kind=frame.kind, error=repr(error), exc_info=True
            )
            reply = Frame(frame.id, error=InternalError("The peer has a defect.").to_body())
        try:
            socket.send(to_cbor(reply))
        except (WebSocketException, OSError):
            return
        finally:
            self._opened(-1)

    def _opened(self, change: int) -> None:
        with self._open_lock:
            self._open += change


def _frame_bytes(data: str | bytes) -> bytes:
    if isinstance(data, str):
        raise BadRequest("A text frame came where CBOR was expected.")
    return data


def require_time(budget: float) -> None:
    """Refuse a request whose time is over.

    Raises:
        DeadlinePassed: No time is left.
    """
    if budget <= 0:
        raise DeadlinePassed("The deadline has passed; the request was not run.")
