"""The coordinator: one caller's search, from its groups' owners to one labelled answer."""

import time
import uuid
from concurrent.futures import CancelledError, Future, ThreadPoolExecutor
from concurrent.futures import TimeoutError as FutureTimeout
from dataclasses import dataclass
from functools import partial
from typing import Any, TypeVar

from limpethollow_node.connection.peers import PeerLost, PeerUnreachable, require_time
from limpethollow_node.process.configs import ConfigKeeper
from limpethollow_node.process.groups import LocalGroups
from limpethollow_node.process.links import PeerLinks
from limpethollow_node.process.members import MemberKeeper
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.dispatches import find_dispatch
from limpethollow_policy.process.owners import group_key
from limpethollow_policy.request.events import Search
from limpethollow_policy.request.merges import merge_answers
from limpethollow_policy.version.groups import cut_groups
from limpethollow_wire.exceptions import (
    BadRequest,
    CoverageTooLow,
    DeadlinePassed,
    LimpethollowError,
    Unavailable,
    VersionGone,
)
from limpethollow_wire.limits import MAX_DEADLINE_SECONDS
from limpethollow_wire.searches import (
    GroupAnswer,
    GroupSearch,
    GroupVersions,
    SearchAnswer,
    SearchRequest,
    ServableVersions,
)
from limpethollow_wire.services import ServiceRecord, ServiceSpec

T = TypeVar("T")

_SCATTER_WORKERS = 32
_GRACE_SECONDS = 0.25
_RETRY_AFTER = 0.2
_MAX_RESTARTS = 4


@dataclass(slots=True, frozen=True)
class _Scatter:
    """One search on its way, with what all its groups share."""

    request_id: str
    record: ServiceRecord
    spec: ServiceSpec
    firm: str
    request: SearchRequest
    wanted: dict[int, tuple[int, ...]]
    deadline: float

    @property
    def left(self) -> float:
        """Seconds left."""
        return self.deadline - time.monotonic()


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
        configs: ConfigKeeper,
        members: MemberKeeper,
        links: PeerLinks,
        groups: LocalGroups,
        metrics: Metrics,
    ) -> None:
        self._own_id = own_id
        self._configs = configs
        self._members = members
        self._links = links
        self._groups = groups
        self._metrics = metrics
        self._workers = ThreadPoolExecutor(_SCATTER_WORKERS, thread_name_prefix="scatter")

    def search(self, service: str, firm: str, request: SearchRequest) -> SearchAnswer:
        """Answer one search.

        Raises:
            LimpethollowError: The typed reason why there is no answer.
        """
        with self._metrics.timed("search"):
            return self._search(service, firm, request)

    def search_group(self, search: GroupSearch) -> GroupAnswer:
        """Answer one group's part of a search as its owner.

        Raises:
            VersionGone: The coordinator used another version of the configuration.
        """
        record = self._same_record(search.service, search.spec_version)
        require_time(search.budget)
        local = Search(
            id=f"{search.request_id}-{uuid.uuid4().hex[:8]}",
            firm=search.firm,
            query=search.query,
            shards=frozenset(search.shards),
            deadline=time.monotonic() + search.budget,
            min_version=search.min_version,
            pinned=search.pinned,
            floor=search.floor,
        )
        return self._run_local(record, search.group, local)

    def group_versions(self, question: GroupVersions) -> ServableVersions:
        """Say which index versions a group owned here can serve."""
        record = self._same_record(question.service, question.spec_version)
        require_time(question.budget)
        local = Search(
            id=uuid.uuid4().hex,
            firm="",
            query={},
            shards=frozenset(question.shards),
            deadline=time.monotonic() + question.budget,
            min_version=question.min_version,
            versions_only=True,
        )
        return self._run_local(record, question.group, local)

    def _search(self, service: str, firm: str, request: SearchRequest) -> SearchAnswer:
        deadline = None
        for _ in range(_MAX_RESTARTS):
            record = self._configs.require(service)
            scatter = self._prepare(record, firm, request, deadline)
            deadline = scatter.deadline
            try:
                return self._answer(scatter)
            except VersionGone as error:
                if request.min_version and error.retry_after is not None:
                    raise
                self._metrics.count("search_restarts", "coordinator")
        raise VersionGone(
            "The index changed too often while the search ran.", retry_after=_RETRY_AFTER
        )

    def _prepare(
        self, record: ServiceRecord, firm: str, request: SearchRequest, deadline: float | None
    ) -> _Scatter:
        spec = record.spec
        assert spec is not None
        shards = _wanted_shards(spec, request)
        if deadline is None:
            deadline = time.monotonic() + _budget(spec, request)
        wanted = {
            group.index: tuple(sorted(shards & group.shards))
            for group in cut_groups(spec)
            if shards & group.shards
        }
        return _Scatter(uuid.uuid4().hex, record, spec, firm, request, wanted, deadline)

    def _answer(self, scatter: _Scatter) -> SearchAnswer:
        single = len(scatter.wanted) == 1
        pinned = None if single else self._pin(scatter)
        floor = None if single else 0.0
        asks = {
            index: GroupSearch(
                request_id=scatter.request_id,
                service=scatter.record.name,
                spec_version=scatter.record.version,
                group=index,
                firm=scatter.firm,
                query=scatter.request.query,
                shards=shards,
                budget=scatter.left,
                min_version=scatter.request.min_version,
                pinned=pinned,
                floor=floor,
            )
            for index, shards in scatter.wanted.items()
        }
        answers = self._scatter(scatter, "group.search", asks, self.search_group, GroupAnswer)
        return self._merge(scatter, answers)

    def _pin(self, scatter: _Scatter) -> int:
        """Choose the newest index version that every group can serve."""
        asks = {
            index: GroupVersions(
                scatter.record.name,
                scatter.record.version,
                index,
                shards,
                scatter.left,
                scatter.request.min_version,
            )
            for index, shards in scatter.wanted.items()
        }
        answers = self._scatter(
            scatter, "group.versions", asks, self.group_versions, ServableVersions
        )
        known = [a.versions for a in answers.values() if isinstance(a, ServableVersions)]
        if not known:
            raise next(a for a in answers.values() if isinstance(a, LimpethollowError))
        common = set(known[0]).intersection(*known[1:])
        return max(common) if common else max(max(versions) for versions in known)

    def _scatter(
        self,
        scatter: _Scatter,
        kind: str,
        asks: dict[int, Any],
        local: Any,
        reply: type[T],
    ) -> dict[int, T | LimpethollowError]:
        """Ask all groups at once; a group that fails gives its error instead of its answer."""
        ask = partial(self._ask_owner, scatter, kind, local=local, reply=reply)
        if len(asks) == 1:
            index, body = next(iter(asks.items()))
            return {index: ask(index, body)}
        futures = {index: self._workers.submit(ask, index, body) for index, body in asks.items()}
        return {index: _result_of(future) for index, future in futures.items()}

    def _ask_owner(
        self, scatter: _Scatter, kind: str, index: int, body: Any, *, local: Any, reply: type[T]
    ) -> T:
        """Ask the first owner that can be reached; a search is safe to send again."""
        key = group_key(scatter.record.name, index)
        order = find_dispatch(scatter.spec.dispatch)
        for owner in order(key, self._own_id, self._members.routable()):
            if owner == self._own_id:
                return local(body)
            try:
                self._metrics.count("forwards", kind)
                timeout = scatter.left + _GRACE_SECONDS
                return self._links.request(owner, kind, body, reply, timeout)
            except (PeerUnreachable, PeerLost) as error:
                self._metrics.count("forwards_failed", error.code)
                require_time(scatter.left)
        return local(body)

    def _merge(
        self, scatter: _Scatter, answers: dict[int, GroupAnswer | LimpethollowError]
    ) -> SearchAnswer:
        errors = [a for a in answers.values() if isinstance(a, LimpethollowError)]
        for error in errors:
            if isinstance(error, VersionGone) or len(errors) == len(answers):
                raise error
        coverage, parts = merge_answers(scatter.wanted, answers)
        if coverage.share < scatter.spec.objective.coverage_floor:
            raise CoverageTooLow(
                f"Only {len(coverage.covered)} of {coverage.wanted} shards answered.",
                retry_after=_RETRY_AFTER,
            )
        self._metrics.count("searches", "complete" if coverage.complete else "partial")
        return SearchAnswer(scatter.request_id, scatter.record.name, coverage, parts)

    def _run_local(self, record: ServiceRecord, index: int, search: Search) -> Any:
        group = self._groups.get(record, index)
        future = group.search(search)
        left = search.deadline - time.monotonic() + _GRACE_SECONDS
        try:
            return future.result(max(left, 0.0))
        except LimpethollowError:
            # Some typed errors are also a built-in TimeoutError, which means something else below.
            raise
        except CancelledError:
            raise Unavailable(
                "The instance exits and gave the search up.", retry_after=_RETRY_AFTER
            ) from None
        except FutureTimeout:
            group.abandon(search.id)
            raise DeadlinePassed(
                "The owner gave no answer by the deadline.", retry_after=_RETRY_AFTER
            ) from None

    def _same_record(self, service: str, version: int) -> ServiceRecord:
        """Return the record that the coordinator used, or make it start over with the newer one."""
        record = self._configs.require(service)
        if record.version != version:
            raise VersionGone(
                f"The owner has version {record.version} of '{service}' in force, not {version}."
            )
        return record


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


def _result_of(future: Future[T]) -> T | LimpethollowError:
    try:
        return future.result()
    except LimpethollowError as error:
        return error
