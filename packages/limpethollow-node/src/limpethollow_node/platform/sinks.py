"""Where the kinds of the store end up in the product."""

from collections.abc import Callable
from typing import Generic, TypeVar

from limpethollow_node.engine.frames import (
    EvacuationUpdate,
    Frame,
    InstanceUpdate,
    SearcherUpdate,
    VersionUpdate,
)
from limpethollow_node.engine.process.catalog import Catalog
from limpethollow_node.platform.codec import (
    StoredObject,
    decode_evacuation,
    decode_instance,
    decode_searcher,
    decode_version,
)
from limpethollow_node.platform.store import Change
from limpethollow_node.process import events
from limpethollow_policy.process.objectcaches import ObjectCache
from limpethollow_policy.process.revisions import Revision
from limpethollow_policy.version.routes import RoutingVersion
from limpethollow_wire.exceptions import BadRequest

T = TypeVar("T")
Tell = Callable[[Frame], None]

STORE = "store"
CONFIGURATION_NAME = "main"


class Sink:
    """Takes what a feed reads; a subclass for each kind."""

    @property
    def revision(self) -> Revision | None:
        """Return the revision from which the kind can be watched; None where it must be listed."""
        raise NotImplementedError

    @property
    def known(self) -> bool:
        """Return whether anything is known of the kind, from whomever."""
        return self.revision is not None

    def listed(self, objects: list[StoredObject], revision: Revision) -> None:
        """Take all objects of the kind."""
        raise NotImplementedError

    def changed(self, changes: list[Change], revision: Revision) -> None:
        """Take the changes up to a revision."""
        raise NotImplementedError


class ConfigurationSink(Sink):
    """Puts the operator's newest configuration in force and tells the peers.

    Args:
        catalog: Gets the versions.
        tell: Sends a frame to the peers.
    """

    def __init__(self, catalog: Catalog, tell: Tell) -> None:
        self._catalog = catalog
        self._tell = tell
        self._revision: Revision | None = None

    @property
    def revision(self) -> Revision | None:
        """Return the revision from which the configuration can be watched."""
        return self._revision

    @property
    def known(self) -> bool:
        """Return whether the store was read, or a peer has told a version."""
        return self._revision is not None or self._catalog.version is not None

    def listed(self, objects: list[StoredObject], revision: Revision) -> None:
        """Take the configuration among all objects of its kind."""
        # Peers aren't told: they have listed it themselves, or see by heartbeats that they lack it.
        for stored in objects:
            self._take(stored)
        self._revision = revision
        self._catalog.confirm_version()

    def changed(self, changes: list[Change], revision: Revision) -> None:
        """Put a configuration in force; a deletion leaves the last one as it is."""
        for change in changes:
            version = None if change.deleted else self._take(change.object)
            if version is not None:
                self._tell(VersionUpdate(version))
        self._revision = revision
        self._catalog.confirm_version()

    def _take(self, stored: StoredObject) -> RoutingVersion | None:
        """Put a version in force and return it; None where it can't be."""
        if stored.name != CONFIGURATION_NAME:
            return None
        try:
            version = decode_version(stored)
        except BadRequest as error:
            events.RECORD_UNREADABLE.log(object=stored.name, error=str(error))
            return None
        return version if self._catalog.offer_version(version, STORE) else None


class BeliefSink(Sink, Generic[T]):
    """Keeps a belief as the store has it, and tells the peers what changed.

    Args:
        kind: The kind.
        belief: The belief.
        decode: Decodes an object; raises `BadRequest` where it can't be used.
        news: The kind of frame that tells peers.
        tell: Sends a frame to the peers.
    """

    def __init__(
        self,
        kind: str,
        belief: ObjectCache[T],
        decode: Callable[[StoredObject], T],
        news: type[SearcherUpdate] | type[InstanceUpdate] | type[EvacuationUpdate],
        tell: Tell,
    ) -> None:
        self._kind = kind
        self._belief = belief
        self._decode = decode
        self._news = news
        self._tell = tell

    @property
    def revision(self) -> Revision | None:
        """Return the revision up to which the belief is known, from whomever."""
        return self._belief.revision if self._belief.is_known else None

    def listed(self, objects: list[StoredObject], revision: Revision) -> None:
        """Take all objects; peers that lack some see that by heartbeats, and ask."""
        items = {name: item for name, item in map(self._read, objects) if item is not None}
        if not self._belief.replace(items, revision):
            known = self._belief.revision
            events.LIST_DROPPED.log(kind=self._kind, revision=revision, known=known)

    def changed(self, changes: list[Change], revision: Revision) -> None:
        """Take changes."""
        put: dict[str, T] = {}
        gone: set[str] = set()
        for change in changes:
            name, item = change.object.name, None
            if not change.deleted:
                name, item = self._read(change.object)
            put.pop(name, None)
            gone.discard(name)
            if item is None:
                gone.add(name)
            else:
                put[name] = item
        base = self._belief.changed_at
        if revision <= self._belief.revision:
            return
        self._belief.change(self._belief.revision, revision, put, sorted(gone))
        if changes:
            era, number = revision
            news = self._news(base.number, number, list(put.values()), sorted(gone), era)
            self._tell(news)

    def _read(self, stored: StoredObject) -> tuple[str, T | None]:
        try:
            return stored.name, self._decode(stored)
        except BadRequest as error:
            events.OBJECT_UNREADABLE.log(error=str(error), start=stored.name)
            return stored.name, None


def sinks_for(catalog: Catalog, tell: Tell, *, evacuations: bool) -> dict[str, Sink]:
    """Return the sinks of all kinds that are followed, that of instances last.

    Args:
        catalog: What this instance believes.
        tell: Sends a frame to the peers.
        evacuations: Whether operators may evacuate failure domains.
    """
    kinds = {
        "evacuations": (catalog.evacuations, decode_evacuation, EvacuationUpdate),
        "servers": (catalog.searchers, decode_searcher, SearcherUpdate),
        "instances": (catalog.instances, decode_instance, InstanceUpdate),
    }
    if not evacuations:
        del kinds["evacuations"]
    sinks: dict[str, Sink] = {"config": ConfigurationSink(catalog, tell)}
    for kind, (belief, decode, news) in kinds.items():
        sinks[kind] = BeliefSink(kind, belief, decode, news, tell)
    return sinks
