"""Decides whether this instance watches the platform's store, and runs the watchers' duties."""

import asyncio
from collections.abc import Collection, Sequence
from typing import Protocol

from limpethollow_node.engine.process.catalog import Catalog
from limpethollow_node.engine.process.peers import Peers
from limpethollow_node.engine.process.roster import Roster
from limpethollow_policy.process.placements import Instance
from limpethollow_policy.process.topology import WatchRole

# An instance that was silent this long is considered dead and removed; one that only restarts is
# back within seconds. Without removal it would count forever in the division of connections and
# repeated sends.
DEAD_INSTANCE_SECONDS = 30.0
# On the first start of the whole system, an instance waits this long before it lists the others,
# so that all have written their entries; they start within 0.3 s. A list of only the first few
# would make each of them a relay.
FIRST_LIST_SECONDS = 0.5
# An instance that is not a relay then leaves all other lists to the relays for this long, as there
# are no callers yet. The relays have the lists 0.1 s later, and a link is up within half a second.
FIRST_START_SECONDS = 2.0
# The same delay for an instance that restarts: callers wait for it, and peers answer within 0.1 s.
RESTART_SECONDS = 0.4


class StoreFeed(Protocol):
    """Watches one kind of object in the store."""

    @property
    def connected(self) -> bool:
        """Return whether the store responds to this feed now."""

    @property
    def listed(self) -> bool:
        """Return whether the kind was listed once, here or by a peer."""

    def set_active(self, active: bool) -> None:
        """Start or stop watching."""


class StoreHealth(Protocol):
    """Checks periodically whether the store is available.

    Attributes:
        answers: Whether the store answered the last check.
        urgent: Whether callers are rejected until the store is back.
    """

    answers: bool
    urgent: bool

    def set_active(self, active: bool) -> None:
        """Start or stop the checks."""


class OwnEntry(Protocol):
    """Manages this instance's entry in the store, and removes those of dead instances."""

    def look(self, listed: bool, era: int, now: float) -> bool:
        """Return whether to write this instance's entry, for the first time or again."""

    async def join(self) -> None:
        """Write this instance's entry."""

    async def remove(self, name: str) -> None:
        """Remove the entry of an instance that is dead."""


class StoreFollower:
    """Watches the store while that is this instance's role, or while no relay is known to do so.

    Args:
        members: The feed of instances, which every instance lists at startup.
        others: The feeds of all other kinds.
        health: The store's health check.
        role: Decides whether this instance watches the store.
        roster: The known instances.
        catalog: The state read from the store.
        peers: The links to other instances.
        entry: This instance's entry in the store.
        first_start: Whether the whole system starts for the first time.

    Attributes:
        watches: Whether this instance watches the store, or tries to.
    """

    __slots__ = (
        "_catalog",
        "_entry",
        "_feeds",
        "_first_start",
        "_health",
        "_join_task",
        "_members",
        "_peers",
        "_list_not_before",
        "_remove_tasks",
        "_role",
        "_roster",
        "_started_at",
        "watches",
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
        self._list_not_before: float | None = None
        self._started_at: float | None = None
        self.watches = False
        self._health = health
        self._role = role
        self._roster = roster
        self._catalog = catalog
        self._peers = peers
        self._entry = entry
        self._join_task: asyncio.Task[None] | None = None
        self._remove_tasks: dict[str, asyncio.Task[None]] = {}

    def choose(self, now: float) -> None:
        """Start or stop watching; called at startup, after lists, and a few times a second."""
        unlisted = [feed for feed in self._feeds if not feed.listed]
        # Before it is ready itself, an instance cannot tell which others are, so it counts all as
        # live. Otherwise it would leave itself out, and when all start together, each relay would
        # wait for another one.
        live = self._roster.live if self._roster.ready else self._roster.known
        to_list = [feed for feed in unlisted if self._may_list(feed, live, now)]
        wanted = not unlisted and self._role.should_watch(live, now)
        self._health.set_active(wanted or bool(to_list))
        self._health.urgent = bool(to_list)
        # If no relay watches the store, it may be unavailable to all. Substitutes check its health
        # first, at a tenth of the cost of a call; otherwise each of their three feeds would fail
        # and keep retrying.
        follow = wanted and (self._role.is_relay(live) or self._health.answers)
        self.watches = follow
        for feed in self._feeds:
            feed.set_active(follow or feed in to_list)
        self._peers.follows = (
            follow and self._health.answers and all(feed.connected for feed in self._feeds)
        )
        if self._members.listed:
            self._ensure_listed(now)

    def _may_list(self, feed: StoreFeed, live: Collection[Instance], now: float) -> bool:
        """Return whether to list a kind for the first time now, rather than wait for a peer.

        Each list takes one call or more, while a peer can send all of them in a few frames. Relays
        list immediately: when all start together, the other instances get the lists from them.
        """
        if self._started_at is None:
            self._started_at = now
        if feed is self._members:
            return not self._first_start or now >= self._started_at + FIRST_LIST_SECONDS
        delay = FIRST_START_SECONDS if self._first_start else RESTART_SECONDS
        if not self._members.listed:
            return not self._first_start and now >= self._started_at + delay
        if self._list_not_before is None:
            self._list_not_before = now + delay
        return self._role.is_relay(live) or now >= self._list_not_before

    def tick(self, now: float) -> None:
        """Run the periodic work; called a few times a second."""
        self.choose(now)
        if self._peers.follows:
            self._catalog.confirm_searchers()
            # An instance that hears no peer may itself be isolated.
            if self._peers.count_heard_peers(now) > 0:
                self._remove_dead(now)

    def _remove_dead(self, now: float) -> None:
        for name in self._roster.silent_for(DEAD_INSTANCE_SECONDS, now):
            if name not in self._remove_tasks:
                task = asyncio.create_task(self._entry.remove(name))
                self._remove_tasks[name] = task
                task.add_done_callback(lambda _, dead=name: self._remove_tasks.pop(dead, None))

    def _ensure_listed(self, now: float) -> None:
        """Write this instance's entry if it is missing or differs.

        The entry of the previous process differs only in the incarnation, which peers learn over
        their links.
        """
        if self._join_task is not None and not self._join_task.done():
            return
        entry = self._catalog.instances.items.get(self._roster.own.name)
        listed = entry is not None and entry.differs_only_in_incarnation(self._roster.own)
        if self._entry.look(listed, self._catalog.instances.revision.era, now):
            self._join_task = asyncio.create_task(self._entry.join())
