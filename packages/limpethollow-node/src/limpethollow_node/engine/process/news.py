"""News among instances: configurations, searchers and instances that one has and another lacks."""

import asyncio
from collections.abc import Callable, Mapping

from limpethollow_node.engine.connection.peerlinks import PeerLink
from limpethollow_node.engine.frames import (
    AnyFrame,
    Ask,
    EvacuationNews,
    InstanceNews,
    SearcherNews,
    VersionNews,
)
from limpethollow_node.engine.process.catalog import Catalog
from limpethollow_policy.process.catchups import (
    ANSWER_SECONDS,
    LACKING_SECONDS,
    Known,
    source_for,
)


class NewsExchange:
    """Takes in what peers tell, asks one of them for what is missing, and answers such questions.

    Args:
        catalog: What this instance knows.
        links: The links to other instances, by name.
    """

    __slots__ = ("_catalog", "_catching_up", "_handlers", "_links")

    def __init__(self, catalog: Catalog, links: Mapping[str, PeerLink]) -> None:
        self._catalog = catalog
        self._links = links
        self._catching_up: asyncio.TimerHandle | None = None
        self._handlers: dict[type, Callable] = {
            VersionNews: self._take_version,
            SearcherNews: self._taking(lambda news: catalog.take_searchers(news)),
            InstanceNews: self._taking(lambda news: catalog.take_instances(news)),
            EvacuationNews: self._taking(lambda news: catalog.take_evacuations(news)),
            Ask: self._answer,
        }

    def take(self, link: PeerLink, frame: AnyFrame) -> bool:
        """Take in a frame; return False where it is none of news."""
        handler = self._handlers.get(type(frame))
        if handler is None:
            return False
        handler(link, frame)
        return True

    def heard(self, link: PeerLink, known: Known) -> None:
        """Note what a peer knows, and ask for it if it is still missing here in a moment.

        An instance that can't serve callers yet asks at once.
        """
        link.source.known = known
        own = self._catalog.known_up_to
        if known.is_ahead_of(own):
            self._catch_up_after(LACKING_SECONDS if own.can_serve else 0.0)

    def _catch_up_after(self, seconds: float) -> None:
        if self._catching_up is None:
            loop = asyncio.get_running_loop()
            self._catching_up = loop.call_later(seconds, self._catch_up)

    def _catch_up(self) -> None:
        """Ask one peer for what is missing here."""
        self._catching_up = None
        now = asyncio.get_running_loop().time()
        links = {id(link.source): link for link in self._links.values()}
        known = self._catalog.known_up_to
        source = source_for(known, [link.source for link in links.values()], now)
        if source is None:
            return
        source.asked_at = now
        links[id(source)].send(Ask(known))
        self._catch_up_after(ANSWER_SECONDS)

    def _take_version(self, link: PeerLink, news: VersionNews) -> None:
        self._catalog.offer_version(news.version, link.name or link.host)

    def _taking(self, take: Callable[[AnyFrame], bool]) -> Callable[[PeerLink, AnyFrame], None]:
        """Return a handler that takes news in, and asks for all where changes before are missing.

        Args:
            take: Takes the news in; returns False where all are needed.
        """

        def handle(_: PeerLink, news: AnyFrame) -> None:
            if not take(news):
                self._catch_up_after(LACKING_SECONDS)

        return handle

    def _answer(self, link: PeerLink, ask: Ask) -> None:
        catalog, known = self._catalog, ask.known
        evacuations = known.revision(known.evacuations)
        searchers = known.revision(known.searchers)
        instances = known.revision(known.instances)
        # Before the searchers: one that has just started must not send calls meanwhile.
        if catalog.evacuations.changed_at > evacuations:
            link.send(catalog.evacuations_since(evacuations))
        if catalog.version is not None and catalog.version_number > known.version:
            link.send(VersionNews(catalog.version))
        if catalog.searchers.changed_at > searchers:
            link.send(catalog.searchers_since(searchers))
        if catalog.instances.changed_at > instances:
            link.send(catalog.instances_since(instances))
