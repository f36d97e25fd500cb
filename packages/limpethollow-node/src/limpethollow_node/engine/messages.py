"""Requests and replies inside the engine, and the header names that a deployment speaks."""

from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b

from limpethollow_policy.process.loadreports import LoadReport

Headers = list[tuple[bytes, bytes]]

# Enough that two requests never have the same by chance.
_FINGERPRINT_BYTES = 16

# Headers that concern one connection only (RFC 9110, 7.6.1); both sides write their own.
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


@dataclass(slots=True, frozen=True)
class HeaderNames:
    """Names, in lower case, of the headers that a deployment gives a meaning.

    Attributes:
        request_id: Id of a caller's request; replies echo it.
        time_left: Milliseconds that the sender will still wait.
        expected_searcher: Id of the only searcher that shall run the request.
        proof: The searcher's signature under a reply.
        not_run: Present where a searcher did not run the request.
        part_proofs: Signatures of the parts in a search's answer.
        missing_parts: Number of shards left out of a search's answer.
        load: What a searcher says of its load.
        decode_load: Decodes that header; raises `BadRequest` where it can't be read.
    """

    request_id: bytes
    time_left: bytes
    expected_searcher: bytes
    proof: bytes
    not_run: bytes
    part_proofs: bytes
    missing_parts: bytes
    load: bytes
    decode_load: Callable[[bytes], LoadReport]


@dataclass(slots=True)
class Request:
    """A whole request as a caller sent it."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
    keep_alive: bool = True
    _fingerprint: str | None = field(default=None, init=False, repr=False, compare=False)

    @property
    def fingerprint(self) -> str:
        """Return a digest of what is asked by whom: the same for each repeat of the request.

        Ids and deadlines differ between repeats, and are left out.
        """
        if self._fingerprint is None:
            digest = blake2b(digest_size=_FINGERPRINT_BYTES)
            host = (self.header(b"host") or b"").lower()
            credentials = self.header(b"authorization") or b""
            for part in (self.method, host, self.target, credentials, self.body):
                digest.update(b"%d:%b" % (len(part), part))
            self._fingerprint = digest.hexdigest()
        return self._fingerprint

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    def header(self, name: bytes) -> bytes | None:
        """Return the first header of a name in lower case."""
        return find_header(self.headers, name)


@dataclass(slots=True)
class Reply:
    """A whole reply, to a caller or from a searcher."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    _by_name: dict[bytes, bytes] | None = field(default=None, init=False, repr=False, compare=False)

    def header(self, name: bytes) -> bytes | None:
        """Return the first header of a name in lower case.

        A searcher's reply is asked for five names, and a search has one reply for each shard; so
        the names are put in lower case once.
        """
        if self._by_name is None:
            # Backwards, so that the first header of a name stays.
            self._by_name = {key.lower(): value for key, value in reversed(self.headers)}
        return self._by_name.get(name)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header of a name in lower case, None where there is none."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end(headers: Headers, drop: frozenset[bytes] = frozenset()) -> Headers:
    """Return the headers that are passed on.

    Args:
        headers: All headers of a message.
        drop: Further names in lower case to leave out.
    """
    named = find_header(headers, b"connection")
    if named is not None:
        drop = drop | {name.strip().lower() for name in named.split(b",")}
    return [
        (key, value)
        for key, value in headers
        if (lower := key.lower()) not in CONNECTION_HEADERS and lower not in drop
    ]


def render_headers(headers: Headers) -> bytes:
    """Return headers as they stand on the wire, without the empty line after them."""
    return b"".join(b"%b: %b\r\n" % header for header in headers)
