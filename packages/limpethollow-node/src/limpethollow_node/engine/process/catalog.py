"""Everything this instance believes of the world: configuration, searchers, instances."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from limpethollow_node.engine.frames import EvacuationNews, InstanceNews, SearcherNews
from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.engine.process.engine import Engine
from limpethollow_node.engine.process.roster import Roster
from limpethollow_node.process import events
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.beliefs import Belief
from limpethollow_policy.process.catchups import Known
from limpethollow_policy.process.departures import Departures
from limpethollow_policy.process.evacuations import Evacuation
from limpethollow_policy.process.placements import Instance
from limpethollow_policy.process.removals import RETURN_SECONDS, LossDelay, RemovalDelay
from limpethollow_policy.process.revisions import Revision
from limpethollow_policy.process.searchers import Searcher
from limpethollow_policy.version.routes import RoutingVersion

T = TypeVar("T")
N = TypeVar("N", SearcherNews, InstanceNews, EvacuationNews)
OnVersion = Callable[[RoutingVersion], None]


# Changes of searchers that come together and are told one by one; more are told in one line.
_MOST_LINES = 8


@dataclass(slots=True, frozen=True)
class _ListedSearcher:
    """What became of one searcher's entry."""

    id: str
    service: str
    state: str
    reason: str = "news"


class Catalog:
    """Takes news from the store or from peers, and puts it to use.

    A searcher whose entry is gone is kept as a last choice for a moment: entries lapse while the
    store is away, and come back with the searcher's next heartbeat. Where the store came back from
    an older copy, what it contradicts stays as it was until its writers have had time to write it
    again.

    Args:
        dispatch: Gets the searchers.
        engine: Gets the versions.
        roster: Gets the instances.
        removal_delay: Seconds for which a searcher whose entry is gone is kept.
        on_version: Called with each version that comes into force.
    """

    __slots__ = (
        "_departures",
        "_dispatch",
        "_engine",
        "_evacuation_losses",
        "_held",
        "_instance_losses",
        "_listed",
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
        # Searchers listed as ready in an older copy of the store though they had left since.
        self._held = RemovalDelay(RETURN_SECONDS)
        self._evacuation_losses = LossDelay(self._restore)
        self._instance_losses = LossDelay(roster.remove)
        self._on_version = on_version
        self._searchers_confirmed_at = float("-inf")
        self._listed: list[_ListedSearcher] = []
        self.searchers: Belief[Searcher] = Belief(
            self._searcher_put, self._searcher_gone, self._log_listed
        )
        self.instances: Belief[Instance] = Belief(self._instance_put, self._instance_gone)
        self.evacuations: Belief[Evacuation] = Belief(self._evacuate, self._evacuation_gone)

    @property
    def version_number(self) -> int:
        """Return the number of the version in force, -1 where none is."""
        current = self._engine.versions.current
        return -1 if current is None else current.number

    @property
    def version(self) -> RoutingVersion | None:
        """Return the version in force."""
        return self._engine.versions.current

    def offer_version(self, version: RoutingVersion, source: str) -> bool:
        """Put a version in force where it is newer; return whether it was."""
        if not self._engine.use_version(version):
            return False
        events.VERSION_IN_FORCE.log(
            version=version.number, routes=len(version.routes), source=source
        )
        self._on_version(version)
        return True

    def confirm_version(self) -> None:
        """Note that the store has no newer version now."""
        self._engine.versions.confirm(self._engine.now())

    def confirm_searchers(self) -> None:
        """Note that the store has no newer list of searchers now."""
        self._searchers_confirmed_at = self._engine.now()

    def show_ages(self, metrics: Metrics) -> None:
        """Show what is known, and how old it is, among the metrics."""
        now = self._engine.now
        metrics.gauge("version", lambda: self.version_number)
        metrics.gauge("version_age_seconds", lambda: self._engine.versions.age(now()))
        metrics.gauge("searchers_known", lambda: len(self.searchers.items))
        metrics.gauge("searchers_age_seconds", lambda: now() - self._searchers_confirmed_at)
        metrics.gauge("instances_known", lambda: len(self._roster))
        metrics.gauge("domains_evacuated", lambda: len(self.evacuations.items))

    @property
    def known(self) -> Known:
        """Return how much this instance can tell others."""
        return Known.of(
            self.version_number,
            self.searchers.changed_at,
            self.instances.changed_at,
            self.evacuations.changed_at,
        )

    @property
    def known_up_to(self) -> Known:
        """Return up to where nothing is missing here."""
        return Known.of(
            self.version_number,
            self.searchers.revision,
            self.instances.revision,
            self.evacuations.revision,
        )

    def searchers_since(self, revision: Revision) -> SearcherNews:
        """Return the searchers that changed after a revision, or all where that isn't known."""
        return _news(SearcherNews, self.searchers, revision)

    def instances_since(self, revision: Revision) -> InstanceNews:
        """Return the instances that changed after a revision, or all where that isn't known."""
        return _news(InstanceNews, self.instances, revision)

    def evacuations_since(self, revision: Revision) -> EvacuationNews:
        """Return the evacuations that changed after a revision, or all, as `searchers_since`."""
        return _news(EvacuationNews, self.evacuations, revision)

    def take_searchers(self, news: SearcherNews) -> bool:
        """Take in news of searchers; return False where all are needed."""
        return _take(self.searchers, news, {searcher.id: searcher for searcher in news.put})

    def take_instances(self, news: InstanceNews) -> bool:
        """Take in news of instances; return False where all are needed."""
        return _take(self.instances, news, {instance.name: instance for instance in news.put})

    def take_evacuations(self, news: EvacuationNews) -> bool:
        """Take in news of evacuated failure domains; return False where all are needed."""
        put = {evacuation.failure_domain: evacuation for evacuation in news.put}
        return _take(self.evacuations, news, put)

    def set_removal_delay(self, seconds: float) -> None:
        """Change for how long searchers whose entries went are kept."""
        self._removals.seconds = seconds

    def tick(self, now: float) -> None:
        """Remove the searchers whose time is over; called a few times a second."""
        for searcher_id in self._removals.due(now):
            self._remove(searcher_id, "delay_over")
        for searcher_id in self._held.due(now):
            self._put(self.searchers.items[searcher_id])
        self._evacuation_losses.tick(now)
        self._instance_losses.tick(now)
        self._departures.expire(now)
        self._log_listed()

    def _evacuate(self, evacuation: Evacuation) -> None:
        domain = evacuation.failure_domain
        self._evacuation_losses.came(domain)
        if domain not in self._dispatch.fleet.evacuated:
            self._dispatch.evacuate(domain)
            revision = self.evacuations.revision.number
            events.DOMAIN_EVACUATED.log(domain=domain, revision=revision)

    def _evacuation_gone(self, failure_domain: str) -> None:
        now, lost = self._dispatch.loop.time(), self.evacuations.begins_era
        self._evacuation_losses.went(failure_domain, now, lost=lost)

    def _instance_put(self, instance: Instance) -> None:
        self._instance_losses.came(instance.name)
        self._roster.put(instance)

    def _instance_gone(self, name: str) -> None:
        now, lost = self._dispatch.loop.time(), self.instances.begins_era
        self._instance_losses.went(name, now, lost=lost)

    def _restore(self, failure_domain: str) -> None:
        self._dispatch.restore(failure_domain)
        revision = self.evacuations.revision.number
        events.DOMAIN_RESTORED.log(domain=failure_domain, revision=revision)

    def _searcher_put(self, searcher: Searcher) -> None:
        now = self._dispatch.loop.time()
        if searcher.draining:
            self._departures.add(searcher, now)
        elif self.searchers.begins_era and self._departures.has(searcher):
            self._hold(searcher, now)
            return
        self._put(searcher)

    def _hold(self, searcher: Searcher, now: float) -> None:
        """Keep a searcher out of use, or as a last choice where only its entry had gone."""
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
            self._listed.append(_ListedSearcher(searcher.id, searcher.service, state))

    def _searcher_gone(self, searcher_id: str) -> None:
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
        self._listed.append(_ListedSearcher(searcher_id, replica.searcher.service, "unlisted"))

    def _remove(self, searcher_id: str, why: str) -> None:
        replica = self._dispatch.fleet.get(searcher_id)
        if replica is None:
            return
        self._dispatch.remove_searcher(searcher_id)
        self._listed.append(_ListedSearcher(searcher_id, replica.searcher.service, "gone", why))

    def _log_listed(self) -> None:
        """Tell what became of searchers: one by one, or of many together.

        An instance that starts hears of 444 searchers at once. A line for each takes 6.5 ms of a
        core before it is ready, one for all 0.1 ms (`timeit`); 195 instances wrote 38,000 lines for
        two seconds of changes.
        """
        listed, self._listed = self._listed, []
        revision = self.searchers.revision.number
        if len(listed) <= _MOST_LINES:
            for each in listed:
                events.SEARCHER_LISTED.log(
                    searcher=each.id,
                    service=each.service,
                    state=each.state,
                    reason=each.reason,
                    revision=revision,
                )
            return
        by_state: dict[str, list[str]] = {}
        for each in listed:
            by_state.setdefault(each.state, []).append(each.id)
        events.SEARCHERS_LISTED.log(count=len(listed), searchers=by_state, revision=revision)


def _take(
    belief: Belief[T], news: SearcherNews | InstanceNews | EvacuationNews, put: dict[str, T]
) -> bool:
    revision = Revision(news.era, news.revision)
    if news.base is None:
        return belief.replace(put, revision)
    return belief.change(Revision(news.era, news.base), revision, put, news.gone)


def _news(kind: type[N], belief: Belief, revision: Revision) -> N:
    step = belief.since(revision)
    era, number = belief.revision
    if step is None:
        return kind(None, number, list(belief.items.values()), [], era)
    return kind(step.base.number, number, list(step.put.values()), step.gone, era)
