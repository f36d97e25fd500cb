"""Who holds the platform's watch, who feeds whom, and with whom an instance compares."""

from collections.abc import Iterable
from random import Random

from limpethollow_policy.process.owners import owner_order
from limpethollow_wire.instances import InstanceInfo

RELAYS_PER_DOMAIN = 2
GOSSIP_PARTNERS = 6
RELAY_SILENCE_SECONDS = 2.0
LOAD_FROM_PEERS_SECONDS = 1.0

_GOSSIP_SECONDS = 2.0
_SHORTEST, _LONGEST = 0.5, 1.5
_HURRIED_GOSSIP_SECONDS = 0.2


def relays_of(failure_domain: str, instances: Iterable[InstanceInfo]) -> tuple[str, ...]:
    """Return the ids of a failure domain's relays, best first.

    Every instance works this out from its own view. Two that disagree have one relay too many
    or hear one too few, which costs a watch and never an answer; so no lease guards the role.
    """
    inside = [instance for instance in instances if instance.failure_domain == failure_domain]
    ordered = owner_order(f"relay/{failure_domain}", inside)
    return tuple(instance.id for instance in ordered[:RELAYS_PER_DOMAIN])


class WatchDuty:
    """Decides whether this instance holds the platform's watch itself.

    Relays do. Others do while no relay is heard: a relay that died, froze or was cut off shows
    only by its silence. The jitter keeps all members of a failure domain that lost their relays
    from calling the platform in the same moment.

    Args:
        own_id: Id of this instance.
        failure_domain: Where it runs.
        now: Monotonic seconds.
        rng: Source for jitter.
    """

    __slots__ = ("_domain", "_heard_at", "_jitter", "_own_id", "_rng", "_started_at")

    def __init__(self, own_id: str, failure_domain: str, now: float, rng: Random) -> None:
        self._own_id = own_id
        self._domain = failure_domain
        self._rng = rng
        self._started_at = now
        self._heard_at: float | None = None
        self._jitter = 0.0

    def relay_heard(self, now: float) -> None:
        """Note that a relay of the own failure domain spoke."""
        self._heard_at = now
        self._jitter = self._rng.random() * RELAY_SILENCE_SECONDS

    def is_relay(self, live: Iterable[InstanceInfo]) -> bool:
        """Return whether this instance is a relay in its own view."""
        return self._own_id in relays_of(self._domain, live)

    def should_watch(self, live: Iterable[InstanceInfo], now: float) -> bool:
        """Return whether this instance reads the platform itself."""
        if self._heard_at is None or self.is_relay(live):
            return True
        return now - self._heard_at > RELAY_SILENCE_SECONDS + self._jitter

    def should_load(self, has_peers: bool, now: float) -> bool:
        """Return whether a fresh instance reads everything from the platform.

        Peers come first: after a restart of many instances the platform would otherwise send
        the whole configuration once to each.
        """
        return not has_peers or now - self._started_at > LOAD_FROM_PEERS_SECONDS


class GossipChoice:
    """Chooses with whom to compare, and when.

    Partners come from a small set that changes with the list only, so that an instance keeps a
    few links open and not one to everybody. The set is spread over failure domains; such a graph
    of random links holds together when many instances are lost.

    Args:
        own_id: Id of this instance.
        rng: Source for jitter and choice.
    """

    __slots__ = ("_chosen_from", "_own_id", "_partners", "_rng")

    def __init__(self, own_id: str, rng: Random) -> None:
        self._own_id = own_id
        self._rng = rng
        self._chosen_from: tuple[InstanceInfo, ...] = ()
        self._partners: list[InstanceInfo] = []

    def partner(self, reachable: tuple[InstanceInfo, ...]) -> str | None:
        """Return the id of a peer, None where there is none."""
        if reachable is not self._chosen_from:
            peers = [instance for instance in reachable if instance.id != self._own_id]
            ordered = owner_order(f"gossip/{self._own_id}", peers)
            self._partners = ordered[:GOSSIP_PARTNERS]
            self._chosen_from = reachable
        return self._rng.choice(self._partners).id if self._partners else None

    def pause(self, hurried: bool) -> float:
        """Return the seconds until the next comparison.

        Args:
            hurried: Whether the instance does not know what is in force.
        """
        mean = _HURRIED_GOSSIP_SECONDS if hurried else _GOSSIP_SECONDS
        return mean * (_SHORTEST + (_LONGEST - _SHORTEST) * self._rng.random())
