"""Keeps the lease of the keys: asks linked peers, answers them, and ends requests without it."""

import asyncio
from collections.abc import Callable, Collection

from limpethollow_node.engine.connection.peerlinks import PeerLink
from limpethollow_node.engine.frames import LeaseAsk, LeaseGrant
from limpethollow_node.engine.process.catalog import Catalog
from limpethollow_node.engine.process.engine import Engine
from limpethollow_node.engine.process.peers import Peers
from limpethollow_node.engine.process.roster import Roster
from limpethollow_node.process import events
from limpethollow_policy.process.topology import relays_among

# Interval of the checks; an ask without an answer is repeated elsewhere after 0.3 s.
_CHECK_SECONDS = 0.1
# The order of the peers is computed anew after this time, or when the links have changed: it hashes
# the names of all instances, which takes 0.3 ms for 300.
_ORDER_SECONDS = 2.0


class LeaseKeeper:
    """Runs the lease of an instance while the settings and the version in force require one.

    Args:
        engine: Handles requests; its access control has the lease.
        catalog: This instance's view of the cluster.
        roster: The known instances.
        peers: The links to other instances.
        reads_store: Returns whether this instance reads the store itself.
    """

    __slots__ = (
        "_access",
        "_catalog",
        "_engine",
        "_held",
        "_order",
        "_ordered_at",
        "_peers",
        "_reads_store",
        "_roster",
    )

    def __init__(
        self,
        engine: Engine,
        catalog: Catalog,
        roster: Roster,
        peers: Peers,
        reads_store: Callable[[], bool],
    ) -> None:
        self._engine = engine
        self._access = engine.access
        self._catalog = catalog
        self._roster = roster
        self._peers = peers
        self._reads_store = reads_store
        # None until the lease first holds, since a start without it is no event.
        self._held: bool | None = None
        self._order: list[str] = []
        self._ordered_at = float("-inf")
        peers.on_lease_frame = self._on_frame

    @property
    def reads_store(self) -> bool:
        """Return whether this instance confirms its version by reading the store."""
        return self._access.needs_lease and self._reads_store()

    async def run(self) -> None:
        """Keep the lease until cancelled."""
        while True:
            try:
                self._check()
            except Exception as error:
                events.UNEXPECTED_ERROR.log(where="lease", error=repr(error), exc_info=True)
            await asyncio.sleep(_CHECK_SECONDS)

    def _check(self) -> None:
        if not self._access.needs_lease:
            self._held = None
            return
        now = self._access.uptime()
        links = self._peers.live_links(asyncio.get_running_loop().time())
        asks = self._access.lease.asks(
            self._in_order(links, now), now, reads_store=self._reads_store()
        )
        for ask in asks:
            links[ask.peer].send(LeaseAsk(ask.number))
        self._note(self._access.lease.holds(now), now)

    def _in_order(self, links: Collection[str], now: float) -> list[str]:
        """Return the linked peers in the order in which to ask them.

        The relay of this instance's failure domain comes first, then the other relays.
        """
        if now - self._ordered_at < _ORDER_SECONDS and set(links) == set(self._order):
            return self._order
        own = self._roster.own.failure_domain
        relays = relays_among(self._roster.live)
        near = {i.name for i in self._roster.known if i.failure_domain == own}
        self._order = sorted(links, key=lambda name: (name not in relays, name not in near, name))
        self._ordered_at = now
        return self._order

    def _note(self, holds: bool, now: float) -> None:
        """Log a change of the lease, and end the requests that it no longer allows."""
        if holds == self._held or (self._held is None and not holds):
            return
        first, self._held = self._held is None, holds
        age = self._access.lease.stated_age(now)
        if holds and not first:
            events.LEASE_RENEWED.log(age_s=round(age, 2))
        elif not holds:
            events.LEASE_LAPSED.log(age_s=round(age, 2), version=self._catalog.version_number)
            self._engine.end_forbidden()

    def _on_frame(self, link: PeerLink, frame: LeaseAsk | LeaseGrant) -> None:
        if isinstance(frame, LeaseAsk):
            age = self._access.lease.stated_age(self._access.uptime())
            link.send(LeaseGrant(frame.number, self._catalog.version_number, age))
            return
        number = self._catalog.version_number
        self._access.lease.granted(
            link.name or "", frame.number, same_version=frame.version == number, age=frame.age
        )
        if frame.version > number:
            self._peers.catch_up(link)
