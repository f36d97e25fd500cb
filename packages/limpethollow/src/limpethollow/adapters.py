"""Transports: how a session's requests reach an instance."""

from abc import ABC, abstractmethod
from typing import Any, TypeVar

import urllib3

from limpethollow.exceptions import NoReply, NotConnected
from limpethollow_wire.codecs import from_json, to_json
from limpethollow_wire.exceptions import BadRequest, error_from_body
from limpethollow_wire.limits import MAX_REPLY_BYTES
from limpethollow_wire.responses import StrictResponse

T = TypeVar("T")

_CONNECT_TIMEOUT = 1.0
_POOLS = 16


class Adapter(ABC):
    """Sends one request to one address and returns the typed reply."""

    @abstractmethod
    def send(
        self,
        address: str,
        method: str,
        path: str,
        key: str,
        reply: type[T],
        body: Any = None,
        timeout: float = 5.0,
    ) -> T:
        """Send one request.

        Raises:
            NotConnected: Nothing was sent.
            NoReply: The request may have been run.
            LimpethollowError: The instance answered with a typed error.
        """

    @abstractmethod
    def close(self) -> None:
        """Close all connections."""


class _Connection(urllib3.connection.HTTPConnection):
    response_class = StrictResponse


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


class HttpAdapter(Adapter):
    """Sends requests over kept HTTP connections."""

    def __init__(self) -> None:
        self._pools = urllib3.PoolManager(num_pools=_POOLS, maxsize=4, retries=False)
        self._pools.pool_classes_by_scheme = {"http": _Pool}

    def send(
        self,
        address: str,
        method: str,
        path: str,
        key: str,
        reply: type[T],
        body: Any = None,
        timeout: float = 5.0,
    ) -> T:
        """Send one request over HTTP."""
        try:
            answer = self._pools.request(
                method,
                f"http://{address}{path}",
                body=None if body is None else to_json(body),
                headers={"Authorization": f"Bearer {key}", "Content-Type": "application/json"},
                timeout=urllib3.Timeout(connect=_CONNECT_TIMEOUT, read=timeout),
                retries=False,
                redirect=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            raise NotConnected(f"No connection to {address} could be made.") from None
        except urllib3.exceptions.HTTPError as error:
            raise NoReply(f"{address} gave no reply ({type(error).__name__}).") from None
        return _typed(address, answer, reply)

    def close(self) -> None:
        """Close all connections."""
        self._pools.clear()


def _typed(address: str, answer: urllib3.BaseHTTPResponse, reply: type[T]) -> T:
    try:
        if answer.status == 200:
            if reply is str:
                return answer.data.decode()
            return from_json(answer.data, reply, MAX_REPLY_BYTES)
        body = from_json(answer.data, dict[str, Any])
    except BadRequest:
        message = f"{address} answered with status {answer.status} and a body that can't be read."
        raise NoReply(message) from None
    raise error_from_body(body)
