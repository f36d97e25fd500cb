"""The coordinator: one caller's search, from its groups' owners to one labelled answer."""

import time
import uuid
from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED, Future, wait
from dataclasses import dataclass
from functools import partial
from typing import TypeVar

from limpethollow_node.connection.hangups import WaitingCaller
from limpethollow_node.connection.peers import require_time
from limpethollow_node.process.configs import ConfigManager
from limpethollow_node.process.groups import LocalGroups
from limpethollow_node.process.links import PeerLinks
from limpethollow_node.process.members import MembershipTracker
from limpethollow_node.process.metrics import Metrics
from limpethollow_node.request.owners import OwnerLinks
from limpethollow_node.request.parts import RETRY_AFTER, GroupParts
from limpethollow_policy.request.merges import choose_common_version, merge_answers
from limpethollow_policy.version.groups import GroupCache
from limpethollow_wire.exceptions import (
    BadRequest,
    CoverageTooLow,
    LimpethollowError,
    Unavailable,
    VersionGone,
)
from limpethollow_wire.limits import MAX_DEADLINE_SECONDS
from limpethollow_wire.searches import (
    GroupAnswer,
    GroupSearch,
    GroupVersionsRequest,
    SearchAnswer,
    SearchRequest,
    ServableVersions,
)
from limpethollow_wire.services import ServiceRecord, ServiceSpec

T = TypeVar("T")

_MAX_RESTARTS = 4
_VERSION_GONE = "version_gone"


@dataclass(slots=True, frozen=True)
class _Scatter:
    """One try at a search, with what all its groups share.

    Attributes:
        request_id: Names this try at the owners.
        record: The service.
        spec: Its configuration.
        firm: The caller's firm or club.
        request: What the caller asked for.
        wanted: Shards asked of each group.
        answer_at: Monotonic second at which the answer is due.
        deadline: Monotonic second after which it has no use.
        is_last: Whether there will be no other try.
    """

    request_id: str
    record: ServiceRecord
    spec: ServiceSpec
    firm: str
    request: SearchRequest
    wanted: dict[int, tuple[int, ...]]
    answer_at: float
    deadline: float
    is_last: bool

    @property
    def left(self) -> float:
        """Seconds left."""
        return self.deadline - time.monotonic()

    @property
    def answer_in(self) -> float | None:
        """Seconds left until the latency objective, None where the service has none."""
        if self.spec.objective.mode != "latency":
            return None
        return max(self.answer_at - time.monotonic(), 0.0)


class Coordinator:
    """Answers searches by asking the owner of each group.

    Args:
        own_id: Id of this instance.
        configs: The configuration in force.
        members: The other instances.
        links: Links to them.
        groups: The groups served here.
        metrics: Where counters are kept.
    """

    def __init__(
        self,
        own_id: str,
        configs: ConfigManager,
        members: MembershipTracker,
        links: PeerLinks,
        groups: LocalGroups,
        metrics: Metrics,
    ) -> None:
        self._configs = configs
        self._metrics = metrics
        self._cuts = GroupCache()
        self._parts = GroupParts(configs, groups, self._cuts)
        self._owners = OwnerLinks(own_id, configs, members, links, self._parts, metrics)

    @property
    def parts(self) -> GroupParts:
        """The owner's side at this instance."""
        return self._parts

    def search(
        self, service: str, firm: str, request: SearchRequest, caller: WaitingCaller
    ) -> SearchAnswer:
        """Answer one search; where its caller hangs up, all that runs for it is abandoned.

        Raises:
            LimpethollowError: The typed reason why there is no answer.
        """
        with self._metrics.timed("search"):
            return self._search(service, firm, request, caller)

    def _search(
        self, service: str, firm: str, request: SearchRequest, caller: WaitingCaller
    ) -> SearchAnswer:
        """Try until an answer of one snapshot is there, within the caller's deadline.

        A try is void where a group lost the snapshot or the service was partitioned anew. An error
        that says when to come back is final: waiting on the caller's time would not help.
        """
        arrived = time.monotonic()
        for number in range(1, _MAX_RESTARTS + 1):
            record = self._configs.require(service)
            scatter = self._prepare(record, firm, request, arrived, number == _MAX_RESTARTS)
            # A hang-up may overtake a part that is still on its way; its owner remembers that.
            caller.when_gone(partial(self._abandon, scatter))
            if caller.is_gone:
                raise Unavailable("The caller hung up.", retry_after=RETRY_AFTER)
            try:
                return self._answer(scatter)
            except VersionGone as error:
                if error.retry_after is not None or caller.is_gone:
                    raise
                self._metrics.count("search_restarts", "coordinator")
        raise VersionGone(
            "The index changed too often while the search ran.",
            remedy="Come back after retry_after seconds.",
            retry_after=RETRY_AFTER,
        )

    def _prepare(
        self,
        record: ServiceRecord,
        firm: str,
        request: SearchRequest,
        arrived: float,
        is_last: bool,
    ) -> _Scatter:
        spec = record.spec
        assert spec is not None
        shards = _wanted_shards(spec, request)
        deadline = arrived + _budget(spec, request)
        objective = spec.objective
        due = arrived + objective.latency if objective.mode == "latency" else deadline
        wanted = {
            group.index: tuple(sorted(shards & group.shards))
            for group in self._cuts.of(record)
            if shards & group.shards
        }
        request_id = uuid.uuid4().hex
        answer_at = min(due, deadline)
        return _Scatter(
            request_id, record, spec, firm, request, wanted, answer_at, deadline, is_last
        )

    def _answer(self, scatter: _Scatter) -> SearchAnswer:
        require_time(scatter.left)
        if len(scatter.wanted) == 1:
            answers = self._search_groups(scatter, frozenset(scatter.wanted), None)
            return self._merge(scatter, answers, {})
        known = self._known_versions(scatter)
        servable = {i: a for i, a in known.items() if isinstance(a, ServableVersions)}
        if not servable:
            raise next(a for a in known.values() if isinstance(a, LimpethollowError))
        pinned, able = choose_common_version(scatter.wanted, servable, scatter.spec.epoch)
        absent = {i: getattr(known[i], "code", _VERSION_GONE) for i in scatter.wanted.keys() - able}
        return self._merge(scatter, self._search_groups(scatter, able, pinned), absent)

    def _known_versions(self, scatter: _Scatter) -> dict[int, ServableVersions | LimpethollowError]:
        """Ask every group which index versions it can serve."""

        def ask(index: int) -> ServableVersions:
            body = GroupVersionsRequest(
                service=scatter.record.name,
                spec_version=scatter.record.version,
                group=index,
                shards=scatter.wanted[index],
                budget=scatter.left,
                min_version=scatter.request.min_version,
                epoch=scatter.spec.epoch,
                request_id=scatter.request_id,
            )
            return self._owners.versions(scatter.record, body, scatter.answer_at, scatter.deadline)

        return self._ask_all(scatter, frozenset(scatter.wanted), ask)

    def _search_groups(
        self, scatter: _Scatter, groups: frozenset[int], pinned: int | None
    ) -> dict[int, GroupAnswer | LimpethollowError]:
        """Ask groups for their parts; several have their coverage judged as a whole, here."""

        def ask(index: int) -> GroupAnswer:
            body = GroupSearch(
                request_id=scatter.request_id,
                service=scatter.record.name,
                spec_version=scatter.record.version,
                group=index,
                firm=scatter.firm,
                query=scatter.request.query,
                shards=scatter.wanted[index],
                budget=scatter.left,
                min_version=scatter.request.min_version,
                pinned=pinned,
                floor=None if pinned is None else 0.0,
                epoch=scatter.spec.epoch,
                answer_in=scatter.answer_in,
            )
            return self._owners.search(scatter.record, body, scatter.answer_at, scatter.deadline)

        return self._ask_all(scatter, groups, ask)

    def _ask_all(
        self, scatter: _Scatter, groups: frozenset[int], ask: Callable[[int], T]
    ) -> dict[int, T | LimpethollowError]:
        """Ask groups at once; one that fails gives its error instead of its answer.

        Raises:
            VersionGone: A group lost the snapshot, so the others' parts are of no use; they are
                told so at once.
        """
        if len(groups) == 1:
            return {index: _result_of(ask, index) for index in groups}
        futures = {self._owners.submit(_result_of, ask, index): index for index in groups}
        answers: dict[int, T | LimpethollowError] = {}
        pending: set[Future[T | LimpethollowError]] = set(futures)
        while pending:
            done, pending = wait(pending, return_when=FIRST_COMPLETED)
            answers |= {futures[future]: future.result() for future in done}
            gone = [a for a in answers.values() if isinstance(a, VersionGone)]
            if gone and not scatter.is_last and pending:
                self._abandon(scatter)
                raise gone[0]
        return answers

    def _abandon(self, scatter: _Scatter) -> None:
        owners = {self._owners.order(scatter.record, index)[0] for index in scatter.wanted}
        self._owners.abandon(scatter.request_id, owners)

    def _merge(
        self,
        scatter: _Scatter,
        answers: dict[int, GroupAnswer | LimpethollowError],
        absent: dict[int, str],
    ) -> SearchAnswer:
        errors = [a for a in answers.values() if isinstance(a, LimpethollowError)]
        for error in errors:
            may_restart = isinstance(error, VersionGone) and not scatter.is_last
            if may_restart or len(errors) == len(answers):
                raise error
        coverage, parts = merge_answers(scatter.wanted, answers, absent)
        if coverage.share < scatter.spec.objective.coverage_floor:
            raise CoverageTooLow(
                f"Only {len(coverage.covered)} of {coverage.wanted} shards answered.",
                retry_after=max([RETRY_AFTER, *(e.retry_after or 0.0 for e in errors)]),
                details={
                    "covered": list(coverage.covered),
                    "missing": {str(m.shard): m.reason for m in coverage.missing},
                },
            )
        self._metrics.count("searches", "complete" if coverage.complete else "partial")
        return SearchAnswer(scatter.request_id, scatter.record.name, coverage, parts)


def _wanted_shards(spec: ServiceSpec, request: SearchRequest) -> frozenset[int]:
    everything = frozenset(range(spec.shards))
    if request.shards is None:
        return everything
    wanted = frozenset(request.shards)
    if not wanted or not wanted <= everything:
        raise BadRequest(
            f"'shards' must name shards from 0 to {spec.shards - 1}.",
            remedy="Leave 'shards' out to search all of them.",
        )
    return wanted


def _budget(spec: ServiceSpec, request: SearchRequest) -> float:
    budget = spec.objective.deadline if request.deadline is None else request.deadline
    require_time(budget)
    if budget > MAX_DEADLINE_SECONDS:
        raise BadRequest(f"'deadline' is over {MAX_DEADLINE_SECONDS:g} seconds.")
    return budget


def _result_of(ask: Callable[[int], T], index: int) -> T | LimpethollowError:
    try:
        return ask(index)
    except LimpethollowError as error:
        return error
