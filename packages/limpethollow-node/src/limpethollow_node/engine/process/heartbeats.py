"""Heartbeats: on each link as often as what goes over it needs."""

import asyncio
from collections.abc import Collection, Mapping

from limpethollow_node.engine.connection.peerlinks import PeerLink
from limpethollow_node.engine.frames import Heartbeat, encode_frame
from limpethollow_node.engine.process.catalog import Catalog
from limpethollow_node.engine.process.roster import Roster
from limpethollow_policy.process.placements import leading_among
from limpethollow_policy.process.topology import HEARTBEAT_SECONDS, SLOW_HEARTBEAT_SECONDS


class Heartbeats:
    """Says what this instance is and knows, and when it will say so again.

    Args:
        roster: The instances.
        catalog: What this instance believes.
        links: The links to other instances, by name.

    Attributes:
        follows: Whether this instance watches the store and nothing stands in the way.
    """

    __slots__ = ("_catalog", "_leading", "_links", "_roster", "_said", "follows")

    def __init__(self, roster: Roster, catalog: Catalog, links: Mapping[str, PeerLink]) -> None:
        self._roster = roster
        self._catalog = catalog
        self._links = links
        self._leading: frozenset[str] = frozenset()
        self._said: tuple[bool, bool] | None = None
        self.follows = False

    def is_leading(self, name: str | None) -> bool:
        """Return whether an instance takes callers and makes calls for others."""
        return name in self._leading

    def say_due(self, now: float) -> None:
        """Say the heartbeats that are due; all of them where the own state has changed."""
        self._leading = frozenset(i.name for i in leading_among(self._roster.live))
        state = (self._roster.ready, self.follows)
        changed, self._said = state != self._said, state
        self.say([link for link in self._links.values() if changed or now >= link.beat_due])

    def say(self, links: Collection[PeerLink]) -> None:
        """Say a heartbeat on some links now."""
        by_interval = {
            interval: (beat := self._heartbeat(interval), encode_frame(beat))
            for interval in (HEARTBEAT_SECONDS, SLOW_HEARTBEAT_SECONDS)
        }
        for link in links:
            beat, data = by_interval[self._interval(link)]
            link.send_encoded(data, beat)
            # A little early, so that the next look finds it due.
            link.beat_due = beat.sent_at + beat.interval - HEARTBEAT_SECONDS / 2

    def _interval(self, link: PeerLink) -> float:
        """Return the seconds between two heartbeats on a link."""
        carries_calls = self.is_leading(self._roster.own.name) and self.is_leading(link.name)
        if carries_calls or not link.source.far:
            return HEARTBEAT_SECONDS
        return SLOW_HEARTBEAT_SECONDS

    def _heartbeat(self, interval: float) -> Heartbeat:
        now = asyncio.get_running_loop().time()
        return Heartbeat(self._roster.ready, self.follows, self._catalog.known, now, interval)
