"""Websocket links between instances: many requests at once over one connection each way."""

import itertools
import math
import socket
import struct
import threading
import time
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout
from typing import Any

from websockets.exceptions import ConnectionClosed, InvalidHandshake, WebSocketException
from websockets.sync.client import connect

from limpethollow_policy.connection.links import LinkHealth
from limpethollow_wire.codecs import convert, from_cbor, to_cbor
from limpethollow_wire.exceptions import (
    BadRequest,
    DeadlinePassed,
    LimpethollowError,
    Unavailable,
    error_from_body,
)
from limpethollow_wire.limits import MAX_FRAME_BYTES
from limpethollow_wire.peers import Frame, Hello

OPEN_TIMEOUT = 0.5
PING_SECONDS = 5.0
MAX_QUEUED_FRAMES = 0

_RETRY_AFTER = 0.5
_SMALLEST_TIMEOUT = 0.001
_TIMEVAL = struct.Struct("ll")


class PeerUnreachable(Unavailable):
    """No link to the peer could be opened, so nothing was sent to it."""


class PeerLost(Unavailable):
    """The link broke or went silent after the request was sent; it may have been handled.

    Attributes:
        is_slow: Whether the link works, and only this request got no reply in time.
    """

    is_slow = False


class PeerLink:
    """This instance's link to one peer.

    Args:
        address: `host:port` of the peer's websocket listener.
        key: The peers' shared key.
        hello: Who we are.
        hello_received: Told of the peer's own hello.
        peer_id: Who must answer at the address; anybody where left out.
    """

    def __init__(
        self,
        address: str,
        key: str,
        hello: Hello,
        hello_received: Callable[[Hello], None],
        peer_id: str = "",
    ) -> None:
        self._ids = itertools.count(1)
        self._waiting: dict[int, Future[Any]] = {}
        self._lock = threading.Lock()
        self._sending = threading.Lock()
        self._health = LinkHealth()
        self._retired = False
        self._closed = False
        try:
            self._socket = connect(
                f"ws://{address}/",
                additional_headers={"Authorization": f"Bearer {key}"},
                open_timeout=OPEN_TIMEOUT,
                close_timeout=OPEN_TIMEOUT,
                ping_interval=PING_SECONDS,
                ping_timeout=PING_SECONDS,
                max_size=MAX_FRAME_BYTES,
                max_queue=MAX_QUEUED_FRAMES,
                compression=None,
                proxy=None,
                # The link outlives this call, so its socket can't live in a `with` block.
                legacy=True,
            )
            try:
                hello_received(self._exchange_hellos(hello, peer_id))
            except BaseException:
                # Its threads and pings would live on with nobody who knows of them.
                self._close_later()
                raise
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

    def retire(self) -> None:
        """Close the link once nothing is open on it; new requests go over another one."""
        with self._lock:
            self._retired = True
            is_idle = not self._waiting
        if is_idle:
            self._close_later()

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
        deadline = time.monotonic() + timeout
        number = next(self._ids)
        future: Future[Any] = Future()
        with self._lock:
            if self._closed:
                raise PeerUnreachable("The link is closed.", retry_after=_RETRY_AFTER)
            self._waiting[number] = future
        try:
            self._send(to_cbor(Frame(number, kind, body)), deadline)
            return self._wait(future, deadline)
        finally:
            self._ended(number)

    def _exchange_hellos(self, hello: Hello, peer_id: str) -> Hello:
        """Say who we are, and check that the right peer answers.

        The address of an instance that is gone may belong to another one by now. Bookings that
        name the first would go to the second, and its word on them would be worth nothing.
        """
        self._socket.send(to_cbor(hello))
        theirs = convert(from_cbor(_bytes(self._socket.recv(OPEN_TIMEOUT))), Hello)
        if peer_id and theirs.instance != peer_id:
            raise BadRequest(f"Instance '{theirs.instance}' answers there, not '{peer_id}'.")
        return theirs

    def _send(self, data: bytes, deadline: float) -> None:
        """Send one frame within the deadline.

        A peer that is frozen reads nothing, so a send blocks once the buffers between us are full,
        and all senders behind it. Each waits for its own deadline only: for its turn by the lock's
        timeout, and in the kernel by the socket's.
        """
        if not self._sending.acquire(timeout=max(deadline - time.monotonic(), 0.0)):
            raise PeerUnreachable("The link takes no more requests.", retry_after=_RETRY_AFTER)
        try:
            limit_send(self._socket.socket, max(deadline - time.monotonic(), _SMALLEST_TIMEOUT))
            self._socket.send(data)
        except (ConnectionClosed, OSError):
            raise PeerLost("The link to the peer broke.", retry_after=_RETRY_AFTER) from None
        finally:
            self._sending.release()

    def _wait(self, future: Future[Any], deadline: float) -> Any:
        sent_at = time.monotonic()
        try:
            return future.result(max(deadline - sent_at, 0.0))
        except LimpethollowError:
            # Some typed errors are also built-in OSError or TimeoutError; the peer's own refusal
            # must not be taken for a lost link.
            raise
        except FutureTimeout:
            lost = PeerLost("The peer gave no reply in time.", retry_after=_RETRY_AFTER)
            lost.is_slow = not self._health.is_silent(sent_at)
            raise lost from None

    def _ended(self, number: int) -> None:
        with self._lock:
            self._waiting.pop(number, None)
            is_over = self._retired and not self._waiting
        if is_over:
            self._close_later()

    def _close_later(self) -> None:
        """Close in a thread of its own: a silent peer keeps the closing handshake waiting."""
        threading.Thread(target=self._socket.close, name="peer-link-close", daemon=True).start()

    def _read(self) -> None:
        try:
            for data in self._socket:
                self._health.heard(time.monotonic())
                self._take(convert(from_cbor(_bytes(data)), Frame))
        except (WebSocketException, BadRequest, OSError):
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


def limit_send(sock: socket.socket, seconds: float) -> None:
    """Have the kernel end a send that makes no progress for so long."""
    fraction, whole = math.modf(seconds)
    value = _TIMEVAL.pack(int(whole), int(fraction * 1_000_000))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, value)


def _bytes(data: str | bytes) -> bytes:
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
