"""Whether the configuration of an instance can still be current."""

from dataclasses import dataclass
from enum import StrEnum

ISOLATION_SECONDS = 5.0
# Longer than the longest pause between two comparisons, so that a healthy instance never probes.
PROBE_SECONDS = 3.5

_NOT_LOADED_RETRY_SECONDS = 1.0
_ISOLATED_RETRY_SECONDS = 2.0


class Refusal(StrEnum):
    """Reasons for refusing new work."""

    NOT_LOADED = "not_loaded"
    ISOLATED = "isolated"


@dataclass(slots=True, frozen=True)
class RefuseWork:
    """The decision to refuse new work.

    Attributes:
        reason: The reason.
        retry_after: Seconds after which a retry may succeed.
    """

    reason: Refusal
    retry_after: float


class Freshness:
    """Tracks when the configuration of this instance was last confirmed as current.

    Only round trips that this instance initiated count, from the time at which they began. An
    incoming message proves nothing: after the process was frozen, the socket still holds messages
    that a relay sent before, and an instance that trusted them would serve an old version as
    current.

    An instance without known peers keeps serving without the platform, because there is no peer
    from which it could be cut off. An instance that reaches some peers but not the platform keeps
    serving, too: it can't distinguish a partition from an outage of the platform.

    Args:
        now: Monotonic time in seconds.
    """

    __slots__ = ("_confirmed_at", "_loaded")

    def __init__(self, now: float) -> None:
        self._confirmed_at = now
        self._loaded = False

    @property
    def is_loaded(self) -> bool:
        """Whether a complete configuration was ever loaded."""
        return self._loaded

    def loaded(self) -> None:
        """Record that a complete configuration is loaded."""
        self._loaded = True

    def confirmed(self, begun_at: float) -> None:
        """Record that a peer or the platform answered a request that began at this time."""
        self._confirmed_at = max(self._confirmed_at, begun_at)

    def wants_probe(self, now: float) -> bool:
        """Return whether to probe the platform because no peer has answered for a while."""
        return now - self._confirmed_at > PROBE_SECONDS

    def refusal(self, has_peers: bool, now: float) -> RefuseWork | None:
        """Return why new work must be refused; None if it may run."""
        if not self._loaded:
            return RefuseWork(Refusal.NOT_LOADED, _NOT_LOADED_RETRY_SECONDS)
        if has_peers and now - self._confirmed_at > ISOLATION_SECONDS:
            return RefuseWork(Refusal.ISOLATED, _ISOLATED_RETRY_SECONDS)
        return None
