"""The coordinator's side of asking a group's owners."""

import time
from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED, Future, ThreadPoolExecutor, wait
from typing import Any, TypeVar

import msgspec

from limpethollow_node.connection.peers import PeerLost, PeerUnreachable, require_time
from limpethollow_node.process import events
from limpethollow_node.process.configs import ConfigManager
from limpethollow_node.process.links import PeerLinks
from limpethollow_node.process.members import MembershipTracker
from limpethollow_node.process.metrics import Metrics
from limpethollow_node.request.parts import GRACE_SECONDS, GroupParts
from limpethollow_policy.process.dispatches import find_dispatch_policy
from limpethollow_policy.process.owners import SilentOwners, group_key, spread_over_owners
from limpethollow_policy.request.forwards import ForwardPlan
from limpethollow_policy.request.hedges import RatioBudget
from limpethollow_wire.exceptions import LimpethollowError, Unavailable, VersionGone
from limpethollow_wire.peers import Acknowledgement, ServiceRecords
from limpethollow_wire.searches import (
    GroupAnswer,
    GroupCancel,
    GroupSearch,
    GroupVersionsRequest,
    RecordRequest,
    ServableVersions,
)
from limpethollow_wire.services import ServiceRecord

T = TypeVar("T")
Ask = GroupSearch | GroupVersionsRequest

_WORKERS = 128
_CONTROL_TIMEOUT = 0.5
_HEDGE_SHARE = 0.05
_HEDGE_RESERVE = 5.0
_SEARCH = "group.search"
_VERSIONS = "group.versions"
_ABANDON = "group.abandon"
_PUSH = "config.push"
_RECORD = "group.record"


class OwnerLinks:
    """Asks the owners of groups, here or at other instances.

    Args:
        own_id: Id of this instance.
        configs: The configuration in force.
        members: The other instances.
        links: Links to them.
        parts: The owner's side at this instance.
        metrics: Where counters are kept.
    """

    def __init__(
        self,
        own_id: str,
        configs: ConfigManager,
        members: MembershipTracker,
        links: PeerLinks,
        parts: GroupParts,
        metrics: Metrics,
    ) -> None:
        self._own_id = own_id
        self._configs = configs
        self._members = members
        self._links = links
        self._parts = parts
        self._metrics = metrics
        self._silent = SilentOwners()
        self._hedges = RatioBudget(_HEDGE_SHARE, _HEDGE_RESERVE)
        self._workers = ThreadPoolExecutor(_WORKERS, thread_name_prefix="owners")
        # Work of one pool must not wait for work of the same pool: all threads might be waiting.
        self._group_workers = ThreadPoolExecutor(_WORKERS, thread_name_prefix="groups")

    def submit(self, work: Callable[..., T], *arguments: Any) -> Future[T]:
        """Run one group's part of a search on another thread."""
        return self._group_workers.submit(work, *arguments)

    def search(
        self, record: ServiceRecord, body: GroupSearch, answer_at: float, deadline: float
    ) -> GroupAnswer:
        """Ask for one group's part.

        Args:
            record: The service.
            body: The question; its budget is set anew with each try.
            answer_at: Monotonic second at which the answer is due.
            deadline: Monotonic second after which it has no use.

        Raises:
            LimpethollowError: The owner's typed error, or that no owner answered.
        """
        return self._ask(record, _SEARCH, body, GroupAnswer, answer_at, deadline)

    def versions(
        self, record: ServiceRecord, body: GroupVersionsRequest, answer_at: float, deadline: float
    ) -> ServableVersions:
        """Ask which index versions one group can serve."""
        return self._ask(record, _VERSIONS, body, ServableVersions, answer_at, deadline)

    def abandon(self, request_id: str, owners: set[str]) -> None:
        """Tell owners that nobody waits any more for what a request asked of them."""
        for owner in owners:
            if owner == self._own_id:
                self._parts.abandon(request_id)
            else:
                self._workers.submit(self._abandon, owner, request_id)

    def order(self, record: ServiceRecord, index: int) -> list[str]:
        """Return the instances to ask for a group, best first, this one last where it is none."""
        spec = record.spec
        assert spec is not None
        key = group_key(record.name, index)
        dispatch = find_dispatch_policy(spec.dispatch)
        order = dispatch(key, self._own_id, self._members.routable())
        if self._own_id not in order:
            order = [*order, self._own_id]
        order = spread_over_owners(order, spec.owners, self._own_id)
        return self._silent.last(order, time.monotonic())

    def _ask(
        self,
        record: ServiceRecord,
        kind: str,
        body: Ask,
        reply: type[T],
        answer_at: float,
        deadline: float,
    ) -> T:
        self._hedges.earn()
        plan = ForwardPlan(self.order(record, body.group), time.monotonic(), answer_at)
        owner = plan.begin()
        if owner == self._own_id:
            return self._ask_one(owner, record, kind, body, reply, deadline)
        pending: dict[Future[T], str] = {}
        try:
            return self._first_answer(plan, owner, pending, deadline, (record, kind, body, reply))
        finally:
            self.abandon(body.request_id, set(pending.values()))

    def _first_answer(
        self,
        plan: ForwardPlan,
        owner: str | None,
        pending: dict[Future[T], str],
        deadline: float,
        question: tuple[ServiceRecord, str, Ask, type[T]],
    ) -> T:
        """Ask owner after owner as the plan says and return the first answer."""
        while True:
            if owner is not None:
                future = self._workers.submit(self._ask_one, owner, *question, deadline)
                pending[future] = owner
                owner = None
            if not pending:
                raise Unavailable("No owner of the group can be reached.", retry_after=0.5)
            now = time.monotonic()
            done, _ = wait(pending, plan.patience(now, deadline) + 0.001, FIRST_COMPLETED)
            for future in done:
                answerer = pending.pop(future)
                error = future.exception()
                if isinstance(error, PeerUnreachable | PeerLost):
                    self._metrics.count("forwards_failed", error.code)
                    owner = plan.lost(time.monotonic(), deadline)
                    continue
                self._note_answer(answerer, pending)
                return future.result()
            if not done:
                owner = self._next_if_overdue(plan, deadline)

    def _next_if_overdue(self, plan: ForwardPlan, deadline: float) -> str | None:
        now = time.monotonic()
        require_time(deadline + GRACE_SECONDS - now)
        owner = plan.next_hedge(now, self._hedges.available)
        if owner is not None:
            self._hedges.spend()
            self._metrics.count("forwards_hedged", "silent_owner")
        return owner

    def _note_answer(self, answerer: str, pending: dict[Future[T], str]) -> None:
        self._silent.answered(answerer)
        now = time.monotonic()
        for owner in pending.values():
            self._silent.mark_silent(owner, now)

    def _ask_one(
        self,
        owner: str,
        record: ServiceRecord,
        kind: str,
        body: Ask,
        reply: type[T],
        deadline: float,
    ) -> T:
        left = deadline - time.monotonic()
        require_time(left)
        body = msgspec.structs.replace(body, budget=left)
        if owner == self._own_id:
            return self._parts.search(body) if kind == _SEARCH else self._parts.versions(body)
        self._metrics.count("forwards", kind)
        try:
            return self._links.request(owner, kind, body, reply, left + GRACE_SECONDS)
        except VersionGone as error:
            if "spec_version" in error.details:
                self._even_out(owner, record, error.details["spec_version"])
            raise

    def _even_out(self, owner: str, record: ServiceRecord, theirs: int) -> None:
        """Bring the older configuration of two instances up to date, for the search's next try."""
        try:
            if theirs > record.version:
                question = RecordRequest(record.name)
                newer = self._links.request(
                    owner, _RECORD, question, ServiceRecords, _CONTROL_TIMEOUT
                )
                self._configs.merge(newer.records)
            else:
                records = ServiceRecords((record,))
                self._links.request(owner, _PUSH, records, Acknowledgement, _CONTROL_TIMEOUT)
        except LimpethollowError as error:
            self._metrics.count("search_config_exchanges_failed", error.code)

    def _abandon(self, owner: str, request_id: str) -> None:
        try:
            body = GroupCancel(request_id)
            self._links.request(owner, _ABANDON, body, Acknowledgement, _CONTROL_TIMEOUT)
        except LimpethollowError as error:
            events.REQUEST_REFUSED.log(code=error.code, path=_ABANDON)
