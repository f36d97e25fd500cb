"""Connections to one searcher and the calls on them."""

import threading
import time
from typing import Any, TypeVar

import urllib3

from limpethollow_policy.connection.budgets import connections_per_searcher
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


class SearcherClient:
    """Calls one searcher over a bounded number of kept connections.

    A connection whose call failed in any way is closed and never used again: its reply might
    still come and be taken for the answer to the next call.

    Args:
        spec: The searcher.
    """

    def __init__(self, spec: SearcherSpec) -> None:
        host, _, port = spec.address.rpartition(":")
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=connections_per_searcher(spec), block=True, retries=False
        )
        self._lock = threading.Lock()
        self._last_used = time.monotonic()

    def __enter__(self) -> "SearcherClient":
        return self

    def __exit__(self, *_: object) -> None:
        self._pool.close()

    def search(self, call: SearcherCall) -> SearcherReply:
        """Send a search, or only ask for the inventory.

        Raises:
            CallFailed: There is no reply that can be used.
        """
        reply = self._post("/search", call, SearcherReply, call.timeout)
        if (reply.request_id, reply.service) != (call.request_id, call.service):
            self._pool.close()
            raise CallFailed(Failure.MISMATCHED)
        return reply

    def cancel(self, request_id: str) -> None:
        """Tell the searcher that nobody wants a call any more; failures don't matter."""
        body = {"request_id": request_id}
        try:
            self._post("/cancel", body, dict[str, Any], _CONTROL_TIMEOUT)
        except CallFailed:
            return

    def book(self, booking: SearcherBooking) -> SearcherBookingReply:
        """Send a booking.

        Raises:
            CallFailed: There is no reply that can be used; only `REFUSED` and `SHED` prove that
                it was not run.
        """
        return self._token_reply("/book", booking, booking.token, booking.timeout)

    def look_up(self, token: str, *, void: bool) -> SearcherBookingReply:
        """Ask what became of a token.

        Args:
            token: Text form of the token.
            void: Whether the searcher shall void it if it never started.

        Raises:
            CallFailed: There is no reply that can be used.
        """
        body = {"token": token, "void": void}
        return self._token_reply("/bookings/look-up", body, token, _CONTROL_TIMEOUT)

    def _token_reply(self, path: str, body: Any, token: str, timeout: float) -> Any:
        reply = self._post(path, body, SearcherBookingReply, timeout)
        if reply.token != token:
            self._pool.close()
            raise CallFailed(Failure.MISMATCHED)
        return reply

    def _post(self, path: str, body: Any, kind: type[T], seconds: float) -> T:
        seconds = max(seconds, 0.001)
        timeout = urllib3.Timeout(connect=min(_CONNECT_TIMEOUT, seconds), total=seconds)
        try:
            reply = self._pool.urlopen(
                "POST",
                path,
                body=to_json(body),
                headers=_JSON,
                timeout=timeout,
                pool_timeout=seconds,
                retries=False,
            )
        except urllib3.exceptions.HTTPError as error:
            raise CallFailed(_failure_of(error)) from None
        return self._read(reply, kind)

    def _read(self, reply: urllib3.BaseHTTPResponse, kind: type[T]) -> T:
        if reply.status == 503:
            raise CallFailed(Failure.SHED, _retry_after(reply))
        if reply.status != 200:
            raise CallFailed(Failure.BROKEN)
        try:
            return from_json(reply.data, kind, MAX_REPLY_BYTES)
        except BadRequest:
            raise CallFailed(Failure.BROKEN) from None


def _failure_of(error: urllib3.exceptions.HTTPError) -> Failure:
    """Tell apart what proves that no byte was sent from what proves nothing."""
    not_sent = (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
        urllib3.exceptions.EmptyPoolError,
    )
    if isinstance(error, not_sent):
        return Failure.REFUSED
    if isinstance(error, urllib3.exceptions.TimeoutError):
        return Failure.TIMEOUT
    return Failure.BROKEN


def _retry_after(reply: urllib3.BaseHTTPResponse) -> float | None:
    try:
        return float(reply.headers["Retry-After"])
    except (KeyError, ValueError):
        return None
