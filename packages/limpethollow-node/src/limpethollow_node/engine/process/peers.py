"""Links to other instances: failure detection, heartbeats and the routing of frames."""

import asyncio
import socket
from collections.abc import Callable, Collection, Iterator
from functools import partial
from random import Random

from websockets.asyncio.connection import Connection
from websockets.asyncio.server import serve

from limpethollow_node.engine.connection.peergate import AcceptedConnection, PeerGate
from limpethollow_node.engine.connection.peerlinks import LINK_OPTIONS, PeerLink
from limpethollow_node.engine.frames import (
    AnyFrame,
    Ask,
    CrashUpdate,
    Frame,
    Heartbeat,
    Hello,
    LeaseAsk,
    LeaseGrant,
    Leaving,
    QuotaAsk,
    QuotaGrant,
    UnheardInstances,
    encode_frame,
)
from limpethollow_node.engine.process.catalog import Catalog
from limpethollow_node.engine.process.crashreports import CrashReportExchange
from limpethollow_node.engine.process.dialling import Dialler
from limpethollow_node.engine.process.failuredetector import FailureDetector
from limpethollow_node.engine.process.heartbeats import Heartbeats
from limpethollow_node.engine.process.quarantines import Quarantines
from limpethollow_node.engine.process.roster import Roster
from limpethollow_node.engine.process.stateexchange import StateExchange
from limpethollow_node.process import events
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.catchups import KnownState
from limpethollow_policy.process.revisions import Revision
from limpethollow_policy.process.topology import HEARTBEAT_SECONDS, WatchRole, link_targets
from limpethollow_wire.exceptions import LimpethollowError

# An isolated instance has heard no peer for this long, in seconds: two heartbeats of near peers.
_ALL_SILENT_SECONDS = 1.3

# A peer's handshake takes two round trips; this is two heartbeats, as for the dialling instance.
_HANDSHAKE_SECONDS = 1.0

_HANDLERS: dict[type[Frame], str] = {}


def _handles(kind: type[Frame]) -> Callable:
    """Register a method as the handler of a kind of frame."""

    def register(method: Callable) -> Callable:
        _HANDLERS[kind] = method.__name__
        return method

    return register


def _ignore(link: PeerLink, frame: AnyFrame) -> None:
    """Ignore a frame that nothing handles."""


class Peers:
    """Maintains the links, sends updates, and marks silent instances in the roster.

    Args:
        roster: The known instances.
        catalog: This instance's view of the cluster.
        role: Decides whether this instance watches the store.
        rng: Source of jitter.
        metrics: The process's metrics.
        quarantines: The evidence about requests that crash searchers.
        seeds: Addresses of instances to connect to before any is known from the store.
        gate: Limits the memory and the connections of all links; None for the default limits.
    """

    def __init__(
        self,
        roster: Roster,
        catalog: Catalog,
        role: WatchRole,
        rng: Random,
        metrics: Metrics,
        quarantines: Quarantines,
        seeds: Collection[str] = (),
        gate: PeerGate | None = None,
    ) -> None:
        self._gate = gate or PeerGate(metrics)
        self._gate.is_member = self._is_member
        self._roster = roster
        self._metrics = metrics
        self._catalog = catalog
        self._role = role
        self._seeds = frozenset(seeds)
        self._links: dict[str, PeerLink] = {}
        self._dialler = Dialler(rng, lambda link: self._run(link, dialled=True), self._gate)
        self._failure_detector = FailureDetector(roster, self._links)
        self._state_exchange = StateExchange(catalog, self._links)
        self._crash_reports = CrashReportExchange(quarantines, self._links)
        self._member_hosts = {seed.rpartition(":")[0] for seed in seeds}
        self._suspected_until: dict[str, float] = {}
        self._rotation = 0
        self._heartbeats = Heartbeats(roster, catalog, self._links)
        self.on_batch_frame: Callable[[PeerLink, AnyFrame], None] = lambda link, frame: None
        self.on_link_lost: Callable[[PeerLink], None] = lambda link: None
        self.on_lease_frame: Callable[[PeerLink, LeaseAsk | LeaseGrant], None] = _ignore
        self.links_to_holders = False
        self.on_quota_frame: Callable[[PeerLink, QuotaAsk | QuotaGrant], None] = (
            lambda link, frame: None
        )
        self.on_instance_lost: Callable[[str], None] = lambda name: None

    @property
    def follows(self) -> bool:
        """Whether this instance watches the store and all its feeds are connected."""
        return self._heartbeats.follows

    @follows.setter
    def follows(self, follows: bool) -> None:
        self._heartbeats.follows = follows

    async def serve(self, listener: socket.socket) -> None:
        """Start accepting links, including those in the listener's backlog."""
        self._server = await serve(
            self._on_accepted,
            sock=listener,
            open_timeout=_HANDSHAKE_SECONDS,
            create_connection=partial(AcceptedConnection, self._gate),
            **LINK_OPTIONS,
        )

    async def run(self) -> None:
        """Maintain the links and send heartbeats until cancelled."""
        while True:
            try:
                self._run_cycle(asyncio.get_running_loop().time())
            except Exception as error:
                events.UNEXPECTED_ERROR.log(where="peers", error=repr(error), exc_info=True)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def open_missing_links(self) -> None:
        """Open missing links; also called as soon as instances are listed."""
        own = self._roster.own
        known = {instance.name: instance for instance in self._roster.known}
        targets = partial(
            link_targets, known=list(known.values()), with_holders=self.links_to_holders
        )
        for name in targets(own) - self._links.keys():
            other = known[name]
            # If both instances want the link, only the one with the smaller name dials.
            if own.name < name or own.name not in targets(other):
                self._dialler.dial(other.peer_address)
        if len(known) == 1 and not self._links:
            for address in self._seeds - {own.peer_address}:
                self._dialler.dial(address)

    def tell(self, frame: Frame) -> None:
        """Send an update to the linked instances in this instance's failure domain.

        Others get it from the relay in their domain, or request it when a heartbeat announces a
        newer revision.
        """
        data = encode_frame(frame)
        for link in self._links.values():
            if not link.source.far:
                link.send_encoded(data, frame)

    def _broadcast(self, frame: Frame) -> None:
        data = encode_frame(frame)
        for link in self._links.values():
            link.send_encoded(data, frame)

    def stop_following(self) -> None:
        """Announce immediately that this instance stopped watching the store."""
        self.follows = False
        self.announce()

    def announce(self) -> None:
        """Send a heartbeat to all linked instances now.

        It lists the revisions known here, so that linked instances that have no state from the
        store yet can request it.
        """
        self._heartbeats.send_to(self._links.values())

    def leave(self) -> None:
        """Announce to all linked instances that this one accepts no new callers."""
        self._broadcast(Leaving())

    def near(self, failure_domain: str, count: int, now: float) -> list[PeerLink]:
        """Return links to up to `count` live instances in a failure domain, in rotation.

        Only leading instances are returned if there are any: a relay has links to all instances,
        and of 195, most have neither the CPU nor the connections for calls of other instances.
        """
        found = [
            link
            for instance in self._roster.live
            if instance.failure_domain == failure_domain
            and (link := self._links.get(instance.name)) is not None
            and not link.is_silent(now)
            and now >= self._suspected_until.get(instance.name, 0.0)
        ]
        found = [link for link in found if self._heartbeats.is_leading(link.name)] or found
        if not found:
            return []
        self._rotation += 1
        first = self._rotation % len(found)
        return [*found[first:], *found[:first]][:count]

    def hears_store_list(self, now: float) -> bool:
        """Return whether this instance has the store's list of instances now.

        It follows the store, or hears an instance that does and knows no later list.
        """
        own = self._catalog.instances.revision
        return self.follows or any(
            link.follows and _instances_revision(link) <= own for link in self._heard(now)
        )

    def count_heard_peers(self, now: float) -> int:
        """Return the number of instances from which a frame arrived recently.

        An isolated instance counts zero after `_ALL_SILENT_SECONDS`, even if some of its peers send
        heartbeats at longer intervals.
        """
        return sum(now - link.heard_at < _ALL_SILENT_SECONDS for link in self._links.values())

    def live_links(self, now: float) -> dict[str, PeerLink]:
        """Return the links to instances that are not silent, by name."""
        return {name: link for name, link in self._links.items() if not link.is_silent(now)}

    def catch_up(self, link: PeerLink) -> None:
        """Request from a linked instance all state that is newer than this instance's."""
        link.send(Ask(self._catalog.known_up_to))

    def send_to(self, name: str, frame: Frame, now: float) -> bool:
        """Send a frame to a linked instance; return whether it is linked and not silent."""
        link = self._links.get(name)
        if link is None or link.is_silent(now):
            return False
        link.send(frame)
        return True

    def without_newer_instances(self, now: float) -> list[str]:
        """Return the heard instances that know no later list of instances than this one."""
        own = self._catalog.instances.revision
        return [link.name for link in self._heard(now) if _instances_revision(link) <= own]

    def with_own_instances(self, now: float) -> list[str]:
        """Return the heard instances that have applied the last change of this one's list."""
        own = self._catalog.instances.changed_at
        return [link.name for link in self._heard(now) if _instances_revision(link) >= own]

    def _heard(self, now: float) -> Iterator[PeerLink]:
        return (link for link in self._links.values() if not link.is_silent(now))

    def suspect(self, link: PeerLink, until: float) -> None:
        """Send an instance no batches until the given time, since it did not answer one."""
        if link.name is not None:
            self._suspected_until[link.name] = until

    def _run_cycle(self, now: float) -> None:
        self._close_silent(now)
        self.open_missing_links()
        self._heartbeats.send_due(now)
        heard = self._failure_detector.heard(now)
        news = self._failure_detector.news(heard)
        if news is not None:
            self._broadcast(news)
        self._failure_detector.judge(heard, self._dialler.refused_addresses, now)

    def _close_silent(self, now: float) -> None:
        for link in list(self._links.values()):
            if link.is_silent(now):
                link.close()

    async def _on_accepted(self, connection: Connection) -> None:
        await self._run(connection, dialled=False)

    def _is_member(self, host: str) -> bool:
        """Return whether an address belongs to an instance that the store lists.

        Otherwise anyone who reaches the internal ports could distribute configurations. Before any
        instance is known, as after a restart while the store is unavailable, the seeds are trusted.
        An instance that was listed stays a member: it may be back before the store lists it again.
        """
        self._member_hosts.update(
            instance.peer_address.rpartition(":")[0] for instance in self._roster.known
        )
        return host in self._member_hosts

    async def _run(self, connection: Connection, *, dialled: bool) -> None:
        loop = asyncio.get_running_loop()
        link = PeerLink(
            connection,
            self._on_frame,
            self._metrics,
            loop.time(),
            dialled=dialled,
            gate=self._gate,
        )
        own = self._roster.own
        link.send(Hello(own.name, own.incarnation, own.failure_domain, self._catalog.known))
        try:
            await link.run()
        except LimpethollowError as error:
            events.PEER_REFUSED.log(address=link.host, reason=str(error))
        finally:
            self._on_closed(link)

    def _on_closed(self, link: PeerLink) -> None:
        if link.name is None or self._links.get(link.name) is not link:
            return
        del self._links[link.name]
        self._failure_detector.forget(link.name)
        now = asyncio.get_running_loop().time()
        self._role.relay_stopped(link.name, now)
        events.PEER_LOST.log(peer=link.name)
        self.on_link_lost(link)
        self.on_instance_lost(link.name)
        self._failure_detector.judge(
            self._failure_detector.heard(now), self._dialler.refused_addresses, now
        )

    def _on_frame(self, link: PeerLink, frame: AnyFrame) -> None:
        handler = _HANDLERS.get(type(frame))
        if handler is not None:
            getattr(self, handler)(link, frame)
        elif not self._state_exchange.take(link, frame):
            self.on_batch_frame(link, frame)

    @_handles(Hello)
    def _on_hello(self, link: PeerLink, hello: Hello) -> None:
        link.name, link.incarnation = hello.name, hello.incarnation
        link.failure_domain = hello.failure_domain
        link.source.far = hello.failure_domain != self._roster.own.failure_domain
        older = self._links.get(hello.name)
        if older is not None and not self._replaces(link, older):
            link.close()
            return
        self._links[hello.name] = link
        self._failure_detector.linked(hello.name, link.heard_at)
        self._roster.started(hello.name, hello.incarnation)
        if older is not None:
            older.close()
        events.PEER_LINKED.log(peer=hello.name, version=hello.known.version)
        self._crash_reports.greet(link)
        self._state_exchange.heard(link, hello.known)
        self._heartbeats.send_to([link])
        told = self._failure_detector.told
        if told is not None:
            link.send(told)

    def _replaces(self, link: PeerLink, older: PeerLink) -> bool:
        """Return whether a second link to the same instance replaces the first.

        If two instances dial each other simultaneously, both must keep the same link. Otherwise
        each would repeatedly close the link that the other keeps. The link dialled by the instance
        with the smaller name stays.
        """
        if link.incarnation != older.incarnation or link.dialled == older.dialled:
            return True
        return link.dialled == (self._roster.own.name < link.name)

    @_handles(Heartbeat)
    def _on_heartbeat(self, link: PeerLink, heartbeat: Heartbeat) -> None:
        link.ready = heartbeat.ready
        link.interval = heartbeat.interval
        link.follows = heartbeat.follows
        lag = link.lag(heartbeat.sent_at)
        if link.name is None:
            return
        if heartbeat.follows and self._supports_eras(heartbeat.known):
            self._role.relay_message_received(link.name, link.heard_at, heartbeat.interval)
            if heartbeat.known.version == self._catalog.version_number:
                self._catalog.confirm_version(lag)
            if (
                heartbeat.known.revision(heartbeat.known.searchers)
                <= self._catalog.searchers.revision
            ):
                self._catalog.confirm_searchers()
        else:
            self._role.relay_stopped(link.name, link.heard_at)
        self._state_exchange.heard(link, heartbeat.known)
        if heartbeat.ready:
            self._roster.set_silent(link.name, False, link.heard_at)

    def _supports_eras(self, known: KnownState) -> bool:
        """Return whether a peer's updates can be distinguished from those of an earlier store era.

        Releases without eras do not send one, so they do not count as relays if the store has eras.
        """
        return known.era > 0 or self._catalog.known.era == 0

    @_handles(QuotaAsk)
    def _on_quota_ask(self, link: PeerLink, ask: QuotaAsk) -> None:
        self.on_quota_frame(link, ask)

    @_handles(QuotaGrant)
    def _on_quota_grant(self, link: PeerLink, grant: QuotaGrant) -> None:
        self.on_quota_frame(link, grant)

    @_handles(CrashUpdate)
    def _on_crash_reports(self, link: PeerLink, news: CrashUpdate) -> None:
        self._crash_reports.take(link, news)

    @_handles(UnheardInstances)
    def _on_silent(self, link: PeerLink, silent: UnheardInstances) -> None:
        if link.name is not None:
            self._failure_detector.take(link.name, silent)

    @_handles(LeaseAsk)
    def _on_lease_ask(self, link: PeerLink, ask: LeaseAsk) -> None:
        self.on_lease_frame(link, ask)

    @_handles(LeaseGrant)
    def _on_lease_grant(self, link: PeerLink, grant: LeaseGrant) -> None:
        self.on_lease_frame(link, grant)

    @_handles(Leaving)
    def _on_leaving(self, link: PeerLink, _: Leaving) -> None:
        if link.name is not None:
            link.ready = False
            self._roster.set_leaving(link.name, link.incarnation)


def _instances_revision(link: PeerLink) -> Revision:
    """Return the revision of the last change of a peer's list of instances."""
    known = link.source.known
    return known.revision(known.instances)
