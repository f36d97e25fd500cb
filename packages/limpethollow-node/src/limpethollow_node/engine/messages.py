"""HTTP requests and replies, and the header names that a deployment uses."""

from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b

from limpethollow_policy.process.loadreports import LoadReport

Headers = list[tuple[bytes, bytes]]

# Large enough to make collisions between requests practically impossible.
_FINGERPRINT_BYTES = 16

# Hop-by-hop headers (RFC 9110, 7.6.1), which are not forwarded.
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

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
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
    """Lower-case names of the headers that are specific to a deployment.

    Attributes:
        request_id: Id of the caller's request; echoed in replies.
        time_left: Milliseconds until the sender stops waiting.
        expected_searcher: Id of the only searcher that may run the request.
        proof: The searcher's signature of its reply.
        not_run: Present if the searcher did not run the request.
        part_proofs: Signatures of the parts in a search reply.
        missing_parts: Number of shards missing from a search reply.
        load: The searcher's load report.
        decode_load: Decodes the load header; raises `BadRequest` if it is invalid.
        tenant: Name of the team whose key the caller's request carries.
        key: The caller's key, after its scheme.
        key_scheme: Scheme of the key, in lower case.
        cold_left: Milliseconds for which the searcher stays cold.
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
    tenant: bytes = b"x-tenant"
    key: bytes = b"authorization"
    key_scheme: bytes = b"token"
    cold_left: bytes = b"x-cold-ms"


@dataclass(slots=True)
class Request:
    """A complete request from a caller."""

    method: bytes
    target: bytes
    headers: Headers = field(repr=False)
    body: bytes = b""
    keep_alive: bool = True
    _owner: bytes | None = field(default=None, init=False, repr=False, compare=False)
    _fingerprint: str | None = field(default=None, init=False, repr=False, compare=False)

    @property
    def fingerprint(self) -> str:
        """Return a digest of the request and its credentials that is the same for each retry.

        Ids and deadlines are excluded because they differ between retries. The credentials are the
        owner if one was set with `set_owner`, and the authorization header otherwise.
        """
        if self._fingerprint is None:
            digest = blake2b(digest_size=_FINGERPRINT_BYTES)
            host = (self.header(b"host") or b"").lower()
            credentials = self._owner
            if credentials is None:
                credentials = self.header(b"authorization") or b""
            for part in (self.method, host, self.target, credentials, self.body):
                digest.update(b"%d:%b" % (len(part), part))
            self._fingerprint = digest.hexdigest()
        return self._fingerprint

    @property
    def path(self) -> str:
        """Return the path of the target, without the query string."""
        return self.target.partition(b"?")[0].decode("latin-1")

    def set_owner(self, owner: str) -> None:
        """Identify the request by the name of its team instead of its key.

        Fingerprints are logged and sent to other instances, and a digest that includes a key would
        allow guesses of the key to be checked.

        Args:
            owner: Name of the team; empty for a request without a team.
        """
        self._owner = owner.encode()
        self._fingerprint = None

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header with a name, given in lower case; None if none."""
        return find_header(self.headers, name)


@dataclass(slots=True)
class Reply:
    """A complete reply, to a caller or from a searcher."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    _by_name: dict[bytes, bytes] | None = field(default=None, init=False, repr=False, compare=False)

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header with a name, given in lower case; None if none.

        Five headers are looked up in each searcher's reply, and a search has one reply per shard,
        so the lower-case names are computed once.
        """
        if self._by_name is None:
            # In reverse order, so that the first header of a name takes precedence.
            self._by_name = {key.lower(): value for key, value in reversed(self.headers)}
        return self._by_name.get(name)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header with a name, given in lower case; None if none."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end(headers: Headers, drop: frozenset[bytes] = frozenset()) -> Headers:
    """Return the end-to-end headers, which are forwarded.

    Args:
        headers: All headers of a message.
        drop: Lower-case names of further headers to exclude.
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
    """Return the headers in wire format, without the empty line that ends them."""
    return b"".join(b"%b: %b\r\n" % header for header in headers)
