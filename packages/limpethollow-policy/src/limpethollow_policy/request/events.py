"""What a group's scheduler is told and what it asks to be done."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from limpethollow_wire.exceptions import LimpethollowError
from limpethollow_wire.searches import CallQuery, GroupAnswer, ServableVersions


class Failure(StrEnum):
    """How a call to a searcher failed.

    Attributes:
        REFUSED: No connection could be made, so no byte was sent.
        SHED: The searcher said that it did not run the call.
        TIMEOUT: No reply came in time; the call may have run.
        LOST: The connection ended before any byte of a reply; the call may have run, and the
            searcher may have ended under it.
        BROKEN: The reply was short or can't be used; the call may have run.
        MISMATCHED: The reply echoed another call's id.
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
    """One search as a group sees it.

    Attributes:
        id: Unique within the group.
        firm: The caller's firm or club.
        query: Handed to searchers unread.
        shards: Shards wanted.
        deadline: Monotonic second at which the caller stops waiting.
        epoch: Partition epoch of the cut that `shards` were named from.
        min_version: Lowest index version allowed.
        pinned: Index version to use, None to let the group choose.
        floor: Coverage below which there is an error in place of an answer, None for the service's
            own; 0 for a part of a larger search, which the coordinator judges as a whole.
        versions_only: Whether only the servable versions are wanted.
        answer_in: Seconds from arrival until an answer is due that meets the floor, None for the
            service's own latency objective.
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
    """Send one call to a searcher; without queries it only asks for the inventory."""

    call_id: str
    searcher_id: str
    epoch: int
    version: int
    timeout: float
    queries: tuple[CallQuery, ...] = ()


@dataclass(slots=True, frozen=True)
class CancelCall:
    """Tell the searcher that nobody wants this call any more."""

    call_id: str


@dataclass(slots=True, frozen=True)
class Complete:
    """Give a search its answer."""

    search_id: str
    answer: GroupAnswer


@dataclass(slots=True, frozen=True)
class Servable:
    """Tell a search that asked for it which index versions its shards can serve."""

    search_id: str
    versions: ServableVersions


@dataclass(slots=True, frozen=True)
class Refuse:
    """Give a search a typed error."""

    search_id: str
    error: LimpethollowError


@dataclass(slots=True, frozen=True)
class SlotRequest:
    """A booking that wants a slot of a searcher.

    Attributes:
        id: Unique within the group.
        shard: Shard that holds what is booked.
        deadline: Monotonic second at which the caller stops waiting.
        exclude: Searchers that are proved not to have run it, tried last.
        holders: Ids and addresses of the searchers that may be granted, empty for all holders.
    """

    id: str
    shard: int
    deadline: float
    exclude: frozenset[str] = frozenset()
    holders: frozenset[tuple[str, str]] = frozenset()


@dataclass(slots=True, frozen=True)
class GrantSlot:
    """Let a booking use one slot of a searcher until it reports back."""

    request_id: str
    searcher_id: str


@dataclass(slots=True, frozen=True)
class DenySlot:
    """Tell a booking that it gets no slot; it was not run."""

    request_id: str
    error: LimpethollowError


@dataclass(slots=True, frozen=True)
class TellDrain:
    """Tell the other owners of the group that a searcher is leaving, or is back."""

    searcher_id: str
    draining: bool


@dataclass(slots=True, frozen=True)
class WakeAt:
    """Call `tick` at this monotonic second."""

    when: float


@dataclass(slots=True, frozen=True)
class Count:
    """Raise a counter, labelled with a reason."""

    name: str
    reason: str = ""


Action = (
    StartCall
    | CancelCall
    | Complete
    | Servable
    | Refuse
    | GrantSlot
    | DenySlot
    | TellDrain
    | WakeAt
    | Count
)
