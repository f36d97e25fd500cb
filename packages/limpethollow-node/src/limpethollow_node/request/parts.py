"""The owner's side of a search: one group's part, asked for by a coordinator."""

import threading
import time
import uuid
from collections import deque
from concurrent.futures import CancelledError, Future
from concurrent.futures import TimeoutError as FutureTimeout
from typing import Any

from limpethollow_node.connection.peers import require_time
from limpethollow_node.process.configs import ConfigManager
from limpethollow_node.process.groups import LocalGroup, LocalGroups
from limpethollow_policy.request.events import Search
from limpethollow_policy.version.groups import GroupCache
from limpethollow_wire.exceptions import DeadlinePassed, LimpethollowError, Unavailable, VersionGone
from limpethollow_wire.searches import (
    GroupAnswer,
    GroupSearch,
    GroupVersionsRequest,
    ServableVersions,
)
from limpethollow_wire.services import ServiceRecord
from limpethollow_wire.versions import format_version

GRACE_SECONDS = 0.25
RETRY_AFTER = 0.2
# Requests that nobody waits for any more are remembered until so many others were: the word of a
# hang-up may come before the part that it is about. Some 50 KB.
_ABANDONED_KEPT = 512


class GroupParts:
    """Answers for the groups that this instance owns.

    Args:
        configs: The configuration in force.
        groups: The groups served here.
        cuts: How services are cut into groups.
    """

    def __init__(self, configs: ConfigManager, groups: LocalGroups, cuts: GroupCache) -> None:
        self._configs = configs
        self._groups = groups
        self._cuts = cuts
        self._lock = threading.Lock()
        self._running: dict[str, set[_Running]] = {}
        self._abandoned: deque[str] = deque(maxlen=_ABANDONED_KEPT)

    def search(self, search: GroupSearch) -> GroupAnswer:
        """Answer one group's part of a search.

        Raises:
            VersionGone: This instance cuts the service otherwise than the coordinator.
        """
        record = self._fitting_record(search)
        require_time(search.budget)
        local = Search(
            id=_search_id(search.request_id),
            firm=search.firm,
            query=search.query,
            shards=frozenset(search.shards),
            deadline=time.monotonic() + search.budget,
            epoch=search.epoch,
            min_version=search.min_version,
            pinned=search.pinned,
            floor=search.floor,
            answer_in=search.answer_in,
        )
        return self._run(record, search, local)

    def versions(self, question: GroupVersionsRequest) -> ServableVersions:
        """Say which index versions a group can serve."""
        record = self._fitting_record(question)
        require_time(question.budget)
        local = Search(
            id=_search_id(question.request_id),
            firm="",
            query={},
            shards=frozenset(question.shards),
            deadline=time.monotonic() + question.budget,
            epoch=question.epoch,
            min_version=question.min_version,
            versions_only=True,
        )
        return self._run(record, question, local)

    def abandon(self, request_id: str) -> None:
        """Drop all that runs here for a request that nobody waits for any more.

        Its id is kept, since a part of it may be just about to start; that one would find nobody
        to end it, and keep a slot of its searcher until it is done.
        """
        with self._lock:
            self._abandoned.append(request_id)
            running = tuple(self._running.get(request_id, ()))
        for search in running:
            search.abandon()

    def record(self, service: str) -> ServiceRecord | None:
        """Return a service's record in force here."""
        return self._configs.record(service)

    def _run(
        self, record: ServiceRecord, asked: GroupSearch | GroupVersionsRequest, search: Search
    ) -> Any:
        group = self._groups.get(record, asked.group)
        running = _Running(group, search.id, group.search(search))
        self._note(asked.request_id, running)
        left = search.deadline - time.monotonic() + GRACE_SECONDS
        try:
            return running.future.result(max(left, 0.0))
        except LimpethollowError:
            # Some typed errors are also a built-in TimeoutError, which means something else below.
            raise
        except CancelledError:
            message = "The search was given up: nobody waits for it, or the instance exits."
            raise Unavailable(message, retry_after=RETRY_AFTER) from None
        except FutureTimeout:
            group.abandon(search.id)
            message = "The owner gave no answer by the deadline."
            raise DeadlinePassed(message, retry_after=RETRY_AFTER) from None
        finally:
            self._forget(asked.request_id, running)

    def _note(self, request_id: str, running: "_Running") -> None:
        with self._lock:
            self._running.setdefault(request_id, set()).add(running)
            is_abandoned = request_id in self._abandoned
        if is_abandoned:
            running.abandon()

    def _forget(self, request_id: str, running: "_Running") -> None:
        with self._lock:
            same = self._running[request_id]
            same.discard(running)
            if not same:
                del self._running[request_id]

    def _fitting_record(self, asked: GroupSearch | GroupVersionsRequest) -> ServiceRecord:
        """Return the record in force here if the coordinator's cut of the service fits it.

        Versions that cut the shards alike serve each other's searches, so a change of, say, an
        objective disturbs none while it spreads. Otherwise the error names the version here, and
        the coordinator brings whichever of the two is older up to date.
        """
        record = self._configs.record(asked.service)
        if record is not None and record.spec is not None:
            cut = self._cuts.of(record)
            shards = cut[asked.group].shards if asked.group < len(cut) else frozenset()
            if record.spec.epoch == asked.epoch and shards.issuperset(asked.shards):
                return record
        version = record.version if record else 0
        raise VersionGone(
            f"The owner has version {format_version(version)} of '{asked.service}', not "
            f"{format_version(asked.spec_version)}.",
            details={"spec_version": version},
        )


class _Running:
    """One search that runs here for a coordinator."""

    __slots__ = ("_group", "_search_id", "future")

    def __init__(self, group: LocalGroup, search_id: str, future: Future[Any]) -> None:
        self._group = group
        self._search_id = search_id
        self.future = future

    def abandon(self) -> None:
        """Free the searchers and the thread that waits."""
        self._group.abandon(self._search_id)
        self.future.cancel()


def _search_id(request_id: str) -> str:
    """Return an id of one's own: a coordinator may ask the same part twice."""
    return f"{request_id}-{uuid.uuid4().hex[:8]}"
