"""Decides which instances connect to each other, and which of them watch the platform's store."""

from collections.abc import Collection
from hashlib import blake2b
from random import Random

from limpethollow_policy.process.placements import Instance, by_domain, leading_instances

# Up to this many instances form a full mesh: 16 links with two heartbeats per second each cost an
# instance less than half a percent of a core.
FULL_MESH_SIZE = 16
# In a larger fleet, each instance links to the relays and to this many others in its own failure
# domain. The leading instances, which make calls for each other, also link to this many in every
# other failure domain: with the relay there, that gives calls a second path.
LINKS_IN_DOMAIN, LINKS_PER_OTHER_DOMAIN = 2, 1
# Holders of the teams' quotas in each failure domain.
HOLDERS_PER_DOMAIN = 2
# Seconds between two heartbeats on a link.
HEARTBEAT_SECONDS = 0.5
# The interval on links between failure domains that carry no calls. With 195 instances, heartbeats
# were 21 of the 37 MB per minute between failure domains, nearly all on such links. Their
# information arrives sooner by other ways: changes come from the relay in the instance's failure
# domain, and a process that ends closes its links.
SLOW_HEARTBEAT_SECONDS = 2.0
# A relay counts as lost after this many seconds without a heartbeat: two heartbeats are missing.
# With a longer heartbeat interval, the time is proportionally longer.
RELAY_HEARTBEAT_TIMEOUT = 1.2
# A starting instance has read all kinds of objects once, and waits this long for a relay to report
# that it follows the store. A relay that starts at the same moment reports it 1.6 s later: its
# first watch counts after 0.3 s, and the next check of it, the link and the next heartbeat take
# 0.25, 0.5 and 0.5 s.
START_RELAY_WAIT_SECONDS = 2.0
# Maximum random delay in seconds, so that the instances that lost a relay don't call the store all
# at once.
_MAX_JITTER_SECONDS = 0.3


def relays_among(live: Collection[Instance]) -> frozenset[str]:
    """Return the names of the instances that watch the store: one in each failure domain.

    Each instance computes this from its own view. If two disagree, both watch, or they listen to a
    relay of another failure domain, which costs some calls but never an answer, so the role needs
    no lease. Leading instances take the role, and weaker ones only if no stronger one is left: a
    list of 400 searchers, sent a dozen times, saturated a link of 7 Mbit/s for a second and delayed
    the calls made there by as much.
    """
    relays = set()
    for members in by_domain(leading_instances(live)).values():
        relays.add(max(members, key=lambda instance: _rendezvous_hash("relay", instance.name)).name)
    return frozenset(relays)


def holders_among(known: Collection[Instance]) -> frozenset[str]:
    """Return the names of the instances that keep the tokens of the teams' quotas.

    These are the relay and the next one by rank in each failure domain: a few, so that each part
    is more than a fraction of a token, and two, so that the loss of one leaves a holder there.
    """
    holders = set()
    for members in by_domain(leading_instances(known)).values():
        members.sort(key=lambda instance: _rendezvous_hash("relay", instance.name))
        holders.update(instance.name for instance in members[-HOLDERS_PER_DOMAIN:])
    return frozenset(holders)


def link_targets(
    own: Instance, known: Collection[Instance], *, with_holders: bool = False
) -> frozenset[str]:
    """Return the names of the instances that this instance keeps a link to.

    Args:
        own: This instance.
        known: All listed instances.
        with_holders: Whether leading instances link to all holders of quotas.
    """
    others = [instance for instance in known if instance.name != own.name]
    if len(others) < FULL_MESH_SIZE:
        return frozenset(instance.name for instance in others)
    wanted = set(relays_among(known))
    leading = leading_instances(known)
    far = LINKS_PER_OTHER_DOMAIN if own in leading else 0
    if with_holders and own in leading:
        wanted |= holders_among(known)
    others = [i for i in leading if i.name not in wanted and i.name != own.name]
    for domain, members in by_domain(others).items():
        count = LINKS_IN_DOMAIN if domain == own.failure_domain else far
        if count == 0:
            continue
        members.sort(key=lambda instance: _rendezvous_hash(own.name, instance.name))
        wanted.update(instance.name for instance in members[-count:])
    wanted.discard(own.name)
    return frozenset(wanted)


class WatchRole:
    """Decides whether this instance watches the store itself.

    Relays do. Other instances do while no relay follows the store: a relay that lost the store
    reports that, and a relay that crashed or froze is detected by its missing heartbeats. Either
    must be detected, and the watches started, within the 3 s in which a change must be in force
    everywhere.

    An instance that has just started knows no relay yet, so it waits for one first. When instances
    watched until they heard from a relay, 195 that were started together made 14 calls each, for
    changes that the relays received, too. The initial read is at most seconds old when the instance
    begins to watch, and no change is missed.

    Args:
        own: Name of this instance.
        rng: Source of randomness for jitter.
    """

    __slots__ = ("_following", "_lost_at", "_own", "_patience", "_rng")

    def __init__(self, own: str, rng: Random) -> None:
        self._own = own
        self._rng = rng
        self._following: dict[str, float] = {}
        self._lost_at: float | None = None
        self._patience = 0.0

    def relay_message_received(
        self, name: str, now: float, interval: float = HEARTBEAT_SECONDS
    ) -> None:
        """Record that an instance reported that it follows the store.

        Args:
            name: Name of the instance.
            now: Current monotonic time in seconds.
            interval: Seconds until its next report.
        """
        self._following[name] = now + RELAY_HEARTBEAT_TIMEOUT * interval / HEARTBEAT_SECONDS

    def relay_stopped(self, name: str, now: float) -> None:
        """Record that an instance no longer follows the store, or that the link to it was lost."""
        if self._following.pop(name, None) is not None:
            self._begin_relay_wait(now, 0.0)

    def is_relay(self, live: Collection[Instance]) -> bool:
        """Return whether this instance is the relay of its failure domain."""
        return self._own in relays_among(live)

    def should_watch(self, live: Collection[Instance], now: float) -> bool:
        """Return whether this instance should watch the store now."""
        if self.is_relay(live):
            return True
        for name in [n for n, until in self._following.items() if now > until]:
            del self._following[name]
            self._begin_relay_wait(now, 0.0)
        if self._lost_at is None:
            self._begin_relay_wait(now, START_RELAY_WAIT_SECONDS)
        return not self._following and now >= self._lost_at + self._patience

    def _begin_relay_wait(self, now: float, patience: float) -> None:
        self._lost_at = now
        self._patience = patience + self._rng.random() * _MAX_JITTER_SECONDS


def _rendezvous_hash(key: str, name: str) -> bytes:
    return blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
