"""What a caller's request is allowed to do, as decided when it arrived."""

from collections.abc import Callable

from limpethollow_policy.version.tenants import Tenant
from limpethollow_wire.exceptions import LimpethollowError, Unavailable


def _always() -> bool:
    return True


def _unavailable() -> LimpethollowError:
    return Unavailable("The request is no longer allowed.")


class Permit:
    """Allows one request to be sent to searchers, as long as `may_send` holds.

    Args:
        priority: Rank of the request, 0 first.
        tenant: The team whose key the request carries; None for a request without a team.
        digest: Digest of that key; empty without a team.
        version: Number of the configuration version by which the request was admitted.
        homes: Regions that may process the request; None for all.
        may_send: Returns whether the request may be sent to a searcher now.
        refusal: Returns the error for a request of which nothing has run when `may_send` fails.
        drops_key: Whether the header with the key is removed before the request is sent to
            searchers.

    Attributes:
        quota_until: Time in seconds of CLOCK_BOOTTIME until which the request's token can be
            returned; 0 if it has none.
    """

    __slots__ = (
        "digest",
        "drops_key",
        "homes",
        "may_send",
        "priority",
        "quota_until",
        "refusal",
        "tenant",
        "version",
    )

    def __init__(
        self,
        priority: int = 0,
        tenant: Tenant | None = None,
        digest: bytes = b"",
        version: int = -1,
        homes: frozenset[str] | None = None,
        may_send: Callable[[], bool] = _always,
        refusal: Callable[[], LimpethollowError] = _unavailable,
        drops_key: bool = False,
    ) -> None:
        self.priority = priority
        self.tenant = tenant
        self.digest = digest
        self.version = version
        self.homes = homes
        self.may_send = may_send
        self.refusal = refusal
        self.drops_key = drops_key
        self.quota_until = 0.0

    @property
    def tenant_name(self) -> str | None:
        """Return the name of the request's team; None without one."""
        return None if self.tenant is None else self.tenant.name


UNRESTRICTED = Permit()
