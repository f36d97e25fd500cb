"""This instance's view of the cluster: configuration, searchers, instances, evacuations."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from limpethollow_node.engine.frames import EvacuationUpdate, InstanceUpdate, SearcherUpdate
from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.engine.process.engine import Engine
from limpethollow_node.engine.process.roster import Roster
from limpethollow_node.process import events
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.catchups import KnownState
from limpethollow_policy.process.departures import Departures
from limpethollow_policy.process.entries import invalid_instance_field, invalid_searcher_field
from limpethollow_policy.process.evacuations import Evacuation
from limpethollow_policy.process.objectcaches import ObjectCache
from limpethollow_policy.process.placements import Instance
from limpethollow_policy.process.removals import REWRITE_GRACE_SECONDS, DelayedRemover, RemovalDelay
from limpethollow_policy.process.revisions import Revision
from limpethollow_policy.process.searchers import Searcher
from limpethollow_policy.version.routes import RoutingVersion

T = TypeVar("T")
N = TypeVar("N", SearcherUpdate, InstanceUpdate, EvacuationUpdate)
OnVersion = Callable[[RoutingVersion], None]


# Up to this many simultaneous searcher changes are logged one by one; more share one log line.
_MAX_LOG_LINES = 8
_LOGGED_NAME_CHARACTERS = 100


@dataclass(slots=True, frozen=True)
class _SearcherChange:
    """A change of one searcher's entry, to be logged."""

    id: str
    service: str
    state: str
    reason: str = "news"


class Catalog:
    """Applies updates from the store or from peers.

    A searcher whose entry disappeared is kept as a last resort for a while: entries expire while
    the store is unavailable and are written again with the searcher's next heartbeat. After the
    store was restored from an older copy, state that the copy contradicts is kept until its writers
    have had time to write it again.

    Args:
        dispatch: Receives the searchers.
        engine: Receives the configuration versions.
        roster: Receives the instances.
        removal_delay: Seconds for which a searcher is kept after its entry disappeared.
        on_version: Called with each version that takes effect.
    """

    __slots__ = (
        "_departures",
        "_dispatch",
        "_engine",
        "_evacuation_losses",
        "_held",
        "_instance_losses",
        "_changes",
        "_on_version",
        "_removals",
        "_roster",
        "_searchers_confirmed_at",
        "evacuations",
        "instances",
        "searchers",
    )

    def __init__(
        self,
        dispatch: Dispatch,
        engine: Engine,
        roster: Roster,
        removal_delay: float,
        on_version: OnVersion,
    ) -> None:
        self._dispatch = dispatch
        self._engine = engine
        self._roster = roster
        self._removals = RemovalDelay(removal_delay)
        self._departures = Departures()
        # Searchers that an older copy of the store lists as ready although they have left since.
        self._held = RemovalDelay(REWRITE_GRACE_SECONDS)
        self._evacuation_losses = DelayedRemover(self._restore)
        self._instance_losses = DelayedRemover(roster.remove)
        self._on_version = on_version
        self._searchers_confirmed_at = float("-inf")
        self._changes: list[_SearcherChange] = []
        self.searchers: ObjectCache[Searcher] = ObjectCache(
            self._on_searcher_put, self._on_searcher_gone, self._log_changes
        )
        self.instances: ObjectCache[Instance] = ObjectCache(
            self._on_instance_put, self._on_instance_gone
        )
        self.evacuations: ObjectCache[Evacuation] = ObjectCache(
            self._on_evacuation_put, self._on_evacuation_gone
        )

    @property
    def version_number(self) -> int:
        """Return the number of the active version, or -1 if there is none."""
        current = self._engine.versions.current
        return -1 if current is None else current.number

    @property
    def version(self) -> RoutingVersion | None:
        """Return the active version."""
        return self._engine.versions.current

    def offer_version(self, version: RoutingVersion, source: str) -> bool:
        """Activate a version if it is newer; return whether it was."""
        if not self._engine.use_version(version):
            return False
        events.VERSION_IN_FORCE.log(
            version=version.number, routes=len(version.routes), source=source
        )
        self._on_version(version)
        return True

    def confirm_version(self, delay: float = 0.0) -> None:
        """Record that the active version was the store's newest one.

        Args:
            delay: Seconds for which the message that shows this was delayed. After a suspension,
                messages from before it are read, and keys may have been added since.
        """
        self._engine.versions.confirm(self._engine.now() - delay)

    def confirm_searchers(self) -> None:
        """Record that the list of searchers is as new as the store's now."""
        self._searchers_confirmed_at = self._engine.now()

    def register_gauges(self, metrics: Metrics) -> None:
        """Register gauges of the size and age of the known state."""
        now = self._engine.now
        metrics.gauge("version", lambda: self.version_number)
        metrics.gauge("version_age_seconds", lambda: self._engine.versions.age(now()))
        metrics.gauge("searchers_known", lambda: len(self.searchers.items))
        metrics.gauge("searchers_age_seconds", lambda: now() - self._searchers_confirmed_at)
        metrics.gauge("instances_known", lambda: len(self._roster))
        metrics.gauge("domains_evacuated", lambda: len(self.evacuations.items))

    @property
    def known(self) -> KnownState:
        """Return the revisions up to which this instance can update its peers."""
        return KnownState.of(
            self.version_number,
            self.searchers.changed_at,
            self.instances.changed_at,
            self.evacuations.changed_at,
        )

    @property
    def known_up_to(self) -> KnownState:
        """Return the revisions up to which this instance's state is complete."""
        return KnownState.of(
            self.version_number,
            self.searchers.revision,
            self.instances.revision,
            self.evacuations.revision,
        )

    def searchers_since(self, revision: Revision) -> SearcherUpdate:
        """Return the searchers changed since a revision, or all if that revision is unknown."""
        return _updates_since(SearcherUpdate, self.searchers, revision)

    def instances_since(self, revision: Revision) -> InstanceUpdate:
        """Return the instances changed since a revision, or all if that revision is unknown."""
        return _updates_since(InstanceUpdate, self.instances, revision)

    def evacuations_since(self, revision: Revision) -> EvacuationUpdate:
        """Return the evacuations changed since a revision, or all, as `searchers_since` does."""
        return _updates_since(EvacuationUpdate, self.evacuations, revision)

    def apply_searchers(self, news: SearcherUpdate) -> bool:
        """Apply changed searchers; return False if the complete list is needed."""
        put = {searcher.id: searcher for searcher in news.put}
        return _apply(self.searchers, news, put, invalid_searcher_field)

    def apply_instances(self, news: InstanceUpdate) -> bool:
        """Apply changed instances; return False if the complete list is needed."""
        put = {instance.name: instance for instance in news.put}
        return _apply(self.instances, news, put, invalid_instance_field)

    def apply_evacuations(self, news: EvacuationUpdate) -> bool:
        """Apply changed evacuations; return False if the complete list is needed."""
        put = {evacuation.failure_domain: evacuation for evacuation in news.put}
        return _apply(self.evacuations, news, put)

    def set_removal_delay(self, seconds: float) -> None:
        """Change how long searchers are kept after their entries disappeared."""
        self._removals.seconds = seconds

    def tick(self, now: float) -> None:
        """Apply what is due; called a few times a second.

        Searchers whose removal delay has expired are removed, held searcher updates are applied,
        lost instances and evacuations that were not written again are removed, and departures that
        are too old are dropped.
        """
        for searcher_id in self._removals.due(now):
            self._remove(searcher_id, "delay_over")
        for searcher_id in self._held.due(now):
            self._put(self.searchers.items[searcher_id])
        self._evacuation_losses.tick(now)
        self._instance_losses.tick(now)
        self._departures.expire(now)
        self._log_changes()

    def _on_evacuation_put(self, evacuation: Evacuation) -> None:
        domain = evacuation.failure_domain
        self._evacuation_losses.came(domain)
        if domain not in self._dispatch.fleet.evacuated:
            self._dispatch.evacuate(domain)
            revision = self.evacuations.revision.number
            events.DOMAIN_EVACUATED.log(domain=domain, revision=revision)

    def _on_evacuation_gone(self, failure_domain: str) -> None:
        now, lost = self._dispatch.loop.time(), self.evacuations.begins_era
        self._evacuation_losses.went(failure_domain, now, lost=lost)

    def _on_instance_put(self, instance: Instance) -> None:
        self._instance_losses.came(instance.name)
        self._roster.put(instance)

    def _on_instance_gone(self, name: str) -> None:
        now, lost = self._dispatch.loop.time(), self.instances.begins_era
        self._instance_losses.went(name, now, lost=lost)

    def _restore(self, failure_domain: str) -> None:
        self._dispatch.restore(failure_domain)
        revision = self.evacuations.revision.number
        events.DOMAIN_RESTORED.log(domain=failure_domain, revision=revision)

    def _on_searcher_put(self, searcher: Searcher) -> None:
        now = self._dispatch.loop.time()
        if searcher.draining:
            self._departures.add(searcher, now)
        elif self.searchers.begins_era and self._departures.has(searcher):
            self._hold(searcher, now)
            return
        self._put(searcher)

    def _hold(self, searcher: Searcher, now: float) -> None:
        """Keep a searcher unused, or as a last resort if only its entry had disappeared."""
        self._held.add(searcher.id, now)
        if self._departures.has_drained(searcher):
            return
        self._removals.cancel(searcher.id)
        self._dispatch.put_searcher(searcher)
        self._dispatch.fleet.get(searcher.id).entry_gone(now)

    def _put(self, searcher: Searcher) -> None:
        self._held.cancel(searcher.id)
        self._removals.cancel(searcher.id)
        if not searcher.draining:
            self._departures.discard(searcher)
        known = self._dispatch.fleet.get(searcher.id)
        self._dispatch.put_searcher(searcher)
        if known is None or known.searcher.draining != searcher.draining:
            state = "draining" if searcher.draining else "ready"
            self._changes.append(_SearcherChange(searcher.id, searcher.service, state))

    def _on_searcher_gone(self, searcher_id: str) -> None:
        self._held.cancel(searcher_id)
        replica = self._dispatch.fleet.get(searcher_id)
        if replica is None:
            return
        now = self._dispatch.loop.time()
        self._departures.add(replica.searcher, now)
        if replica.searcher.draining:
            self._remove(searcher_id, "entry_gone")
            return
        replica.entry_gone(now)
        self._removals.add(searcher_id, now)
        self._changes.append(_SearcherChange(searcher_id, replica.searcher.service, "unlisted"))

    def _remove(self, searcher_id: str, why: str) -> None:
        replica = self._dispatch.fleet.get(searcher_id)
        if replica is None:
            return
        self._dispatch.remove_searcher(searcher_id)
        self._changes.append(_SearcherChange(searcher_id, replica.searcher.service, "gone", why))

    def _log_changes(self) -> None:
        """Log the collected searcher changes: one by one, or many in one line.

        A starting instance learns of 444 searchers at once. One log line for each costs 6.5 ms of
        CPU time before it is ready, a single line 0.1 ms (`timeit`); 195 instances wrote 38,000
        lines for two seconds of changes.
        """
        changes, self._changes = self._changes, []
        revision = self.searchers.revision.number
        if len(changes) <= _MAX_LOG_LINES:
            for each in changes:
                events.SEARCHER_LISTED.log(
                    searcher=each.id,
                    service=each.service,
                    state=each.state,
                    reason=each.reason,
                    revision=revision,
                )
            return
        by_state: dict[str, list[str]] = {}
        for each in changes:
            by_state.setdefault(each.state, []).append(each.id)
        events.SEARCHERS_LISTED.log(count=len(changes), searchers=by_state, revision=revision)


def _apply(
    belief: ObjectCache[T],
    news: SearcherUpdate | InstanceUpdate | EvacuationUpdate,
    put: dict[str, T],
    invalid_field: Callable[[T], str | None] = lambda item: None,
) -> bool:
    """Apply the updates of a peer, whose release may accept objects that can't be used here."""
    revision = Revision(news.era, news.revision)
    invalid = {name: field for name, item in put.items() if (field := invalid_field(item))}
    for name, field in invalid.items():
        del put[name]
        error = f"A peer sent an object with an invalid {field}."
        events.OBJECT_UNREADABLE.log(error=error, start=name[:_LOGGED_NAME_CHARACTERS])
    if news.base is None:
        return belief.replace(put, revision)
    return belief.change(Revision(news.era, news.base), revision, put, [*news.gone, *invalid])


def _updates_since(kind: type[N], belief: ObjectCache, revision: Revision) -> N:
    delta = belief.since(revision)
    era, number = belief.revision
    if delta is None:
        return kind(None, number, list(belief.items.values()), [], era)
    return kind(delta.base.number, number, list(delta.put.values()), delta.gone, era)
