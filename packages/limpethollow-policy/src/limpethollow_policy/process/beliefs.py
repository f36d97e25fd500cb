"""What this instance believes of one kind of objects, at which revision of the platform's store."""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")

# Steps that are kept for others who missed them. One is made each 0.25 s at most, so these reach
# 16 s back: longer than any instance goes without news, but for one that was frozen.
_KEPT_STEPS = 64


@dataclass(slots=True, frozen=True)
class Step(Generic[T]):
    """What changed between two revisions.

    Attributes:
        base: Revision after which the changes happened.
        revision: Revision up to which they are told.
        put: Objects that came or changed, by name.
        gone: Names of the objects that went.
    """

    base: int
    revision: int
    put: Mapping[str, T]
    gone: list[str]


class Belief(Generic[T]):
    """Objects of one kind by name, as they were at one revision of the store.

    The store counts all its changes with one revision, so two sources can be compared: whatever is
    newer wins, and nothing older is taken in after it, no matter how late it comes or from whom.

    Args:
        put: Called with each object that came or changed.
        gone: Called with the name of each object that went.
        applied: Called after the objects of one piece of news.
    """

    __slots__ = ("_applied", "_gone", "_put", "_steps", "changed_at", "items", "revision")

    def __init__(
        self,
        put: Callable[[T], None],
        gone: Callable[[str], None],
        applied: Callable[[], None] = lambda: None,
    ) -> None:
        self._put = put
        self._gone = gone
        self._applied = applied
        self._steps: deque[Step[T]] = deque(maxlen=_KEPT_STEPS)
        self.items: dict[str, T] = {}
        self.revision = 0
        self.changed_at = 0

    def replace(self, items: Mapping[str, T], revision: int) -> bool:
        """Take in all objects at a revision; return whether they are not older than the belief."""
        if revision < self.revision:
            return False
        gone = [name for name in self.items if name not in items]
        changed = [name for name, item in items.items() if self.items.get(name) != item]
        self._apply({name: items[name] for name in changed}, gone, revision)
        return True

    def change(self, base: int, revision: int, put: Mapping[str, T], gone: Iterable[str]) -> bool:
        """Take in the changes between two revisions.

        Args:
            base: Revision after which the changes happened.
            revision: Revision up to which they are told.
            put: Objects that came or changed.
            gone: Names of the objects that went.

        Returns:
            False where changes before `base` are missing here; all objects are needed then.
        """
        if revision <= self.revision:
            return True
        if base > self.revision:
            return False
        self._apply(put, [name for name in gone if name in self.items], revision)
        return True

    def since(self, revision: int) -> Step[T] | None:
        """Return all changes after a revision as one step; None where they are not kept."""
        steps = [step for step in self._steps if step.revision > revision]
        if not steps or steps[0].base > revision:
            return None
        put: dict[str, T] = {}
        gone: set[str] = set()
        for step in steps:
            put = {name: item for name, item in put.items() if name not in step.gone}
            put.update(step.put)
            gone = (gone | set(step.gone)) - step.put.keys()
        return Step(revision, self.revision, put, sorted(gone))

    def _apply(self, put: Mapping[str, T], gone: list[str], revision: int) -> None:
        # The first list counts as a change even if it is empty: others that have none ask for it.
        if put or gone or not self.revision:
            self.changed_at = revision
            self._steps.append(Step(self.revision, revision, put, gone))
        self.revision = revision
        for name in gone:
            del self.items[name]
        self.items.update(put)
        for name in gone:
            self._gone(name)
        for item in put.values():
            self._put(item)
        self._applied()
