"""Requests as consumers send them."""

import http.client
import time
from dataclasses import dataclass

from review.support.searchers import REQUEST_ID, STAMP

HOST = "host.example"


@dataclass(slots=True, frozen=True)
class Attempt:
    """One attempt of a consumer.

    Attributes:
        request: Its id.
        address: Where it was sent.
        sent: Monotonic second at which its last byte was sent; 0 where it couldn't be sent.
        ended: Monotonic second of the answer, or of the end of the connection.
        status: The answer's status; None where the connection ended without a whole answer.
        stamp: The searcher's proof, if there is one.
        error: Why there is no answer.
    """

    request: str
    address: str
    sent: float
    ended: float
    status: int | None
    stamp: str | None = None
    error: str = ""


def send(
    address: str,
    path: str,
    request: str,
    *,
    method: str = "GET",
    body: bytes | None = None,
    seconds: float = 4.0,
) -> Attempt:
    """Send a request on a connection of its own and wait for the whole answer.

    Args:
        address: A machine's front address.
        path: The path.
        request: The attempt's id.
        method: The method.
        body: The body.
        seconds: How long the consumer waits.
    """
    connection = http.client.HTTPConnection(address, timeout=1.0)
    sent = 0.0
    try:
        connection.connect()
        connection.sock.settimeout(seconds + 0.5)
        connection.putrequest(method, path, skip_host=True, skip_accept_encoding=True)
        connection.putheader("Host", HOST)
        connection.putheader(REQUEST_ID, request)
        connection.putheader("X-Limpethollow-Deadline-Ms", str(int(seconds * 1000)))
        if body is not None:
            connection.putheader("Content-Length", str(len(body)))
        connection.endheaders(body)
        sent = time.monotonic()
        answer = connection.getresponse()
        answer.read()
    except (OSError, http.client.HTTPException) as error:
        ended = time.monotonic()
        return Attempt(request, address, sent, ended, None, error=repr(error))
    finally:
        connection.close()
    ended = time.monotonic()
    return Attempt(request, address, sent, ended, answer.status, answer.getheader(STAMP))
