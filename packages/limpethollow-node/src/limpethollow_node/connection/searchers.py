"""Calls to one searcher."""

import threading
import time
from collections.abc import Callable
from http.client import HTTPException
from typing import Any, TypeVar

from urllib3 import BaseHTTPResponse
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from limpethollow_node.connection.pools import ConnectionPools, Lease, NoConnection
from limpethollow_node.connection.reply_bytes import ReplyBody, ReplyTooLarge
from limpethollow_node.process import events
from limpethollow_node.process.metrics import Metrics
from limpethollow_node.process.timers import Timers
from limpethollow_policy.request.events import Failure
from limpethollow_wire.bookings import SearcherBooking, SearcherBookingReply
from limpethollow_wire.codecs import from_json, to_json
from limpethollow_wire.exceptions import BadRequest
from limpethollow_wire.limits import MAX_REPLY_BYTES
from limpethollow_wire.searches import SearcherCall, SearcherReply
from limpethollow_wire.services import SearcherSpec

T = TypeVar("T")

_CONNECT_TIMEOUT = 0.25
_CONTROL_TIMEOUT = 0.5
_CANCEL_PATIENCE = 0.1
_OVERTIME = 0.1
_SMALLEST_TIMEOUT = 0.001
_CHUNK_BYTES = 64 * 1024
_JSON = {"Content-Type": "application/json"}


class CallFailed(Exception):
    """A call to a searcher gave no reply that can be used.

    Attributes:
        failure: How it failed.
        retry_after: Seconds after which the searcher wants to be tried again.
    """

    def __init__(self, failure: Failure, retry_after: float | None = None) -> None:
        super().__init__(failure)
        self.failure = failure
        self.retry_after = retry_after


class _OpenCall:
    """A call on its way, which another thread may cancel.

    Attributes:
        lease: Its connection, None before it has one.
        is_cancelled: Whether nobody wants it any more.
        ended: Set once it gave its result.
    """

    __slots__ = ("ended", "is_cancelled", "lease")

    def __init__(self) -> None:
        self.lease: Lease | None = None
        self.is_cancelled = False
        self.ended = threading.Event()

    def abort(self) -> None:
        """End the call at once if it has a connection."""
        if self.lease is not None:
            self.lease.abort()


class SearcherClient:
    """Calls one searcher over the bounded, kept connections of its pool.

    A connection whose call failed in any way is closed and never used again: its reply might
    still come and be taken for the answer to the next call.

    Args:
        pools: Connections to all searchers.
        searcher: The searcher.
        timers: Where the end of calls without a cancel is set.
        metrics: Where cancels are counted.
    """

    def __init__(
        self,
        pools: ConnectionPools,
        searcher: SearcherSpec,
        timers: Timers,
        metrics: Metrics,
    ) -> None:
        self._pools = pools
        self._id = searcher.id
        self._pool = pools.acquire(searcher)
        self._timers = timers
        self._metrics = metrics
        self._calls: dict[str, _OpenCall] = {}

    def __enter__(self) -> "SearcherClient":
        return self

    def __exit__(self, *_: object) -> None:
        self._pools.release(self._pool)

    def search(self, call: SearcherCall) -> SearcherReply:
        """Send a search, or only ask for the inventory.

        Raises:
            CallFailed: There is no reply that can be used.
        """

        def echoes(reply: SearcherReply) -> bool:
            return (reply.request_id, reply.service) == (call.request_id, call.service)

        open_call = self._calls[call.request_id] = _OpenCall()
        control = not call.queries
        try:
            return self._post(
                "/search", call, SearcherReply, call.timeout, echoes, open_call, control=control
            )
        except CallFailed:
            if open_call.is_cancelled:
                raise CallFailed(Failure.CANCELLED) from None
            raise
        finally:
            open_call.ended.set()
            self._calls.pop(call.request_id, None)

    def cancel(self, request_id: str) -> None:
        """Tell the searcher that nobody wants a call any more; failures don't matter.

        The word goes out on another connection, so that the searcher can end the call and answer
        it at once: then its connection stays warm. Where no reply follows, the connection is shut
        down, which frees the thread that waits on it.
        """
        open_call = self._calls.get(request_id)
        if open_call is None:
            return
        open_call.is_cancelled = True
        body = {"request_id": request_id}
        try:
            self._post(
                "/cancel", body, dict[str, Any], _CONTROL_TIMEOUT, _any, _OpenCall(), control=True
            )
        except CallFailed:
            self._metrics.count("searcher_cancels", "not_told")
        if not open_call.ended.wait(_CANCEL_PATIENCE):
            self._metrics.count("searcher_cancels", "shut_down")
            open_call.abort()

    def book(self, booking: SearcherBooking) -> SearcherBookingReply:
        """Send a booking.

        Raises:
            CallFailed: There is no reply that can be used; only `REFUSED` and `SHED` prove that
                it was not run.
        """
        return self._token_reply(
            "/book", booking, booking.token, booking.timeout, _OpenCall(), control=False
        )

    def look_up(self, token: str, *, void: bool) -> SearcherBookingReply:
        """Ask what became of a token.

        Args:
            token: Text form of the token.
            void: Whether the searcher shall void it if it never started.

        Raises:
            CallFailed: There is no reply that can be used.
        """
        body = {"token": token, "void": void}
        return self._token_reply(
            "/bookings/look-up", body, token, _CONTROL_TIMEOUT, _OpenCall(), control=True
        )

    def _token_reply(
        self, path: str, body: Any, token: str, seconds: float, call: _OpenCall, *, control: bool
    ) -> SearcherBookingReply:
        def echoes(reply: SearcherBookingReply) -> bool:
            return reply.token == token

        return self._post(path, body, SearcherBookingReply, seconds, echoes, call, control=control)

    def _post(
        self,
        path: str,
        body: Any,
        kind: type[T],
        seconds: float,
        echoes: Callable[[T], bool],
        call: _OpenCall,
        *,
        control: bool,
    ) -> T:
        deadline = time.monotonic() + max(seconds, _SMALLEST_TIMEOUT)
        # Each byte of a head or a trailer starts the socket's timeout anew, and `http.client` reads
        # any number of interim replies and trailers.
        self._timers.call_at(deadline + _OVERTIME, call.abort)
        try:
            lease = self._pool.lease(deadline, control=control)
        except NoConnection:
            raise CallFailed(Failure.REFUSED) from None
        with self._pools.reply_bytes.body() as reply_body, lease:
            call.lease = lease
            _open(lease, call, deadline)
            try:
                response = _exchange(lease, path, to_json(body), deadline, reply_body)
            except ReplyTooLarge:
                self._metrics.count("replies_cut_off", "body")
                events.REPLY_CUT_OFF.log(searcher=self._id, limit="body")
                raise CallFailed(Failure.BROKEN) from None
            except CallFailed:
                if lease.aborted and time.monotonic() >= deadline:
                    raise CallFailed(Failure.TIMEOUT) from None
                raise
            reply = _read(reply_body.data, kind) if response.status == 200 else None
            if reply is not None and not echoes(reply):
                raise CallFailed(Failure.MISMATCHED)
            lease.completed()
        if reply is None:
            raise _refusal(response)
        return reply


def _any(reply: Any) -> bool:
    return True


def _open(lease: Lease, call: _OpenCall, deadline: float) -> None:
    """Make the connection ready; whatever fails here proves that no byte was sent."""
    try:
        lease.open(min(_CONNECT_TIMEOUT, max(deadline - time.monotonic(), _SMALLEST_TIMEOUT)))
    except (OSError, HTTPError):
        raise CallFailed(Failure.REFUSED) from None
    if call.is_cancelled or lease.aborted or time.monotonic() >= deadline:
        raise CallFailed(Failure.REFUSED)


def _exchange(
    lease: Lease, path: str, body: bytes, deadline: float, reply_body: ReplyBody
) -> BaseHTTPResponse:
    """Send a request and read its whole reply; from here on it may have run."""
    connection = lease.connection
    connection.timeout = max(deadline - time.monotonic(), _SMALLEST_TIMEOUT)
    sock = connection.sock
    try:
        response = _response(connection, path, body)
        _read_body(response, sock, deadline, reply_body)
        return response
    except TimeoutError:
        raise CallFailed(Failure.TIMEOUT) from None
    except (OSError, HTTPException, HTTPError, ValueError) as error:
        raise CallFailed(_failure_of(error)) from None


def _response(connection: HTTPConnection, path: str, body: bytes) -> BaseHTTPResponse:
    """Send a request and return the response, whose body is still to be read.

    Raises:
        CallFailed: The connection ended before any byte of it.
    """
    try:
        connection.request("POST", path, body=body, headers=_JSON, preload_content=False)
        return connection.getresponse()
    except ConnectionError:
        raise CallFailed(Failure.LOST) from None


def _read_body(response: BaseHTTPResponse, sock: Any, deadline: float, body: ReplyBody) -> None:
    """Read a body within the deadline and its bound, however small its pieces are.

    Raises:
        ReplyTooLarge: It is over its bound.
        CallFailed: It is not complete at the deadline.
    """
    while True:
        sock.settimeout(max(deadline - time.monotonic(), _SMALLEST_TIMEOUT))
        chunk = response.read1(_CHUNK_BYTES, decode_content=False)
        if not chunk:
            return
        body.add(chunk)
        if time.monotonic() >= deadline:
            raise CallFailed(Failure.TIMEOUT)


def _read(data: bytearray, kind: type[T]) -> T:
    try:
        return from_json(data, kind, MAX_REPLY_BYTES)
    except BadRequest:
        raise CallFailed(Failure.BROKEN) from None


def _refusal(response: BaseHTTPResponse) -> CallFailed:
    if response.status == 503:
        return CallFailed(Failure.SHED, _retry_after(response))
    return CallFailed(Failure.BROKEN)


def _failure_of(error: Exception) -> Failure:
    """Tell a timeout inside `urllib3` from a broken connection."""
    if isinstance(error.__cause__ or error.__context__, TimeoutError):
        return Failure.TIMEOUT
    return Failure.BROKEN


def _retry_after(reply: BaseHTTPResponse) -> float | None:
    try:
        return float(reply.headers["Retry-After"])
    except (KeyError, ValueError):
        return None
