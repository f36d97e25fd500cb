"""Whether this instance follows the platform's store itself, and what only followers do."""

import asyncio
from collections.abc import Collection, Sequence
from typing import Protocol

from limpethollow_node.engine.process.catalog import Catalog
from limpethollow_node.engine.process.peers import Peers
from limpethollow_node.engine.process.roster import Roster
from limpethollow_policy.process.placements import Instance
from limpethollow_policy.process.topology import WatchRole

# An instance that was silent this long is gone for good; one that is only restarted is back within
# seconds. It would otherwise count for ever where connections and repeated sends are shared.
GONE_SECONDS = 30.0
# When the whole system starts for the first time, the instances are listed once all have had this
# long to write their entries; they start within 0.3 s. A list of the first few names each of them a
# relay.
FIRST_LIST_SECONDS = 0.5
# An instance that is no relay then leaves the lists of all else to the relays for this long: nobody
# calls yet. They have them 0.1 s later, and a link is up within half a second.
FIRST_START_SECONDS = 2.0
# The same for one that starts anew: callers wait for it, and its peers answer within 0.1 s.
RESTART_SECONDS = 0.4


class StoreFeed(Protocol):
    """Follows one kind of objects in the store."""

    @property
    def connected(self) -> bool:
        """Return whether the store answers it now."""

    @property
    def listed(self) -> bool:
        """Return whether the kind was read once, here or by a peer."""

    def set_active(self, active: bool) -> None:
        """Follow from now on, or leave that to others."""


class StoreHealth(Protocol):
    """Asks the store now and then whether it is there.

    Attributes:
        answers: Whether the last answer was there.
        urgent: Whether callers are refused until the store is back.
    """

    answers: bool
    urgent: bool

    def set_active(self, active: bool) -> None:
        """Ask from now on, or leave that to others."""


class OwnEntry(Protocol):
    """This instance's entry in the store, and those of others."""

    def look(self, listed: bool, era: int, now: float) -> bool:
        """Return whether to join, for the first time or again."""

    async def join(self) -> None:
        """Write the own entry."""

    async def remove(self, name: str) -> None:
        """Remove the entry of an instance that is gone."""


class StoreFollower:
    """Follows the store while that is this instance's role, or nobody else is heard to.

    Args:
        members: The feed of instances, which each instance reads when it starts.
        others: The feeds of all other kinds.
        health: The check of the store.
        role: Decides.
        roster: The instances.
        catalog: What was read.
        peers: The links to other instances.
        entry: The own entry.
        first_start: Whether the whole system starts for the first time.
    """

    __slots__ = (
        "_catalog",
        "_entry",
        "_feeds",
        "_first_start",
        "_health",
        "_joining",
        "_members",
        "_peers",
        "_read_at",
        "_removing",
        "_role",
        "_roster",
        "_started_at",
    )

    def __init__(
        self,
        members: StoreFeed,
        others: Sequence[StoreFeed],
        health: StoreHealth,
        role: WatchRole,
        roster: Roster,
        catalog: Catalog,
        peers: Peers,
        entry: OwnEntry,
        *,
        first_start: bool = False,
    ) -> None:
        self._members = members
        self._feeds = [members, *others]
        self._first_start = first_start
        self._read_at: float | None = None
        self._started_at: float | None = None
        self._health = health
        self._role = role
        self._roster = roster
        self._catalog = catalog
        self._peers = peers
        self._entry = entry
        self._joining: asyncio.Task[None] | None = None
        self._removing: dict[str, asyncio.Task[None]] = {}

    def choose(self, now: float) -> None:
        """Begin or stop to follow; called at the start, after lists, and a few times a second."""
        unread = [feed for feed in self._feeds if not feed.listed]
        # Before it is ready itself, an instance can't tell who is, and counts all: else it would
        # leave itself out, and at a start of all each relay would wait for another one.
        live = self._roster.live if self._roster.ready else self._roster.known
        to_read = [feed for feed in unread if self._may_read(feed, live, now)]
        wanted = not unread and self._role.should_watch(live, now)
        self._health.set_active(wanted or bool(to_read))
        self._health.urgent = bool(to_read)
        # Where no relay follows the store, it may be away for all. Those that would stand in ask it
        # first, at a tenth of the price of a call; each of their three feeds would fail and try on.
        follow = wanted and (self._role.is_relay(live) or self._health.answers)
        for feed in self._feeds:
            feed.set_active(follow or feed in to_read)
        self._peers.follows = (
            follow and self._health.answers and all(feed.connected for feed in self._feeds)
        )
        if self._members.listed:
            self._stay_listed(now)

    def _may_read(self, feed: StoreFeed, live: Collection[Instance], now: float) -> bool:
        """Return whether to read a kind for the first time, or to wait for a peer's news of it.

        Each list is a call or more, and a peer has all of them in a few frames. Relays read at
        once: where all start together, the others have the lists from them.
        """
        if self._started_at is None:
            self._started_at = now
        if feed is self._members:
            return not self._first_start or now >= self._started_at + FIRST_LIST_SECONDS
        patience = FIRST_START_SECONDS if self._first_start else RESTART_SECONDS
        if not self._members.listed:
            return not self._first_start and now >= self._started_at + patience
        if self._read_at is None:
            self._read_at = now + patience
        return self._role.is_relay(live) or now >= self._read_at

    def tick(self, now: float) -> None:
        """Do what has no event of its own to wait for; called a few times a second."""
        self.choose(now)
        if self._peers.follows:
            self._catalog.confirm_searchers()
            # One that hears nobody may be cut off from the others itself.
            if self._peers.heard_count(now) > 0:
                self._remove_gone(now)

    def _remove_gone(self, now: float) -> None:
        for name in self._roster.silent_for(GONE_SECONDS, now):
            if name not in self._removing:
                task = asyncio.create_task(self._entry.remove(name))
                self._removing[name] = task
                task.add_done_callback(lambda _, gone=name: self._removing.pop(gone, None))

    def _stay_listed(self, now: float) -> None:
        """Write the own entry where it is missing, or says something else.

        That of the process before says the same but for the start, which peers hear on their links.
        """
        if self._joining is not None and not self._joining.done():
            return
        entry = self._catalog.instances.items.get(self._roster.own.name)
        listed = entry is not None and entry.is_same_place(self._roster.own)
        if self._entry.look(listed, self._catalog.instances.revision.era, now):
            self._joining = asyncio.create_task(self._entry.join())
