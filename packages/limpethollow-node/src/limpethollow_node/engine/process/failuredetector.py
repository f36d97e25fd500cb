"""Detects silent instances from this instance's links and from the reports of the relays."""

from collections.abc import Collection, Mapping

from limpethollow_node.engine.connection.peerlinks import PeerLink
from limpethollow_node.engine.frames import UnheardInstances
from limpethollow_node.engine.process.roster import Roster
from limpethollow_policy.process.topology import relays_among

# A newly listed instance has this long to open links before it counts as silent.
_LINK_UP_SECONDS = 2.5
# An instance that is listed again, and was silent when removed, counts as silent this long unless
# it is heard: relays report within that time whether they miss it.
_RELISTED_SECONDS = 3.0
# If a ready instance has had no link to another instance for this long, it lists only itself as
# live. The time is long enough because links are up within a second, even when all instances start
# together.
ALONE_SECONDS = 4.0


class FailureDetector:
    """Marks silent instances in the roster, and as a relay reports missing ones to its peers.

    Args:
        roster: The known instances.
        links: The links to other instances, by name.
    """

    __slots__ = (
        "_alone_since",
        "_known_since",
        "_links",
        "_missed_by",
        "_relisted_since",
        "_roster",
        "_last_report",
    )

    def __init__(self, roster: Roster, links: Mapping[str, PeerLink]) -> None:
        self._roster = roster
        self._links = links
        self._known_since: dict[str, float] = {}
        self._relisted_since: dict[str, float] = {}
        self._missed_by: dict[str, frozenset[str]] = {}
        self._last_report: frozenset[str] | None = None
        self._alone_since: float | None = None

    @property
    def told(self) -> UnheardInstances | None:
        """Return the report for a newly linked instance; None if this one is not a relay."""
        return None if self._last_report is None else UnheardInstances(sorted(self._last_report))

    def linked(self, name: str, now: float) -> None:
        """Record that a link to an instance is open."""
        self._known_since[name] = now

    def take(self, relay: str, silent: UnheardInstances) -> None:
        """Record which instances a relay misses."""
        if silent.names is None:
            self._missed_by.pop(relay, None)
        else:
            self._missed_by[relay] = frozenset(silent.names)

    def forget(self, relay: str) -> None:
        """Discard the report of an instance whose link is lost."""
        self._missed_by.pop(relay, None)

    def heard(self, now: float) -> frozenset[str]:
        """Return the linked instances that are ready and not silent."""
        return frozenset(
            name for name, link in self._links.items() if link.ready and not link.is_silent(now)
        )

    def news(self, heard: frozenset[str]) -> UnheardInstances | None:
        """Return the report for the linked instances; None if it has not changed since the last."""
        missed = self._missed(heard)
        if missed == self._last_report:
            return None
        self._last_report = missed
        return UnheardInstances(None if missed is None else sorted(missed))

    def judge(self, heard: frozenset[str], refused_addresses: Collection[str], now: float) -> None:
        """Mark the silent instances in the roster.

        An instance that hears no peer can't tell whether the others are gone or it is isolated
        itself. It counts all as live for a while, and indefinitely if it can't serve, so that
        callers that still reach it are directed to them. Instances whose hosts refuse the
        connection count as silent immediately.

        Args:
            heard: The result of `heard`.
            refused_addresses: Addresses that refuse connections.
            now: Monotonic time in seconds.
        """
        # An instance missed by every relay is silent; without any report, only own links count.
        missed = frozenset.intersection(*self._missed_by.values()) if self._missed_by else None
        hears_nobody = not self._links and not self._is_alone(now)
        for instance in self._roster.known:
            name = instance.name
            since = self._known_since.setdefault(name, now)
            is_new = now - since < _LINK_UP_SECONDS
            is_undecided = hears_nobody and instance.peer_address not in refused_addresses
            is_reported_live = name in heard or (missed is not None and name not in missed)
            is_live = is_undecided or is_reported_live or (is_new and name not in self._links)
            if self._is_unconfirmed(name, now):
                is_live = name in heard
            self._roster.set_silent(name, not is_live, now)

    def _is_unconfirmed(self, name: str, now: float) -> bool:
        """Return whether an instance is listed again and not yet confirmed to be live."""
        if not self._roster.is_relisted(name):
            self._relisted_since.pop(name, None)
            return False
        return now - self._relisted_since.setdefault(name, now) < _RELISTED_SECONDS

    def _is_alone(self, now: float) -> bool:
        """Return whether this instance is ready and has heard no other one for some time."""
        if self._links or not self._roster.ready:
            self._alone_since = None
            return False
        if self._alone_since is None:
            self._alone_since = now
        return now - self._alone_since > ALONE_SECONDS

    def _missed(self, heard: frozenset[str]) -> frozenset[str] | None:
        """Return the instances that this one misses as a relay; None if it is not a relay."""
        own = self._roster.own.name
        if own not in relays_among(self._roster.live):
            return None
        known = {instance.name for instance in self._roster.known}
        return frozenset(known - heard - {own})
