"""Where the kinds of the store end up in the product."""

from collections.abc import Callable

from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.engine.process.engine import Engine
from limpethollow_node.platform.codec import StoredObject, decode_searcher, decode_version
from limpethollow_node.platform.feeds import Sink
from limpethollow_node.process import events
from limpethollow_policy.process.removals import RemovalDelay
from limpethollow_policy.version.routes import RoutingVersion
from limpethollow_wire.exceptions import BadRequest

CONFIGURATION_NAME = "main"


class ConfigurationSink(Sink):
    """Puts the operator's newest configuration in force.

    Args:
        engine: The request path.
        on_version: Called with each version that came into force.
    """

    def __init__(self, engine: Engine, on_version: Callable[[RoutingVersion], None]) -> None:
        self._engine = engine
        self._on_version = on_version

    def listed(self, objects: list[StoredObject]) -> None:
        """Take the configuration among all objects of its kind."""
        for stored in objects:
            self.changed(stored, deleted=False)

    def changed(self, stored: StoredObject, *, deleted: bool) -> None:
        """Put a configuration in force; a deletion leaves the last one as it is."""
        if deleted or stored.name != CONFIGURATION_NAME:
            return
        try:
            version = decode_version(stored)
        except BadRequest as error:
            events.RECORD_UNREADABLE.log(object=stored.name, error=str(error))
            return
        if self._engine.use_version(version):
            events.VERSION_IN_FORCE.log(
                version=version.number, revision=stored.revision, routes=len(version.routes)
            )
            self._on_version(version)

    def confirmed(self) -> None:
        """Note that no newer configuration exists now."""
        self._engine.versions.confirm(self._engine.now())


class SearcherSink(Sink):
    """Keeps the searchers as the store lists them.

    An entry that is gone is kept as a last choice for a moment: entries lapse while the store is
    away, and come back with the searcher's next heartbeat.

    Args:
        dispatch: Gets the searchers.
        delay: Seconds for which an entry that is gone is kept.
    """

    def __init__(self, dispatch: Dispatch, delay: float) -> None:
        self._dispatch = dispatch
        self._removals = RemovalDelay(delay)

    def listed(self, objects: list[StoredObject]) -> None:
        """Take all entries."""
        listed = {stored.name for stored in objects}
        for stored in objects:
            self.changed(stored, deleted=False)
        for replica in list(self._dispatch.fleet):
            if replica.searcher.id not in listed:
                self._gone(replica.searcher.id, "not_listed")

    def changed(self, stored: StoredObject, *, deleted: bool) -> None:
        """Take one entry."""
        if deleted:
            self._gone(stored.name, "deleted")
            return
        try:
            searcher = decode_searcher(stored)
        except BadRequest as error:
            events.OBJECT_UNREADABLE.log(error=str(error), start=stored.name)
            self._remove(stored.name, "unreadable")
            return
        self._removals.cancel(stored.name)
        known = self._dispatch.fleet.get(stored.name)
        self._dispatch.put_searcher(searcher)
        if known is None or known.searcher.draining != searcher.draining:
            events.SEARCHER_LISTED.log(
                searcher=searcher.id,
                service=searcher.service,
                state="draining" if searcher.draining else "ready",
                revision=stored.revision,
            )

    def tick(self, now: float) -> None:
        """Remove the searchers whose time is over; called a few times a second."""
        for searcher_id in self._removals.due(now):
            self._remove(searcher_id, "delay_over")

    def _gone(self, searcher_id: str, why: str) -> None:
        replica = self._dispatch.fleet.get(searcher_id)
        if replica is None:
            return
        if replica.searcher.draining:
            self._remove(searcher_id, why)
            return
        replica.unlisted = True
        self._removals.add(searcher_id, self._dispatch.loop.time())
        events.SEARCHER_LISTED.log(
            searcher=searcher_id, service=replica.searcher.service, state="unlisted", reason=why
        )

    def _remove(self, searcher_id: str, why: str) -> None:
        self._removals.cancel(searcher_id)
        replica = self._dispatch.fleet.get(searcher_id)
        if replica is None:
            return
        self._dispatch.remove_searcher(searcher_id)
        events.SEARCHER_LISTED.log(
            searcher=searcher_id, service=replica.searcher.service, state="gone", reason=why
        )
