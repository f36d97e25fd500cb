"""Sends heartbeats, on each link at an interval that depends on its use."""

import asyncio
from collections.abc import Collection, Mapping

from limpethollow_node.engine.connection.peerlinks import PeerLink
from limpethollow_node.engine.frames import Heartbeat, encode_frame
from limpethollow_node.engine.process.catalog import Catalog
from limpethollow_node.engine.process.roster import Roster
from limpethollow_policy.process.placements import leading_instances
from limpethollow_policy.process.topology import HEARTBEAT_SECONDS, SLOW_HEARTBEAT_SECONDS


class Heartbeats:
    """Tells peers this instance's state, its known revisions and when the next heartbeat is due.

    Args:
        roster: The known instances.
        catalog: This instance's view of the cluster.
        links: The links to other instances, by name.

    Attributes:
        follows: Whether this instance watches the store and all its feeds are connected.
    """

    __slots__ = ("_catalog", "_leading", "_links", "_roster", "_sent_state", "follows")

    def __init__(self, roster: Roster, catalog: Catalog, links: Mapping[str, PeerLink]) -> None:
        self._roster = roster
        self._catalog = catalog
        self._links = links
        self._leading: frozenset[str] = frozenset()
        self._sent_state: tuple[bool, bool] | None = None
        self.follows = False

    def is_leading(self, name: str | None) -> bool:
        """Return whether an instance accepts callers and makes calls for other instances."""
        return name in self._leading

    def send_due(self, now: float) -> None:
        """Send the heartbeats that are due, or all of them if this instance's state has changed."""
        self._leading = frozenset(i.name for i in leading_instances(self._roster.live))
        state = (self._roster.ready, self.follows)
        changed, self._sent_state = state != self._sent_state, state
        self.send_to(
            [link for link in self._links.values() if changed or now >= link.heartbeat_due]
        )

    def send_to(self, links: Collection[PeerLink]) -> None:
        """Send a heartbeat on the given links now."""
        by_interval = {
            interval: (heartbeat := self._heartbeat(interval), encode_frame(heartbeat))
            for interval in (HEARTBEAT_SECONDS, SLOW_HEARTBEAT_SECONDS)
        }
        for link in links:
            heartbeat, data = by_interval[self._interval(link)]
            link.send_encoded(data, heartbeat)
            # Half an interval early, so that the next periodic check finds it due.
            link.heartbeat_due = heartbeat.sent_at + heartbeat.interval - HEARTBEAT_SECONDS / 2

    def _interval(self, link: PeerLink) -> float:
        """Return the seconds between two heartbeats on a link."""
        carries_calls = self.is_leading(self._roster.own.name) and self.is_leading(link.name)
        if carries_calls or not link.source.far:
            return HEARTBEAT_SECONDS
        return SLOW_HEARTBEAT_SECONDS

    def _heartbeat(self, interval: float) -> Heartbeat:
        now = asyncio.get_running_loop().time()
        return Heartbeat(self._roster.ready, self.follows, self._catalog.known, now, interval)
