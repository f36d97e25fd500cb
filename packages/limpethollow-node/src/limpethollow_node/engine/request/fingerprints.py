"""What a request asks for, as a short digest: the same for each repeat of it."""

from hashlib import blake2b

from limpethollow_node.engine.messages import Request

_DIGEST_BYTES = 16


def fingerprint_of(request: Request) -> str:
    """Return the digest of a request's method, host, target, credentials and body.

    Ids and deadlines differ between repeats, and are left out.
    """
    digest = blake2b(digest_size=_DIGEST_BYTES)
    host = (request.header(b"host") or b"").lower()
    credentials = request.header(b"authorization") or b""
    for field in (request.method, host, request.target, credentials, request.body):
        digest.update(b"%d:%b" % (len(field), field))
    return digest.hexdigest()
