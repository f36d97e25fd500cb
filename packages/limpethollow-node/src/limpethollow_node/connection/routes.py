"""Requests, replies and the registry that finds a request's handler."""

import re
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, TypeVar

from limpethollow_wire.codecs import from_json
from limpethollow_wire.exceptions import MethodNotAllowed, NotFound

T = TypeVar("T")

_SHOWN_PATH_LENGTH = 100


@dataclass(slots=True)
class HttpRequest:
    """One request as handlers see it.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        names: Parts of the path that the route names.
        authorization: Authorization header, None where there is none.
        body: The body, read in full.
        connection: The connection it came on.
    """

    method: str
    path: str
    authorization: str | None = None
    body: bytes = b""
    names: dict[str, str] = field(default_factory=dict)
    connection: socket.socket | None = None

    def message(self, kind: type[T]) -> T:
        """Decode the body as JSON into a typed message.

        Raises:
            BadRequest: The body is not such a message.
        """
        return from_json(self.body, kind)


@dataclass(slots=True)
class HttpReply:
    """One reply.

    Attributes:
        body: A message, or text.
        status: HTTP status.
    """

    body: Any
    status: int = 200


Handler = Callable[[Any, HttpRequest], HttpReply]


class Routes:
    """Registry of handlers by method and path pattern.

    Usage:
        ROUTES = Routes()

        @ROUTES.add("GET", "/v1/services/{service}/route")
        def route(context, request): ...
    """

    def __init__(self) -> None:
        self._handlers: list[tuple[str, re.Pattern[str], Handler]] = []

    def add(self, method: str, pattern: str) -> Callable[[Handler], Handler]:
        """Register a handler; `{name}` in the pattern matches one path segment."""
        expression = re.compile(re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", pattern))

        def register(handler: Handler) -> Handler:
            self._handlers.append((method, expression, handler))
            return handler

        return register

    def find(self, method: str, path: str) -> tuple[Handler, dict[str, str]]:
        """Return the handler of a path and the parts of the path it names.

        Raises:
            NotFound: No route matches the path.
            MethodNotAllowed: The path is known, but not with this method.
        """
        allowed = []
        for known_method, expression, handler in self._handlers:
            match = expression.fullmatch(path)
            if match and known_method == method:
                return handler, match.groupdict()
            if match:
                allowed.append(known_method)
        shown = path[:_SHOWN_PATH_LENGTH]
        if allowed:
            raise MethodNotAllowed(
                f"{shown} can't be used with {method[:10]}.", remedy=f"Use {' or '.join(allowed)}."
            )
        raise NotFound(f"There is no {shown} here.")
