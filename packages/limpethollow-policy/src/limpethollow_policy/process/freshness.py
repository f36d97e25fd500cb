"""Whether an instance can still know what is in force."""

from dataclasses import dataclass
from enum import StrEnum

ISOLATION_SECONDS = 5.0
# Above the longest pause between two comparisons, so that a healthy instance never probes.
PROBE_SECONDS = 3.5

_NOT_LOADED_RETRY = 1.0
_ISOLATED_RETRY = 2.0


class Refusal(StrEnum):
    """Why new work is refused."""

    NOT_LOADED = "not_loaded"
    ISOLATED = "isolated"


@dataclass(slots=True, frozen=True)
class RefuseWork:
    """New work is refused.

    Attributes:
        reason: Why.
        retry_after: Seconds after which another try makes sense.
    """

    reason: Refusal
    retry_after: float


class Freshness:
    """Tells for how long nobody confirmed what this instance has in force.

    Only a round trip that this instance began counts, from the moment it was begun. A message
    that merely arrives proves nothing: after a freeze the socket still holds what a relay sent
    before it, and an instance that believed it would serve an old version as current.

    An instance that knows no peers serves on without the platform, since there is nobody whom it
    could have lost. One that reaches some peers but not the platform serves on too: it can't tell
    its side of a partition from an outage.

    Args:
        now: Monotonic seconds.
    """

    __slots__ = ("_confirmed_at", "_loaded")

    def __init__(self, now: float) -> None:
        self._confirmed_at = now
        self._loaded = False

    @property
    def is_loaded(self) -> bool:
        """Whether the configuration was ever known whole."""
        return self._loaded

    def loaded(self) -> None:
        """Note that the configuration is known whole."""
        self._loaded = True

    def confirmed(self, begun_at: float) -> None:
        """Note that a peer or the platform answered a request begun at this moment."""
        self._confirmed_at = max(self._confirmed_at, begun_at)

    def wants_probe(self, now: float) -> bool:
        """Return whether the platform should be asked because no peer answered for a while."""
        return now - self._confirmed_at > PROBE_SECONDS

    def refusal(self, has_peers: bool, now: float) -> RefuseWork | None:
        """Return why new work must be refused, None where it may run."""
        if not self._loaded:
            return RefuseWork(Refusal.NOT_LOADED, _NOT_LOADED_RETRY)
        if has_peers and now - self._confirmed_at > ISOLATION_SECONDS:
            return RefuseWork(Refusal.ISOLATED, _ISOLATED_RETRY)
        return None
