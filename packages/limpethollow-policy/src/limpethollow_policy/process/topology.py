"""Which instances link to each other, and which of them read the platform's store for the rest."""

from collections.abc import Collection
from hashlib import blake2b
from random import Random

from limpethollow_policy.process.placements import Instance, by_domain, leading_among

# Up to this many instances link to all others: 16 links with two heartbeats a second each cost an
# instance under half a percent of a core.
FULL_MESH = 16
# Beyond it, each links to the relays and to this many more in its own failure domain. The leading
# ones, which make calls for each other, also link to some in every other failure domain: one and
# the relay there leave a second way for calls.
LINKS_NEAR, LINKS_FAR = 2, 1
# Seconds between two heartbeats on a link.
HEARTBEAT_SECONDS = 0.5
# The same on links between failure domains that carry no calls. With 195 instances heartbeats were
# 21 of the 37 MB a minute between failure domains, nearly all on such links. What they tell comes
# sooner otherwise: news from the relay next door, and a process that ends closes its links.
SLOW_HEARTBEAT_SECONDS = 2.0
# A watching relay that was not heard for this long is taken for lost: two heartbeats are missing.
# Where they come less often, it has as much longer.
RELAY_SILENCE = 1.2
# A starting instance has read all kinds once, and waits this long for a relay to say that it
# follows the store. One that starts at the same moment says so 1.6 s later: its first watch counts
# after 0.3 s, and the next look at it, the link and the next heartbeat take 0.25, 0.5 and 0.5 s.
START_PATIENCE = 2.0
# What is waited at random, so that all instances that lost a relay don't call the store at once.
_JITTER = 0.3


def relays_among(live: Collection[Instance]) -> frozenset[str]:
    """Return the names of the instances that watch the store: one in each failure domain.

    Each instance works this out from its own view. Two that disagree watch both, or hear a relay
    of another failure domain, which costs some calls and never an answer; no lease guards the role.
    The leading ones take it, and weak ones only where no stronger is left: a list of 400 searchers,
    sent a dozen times, filled a link of 7 Mbit/s for a second, and calls made there came that late.
    """
    found = set()
    for members in by_domain(leading_among(live)).values():
        found.add(max(members, key=lambda instance: _weight("relay", instance.name)).name)
    return frozenset(found)


def links_of(own: Instance, known: Collection[Instance]) -> frozenset[str]:
    """Return the names of the instances that this one keeps a link to."""
    others = [instance for instance in known if instance.name != own.name]
    if len(others) < FULL_MESH:
        return frozenset(instance.name for instance in others)
    wanted = set(relays_among(known))
    leading = leading_among(known)
    far = LINKS_FAR if own in leading else 0
    others = [i for i in leading if i.name not in wanted and i.name != own.name]
    for domain, members in by_domain(others).items():
        count = LINKS_NEAR if domain == own.failure_domain else far
        if count == 0:
            continue
        members.sort(key=lambda instance: _weight(own.name, instance.name))
        wanted.update(instance.name for instance in members[-count:])
    wanted.discard(own.name)
    return frozenset(wanted)


class WatchRole:
    """Decides whether this instance watches the store itself.

    Relays do. Others do while no relay follows the store: one that was cut off from the store says
    so, and one that died or froze shows by what it no longer says. Both must be found, and the
    watches begun, within the 3 s in which a change must be in force everywhere.

    An instance that has just started knows no relay yet, and would watch until it hears one: 195
    that start together made 14 calls each in that time, for news that the relays had too. What it
    has read at its start is seconds old at most once it begins to watch, and no change is missed.

    Args:
        own: Name of this instance.
        rng: Source for jitter.
    """

    __slots__ = ("_following", "_lost_at", "_own", "_patience", "_rng")

    def __init__(self, own: str, rng: Random) -> None:
        self._own = own
        self._rng = rng
        self._following: dict[str, float] = {}
        self._lost_at: float | None = None
        self._patience = 0.0

    def relay_heard(self, name: str, now: float, interval: float = HEARTBEAT_SECONDS) -> None:
        """Note that an instance said that it follows the store.

        Args:
            name: The instance.
            now: Monotonic second.
            interval: Seconds after which it will say so again.
        """
        self._following[name] = now + RELAY_SILENCE * interval / HEARTBEAT_SECONDS

    def relay_stopped(self, name: str, now: float) -> None:
        """Note that an instance follows the store no more, or that the link to it is lost."""
        if self._following.pop(name, None) is not None:
            self._wait_for_relay(now, 0.0)

    def is_relay(self, live: Collection[Instance]) -> bool:
        """Return whether to watch the store for the own failure domain."""
        return self._own in relays_among(live)

    def should_watch(self, live: Collection[Instance], now: float) -> bool:
        """Return whether to watch the store now."""
        if self.is_relay(live):
            return True
        for name in [n for n, until in self._following.items() if now > until]:
            del self._following[name]
            self._wait_for_relay(now, 0.0)
        if self._lost_at is None:
            self._wait_for_relay(now, START_PATIENCE)
        return not self._following and now >= self._lost_at + self._patience

    def _wait_for_relay(self, now: float, patience: float) -> None:
        self._lost_at = now
        self._patience = patience + self._rng.random() * _JITTER


def _weight(key: str, name: str) -> bytes:
    return blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
