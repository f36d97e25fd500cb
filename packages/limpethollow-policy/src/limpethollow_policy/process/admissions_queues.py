"""What all admission policies share: their registry, their bounds and one queue per firm."""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from limpethollow_policy.process.admissions_waits import DrainRate
from limpethollow_policy.request.gathers import Gather
from limpethollow_wire.exceptions import BadRequest

_POLICIES: dict[str, type["AdmissionQueue"]] = {}

_UNLISTED_SHARE = 1.0
_UNUSED_DRAIN = DrainRate()


def admission_policy(name: str) -> Callable[[type["AdmissionQueue"]], type["AdmissionQueue"]]:
    """Register an admission queue under the name that configurations use."""

    def register(kind: type["AdmissionQueue"]) -> type["AdmissionQueue"]:
        _POLICIES[name] = kind
        return kind

    return register


def find_queue(name: str) -> type["AdmissionQueue"]:
    """Return a registered admission queue.

    Raises:
        BadRequest: No policy has this name.
    """
    if name not in _POLICIES:
        raise BadRequest(
            f"'admission.policy' is '{name}'.",
            remedy=f"Use one of: {', '.join(policy_names())}.",
        )
    return _POLICIES[name]


def policy_names() -> tuple[str, ...]:
    """Return the registered names, sorted."""
    return tuple(sorted(_POLICIES))


@dataclass(slots=True, frozen=True)
class AdmissionLimits:
    """What an admission policy has to share out.

    Attributes:
        max_queue: Searches that may wait.
        shares: Weight by firm; firms not listed weigh 1.
    """

    max_queue: int
    shares: dict[str, float] = field(default_factory=dict)

    def share(self, firm: str) -> float:
        """Return a firm's weight."""
        return self.shares.get(firm, _UNLISTED_SHARE)


class AdmissionQueue(ABC):
    """Searches that wait for a free slot.

    Args:
        limits: What there is to share out.
    """

    __slots__ = ("_limits",)

    def __init__(self, limits: AdmissionLimits) -> None:
        self._limits = limits

    @abstractmethod
    def __len__(self) -> int:
        """Return the number of waiting searches."""

    @abstractmethod
    def __iter__(self) -> Iterator[Gather]:
        """Iterate over all waiting searches in no particular order."""

    @abstractmethod
    def offer(self, gather: Gather) -> Gather | None:
        """Let a search wait.

        Returns:
            The search that must leave for it, which may be the offered one; None where there was
            room.
        """

    @abstractmethod
    def pop(self, now: float) -> Gather | None:
        """Take out the search that is next, None where none may start now."""

    @abstractmethod
    def remove(self, gather: Gather) -> None:
        """Take out one search that left; nothing where it does not wait."""

    @abstractmethod
    def wait(self, firm: str, now: float) -> float:
        """Return the seconds that a new search of this firm is expected to wait."""


class FirmQueues:
    """Waiting searches by firm, each firm's in the order of arrival."""

    __slots__ = ("_length", "_waiting")

    def __init__(self) -> None:
        self._waiting: dict[str, deque[Gather]] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[Gather]:
        for queue in self._waiting.values():
            yield from queue

    @property
    def firms(self) -> tuple[str, ...]:
        """The firms with a waiting search, the one that has waited longest without a gap first."""
        return tuple(self._waiting)

    def backlog(self, firm: str) -> int:
        """Return how many searches of a firm wait."""
        return len(self._waiting.get(firm, ()))

    def first(self, firm: str) -> Gather:
        """Return the search of a firm that has waited longest."""
        return self._waiting[firm][0]

    def add(self, gather: Gather) -> None:
        """Let a search wait behind its firm's others."""
        self._waiting.setdefault(gather.search.firm, deque()).append(gather)
        self._length += 1

    def take_first(self, firm: str) -> Gather:
        """Take out the search of a firm that has waited longest."""
        return self._taken(firm, self._waiting[firm].popleft())

    def take_newest(self, firm: str) -> Gather:
        """Take out the search of a firm that came last."""
        return self._taken(firm, self._waiting[firm].pop())

    def remove(self, gather: Gather) -> bool:
        """Take out one search; false where it does not wait."""
        firm = gather.search.firm
        if gather not in self._waiting.get(firm, ()):
            return False
        self._waiting[firm].remove(gather)
        self._taken(firm, gather)
        return True

    def _taken(self, firm: str, gather: Gather) -> Gather:
        self._length -= 1
        if not self._waiting[firm]:
            del self._waiting[firm]
        return gather


class FairQueue(AdmissionQueue):
    """Base of the policies that keep one queue a firm and bound them together.

    The bound is on all firms' searches together, so a firm may fill it while nobody else waits.
    Once it is full, the firm that waits with most for its share gives up its newest search: a
    flood then pushes out its own searches and never another firm's.
    """

    __slots__ = ("_drains", "_waiting")

    def __init__(self, limits: AdmissionLimits) -> None:
        super().__init__(limits)
        self._waiting = FirmQueues()
        self._drains: dict[str, DrainRate] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> Iterator[Gather]:
        return iter(self._waiting)

    def offer(self, gather: Gather) -> Gather | None:
        """Let a search wait, in place of one of the firm that waits with most for its share."""
        firm = gather.search.firm
        if firm in self._drains and not self._waiting.backlog(firm):
            self._drains[firm].refilled()
        self._waiting.add(gather)
        if len(self._waiting) <= self._limits.max_queue:
            return None
        heaviest = max(self._waiting.firms, key=lambda other: (self._load(other), other == firm))
        return self._waiting.take_newest(heaviest)

    def pop(self, now: float) -> Gather | None:
        """Take out the first search of the firm that is next."""
        if not len(self):
            return None
        firm = self._next_firm(now)
        gather = self._waiting.take_first(firm)
        self._drains.setdefault(firm, DrainRate()).started(now, self._waiting.backlog(firm))
        return gather

    def remove(self, gather: Gather) -> None:
        """Take out one search that left."""
        self._waiting.remove(gather)

    def wait(self, firm: str, now: float) -> float:
        """Return the seconds that a firm's own backlog takes at its own pace of late.

        The pace has the other firms' turns in it, so a flooding firm is told the truth about its
        own wait and a firm without backlog is not charged for another's.
        """
        drain = self._drains.get(firm, _UNUSED_DRAIN)
        return drain.wait(self._waiting.backlog(firm), now)

    @abstractmethod
    def _next_firm(self, now: float) -> str:
        """Return the firm, of those with a waiting search, whose first search starts next."""

    def _load(self, firm: str) -> float:
        return self._waiting.backlog(firm) / self._limits.share(firm)
