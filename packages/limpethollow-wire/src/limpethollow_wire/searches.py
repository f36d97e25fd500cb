"""Search messages between callers, instances and searchers."""

from typing import Any

import msgspec


class SearchRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A search request from a caller.

    Attributes:
        query: Opaque query, passed to searchers unchanged.
        shards: Requested shards, None for all.
        deadline: Seconds that the caller waits; None uses the service's default.
        min_version: Lowest index version that the answer may have.
    """

    query: dict[str, Any]
    shards: tuple[int, ...] | None = None
    deadline: float | None = None
    min_version: int = 0


class Part(msgspec.Struct, frozen=True):
    """The rows of one shard at the pinned snapshot."""

    shard: int
    rows: list[Any]


class MissingShard(msgspec.Struct, frozen=True):
    """A shard that is missing from the answer, with the reason.

    Attributes:
        shard: Number of the shard.
        reason: `deadline` or `objective`: a call was in flight when the answer was due;
            `floor_missed`: its call was cancelled because too many other shards had failed to
            reach the coverage floor; `no_slot`: the shard was never called, because no slot became
            free; `no_replica`: no searcher that holds it is usable; `version_gone`: no searcher
            keeps the snapshot; `refused`, `shed`, `timeout`, `broken`, `mismatched`, `failed`: the
            result of the last attempt, with no other attempt allowed; an error code: the shard's
            whole group failed with this error.
    """

    shard: int
    reason: str


class Coverage(msgspec.Struct, frozen=True):
    """The shards that an answer covers, and their snapshot.

    Attributes:
        epoch: Partition epoch of all parts.
        version: Index version of all parts.
        wanted: Number of requested shards.
        covered: Shards with an answer.
        missing: Shards without an answer.
    """

    epoch: int
    version: int
    wanted: int
    covered: tuple[int, ...]
    missing: tuple[MissingShard, ...]

    @property
    def complete(self) -> bool:
        """Whether all requested shards are covered."""
        return not self.missing

    @property
    def share(self) -> float:
        """Share of the requested shards that are covered, 0 to 1."""
        return len(self.covered) / self.wanted if self.wanted else 1.0


class SearchAnswer(msgspec.Struct, frozen=True):
    """The answer to a search: the rows of each shard and the coverage."""

    request_id: str
    service: str
    coverage: Coverage
    parts: tuple[Part, ...]


class GroupSearch(msgspec.Struct, frozen=True):
    """A search of a group's shards, sent by a coordinator to the group's owner.

    Attributes:
        request_id: Id of the caller's request.
        service: Name of the service.
        spec_version: Configuration version that the coordinator used.
        group: Index of the group.
        firm: The caller's firm or club, for fair sharing.
        query: Opaque query, passed to searchers unchanged.
        shards: Requested shards of this group.
        budget: Seconds until the deadline.
        min_version: Lowest index version allowed.
        pinned: Index version to use, None to let the owner choose.
        floor: Coverage below which the owner gives no answer; None uses the service's floor.
        epoch: Partition epoch that the coordinator used.
        answer_in: Seconds until the service's latency objective, None if it has none.
    """

    request_id: str
    service: str
    spec_version: int
    group: int
    firm: str
    query: dict[str, Any]
    shards: tuple[int, ...]
    budget: float
    min_version: int = 0
    pinned: int | None = None
    floor: float | None = None
    epoch: int = 0
    answer_in: float | None = None


class GroupCancel(msgspec.Struct, frozen=True):
    """Tells a group's owner that the result of a request is no longer needed."""

    request_id: str


class RecordRequest(msgspec.Struct, frozen=True):
    """Requests an instance's active configuration of a service."""

    service: str


class GroupAnswer(msgspec.Struct, frozen=True):
    """The part of an answer that comes from one group."""

    coverage: Coverage
    parts: tuple[Part, ...]


class GroupVersionsRequest(msgspec.Struct, frozen=True):
    """Requests the index versions that a group's owner can serve on all requested shards."""

    service: str
    spec_version: int
    group: int
    shards: tuple[int, ...]
    budget: float
    min_version: int = 0
    epoch: int = 0
    request_id: str = ""


class ServableVersions(msgspec.Struct, frozen=True):
    """Index versions that a group can serve on all requested shards, newest first."""

    epoch: int
    versions: tuple[int, ...]


class CallQuery(msgspec.Struct, frozen=True):
    """One of the queries in a call to a searcher."""

    id: str
    query: dict[str, Any]
    shards: tuple[int, ...]


class SearcherCall(msgspec.Struct, frozen=True):
    """Request body of a call to a searcher; without queries it only requests the inventory.

    Attributes:
        request_id: Id of this call; the reply must repeat it.
        service: Name of the service.
        epoch: Requested partition epoch.
        version: Requested index version, 0 if there are no queries.
        timeout: Seconds after which the reply is no longer used.
        queries: The queries, each with its shards.
    """

    request_id: str
    service: str
    epoch: int
    version: int
    timeout: float
    queries: tuple[CallQuery, ...] = ()


class CallPart(msgspec.Struct, frozen=True):
    """The rows of one shard for one query in a searcher's reply."""

    id: str
    shard: int
    version: int
    rows: list[Any]


class CallError(msgspec.Struct, frozen=True):
    """A query that a searcher could not answer for one shard."""

    id: str
    shard: int
    code: str


class SearcherReply(msgspec.Struct, frozen=True):
    """A searcher's reply to a call.

    Attributes:
        request_id: Id of the call.
        service: Name of the service, as in the call.
        epoch: The searcher's partition epoch.
        draining: Whether the searcher accepts no new work.
        versions: Available index versions by shard; the shard numbers are strings.
        parts: The rows of each answered query and shard.
        errors: The failed queries and shards.
    """

    request_id: str
    service: str
    epoch: int
    draining: bool
    versions: dict[str, tuple[int, ...]]
    parts: tuple[CallPart, ...] = ()
    errors: tuple[CallError, ...] = ()
