"""Local copies of the objects of one kind, with their revision in the platform's store."""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

from limpethollow_policy.process.revisions import NOTHING_KNOWN, Revision

T = TypeVar("T")

# Change sets that are kept for instances that missed them. There is at most one every 0.25 s, so
# these cover the last 16 s: longer than any instance goes without updates, except a frozen one.
_MAX_KEPT_STEPS = 64


@dataclass(slots=True, frozen=True)
class Step(Generic[T]):
    """The changes between two revisions.

    Attributes:
        base: Revision after which the changes happened.
        revision: Last revision that they include.
        put: Objects that were added or changed, by name.
        gone: Names of the objects that were removed.
    """

    base: Revision
    revision: Revision
    put: Mapping[str, T]
    gone: list[str]


class ObjectCache(Generic[T]):
    """Objects of one kind by name, as they were at one revision of the store.

    The store numbers all its changes with one revision counter, so updates from any two sources can
    be compared: the newer one wins, and an older one is ignored, however late it arrives and
    whoever sent it. A change set leads from one revision to another of the same era; a new era
    begins with a full list of objects.

    Args:
        put: Called with each object that was added or changed.
        gone: Called with the name of each object that was removed.
        applied: Called after all objects of one update.

    Attributes:
        items: The objects by name.
        revision: Revision up to which they are known.
        changed_at: Revision of their last change.
        begins_era: Whether the update being applied is the first of a new era. Objects that it
            removes, restores or changes may be ones whose last writes the store has lost.
    """

    __slots__ = (
        "_on_applied",
        "_on_gone",
        "_on_put",
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
        self._on_put = put
        self._on_gone = gone
        self._on_applied = applied
        self._steps: deque[Step[T]] = deque(maxlen=_MAX_KEPT_STEPS)
        self.items: dict[str, T] = {}
        self.revision = NOTHING_KNOWN
        self.changed_at = NOTHING_KNOWN
        self.begins_era = False

    @property
    def is_known(self) -> bool:
        """Return whether any update was applied."""
        return self.revision != NOTHING_KNOWN

    def replace(self, items: Mapping[str, T], revision: Revision) -> bool:
        """Apply a full list of objects; return False if it is older than the current revision."""
        if revision < self.revision:
            return False
        gone = [name for name in self.items if name not in items]
        changed = [name for name, item in items.items() if self.items.get(name) != item]
        self._apply({name: items[name] for name in changed}, gone, revision)
        return True

    def change(
        self, base: Revision, revision: Revision, put: Mapping[str, T], gone: Iterable[str]
    ) -> bool:
        """Apply the changes between two revisions.

        Args:
            base: Revision after which the changes happened.
            revision: Last revision that they include.
            put: Objects that were added or changed.
            gone: Names of the objects that were removed.

        Returns:
            False if changes before `base` are missing here, so that a full list is needed.
        """
        if revision <= self.revision:
            return True
        if base > self.revision or not base.era == revision.era == self.revision.era:
            return False
        self._apply(put, [name for name in gone if name in self.items], revision)
        return True

    def since(self, revision: Revision) -> Step[T] | None:
        """Return all changes after a revision merged into one; None if they are not kept."""
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
            # The first list counts as a change even if it is empty, because instances that have no
            # list yet request it.
            self._steps.clear()
            self.changed_at = revision
            self.begins_era = self.is_known
        elif put or gone:
            self.changed_at = revision
            self._steps.append(Step(self.revision, revision, put, gone))
        self.revision = revision
        self._notify(put, gone)
        self.begins_era = False

    def _notify(self, put: Mapping[str, T], gone: list[str]) -> None:
        for name in gone:
            del self.items[name]
        self.items.update(put)
        for name in gone:
            self._on_gone(name)
        for item in put.values():
            self._on_put(item)
        self._on_applied()
