"""Common parts of the admission policies: registry, limits and queues by firm."""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from limpethollow_policy.process.admissions_waits import DrainRate
from limpethollow_policy.request.gathers import Gather
from limpethollow_wire.exceptions import BadRequest

_POLICIES: dict[str, type["AdmissionQueue"]] = {}

_DEFAULT_SHARE = 1.0
_INITIAL_DRAIN_RATE = DrainRate()


def admission_policy(name: str) -> Callable[[type["AdmissionQueue"]], type["AdmissionQueue"]]:
    """Return a decorator that registers an admission queue class.

    Args:
        name: The name that configurations use.
    """

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
    """Limits and weights that an admission policy applies.

    Attributes:
        max_queue: Maximum number of queued searches.
        shares: Weight by firm; firms not listed have weight 1.
    """

    max_queue: int
    shares: dict[str, float] = field(default_factory=dict)

    def share(self, firm: str) -> float:
        """Return a firm's weight."""
        return self.shares.get(firm, _DEFAULT_SHARE)


class AdmissionQueue(ABC):
    """Queue of searches that wait for a free slot.

    Args:
        limits: The queue length and the weights of the firms.
    """

    __slots__ = ("_limits",)

    def __init__(self, limits: AdmissionLimits) -> None:
        self._limits = limits

    @abstractmethod
    def __len__(self) -> int:
        """Return the number of queued searches."""

    @abstractmethod
    def __iter__(self) -> Iterator[Gather]:
        """Iterate over all queued searches in no particular order."""

    @abstractmethod
    def offer(self, gather: Gather) -> Gather | None:
        """Add a search to the queue.

        Returns:
            The search that was rejected or evicted because the queue is full, which may be the
            offered one; None if there was room.
        """

    @abstractmethod
    def pop(self, now: float) -> Gather | None:
        """Remove and return the next search; None if none may start now."""

    @abstractmethod
    def remove(self, gather: Gather) -> None:
        """Remove one search; does nothing if it is not queued."""

    @abstractmethod
    def wait(self, firm: str, now: float) -> float:
        """Return the expected wait of a new search of this firm, in seconds."""


class FirmQueues:
    """Queued searches by firm, in the order of arrival within each firm."""

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
        """The firms with queued searches, ordered by how long their queues have been non-empty."""
        return tuple(self._waiting)

    def backlog(self, firm: str) -> int:
        """Return the number of queued searches of a firm."""
        return len(self._waiting.get(firm, ()))

    def first(self, firm: str) -> Gather:
        """Return the oldest queued search of a firm."""
        return self._waiting[firm][0]

    def add(self, gather: Gather) -> None:
        """Append a search to its firm's queue."""
        self._waiting.setdefault(gather.search.firm, deque()).append(gather)
        self._length += 1

    def take_first(self, firm: str) -> Gather:
        """Remove and return the oldest search of a firm."""
        return self._removed(firm, self._waiting[firm].popleft())

    def take_newest(self, firm: str) -> Gather:
        """Remove and return the newest search of a firm."""
        return self._removed(firm, self._waiting[firm].pop())

    def remove(self, gather: Gather) -> bool:
        """Remove one search; return False if it is not queued."""
        firm = gather.search.firm
        if gather not in self._waiting.get(firm, ()):
            return False
        self._waiting[firm].remove(gather)
        self._removed(firm, gather)
        return True

    def _removed(self, firm: str, gather: Gather) -> Gather:
        self._length -= 1
        if not self._waiting[firm]:
            del self._waiting[firm]
        return gather


class FairQueue(AdmissionQueue):
    """Base class of the policies that keep one queue per firm, with a common length limit.

    The limit applies to the searches of all firms together, so one firm may use all of it while no
    other firm has queued searches. When the limit is exceeded, the firm with the longest queue
    relative to its weight loses its newest search: a flooding firm evicts its own searches and
    never those of another firm.
    """

    __slots__ = ("_drain_rates", "_waiting")

    def __init__(self, limits: AdmissionLimits) -> None:
        super().__init__(limits)
        self._waiting = FirmQueues()
        self._drain_rates: dict[str, DrainRate] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> Iterator[Gather]:
        return iter(self._waiting)

    def offer(self, gather: Gather) -> Gather | None:
        """Add a search; on overflow evict one of the firm with the highest weighted backlog."""
        firm = gather.search.firm
        if firm in self._drain_rates and not self._waiting.backlog(firm):
            self._drain_rates[firm].refilled()
        self._waiting.add(gather)
        if len(self._waiting) <= self._limits.max_queue:
            return None
        heaviest = max(
            self._waiting.firms, key=lambda other: (self._weighted_backlog(other), other == firm)
        )
        return self._waiting.take_newest(heaviest)

    def pop(self, now: float) -> Gather | None:
        """Remove and return the oldest search of the firm whose turn it is."""
        if not len(self):
            return None
        firm = self._next_firm(now)
        gather = self._waiting.take_first(firm)
        self._drain_rates.setdefault(firm, DrainRate()).started(now, self._waiting.backlog(firm))
        return gather

    def remove(self, gather: Gather) -> None:
        """Remove one search, if it is queued."""
        self._waiting.remove(gather)

    def wait(self, firm: str, now: float) -> float:
        """Return how long a firm's backlog takes at the firm's own recent drain rate.

        The drain rate already includes the turns of the other firms. A flooding firm therefore
        gets a realistic estimate, and a firm without a backlog is not affected by another's.
        """
        drain = self._drain_rates.get(firm, _INITIAL_DRAIN_RATE)
        return drain.wait(self._waiting.backlog(firm), now)

    @abstractmethod
    def _next_firm(self, now: float) -> str:
        """Return the firm, of those with queued searches, whose oldest search starts next."""

    def _weighted_backlog(self, firm: str) -> float:
        return self._waiting.backlog(firm) / self._limits.share(firm)
