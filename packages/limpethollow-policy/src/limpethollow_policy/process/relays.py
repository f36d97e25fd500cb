"""Decides which instances watch the platform and which peers an instance gossips with."""

from collections.abc import Iterable
from random import Random

from limpethollow_policy.process.owners import owner_order
from limpethollow_wire.instances import InstanceInfo

RELAYS_PER_DOMAIN = 2
GOSSIP_PARTNERS = 6
RELAY_TIMEOUT_SECONDS = 2.0
PEER_LOAD_TIMEOUT_SECONDS = 1.0

_GOSSIP_INTERVAL_SECONDS = 2.0
_MIN_JITTER_FACTOR, _MAX_JITTER_FACTOR = 0.5, 1.5
_FAST_GOSSIP_INTERVAL_SECONDS = 0.2


def relays_of(failure_domain: str, instances: Iterable[InstanceInfo]) -> tuple[str, ...]:
    """Return the ids of a failure domain's relays in order of preference.

    Every instance computes this from its own view. Instances that disagree have one relay too
    many or listen to one too few, which costs a watch but never an answer, so the role needs no
    lease.
    """
    inside = [instance for instance in instances if instance.failure_domain == failure_domain]
    ordered = owner_order(f"relay/{failure_domain}", inside)
    return tuple(instance.id for instance in ordered[:RELAYS_PER_DOMAIN])


class PlatformWatchRole:
    """Decides whether this instance watches the platform itself.

    Relays do. Other instances do while they receive nothing from a relay, because a relay that
    crashed, froze or was partitioned can only be detected by its silence. The jitter keeps the
    members of a failure domain that lost their relays from calling the platform all at once.

    Args:
        own_id: Id of this instance.
        failure_domain: Failure domain of this instance.
        now: Current monotonic time in seconds.
        rng: Source for jitter.
    """

    __slots__ = ("_domain", "_last_relay_message_at", "_jitter", "_own_id", "_rng", "_started_at")

    def __init__(self, own_id: str, failure_domain: str, now: float, rng: Random) -> None:
        self._own_id = own_id
        self._domain = failure_domain
        self._rng = rng
        self._started_at = now
        self._last_relay_message_at: float | None = None
        self._jitter = 0.0

    def relay_message_received(self, now: float) -> None:
        """Record a message from a relay of this instance's failure domain."""
        self._last_relay_message_at = now
        self._jitter = self._rng.random() * RELAY_TIMEOUT_SECONDS

    def is_relay(self, live: Iterable[InstanceInfo]) -> bool:
        """Return whether this instance is a relay according to its own view."""
        return self._own_id in relays_of(self._domain, live)

    def should_watch(self, live: Iterable[InstanceInfo], now: float) -> bool:
        """Return whether this instance should watch the platform itself."""
        if self._last_relay_message_at is None or self.is_relay(live):
            return True
        return now - self._last_relay_message_at > RELAY_TIMEOUT_SECONDS + self._jitter

    def should_load(self, has_peers: bool, now: float) -> bool:
        """Return whether a newly started instance loads everything from the platform.

        Peers are tried first: after a restart of many instances, the platform would otherwise
        send the whole configuration to each of them.
        """
        return not has_peers or now - self._started_at > PEER_LOAD_TIMEOUT_SECONDS


class GossipPartnerSelector:
    """Chooses the peers to gossip with, and when.

    Partners come from a small set that changes only with the membership list, so an instance
    keeps a few connections open instead of one to every peer. The set is spread over failure
    domains; such a random graph stays connected when many instances are lost.

    Args:
        own_id: Id of this instance.
        rng: Source of randomness for jitter and for choosing a partner.
    """

    __slots__ = ("_last_reachable", "_own_id", "_partners", "_rng")

    def __init__(self, own_id: str, rng: Random) -> None:
        self._own_id = own_id
        self._rng = rng
        self._last_reachable: tuple[InstanceInfo, ...] = ()
        self._partners: list[InstanceInfo] = []

    def partner(self, reachable: tuple[InstanceInfo, ...]) -> str | None:
        """Return the id of the peer to gossip with next; None if no other instance is reachable."""
        if reachable is not self._last_reachable:
            peers = [instance for instance in reachable if instance.id != self._own_id]
            ordered = owner_order(f"gossip/{self._own_id}", peers)
            self._partners = ordered[:GOSSIP_PARTNERS]
            self._last_reachable = reachable
        return self._rng.choice(self._partners).id if self._partners else None

    def pause(self, hurried: bool) -> float:
        """Return the seconds until the next comparison.

        Args:
            hurried: Whether the instance does not know the configuration in force yet.
        """
        mean = _FAST_GOSSIP_INTERVAL_SECONDS if hurried else _GOSSIP_INTERVAL_SECONDS
        return mean * (
            _MIN_JITTER_FACTOR + (_MAX_JITTER_FACTOR - _MIN_JITTER_FACTOR) * self._rng.random()
        )
