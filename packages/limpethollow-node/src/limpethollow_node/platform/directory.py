"""HTTP handlers for the directory address and for the platform's readiness checks."""

from collections.abc import Callable
from urllib.parse import parse_qs

import msgspec

from limpethollow_node.engine.connection.callers import Exchange, error_reply
from limpethollow_node.engine.messages import Reply
from limpethollow_wire.exceptions import NotFound

_JSON = (b"Content-Type", b"application/json")


class DirectoryHandler:
    """Answers callers that ask which addresses to connect to.

    Args:
        choose_addresses: Returns the addresses for a caller in a failure domain.
        ttl: Returns for how many seconds callers may cache the addresses.
    """

    __slots__ = ("_choose_addresses", "_ttl")

    def __init__(
        self, choose_addresses: Callable[[str], list[str]], ttl: Callable[[], float]
    ) -> None:
        self._choose_addresses = choose_addresses
        self._ttl = ttl

    def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        path, _, query = exchange.request.target.partition(b"?")
        if path != b"/resolve":
            exchange.respond(error_reply(NotFound("Only /resolve is served here.")))
            return
        zone = parse_qs(query.decode("latin-1")).get("zone", [""])[0]
        body = {"addrs": self._choose_addresses(zone), "ttl_s": self._ttl()}
        exchange.respond(Reply(200, [_JSON], msgspec.json.encode(body)))


class ReadinessHandler:
    """Answers readiness checks.

    Args:
        is_ready: Returns whether this instance accepts callers' requests.
    """

    __slots__ = ("_is_ready",)

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def handle(self, exchange: Exchange) -> None:
        """Answer one check."""
        exchange.respond(Reply(200 if self._is_ready() else 503))
