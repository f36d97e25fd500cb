"""Checks the keys of callers' requests."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from limpethollow_node.engine.messages import HeaderNames, Request
from limpethollow_policy.request.permits import Permit
from limpethollow_policy.version.routes import CurrentVersion, Route
from limpethollow_policy.version.tenants import Tenant, TenantTable, key_digest
from limpethollow_wire.exceptions import (
    BadRequest,
    KeyRejected,
    LimpethollowError,
    Unavailable,
)

# `Retry-After` in seconds of a request that may be accepted once this instance has confirmed its
# configuration, or by another instance.
_RETRY_AFTER = 0.25
# Longer keys are unknown without being hashed, which would take 16 us at the header limit.
_MAX_KEY_BYTES = 4096


@dataclass(slots=True, frozen=True)
class KeyBounds:
    """Time limits for the use of keys.

    Attributes:
        config_apply: Seconds within which a version must be in force after its acceptance.
    """

    config_apply: float = 5.0


class AccessControl:
    """Decides whether a request may run, and for which team.

    Args:
        versions: Holds the active version.
        names: The deployment's header names.
        clock: Returns the monotonic time in seconds by which versions are confirmed.

    Attributes:
        bounds: The time limits.
    """

    __slots__ = ("_clock", "_names", "_versions", "bounds")

    def __init__(
        self, versions: CurrentVersion, names: HeaderNames, clock: Callable[[], float]
    ) -> None:
        self._versions = versions
        self._names = names
        self._clock = clock
        self.bounds = KeyBounds()

    def hide_key(self, request: Request) -> None:
        """Exclude the key from the request's fingerprint if the version in force has teams."""
        if self._versions.tenants:
            request.set_owner("")

    def admit(self, request: Request, route: Route) -> Permit:
        """Return the permit of a request.

        Args:
            request: The caller's request.
            route: Its route.

        Raises:
            BadRequest: The request has two headers for keys.
            KeyRejected: The route needs a key, and no team holds the request's key.
            Unavailable: The key is unknown, but the version in force may be out of date.
        """
        version, tenants = self._versions.current.number, self._versions.tenants
        if not tenants:
            return Permit(
                route.priority,
                version=version,
                homes=_common_homes(route, None),
                may_send=self._has_no_teams,
                refusal=_changed,
            )
        request.set_owner("")
        digest = self._digest_of(request)
        tenant = None if digest is None else tenants.holder(digest)
        if tenant is None:
            if not route.public:
                raise self._unknown_key(has_key=digest is not None)
            return Permit(
                route.priority, version=version, homes=_common_homes(route, None), drops_key=True
            )
        request.set_owner(tenant.name)
        return Permit(
            route.priority if tenant.priority is None else tenant.priority,
            tenant,
            digest,
            version,
            _common_homes(route, tenant),
            partial(self._is_holder, digest, tenant.name),
            partial(self._refusal, digest),
            drops_key=True,
        )

    def _digest_of(self, request: Request) -> bytes | None:
        """Return the digest of a request's key; None if it has no key of the expected form.

        Raises:
            BadRequest: The request has two headers for keys.
        """
        values = [value for name, value in request.headers if name.lower() == self._names.key]
        if len(values) > 1:
            raise BadRequest(f"The request has more than one {self._names.key.decode()} header.")
        if not values or len(values[0]) > _MAX_KEY_BYTES:
            return None
        scheme, _, key = values[0].strip().partition(b" ")
        key = key.strip()
        if scheme.lower() != self._names.key_scheme or not key or not key.isascii():
            return None
        return key_digest(key)

    def _unknown_key(self, *, has_key: bool) -> LimpethollowError:
        """Return the error for an unknown key, or for a request without one.

        A key that this instance does not know may be in a newer version, so a request is rejected
        only while the version in force is known to be the newest.
        """
        if self._versions.age(self._clock()) > self.bounds.config_apply:
            return Unavailable(
                "The key is not known here, but the configuration may be out of date.",
                retry_after=_RETRY_AFTER,
            )
        if has_key:
            return KeyRejected("No team holds the key.")
        return KeyRejected("The request has no valid key.")

    def _has_no_teams(self) -> bool:
        """Return whether a request that was admitted without a key may be sent with its headers.

        Its headers may contain a key, which must not reach a searcher once there are teams.
        """
        return not self._versions.tenants

    def _is_holder(self, digest: bytes, name: str) -> bool:
        """Return whether the version in force assigns a key to a team."""
        return _holds(self._versions.tenants, digest, name)

    def _refusal(self, digest: bytes) -> LimpethollowError:
        """Return the error for a request whose key no longer belongs to its team."""
        if self._versions.tenants.holder(digest) is None:
            return self._unknown_key(has_key=True)
        return _changed()


def _changed() -> LimpethollowError:
    return Unavailable(
        "The configuration of the teams changed before the request was sent.",
        retry_after=_RETRY_AFTER,
    )


def _holds(tenants: TenantTable, digest: bytes, name: str) -> bool:
    holder = tenants.holder(digest)
    return holder is not None and holder.name == name


def _common_homes(route: Route, tenant: Tenant | None) -> frozenset[str] | None:
    """Return the regions allowed by both the route and the team; None if neither restricts them."""
    if tenant is None or not tenant.homes:
        return frozenset(route.homes) if route.homes else None
    if not route.homes:
        return frozenset(tenant.homes)
    return frozenset(route.homes) & frozenset(tenant.homes)
