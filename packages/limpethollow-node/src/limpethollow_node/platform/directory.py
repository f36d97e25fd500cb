"""HTTP handlers for the directory address and for the platform's readiness checks."""

from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import parse_qs

import msgspec

from limpethollow_node.engine.connection.callers import Exchange, error_reply
from limpethollow_node.engine.messages import Reply
from limpethollow_wire.exceptions import LimpethollowError, NotFound

_JSON = (b"Content-Type", b"application/json")


@dataclass(slots=True, frozen=True)
class DirectoryQuery:
    """What a caller states when it asks which addresses to connect to.

    Attributes:
        host: The host that it wants to send requests to; empty if not stated.
        region: Its region; empty if not stated.
        zone: Its failure domain; empty if not stated.
    """

    host: str = ""
    region: str = ""
    zone: str = ""


class DirectoryHandler:
    """Answers callers that ask which addresses to connect to.

    Args:
        choose_addresses: Returns the addresses for a query; raises an error if there are none.
        ttl: Returns for how many seconds callers may cache the addresses.
    """

    __slots__ = ("_choose_addresses", "_ttl")

    def __init__(
        self, choose_addresses: Callable[[DirectoryQuery], list[str]], ttl: Callable[[], float]
    ) -> None:
        self._choose_addresses = choose_addresses
        self._ttl = ttl

    def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        path, _, query = exchange.request.target.partition(b"?")
        if path != b"/resolve":
            exchange.respond(error_reply(NotFound("Only /resolve is served here.")))
            return
        try:
            addresses = self._choose_addresses(_decode_query(query))
        except LimpethollowError as error:
            exchange.respond(error_reply(error))
            return
        body = {"addrs": addresses, "ttl_s": self._ttl()}
        exchange.respond(Reply(200, [_JSON], msgspec.json.encode(body)))


def _decode_query(query: bytes) -> DirectoryQuery:
    fields = parse_qs(query.decode("latin-1"))
    host, region, zone = (fields.get(name, [""])[0] for name in ("name", "region", "zone"))
    return DirectoryQuery(host, region, zone)


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
