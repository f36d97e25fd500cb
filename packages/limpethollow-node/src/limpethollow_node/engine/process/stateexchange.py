"""Replicates configurations, searchers, instances and evacuations among instances."""

import asyncio
from collections.abc import Callable, Mapping

from limpethollow_node.engine.connection.peerlinks import PeerLink
from limpethollow_node.engine.frames import (
    AnyFrame,
    Ask,
    EvacuationUpdate,
    InstanceUpdate,
    SearcherUpdate,
    VersionUpdate,
    encode_frame,
)
from limpethollow_node.engine.process.catalog import Catalog
from limpethollow_policy.process.catchups import (
    ANSWER_TIMEOUT_SECONDS,
    CATCH_UP_DELAY_SECONDS,
    KnownState,
    choose_source,
)
from limpethollow_policy.version.routes import RoutingVersion


class StateExchange:
    """Applies updates from peers, requests missing ones from a peer, and answers such requests.

    Args:
        catalog: This instance's view of the cluster.
        links: The links to other instances, by name.
    """

    __slots__ = ("_catalog", "_catch_up_timer", "_encoded_version", "_handlers", "_links")

    def __init__(self, catalog: Catalog, links: Mapping[str, PeerLink]) -> None:
        self._catalog = catalog
        self._links = links
        self._catch_up_timer: asyncio.TimerHandle | None = None
        self._encoded_version: tuple[VersionUpdate, bytes] | None = None
        self._handlers: dict[type, Callable] = {
            VersionUpdate: self._apply_version,
            SearcherUpdate: self._handler_for(lambda news: catalog.apply_searchers(news)),
            InstanceUpdate: self._handler_for(lambda news: catalog.apply_instances(news)),
            EvacuationUpdate: self._handler_for(lambda news: catalog.apply_evacuations(news)),
            Ask: self._on_request,
        }

    def take(self, link: PeerLink, frame: AnyFrame) -> bool:
        """Handle a frame; return False if it is not part of the replication."""
        handler = self._handlers.get(type(frame))
        if handler is None:
            return False
        handler(link, frame)
        return True

    def heard(self, link: PeerLink, known: KnownState) -> None:
        """Record a peer's revisions, and schedule a request for what is missing here.

        The request is sent only if updates are still missing after a delay. An instance that can't
        serve callers yet requests them immediately.
        """
        link.source.known = known
        own = self._catalog.known_up_to
        if known.is_ahead_of(own):
            self._schedule_catch_up(CATCH_UP_DELAY_SECONDS if own.can_serve else 0.0)

    def _schedule_catch_up(self, seconds: float) -> None:
        if self._catch_up_timer is None:
            loop = asyncio.get_running_loop()
            self._catch_up_timer = loop.call_later(seconds, self._catch_up)

    def _catch_up(self) -> None:
        """Request the missing updates from one peer."""
        self._catch_up_timer = None
        now = asyncio.get_running_loop().time()
        links = {id(link.source): link for link in self._links.values()}
        known = self._catalog.known_up_to
        source = choose_source(known, [link.source for link in links.values()], now)
        if source is None:
            return
        source.asked_at = now
        links[id(source)].send(Ask(known))
        self._schedule_catch_up(ANSWER_TIMEOUT_SECONDS)

    def _apply_version(self, link: PeerLink, news: VersionUpdate) -> None:
        self._catalog.offer_version(news.version, link.name or link.host)

    def _handler_for(
        self, take: Callable[[AnyFrame], bool]
    ) -> Callable[[PeerLink, AnyFrame], None]:
        """Return a handler that applies updates; if earlier ones are missing, it requests them.

        Args:
            take: Applies the updates; returns False if the complete list is needed.
        """

        def handle(_: PeerLink, news: AnyFrame) -> None:
            if not take(news):
                self._schedule_catch_up(CATCH_UP_DELAY_SECONDS)

        return handle

    def _on_request(self, link: PeerLink, ask: Ask) -> None:
        catalog, known = self._catalog, ask.known
        evacuations = known.revision(known.evacuations)
        searchers = known.revision(known.searchers)
        instances = known.revision(known.instances)
        # Evacuations go first: a starting instance must not send calls to them meanwhile.
        if catalog.evacuations.changed_at > evacuations:
            link.send(catalog.evacuations_since(evacuations))
        if catalog.version is not None and catalog.version_number > known.version:
            self._send_version(link, catalog.version)
        if catalog.searchers.changed_at > searchers:
            link.send(catalog.searchers_since(searchers))
        if catalog.instances.changed_at > instances:
            link.send(catalog.instances_since(instances))

    def _send_version(self, link: PeerLink, version: RoutingVersion) -> None:
        """Send the version, encoded once for all instances that request it, as at their start."""
        if self._encoded_version is None or self._encoded_version[0].version is not version:
            update = VersionUpdate(version)
            self._encoded_version = (update, encode_frame(update))
        update, data = self._encoded_version
        link.send_encoded(data, update)
