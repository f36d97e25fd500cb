"""Digests, comparison and parsing of caller, operator and peer keys."""

import hashlib
import hmac

from limpethollow_wire.exceptions import Unauthorized

_BEARER = "Bearer "


def key_digest(key: str) -> str:
    """Return the hex SHA-256 digest that is stored in place of a caller's key."""
    return hashlib.sha256(key.encode()).hexdigest()


def keys_equal(given: str, expected: str) -> bool:
    """Compare two keys in constant time to prevent timing attacks on the expected key."""
    return hmac.compare_digest(given.encode(), expected.encode())


def parse_bearer_key(header: str | None) -> str:
    """Extract the key from an Authorization header.

    Raises:
        Unauthorized: The header is missing or contains no bearer key.
    """
    if not header or not header.startswith(_BEARER):
        raise Unauthorized("The request has no bearer key.")
    return header[len(_BEARER) :].strip()
