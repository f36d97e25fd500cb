"""Answers callers that ask where to connect, and the platform's readiness checks."""

from collections.abc import Callable
from urllib.parse import parse_qs

import msgspec

from limpethollow_node.engine.connection.callers import Exchange, error_reply
from limpethollow_node.engine.messages import Reply
from limpethollow_wire.exceptions import NotFound

_JSON = (b"Content-Type", b"application/json")

# Seconds for which callers keep an answer. An instance that died is still used that long; each
# second less costs one small call more a caller and second.
ANSWER_SECONDS = 1.0


class DirectoryAnswers:
    """Handles requests on the directory address.

    Args:
        choose: Returns the addresses for a caller in a failure domain.
    """

    __slots__ = ("_choose",)

    def __init__(self, choose: Callable[[str], list[str]]) -> None:
        self._choose = choose

    def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        path, _, query = exchange.request.target.partition(b"?")
        if path != b"/resolve":
            exchange.respond(error_reply(NotFound("Only /resolve is served here.")))
            return
        zone = parse_qs(query.decode("latin-1")).get("zone", [""])[0]
        body = {"addrs": self._choose(zone), "ttl_s": ANSWER_SECONDS}
        exchange.respond(Reply(200, [_JSON], msgspec.json.encode(body)))


class ReadyAnswers:
    """Handles readiness checks.

    Args:
        is_ready: Returns whether this instance takes callers' requests.
    """

    __slots__ = ("_is_ready",)

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def handle(self, exchange: Exchange) -> None:
        """Answer one check."""
        exchange.respond(Reply(200 if self._is_ready() else 503))
