"""Links to other instances: who lives, and what goes between them."""

import asyncio
from collections.abc import Callable, Collection
from random import Random

from websockets.asyncio.connection import Connection
from websockets.asyncio.server import serve

from limpethollow_node.engine.connection.peerlinks import LINK_OPTIONS, PeerLink
from limpethollow_node.engine.frames import (
    AnyFrame,
    CrashNews,
    Frame,
    Heartbeat,
    Hello,
    Leaving,
    Silent,
    encode_frame,
)
from limpethollow_node.engine.process.catalog import Catalog
from limpethollow_node.engine.process.crashnews import CrashNewsExchange
from limpethollow_node.engine.process.dialling import Dialler
from limpethollow_node.engine.process.heartbeats import Heartbeats
from limpethollow_node.engine.process.news import NewsExchange
from limpethollow_node.engine.process.quarantines import Quarantines
from limpethollow_node.engine.process.roster import Roster
from limpethollow_node.engine.process.silence import SilenceJudge
from limpethollow_node.process import events
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.catchups import Known
from limpethollow_policy.process.topology import HEARTBEAT_SECONDS, WatchRole, links_of
from limpethollow_wire.exceptions import LimpethollowError

# A cut-off instance has heard nobody for this long, by two heartbeats of those next door.
_ALL_SILENT_SECONDS = 1.3

_HANDLERS: dict[type[Frame], str] = {}


def _handles(kind: type[Frame]) -> Callable:
    """Register a method as the handler of a kind of frame."""

    def register(method: Callable) -> Callable:
        _HANDLERS[kind] = method.__name__
        return method

    return register


class Peers:
    """Keeps the links, says what is new, and tells the roster who is silent.

    Args:
        roster: The instances.
        catalog: What this instance believes.
        role: Decides whether this instance watches the store.
        rng: Source for jitter.
        metrics: The process's counters.
        quarantines: The evidence on requests that end searchers.
        seeds: IP addresses of instances that may be tried before any is known from the store.
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
    ) -> None:
        self._roster = roster
        self._metrics = metrics
        self._catalog = catalog
        self._role = role
        self._seeds = frozenset(seeds)
        self._links: dict[str, PeerLink] = {}
        self._dialler = Dialler(rng, lambda socket: self._run(socket, dialled=True))
        self._silence = SilenceJudge(roster, self._links)
        self._news = NewsExchange(catalog, self._links)
        self._crash_news = CrashNewsExchange(quarantines, self._links)
        self._member_hosts: set[str] = set(seeds)
        self._suspects: dict[str, float] = {}
        self._turn = 0
        self._heartbeats = Heartbeats(roster, catalog, self._links)
        self.on_batch_frame: Callable[[PeerLink, AnyFrame], None] = lambda link, frame: None
        self.on_link_lost: Callable[[PeerLink], None] = lambda link: None

    @property
    def follows(self) -> bool:
        """Whether this instance watches the store and nothing stands in the way."""
        return self._heartbeats.follows

    @follows.setter
    def follows(self, follows: bool) -> None:
        self._heartbeats.follows = follows

    async def serve(self, host: str, port: int) -> None:
        """Accept links; returns once the listener is bound."""
        self._server = await serve(self._accepted, host, port, **LINK_OPTIONS)

    async def run(self) -> None:
        """Keep links up and say heartbeats until cancelled."""
        while True:
            try:
                self._beat(asyncio.get_running_loop().time())
            except Exception as error:
                events.DEFECT.log(where="peers", error=repr(error), exc_info=True)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def link_up(self) -> None:
        """Open the links that are missing; also called as soon as instances are listed."""
        own = self._roster.own
        known = {instance.name: instance for instance in self._roster.known}
        for name in links_of(own, list(known.values())) - self._links.keys():
            other = known[name]
            # Where both want the link, the one with the smaller name dials, so that there is one.
            if own.name < name or own.name not in links_of(other, list(known.values())):
                self._dialler.dial(other.peer_address)
        if len(known) == 1 and not self._links:
            port = own.peer_address.rpartition(":")[2]
            for host in self._seeds:
                if f"{host}:{port}" != own.peer_address:
                    self._dialler.dial(f"{host}:{port}")

    def tell(self, frame: Frame) -> None:
        """Send news to the linked instances in the own failure domain.

        The others hear from the relay in theirs, or ask when a heartbeat says more than they know.
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
        """Tell all linked instances at once that this one doesn't follow the store any more."""
        self.follows = False
        self.announce()

    def announce(self) -> None:
        """Tell all linked instances at once what this one knows: some may have nothing yet."""
        self._heartbeats.say(self._links.values())

    def leave(self) -> None:
        """Tell all linked instances that this one takes no new callers."""
        self._broadcast(Leaving())

    def near(self, failure_domain: str, count: int, now: float) -> list[PeerLink]:
        """Return links to up to `count` live instances in a failure domain, each in turn.

        Leading ones come first: a relay has links to all instances, and of 195 most have neither
        the processor nor connections for others' calls.
        """
        found = [
            link
            for instance in self._roster.live
            if instance.failure_domain == failure_domain
            and (link := self._links.get(instance.name)) is not None
            and not link.is_silent(now)
            and now >= self._suspects.get(instance.name, 0.0)
        ]
        found = [link for link in found if self._heartbeats.is_leading(link.name)] or found
        if not found:
            return []
        self._turn += 1
        first = self._turn % len(found)
        return [*found[first:], *found[:first]][:count]

    def heard_count(self, now: float) -> int:
        """Return how many instances are heard now.

        One that is cut off hears nobody after this time, also where others speak less often.
        """
        return sum(now - link.heard_at < _ALL_SILENT_SECONDS for link in self._links.values())

    def suspect(self, link: PeerLink, until: float) -> None:
        """Give an instance no batches for a while: it was silent on one."""
        if link.name is not None:
            self._suspects[link.name] = until

    def _beat(self, now: float) -> None:
        self._drop_silent(now)
        self.link_up()
        self._heartbeats.say_due(now)
        heard = self._silence.heard(now)
        news = self._silence.news(heard)
        if news is not None:
            self._broadcast(news)
        self._silence.judge(heard, self._dialler.refusing, now)

    def _drop_silent(self, now: float) -> None:
        for link in list(self._links.values()):
            if link.is_silent(now):
                link.close()

    async def _accepted(self, socket: Connection) -> None:
        host = socket.remote_address[0]
        if not self._is_member(host):
            events.PEER_REFUSED.log(address=host, reason="not a member")
            socket.transport.abort()
            return
        await self._run(socket, dialled=False)

    def _is_member(self, host: str) -> bool:
        """Return whether an address belongs to an instance that the store lists.

        Anyone who reaches the internal ports could otherwise hand out configurations. Before any
        instance is known, as after a restart with the store away, the seeds are believed. One that
        was listed stays a member: it may be back before the store lists it again.
        """
        self._member_hosts.update(
            instance.peer_address.rpartition(":")[0] for instance in self._roster.known
        )
        return host in self._member_hosts

    async def _run(self, socket: Connection, *, dialled: bool) -> None:
        loop = asyncio.get_running_loop()
        link = PeerLink(socket, self._on_frame, self._metrics, loop.time(), dialled=dialled)
        own = self._roster.own
        link.send(Hello(own.name, own.incarnation, own.failure_domain, self._catalog.known))
        try:
            await link.run()
        except LimpethollowError as error:
            events.PEER_REFUSED.log(address=link.host, reason=str(error))
        finally:
            self._lost(link)

    def _lost(self, link: PeerLink) -> None:
        if link.name is None or self._links.get(link.name) is not link:
            return
        del self._links[link.name]
        self._silence.forget(link.name)
        now = asyncio.get_running_loop().time()
        self._role.relay_stopped(link.name, now)
        events.PEER_LOST.log(peer=link.name)
        self.on_link_lost(link)
        self._silence.judge(self._silence.heard(now), self._dialler.refusing, now)

    def _on_frame(self, link: PeerLink, frame: AnyFrame) -> None:
        handler = _HANDLERS.get(type(frame))
        if handler is not None:
            getattr(self, handler)(link, frame)
        elif not self._news.take(link, frame):
            self.on_batch_frame(link, frame)

    @_handles(Hello)
    def _on_hello(self, link: PeerLink, hello: Hello) -> None:
        link.name, link.incarnation = hello.name, hello.incarnation
        link.source.far = hello.failure_domain != self._roster.own.failure_domain
        older = self._links.get(hello.name)
        if older is not None and not self._replaces(link, older):
            link.close()
            return
        self._links[hello.name] = link
        self._silence.linked(hello.name, link.heard_at)
        self._roster.started(hello.name, hello.incarnation)
        if older is not None:
            older.close()
        events.PEER_LINKED.log(peer=hello.name, version=hello.known.version)
        self._crash_news.greet(link)
        self._news.heard(link, hello.known)
        self._heartbeats.say([link])
        told = self._silence.told
        if told is not None:
            link.send(told)

    def _replaces(self, link: PeerLink, older: PeerLink) -> bool:
        """Return whether a second link to the same instance replaces the first.

        Where two instances dial each other at once, both must keep the same link, or each closes
        the one that the other keeps, again and again. The one dialled by the smaller name stays.
        """
        if link.incarnation != older.incarnation or link.dialled == older.dialled:
            return True
        return link.dialled == (self._roster.own.name < link.name)

    @_handles(Heartbeat)
    def _on_heartbeat(self, link: PeerLink, beat: Heartbeat) -> None:
        link.ready = beat.ready
        link.interval = beat.interval
        link.lag(beat.sent_at)
        if link.name is None:
            return
        if beat.follows and self._tells_eras(beat.known):
            self._role.relay_heard(link.name, link.heard_at, beat.interval)
            if beat.known.version == self._catalog.version_number:
                self._catalog.confirm_version()
            if beat.known.revision(beat.known.searchers) <= self._catalog.searchers.revision:
                self._catalog.confirm_searchers()
        else:
            self._role.relay_stopped(link.name, link.heard_at)
        self._news.heard(link, beat.known)
        if beat.ready:
            self._roster.set_silent(link.name, False, link.heard_at)

    def _tells_eras(self, known: Known) -> bool:
        """Return whether a peer's news can be told from those of before the store came back.

        A release without eras can't say it, so it counts as no relay where the store has eras.
        """
        return known.era > 0 or self._catalog.known.era == 0

    @_handles(CrashNews)
    def _on_crashes(self, link: PeerLink, news: CrashNews) -> None:
        self._crash_news.take(link, news)

    @_handles(Silent)
    def _on_silent(self, link: PeerLink, silent: Silent) -> None:
        if link.name is not None:
            self._silence.take(link.name, silent)

    @_handles(Leaving)
    def _on_leaving(self, link: PeerLink, _: Leaving) -> None:
        if link.name is not None:
            link.ready = False
            self._roster.set_leaving(link.name, link.incarnation)
