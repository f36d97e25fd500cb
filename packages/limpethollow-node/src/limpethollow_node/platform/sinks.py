"""Sinks that pass stored objects of each kind on to the product."""

from collections.abc import Callable
from typing import Any, Generic, TypeVar

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
from limpethollow_node.platform.store import LOGGED_NAME_CHARACTERS, Change
from limpethollow_node.process import events
from limpethollow_policy.process.objectcaches import ObjectCache
from limpethollow_policy.process.revisions import Revision
from limpethollow_policy.version.routes import RoutingVersion
from limpethollow_wire.exceptions import BadRequest

T = TypeVar("T")
SendToPeers = Callable[[Frame], None]

STORE = "store"
CONFIGURATION_NAME = "main"


class Sink:
    """Receives the objects and changes that a feed reads; base class."""

    @property
    def revision(self) -> Revision | None:
        """Return the revision from which the kind can be watched; None if it must be listed."""
        raise NotImplementedError

    @property
    def known(self) -> bool:
        """Return whether any state of the kind is known, from the store or a peer."""
        return self.revision is not None

    def read(self, stored: StoredObject) -> Any:
        """Decode an object; return None if it is not needed, or invalid, which is logged."""
        raise NotImplementedError

    def listed(self, items: dict[str, Any], revision: Revision) -> None:
        """Replace the known state by all items of the kind."""
        raise NotImplementedError

    def changed(self, changes: list[Change], revision: Revision) -> None:
        """Apply the changes up to a revision."""
        raise NotImplementedError


class ConfigurationSink(Sink):
    """Applies the operator's newest configuration and sends it to the peers.

    Args:
        catalog: Receives the versions.
        tell: Sends a frame to the peers.
    """

    def __init__(self, catalog: Catalog, tell: SendToPeers) -> None:
        self._catalog = catalog
        self._send_to_peers = tell
        self._revision: Revision | None = None

    @property
    def revision(self) -> Revision | None:
        """Return the revision from which the configuration can be watched."""
        return self._revision

    @property
    def known(self) -> bool:
        """Return whether the store was read or a peer has sent a version."""
        return self._revision is not None or self._catalog.version is not None

    def read(self, stored: StoredObject) -> RoutingVersion | None:
        """Return the version in the operator's configuration; None for other or invalid objects."""
        if stored.name != CONFIGURATION_NAME:
            return None
        try:
            return decode_version(stored)
        except BadRequest as error:
            events.RECORD_UNREADABLE.log(object=stored.name, error=str(error))
            return None

    def listed(self, items: dict[str, RoutingVersion], revision: Revision) -> None:
        """Apply the listed version."""
        # Not sent to peers: they have listed it too, or learn from heartbeats that they lack it.
        for version in items.values():
            self._catalog.offer_version(version, STORE)
        self._revision = revision
        self._catalog.confirm_version()

    def changed(self, changes: list[Change], revision: Revision) -> None:
        """Apply a new configuration; a deletion leaves the current one in force."""
        for change in changes:
            version = None if change.deleted else self.read(change.object)
            if version is not None and self._catalog.offer_version(version, STORE):
                self._send_to_peers(VersionUpdate(version))
        self._revision = revision
        self._catalog.confirm_version()


class CachedKindSink(Sink, Generic[T]):
    """Keeps the local copy of a kind in step with the store and sends changes to the peers.

    Args:
        kind: The kind.
        belief: The local copy.
        decode: Decodes an object; raises `BadRequest` if the object is invalid.
        news: Type of the frame that carries changes to peers.
        tell: Sends a frame to the peers.
    """

    def __init__(
        self,
        kind: str,
        belief: ObjectCache[T],
        decode: Callable[[StoredObject], T],
        news: type[SearcherUpdate] | type[InstanceUpdate] | type[EvacuationUpdate],
        tell: SendToPeers,
    ) -> None:
        self._kind = kind
        self._belief = belief
        self._decode = decode
        self._frame_type = news
        self._send_to_peers = tell

    @property
    def revision(self) -> Revision | None:
        """Return the revision of the local copy, whether from the store or a peer."""
        return self._belief.revision if self._belief.is_known else None

    def read(self, stored: StoredObject) -> T | None:
        """Return the decoded object; None if it is invalid."""
        try:
            return self._decode(stored)
        except BadRequest as error:
            events.OBJECT_UNREADABLE.log(
                error=str(error), start=stored.name[:LOGGED_NAME_CHARACTERS]
            )
            return None

    def listed(self, items: dict[str, T], revision: Revision) -> None:
        """Replace the local copy; peers that lack objects learn so from heartbeats and ask."""
        if not self._belief.replace(items, revision):
            known = self._belief.revision
            events.OUTDATED_LIST_DISCARDED.log(kind=self._kind, revision=revision, known=known)

    def changed(self, changes: list[Change], revision: Revision) -> None:
        """Apply the changes and send them to the peers."""
        changed_items: dict[str, T] = {}
        deleted_names: set[str] = set()
        for change in changes:
            name = change.object.name
            item = None if change.deleted else self.read(change.object)
            changed_items.pop(name, None)
            deleted_names.discard(name)
            if item is None:
                deleted_names.add(name)
            else:
                changed_items[name] = item
        base = self._belief.changed_at
        if revision <= self._belief.revision:
            return
        self._belief.change(self._belief.revision, revision, changed_items, sorted(deleted_names))
        if changes:
            era, number = revision
            frame = self._frame_type(
                base.number, number, list(changed_items.values()), sorted(deleted_names), era
            )
            self._send_to_peers(frame)


def create_sinks(catalog: Catalog, tell: SendToPeers, *, evacuations: bool) -> dict[str, Sink]:
    """Return the sinks of all followed kinds, with that of instances last.

    Args:
        catalog: The local state of this instance.
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
        sinks[kind] = CachedKindSink(kind, belief, decode, news, tell)
    return sinks
