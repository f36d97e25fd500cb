"""Messages of a search: from the caller, between instances, and to a searcher."""

from typing import Any

import msgspec


class SearchRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A caller's search.

    Attributes:
        query: What to look for; handed to searchers unread.
        shards: Shards wanted, None for all.
        deadline: Seconds the caller waits, None for the service's own.
        min_version: Index version the answer must be at least as new as.
    """

    query: dict[str, Any]
    shards: tuple[int, ...] | None = None
    deadline: float | None = None
    min_version: int = 0


class Part(msgspec.Struct, frozen=True):
    """One shard's rows at the pinned snapshot."""

    shard: int
    rows: list[Any]


class MissingShard(msgspec.Struct, frozen=True):
    """A shard that the answer does not cover, and why.

    Attributes:
        shard: Number of the shard.
        reason: `deadline` or `objective`: a call was on its way when the answer was due;
            `floor_missed`: its call was cut off because too many others were lost for an answer;
            `no_slot`: the shard was never asked, because no slot became free; `no_replica`: no
            searcher that holds it can be used; `version_gone`: none keeps the snapshot;
            `refused`, `shed`, `timeout`, `broken`, `mismatched`, `failed`: the last try ended so
            and no other was allowed; the code of an error: the shard's whole group gave it.
    """

    shard: int
    reason: str


class Coverage(msgspec.Struct, frozen=True):
    """Which shards an answer covers, at which snapshot.

    Attributes:
        epoch: Partition epoch of every part.
        version: Index version of every part.
        wanted: Number of shards asked for.
        covered: The shards answered.
        missing: The shards not answered.
    """

    epoch: int
    version: int
    wanted: int
    covered: tuple[int, ...]
    missing: tuple[MissingShard, ...]

    @property
    def complete(self) -> bool:
        """Whether every wanted shard is covered."""
        return not self.missing

    @property
    def share(self) -> float:
        """Share of the wanted shards that are covered, 0 to 1."""
        return len(self.covered) / self.wanted if self.wanted else 1.0


class SearchAnswer(msgspec.Struct, frozen=True):
    """The answer to one search: rows by shard and the label of what they cover."""

    request_id: str
    service: str
    coverage: Coverage
    parts: tuple[Part, ...]


class GroupSearch(msgspec.Struct, frozen=True):
    """A search of one group's shards, sent by a coordinator to the group's owner.

    Attributes:
        request_id: The caller's request.
        service: Name of the service.
        spec_version: Configuration version that the coordinator used.
        group: Index of the group.
        firm: The caller's firm or club, for fair sharing.
        query: Handed to searchers unread.
        shards: Shards wanted from this group.
        budget: Seconds left.
        min_version: Lowest index version allowed.
        pinned: Index version to use, None to let the owner choose.
        floor: Coverage below which the owner gives no answer, None for the service's own.
        epoch: Partition epoch that the coordinator used.
        answer_in: Seconds left until the service's latency objective, None where it has none.
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


class GroupAbandon(msgspec.Struct, frozen=True):
    """Tells a group's owner that nobody waits any more for what a request asked of it."""

    request_id: str


class RecordQuestion(msgspec.Struct, frozen=True):
    """Asks an instance for the configuration of a service that it has in force."""

    service: str


class GroupAnswer(msgspec.Struct, frozen=True):
    """A group's part of an answer."""

    coverage: Coverage
    parts: tuple[Part, ...]


class GroupVersions(msgspec.Struct, frozen=True):
    """Asks a group's owner which index versions it can serve on all wanted shards."""

    service: str
    spec_version: int
    group: int
    shards: tuple[int, ...]
    budget: float
    min_version: int = 0
    epoch: int = 0
    request_id: str = ""


class ServableVersions(msgspec.Struct, frozen=True):
    """Index versions that a group can serve on all wanted shards, newest first."""

    epoch: int
    versions: tuple[int, ...]


class CallQuery(msgspec.Struct, frozen=True):
    """One query inside a call to a searcher."""

    id: str
    query: dict[str, Any]
    shards: tuple[int, ...]


class SearcherCall(msgspec.Struct, frozen=True):
    """The body of one call to a searcher; without queries it only asks for the inventory.

    Attributes:
        request_id: Name of this call; the reply must echo it.
        service: Name of the service.
        epoch: Partition epoch wanted.
        version: Index version wanted, 0 where there are no queries.
        timeout: Seconds after which the reply has no use.
        queries: The queries, each with its shards.
    """

    request_id: str
    service: str
    epoch: int
    version: int
    timeout: float
    queries: tuple[CallQuery, ...] = ()


class CallPart(msgspec.Struct, frozen=True):
    """One shard's rows for one query in a searcher's reply."""

    id: str
    shard: int
    version: int
    rows: list[Any]


class CallError(msgspec.Struct, frozen=True):
    """A shard that a searcher could not answer for one query."""

    id: str
    shard: int
    code: str


class SearcherReply(msgspec.Struct, frozen=True):
    """A searcher's reply.

    Attributes:
        request_id: Echo of the call's id.
        service: Echo of the service.
        epoch: The searcher's partition epoch.
        draining: Whether the searcher wants no new work.
        versions: Index versions kept, by shard number written as text.
        parts: The answers.
        errors: The shards not answered.
    """

    request_id: str
    service: str
    epoch: int
    draining: bool
    versions: dict[str, tuple[int, ...]]
    parts: tuple[CallPart, ...] = ()
    errors: tuple[CallError, ...] = ()
