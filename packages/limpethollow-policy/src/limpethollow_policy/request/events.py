"""Requests, failures and actions of a group's scheduler."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from limpethollow_wire.exceptions import LimpethollowError
from limpethollow_wire.searches import CallQuery, GroupAnswer, ServableVersions


class Failure(StrEnum):
    """How a call to a searcher failed.

    Attributes:
        REFUSED: No connection could be established, so no byte was sent.
        SHED: The searcher reported that it did not run the call.
        TIMEOUT: No reply arrived in time; the call may have run.
        LOST: The connection was lost before any byte of a reply; the call may have run, and may
            have crashed the searcher.
        BROKEN: The reply was truncated or unusable; the call may have run.
        MISMATCHED: The reply carried the id of another call.
        CANCELLED: The call was cancelled by its own group.
    """

    REFUSED = "refused"
    SHED = "shed"
    TIMEOUT = "timeout"
    LOST = "lost"
    BROKEN = "broken"
    MISMATCHED = "mismatched"
    CANCELLED = "cancelled"


@dataclass(slots=True, frozen=True)
class Search:
    """The part of a search that one group handles.

    Attributes:
        id: Unique within the group.
        firm: The caller's firm or club.
        query: Passed to searchers without interpretation.
        shards: Shards to search.
        deadline: Monotonic second at which the caller stops waiting.
        epoch: Partition epoch that `shards` refers to.
        min_version: Lowest acceptable index version.
        pinned: Index version to use, None to let the group choose.
        floor: Coverage below which the result is an error rather than an answer, None for the
            service's floor; 0 for a part of a larger search, whose coverage the coordinator checks.
        versions_only: Whether only the servable versions are requested.
        answer_in: Seconds from arrival within which an answer that meets the floor is due, None for
            the service's latency objective.
    """

    id: str
    firm: str
    query: dict[str, Any]
    shards: frozenset[int]
    deadline: float
    epoch: int
    min_version: int = 0
    pinned: int | None = None
    floor: float | None = None
    versions_only: bool = False
    answer_in: float | None = None


@dataclass(slots=True, frozen=True)
class StartCall:
    """Send a call to a searcher; without queries it only requests the inventory."""

    call_id: str
    searcher_id: str
    epoch: int
    version: int
    timeout: float
    queries: tuple[CallQuery, ...] = ()


@dataclass(slots=True, frozen=True)
class CancelCall:
    """Cancel a call at its searcher because its reply is no longer needed."""

    call_id: str


@dataclass(slots=True, frozen=True)
class Complete:
    """Complete a search with an answer."""

    search_id: str
    answer: GroupAnswer


@dataclass(slots=True, frozen=True)
class CompleteVersions:
    """Return the servable index versions to a search that requested them."""

    search_id: str
    versions: ServableVersions


@dataclass(slots=True, frozen=True)
class FailSearch:
    """Fail a search with a typed error."""

    search_id: str
    error: LimpethollowError


@dataclass(slots=True, frozen=True)
class SlotRequest:
    """A booking's request for a slot of a searcher.

    Attributes:
        id: Unique within the group.
        shard: Shard that holds the booked item.
        deadline: Monotonic second at which the caller stops waiting.
        exclude: Searchers proved not to have run the booking; they are tried last.
        holders: Ids and addresses of the eligible searchers, empty for all holders of the shard.
    """

    id: str
    shard: int
    deadline: float
    exclude: frozenset[str] = frozenset()
    holders: frozenset[tuple[str, str]] = frozenset()


@dataclass(slots=True, frozen=True)
class GrantSlot:
    """Grant a booking one slot of a searcher until it releases it."""

    request_id: str
    searcher_id: str


@dataclass(slots=True, frozen=True)
class DenySlot:
    """Deny a booking a slot; it was not run."""

    request_id: str
    error: LimpethollowError


@dataclass(slots=True, frozen=True)
class NotifyDrain:
    """Notify the other owners of the group that a searcher is draining, or is back."""

    searcher_id: str
    draining: bool


@dataclass(slots=True, frozen=True)
class ScheduleTick:
    """Call `tick` at this monotonic second."""

    when: float


@dataclass(slots=True, frozen=True)
class Count:
    """Increment a counter, labelled with a reason."""

    name: str
    reason: str = ""


Action = (
    StartCall
    | CancelCall
    | Complete
    | CompleteVersions
    | FailSearch
    | GrantSlot
    | DenySlot
    | NotifyDrain
    | ScheduleTick
    | Count
)
