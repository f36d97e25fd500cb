"""Admission policies: in which order waiting searches get the searchers."""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Iterator

from limpethollow_policy.request.gathers import Gather
from limpethollow_wire.exceptions import BadRequest

_POLICIES: dict[str, type["AdmissionQueue"]] = {}


def admission_policy(name: str) -> Callable[[type["AdmissionQueue"]], type["AdmissionQueue"]]:
    """Register an admission queue under the name that configurations use."""

    def register(kind: type["AdmissionQueue"]) -> type["AdmissionQueue"]:
        _POLICIES[name] = kind
        return kind

    return register


def make_queue(name: str, max_queue: int, shares: dict[str, float]) -> "AdmissionQueue":
    """Make the queue that a configuration names.

    Args:
        name: Registered name of the policy.
        max_queue: Searches that may wait.
        shares: Weight by firm; firms not listed weigh 1.

    Raises:
        BadRequest: No policy has this name.
    """
    if name not in _POLICIES:
        raise BadRequest(
            f"'admission.policy' is '{name}'.",
            remedy=f"Use one of: {', '.join(sorted(_POLICIES))}.",
        )
    return _POLICIES[name](max_queue, shares)


def policy_names() -> tuple[str, ...]:
    """Return the registered names, sorted."""
    return tuple(sorted(_POLICIES))


class AdmissionQueue(ABC):
    """Searches that wait for a free slot.

    Args:
        max_queue: Searches that may wait.
        shares: Weight by firm; firms not listed weigh 1.
    """

    __slots__ = ("_max_queue", "_shares")

    def __init__(self, max_queue: int, shares: dict[str, float]) -> None:
        self._max_queue = max_queue
        self._shares = shares

    @abstractmethod
    def __len__(self) -> int:
        """Return the number of waiting searches."""

    @abstractmethod
    def __iter__(self) -> Iterator[Gather]:
        """Iterate over all waiting searches in no particular order."""

    @abstractmethod
    def offer(self, gather: Gather) -> bool:
        """Let a search wait; false where the policy has no room for it."""

    @abstractmethod
    def pop(self) -> Gather | None:
        """Take out the search that is next, None where none waits."""

    @abstractmethod
    def remove(self, gather: Gather) -> None:
        """Take out one search that left; nothing where it does not wait."""

    def started(self, firm: str) -> None:
        """Note that a search of this firm began to use searchers."""

    def finished(self, firm: str) -> None:
        """Note that a search of this firm no longer uses searchers."""


@admission_policy("fifo")
class FifoQueue(AdmissionQueue):
    """First come, first served; one flooding firm fills it for all."""

    __slots__ = ("_waiting",)

    def __init__(self, max_queue: int, shares: dict[str, float]) -> None:
        super().__init__(max_queue, shares)
        self._waiting: deque[Gather] = deque()

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> Iterator[Gather]:
        return iter(self._waiting)

    def offer(self, gather: Gather) -> bool:
        """Let a search wait at the end."""
        if len(self._waiting) >= self._max_queue:
            return False
        self._waiting.append(gather)
        return True

    def pop(self) -> Gather | None:
        """Take out the search that came first."""
        return self._waiting.popleft() if self._waiting else None

    def remove(self, gather: Gather) -> None:
        """Take out one search that left."""
        if gather in self._waiting:
            self._waiting.remove(gather)
