"""What this instance believes of one kind of objects, at which revision of the platform's store."""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

from limpethollow_policy.process.revisions import NOTHING_KNOWN, Revision

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

    base: Revision
    revision: Revision
    put: Mapping[str, T]
    gone: list[str]


class Belief(Generic[T]):
    """Objects of one kind by name, as they were at one revision of the store.

    The store counts all its changes with one revision, so two sources can be compared: whatever is
    newer wins, and nothing older is taken in after it, no matter how late it comes or from whom.
    Changes lead from one revision to another of the same era; a new era begins with all objects.

    Args:
        put: Called with each object that came or changed.
        gone: Called with the name of each object that went.
        applied: Called after the objects of one piece of news.

    Attributes:
        items: The objects.
        revision: Revision up to which they are known.
        changed_at: Revision of their last change.
        begins_era: Whether the news being taken in are the first of a new era; objects that went,
            came back or changed may be ones whose last writes the store has lost.
    """

    __slots__ = (
        "_applied",
        "_gone",
        "_put",
        "_steps",
        "begins_era",
        "changed_at",
        "items",
        "revision",
    )

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
        self.revision = NOTHING_KNOWN
        self.changed_at = NOTHING_KNOWN
        self.begins_era = False

    @property
    def is_known(self) -> bool:
        """Return whether any news were taken in."""
        return self.revision != NOTHING_KNOWN

    def replace(self, items: Mapping[str, T], revision: Revision) -> bool:
        """Take in all objects at a revision; return whether they are not older than the belief."""
        if revision < self.revision:
            return False
        gone = [name for name in self.items if name not in items]
        changed = [name for name, item in items.items() if self.items.get(name) != item]
        self._apply({name: items[name] for name in changed}, gone, revision)
        return True

    def change(
        self, base: Revision, revision: Revision, put: Mapping[str, T], gone: Iterable[str]
    ) -> bool:
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
        if base > self.revision or not base.era == revision.era == self.revision.era:
            return False
        self._apply(put, [name for name in gone if name in self.items], revision)
        return True

    def since(self, revision: Revision) -> Step[T] | None:
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

    def _apply(self, put: Mapping[str, T], gone: list[str], revision: Revision) -> None:
        if revision.era != self.revision.era or not self.is_known:
            # The first list counts as a change even if it is empty: others that have none ask.
            self._steps.clear()
            self.changed_at = revision
            self.begins_era = self.is_known
        elif put or gone:
            self.changed_at = revision
            self._steps.append(Step(self.revision, revision, put, gone))
        self.revision = revision
        self._tell(put, gone)
        self.begins_era = False

    def _tell(self, put: Mapping[str, T], gone: list[str]) -> None:
        for name in gone:
            del self.items[name]
        self.items.update(put)
        for name in gone:
            self._gone(name)
        for item in put.values():
            self._put(item)
        self._applied()
