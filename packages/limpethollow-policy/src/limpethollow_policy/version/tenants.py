"""Teams that share a deployment: their keys, priority, quota and home regions."""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

_DIGEST_BYTES = 16
_DIGEST_PURPOSE = b"limpethollow-key"
# Copied for each key, which takes less time than a new one.
_EMPTY_DIGEST = blake2b(digest_size=_DIGEST_BYTES, person=_DIGEST_PURPOSE)


def key_digest(key: bytes) -> bytes:
    """Return the digest of a caller's key; instances store and exchange only digests."""
    digest = _EMPTY_DIGEST.copy()
    digest.update(key)
    return digest.digest()


@dataclass(slots=True, frozen=True)
class Tenant:
    """A team whose callers use the service with its keys.

    Attributes:
        name: Its name, which searchers are told.
        keys: Digests of its keys.
        priority: Rank of its requests, 0 first; None to use the route's.
        rate: Requests per second that it may send to all instances together; 0 for no limit.
        burst: Requests that it may send at once beyond the rate.
        homes: Regions that may process its requests; empty for all.
    """

    name: str
    keys: tuple[bytes, ...]
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    homes: tuple[str, ...] = ()


class TenantTable:
    """The teams of one version, by key digest and by name.

    Args:
        tenants: The teams. If two hold the same key, the first one counts.
    """

    __slots__ = ("_by_digest", "_by_name")

    def __init__(self, tenants: Iterable[Tenant] = ()) -> None:
        self._by_digest: dict[bytes, Tenant] = {}
        self._by_name: dict[str, Tenant] = {}
        for tenant in tenants:
            self._by_name.setdefault(tenant.name, tenant)
            for digest in tenant.keys:
                self._by_digest.setdefault(digest, tenant)

    def __bool__(self) -> bool:
        return bool(self._by_name)

    def holder(self, digest: bytes) -> Tenant | None:
        """Return the team that holds a key; None if the key is unknown."""
        return self._by_digest.get(digest)

    def named(self, name: str) -> Tenant | None:
        """Return a team by its name."""
        return self._by_name.get(name)
