"""Answers callers that ask where to connect, and the platform's readiness checks."""

from collections.abc import Callable
from urllib.parse import parse_qs

import msgspec

from limpethollow_node.engine.connection.callers import Exchange, error_reply
from limpethollow_node.engine.messages import Reply
from limpethollow_wire.exceptions import NotFound

_JSON = (b"Content-Type", b"application/json")


class DirectoryAnswers:
    """Handles requests on the directory address.

    Args:
        choose: Returns the addresses for a caller in a failure domain.
        lifetime: Returns for how many seconds callers may keep them.
    """

    __slots__ = ("_choose", "_lifetime")

    def __init__(self, choose: Callable[[str], list[str]], lifetime: Callable[[], float]) -> None:
        self._choose = choose
        self._lifetime = lifetime

    def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        path, _, query = exchange.request.target.partition(b"?")
        if path != b"/resolve":
            exchange.respond(error_reply(NotFound("Only /resolve is served here.")))
            return
        zone = parse_qs(query.decode("latin-1")).get("zone", [""])[0]
        body = {"addrs": self._choose(zone), "ttl_s": self._lifetime()}
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
