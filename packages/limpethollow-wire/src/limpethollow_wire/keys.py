"""Keys of callers, operators and peers: digests and comparison."""

import hashlib
import hmac

from limpethollow_wire.exceptions import Unauthorized

_BEARER = "Bearer "


def key_digest(key: str) -> str:
    """Return the hex digest under which a caller's key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


def keys_equal(given: str, expected: str) -> bool:
    """Compare two keys in constant time, so that timing tells nothing of the expected one."""
    return hmac.compare_digest(given.encode(), expected.encode())


def bearer_key(header: str | None) -> str:
    """Take the key out of an Authorization header.

    Raises:
        Unauthorized: There is no header, or it is not a bearer key.
    """
    if not header or not header.startswith(_BEARER):
        raise Unauthorized("The request has no bearer key.")
    return header[len(_BEARER) :].strip()
