"""Checks the keys of callers' requests."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random

from limpethollow_node.engine.messages import HeaderNames, Request
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.leases import KeyLease
from limpethollow_policy.request.permits import Permit
from limpethollow_policy.version.routes import CurrentVersion, Route
from limpethollow_policy.version.tenants import Tenant, TenantTable, key_digest
from limpethollow_wire.exceptions import (
    BadRequest,
    KeyRejected,
    LeaseLapsed,
    LimpethollowError,
    Unavailable,
)

# `Retry-After` in seconds of a request that may be accepted once this instance has confirmed its
# configuration, or by another instance.
_RETRY_AFTER = 0.25
# Bounds of `Retry-After` without a lease; random in between, so that callers don't return together.
_MIN_LEASE_RETRY, _MAX_LEASE_RETRY = 0.25, 0.5
# Longer keys are unknown without being hashed, which would take 16 us at the header limit.
_MAX_KEY_BYTES = 4096


@dataclass(slots=True, frozen=True)
class KeyBounds:
    """Time limits for the use of keys.

    Attributes:
        config_apply: Seconds within which a version must be in force after its acceptance.
        strict_revoke: Whether keys are used only while the lease holds.
    """

    config_apply: float = 5.0
    strict_revoke: bool = False


class AccessControl:
    """Decides whether a request may run, and for which team.

    Args:
        versions: Holds the active version.
        names: The deployment's header names.
        clock: Returns the monotonic time in seconds by which versions are confirmed.
        metrics: The process's metrics.

    Attributes:
        bounds: The time limits.
        lease: Whether the version in force is recent enough; used only with `strict_revoke`.
        uptime: Returns the seconds since boot, including suspended time.
    """

    __slots__ = ("_clock", "_metrics", "_names", "_rng", "_versions", "bounds", "lease", "uptime")

    def __init__(
        self,
        versions: CurrentVersion,
        names: HeaderNames,
        clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._versions = versions
        self._names = names
        self._clock = clock
        self._metrics = metrics
        self._rng = Random()
        self.bounds = KeyBounds()
        self.lease = KeyLease()
        self.uptime = _uptime

    @property
    def needs_lease(self) -> bool:
        """Return whether keys are used only while the lease holds."""
        return self.bounds.strict_revoke and bool(self._versions.tenants)

    @property
    def may_use_keys(self) -> bool:
        """Return whether requests with a known key can be admitted now."""
        return not self.needs_lease or self.lease.holds(self.uptime())

    def hide_key(self, request: Request) -> None:
        """Exclude the key of a refused request from its fingerprint, which is logged."""
        if self._versions.current is None or self._versions.tenants:
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
            LeaseLapsed: The key may have been revoked.
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
        digest = self._digest_of(request)
        tenant = None if digest is None else tenants.holder(digest)
        if tenant is None:
            if not route.public:
                raise self._unknown_key(has_key=digest is not None)
            request.set_owner("")
            return Permit(
                route.priority, version=version, homes=_common_homes(route, None), drops_key=True
            )
        request.set_owner(tenant.name)
        if not route.public and not self._lease_holds():
            raise self._lapsed()
        self._metrics.count("team_requests", tenant.name)
        # A public route needs no key, so neither the lease nor an unknown key stops its requests.
        may_send, refusal = self._may_send, partial(self._refusal, digest)
        if route.public:
            may_send, refusal = self._is_holder, _changed
        return Permit(
            route.priority if tenant.priority is None else tenant.priority,
            tenant,
            digest,
            version,
            _common_homes(route, tenant),
            partial(may_send, digest, tenant.name),
            refusal,
            drops_key=True,
        )

    def delegated(self, digest: bytes, name: str, version: int) -> Permit:
        """Return the permit of a request that another instance delegates.

        Args:
            digest: Digest of the key; empty if the request needs none.
            name: Name of the team that holds the key; empty without a key.
            version: Number of the version by which it was admitted; -1 if that one has no teams.
        """
        if digest:
            return Permit(
                digest=digest, version=version, may_send=partial(self._may_send, digest, name)
            )
        if version < 0:
            return Permit(may_send=self._has_no_teams)
        return Permit(version=version)

    def _digest_of(self, request: Request) -> bytes | None:
        """Return the digest of a request's key; None if it has no key of the expected form.

        Raises:
            BadRequest: The request has two headers for keys.
        """
        wanted = self._names.key
        length = len(wanted)
        values = [
            value
            for name, value in request.headers
            if len(name) == length and name.lower() == wanted
        ]
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
        if self._age() > self.bounds.config_apply:
            self._metrics.count("key_refusals", "unconfirmed")
            return Unavailable(
                "The key is not known here, but the configuration may be out of date.",
                retry_after=_RETRY_AFTER,
            )
        self._metrics.count("key_refusals", "unknown" if has_key else "missing")
        if has_key:
            return KeyRejected("No team holds the key.")
        return KeyRejected("The request has no valid key.")

    def _has_no_teams(self) -> bool:
        """Return whether a request that was admitted without a key may be sent with its headers.

        Its headers may contain a key, which must not reach a searcher once there are teams.
        """
        return not self._versions.tenants

    def _age(self) -> float:
        """Return the seconds since the version was known to be the newest."""
        if self.bounds.strict_revoke:
            return self.lease.age(self.uptime())
        return self._versions.age(self._clock())

    def _lease_holds(self) -> bool:
        return not self.bounds.strict_revoke or self.lease.holds(self.uptime())

    def _lapsed(self) -> LeaseLapsed:
        self._metrics.count("key_refusals", "lease_lapsed")
        return LeaseLapsed(
            "This instance could not confirm for too long that the keys are still valid.",
            retry_after=self._rng.uniform(_MIN_LEASE_RETRY, _MAX_LEASE_RETRY),
        )

    def _may_send(self, digest: bytes, name: str) -> bool:
        """Return whether the lease holds and the version in force assigns a key to a team."""
        return self._lease_holds() and _holds(self._versions.tenants, digest, name)

    def _is_holder(self, digest: bytes, name: str) -> bool:
        """Return whether the version in force assigns a key to a team."""
        return _holds(self._versions.tenants, digest, name)

    def _refusal(self, digest: bytes) -> LimpethollowError:
        """Return the error for a request that was admitted and is no longer allowed."""
        if not self._lease_holds():
            return self._lapsed()
        if self._versions.tenants.holder(digest) is None:
            return self._unknown_key(has_key=True)
        return _changed()


def _uptime() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


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
