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
from limpethollow_policy.process.evacuations import Evacuation
from limpethollow_policy.process.fleets import Searcher
from limpethollow_policy.process.placements import Instance
from limpethollow_policy.process.removals import RemovalDelay
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
    store is away, and come back with the searcher's next heartbeat.

    Args:
        dispatch: Gets the searchers.
        engine: Gets the versions.
        roster: Gets the instances.
        removal_delay: Seconds for which a searcher whose entry is gone is kept.
        on_version: Called with each version that comes into force.
    """

    __slots__ = (
        "_dispatch",
        "_engine",
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
        self._on_version = on_version
        self._searchers_confirmed_at = float("-inf")
        self._listed: list[_ListedSearcher] = []
        self.searchers: Belief[Searcher] = Belief(
            self._searcher_put, self._searcher_gone, self._log_listed
        )
        self.instances: Belief[Instance] = Belief(roster.put, roster.remove)
        self.evacuations: Belief[Evacuation] = Belief(self._evacuate, self._restore)

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
        return Known(
            self.version_number,
            self.searchers.changed_at,
            self.instances.changed_at,
            self.evacuations.changed_at,
        )

    @property
    def known_up_to(self) -> Known:
        """Return up to where nothing is missing here."""
        return Known(
            self.version_number,
            self.searchers.revision,
            self.instances.revision,
            self.evacuations.revision,
        )

    def searchers_since(self, revision: int) -> SearcherNews:
        """Return the searchers that changed after a revision, or all where that isn't known."""
        return _news(SearcherNews, self.searchers, revision)

    def instances_since(self, revision: int) -> InstanceNews:
        """Return the instances that changed after a revision, or all where that isn't known."""
        return _news(InstanceNews, self.instances, revision)

    def evacuations_since(self, revision: int) -> EvacuationNews:
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
        self._log_listed()

    def _evacuate(self, evacuation: Evacuation) -> None:
        domain = evacuation.failure_domain
        if domain not in self._dispatch.fleet.evacuated:
            self._dispatch.evacuate(domain)
            events.DOMAIN_EVACUATED.log(domain=domain, revision=self.evacuations.revision)

    def _restore(self, failure_domain: str) -> None:
        self._dispatch.restore(failure_domain)
        events.DOMAIN_RESTORED.log(domain=failure_domain, revision=self.evacuations.revision)

    def _searcher_put(self, searcher: Searcher) -> None:
        self._removals.cancel(searcher.id)
        known = self._dispatch.fleet.get(searcher.id)
        self._dispatch.put_searcher(searcher)
        if known is None or known.searcher.draining != searcher.draining:
            state = "draining" if searcher.draining else "ready"
            self._listed.append(_ListedSearcher(searcher.id, searcher.service, state))

    def _searcher_gone(self, searcher_id: str) -> None:
        replica = self._dispatch.fleet.get(searcher_id)
        if replica is None:
            return
        if replica.searcher.draining:
            self._remove(searcher_id, "entry_gone")
            return
        now = self._dispatch.loop.time()
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
        revision = self.searchers.revision
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
    if news.base is None:
        return belief.replace(put, news.revision)
    return belief.change(news.base, news.revision, put, news.gone)


def _news(kind: type[N], belief: Belief, revision: int) -> N:
    step = belief.since(revision)
    if step is None:
        return kind(None, belief.revision, list(belief.items.values()), [])
    return kind(step.base, step.revision, list(step.put.values()), step.gone)
