"""The list of instances that this instance knows, and their state."""

from collections import OrderedDict
from collections.abc import Callable

from limpethollow_policy.process.placements import Instance, leading_instances

# Weight of an instance that accepts no callers, relative to one that does, in the division of
# connections and repeated sends: it makes calls for others only while their own are lost.
_NON_LEADING_WEIGHT = 0.125

# How many instances that were silent when removed are remembered, the most recent ones.
_MAX_REMOVED_SILENT = 256


class Roster:
    """Tracks the known instances, and which of them are live.

    Args:
        own: This instance.
        on_change: Called when an instance was added, changed or removed.

    Attributes:
        own: This instance.
        ready: Whether this instance can serve callers.
        is_listed: Whether this instance is on the list of instances itself.
    """

    __slots__ = (
        "_known",
        "_leaving",
        "_on_change",
        "_relisted",
        "_removed_silent",
        "_silent",
        "_silent_since",
        "is_listed",
        "own",
        "ready",
    )

    def __init__(self, own: Instance, on_change: Callable[[], None]) -> None:
        self.own = own
        self.ready = False
        self.is_listed = False
        self._known: dict[str, Instance] = {own.name: own}
        self._silent: set[str] = set()
        self._silent_since: dict[str, float] = {}
        self._removed_silent: OrderedDict[str, int] = OrderedDict()
        self._relisted: set[str] = set()
        self._leaving: dict[str, int] = {}
        self._on_change = on_change

    def __len__(self) -> int:
        return len(self._known)

    @property
    def known(self) -> list[Instance]:
        """Return all known instances, live or not."""
        return list(self._known.values())

    @property
    def share_divisor(self) -> float:
        """Return the number by which to divide connections and repeated sends for this instance.

        Instances that accept no callers make few calls, so the others get larger shares. All
        shares add up to one: of 76 instances, 19 accept callers, and each of these gets a 26th,
        each of the others a 209th. With a 76th each, half of the parts missing from answers had
        not been requested from a second searcher, because the budget was spent.
        """
        leading = leading_instances(self.known)
        parts = len(leading) + (len(self) - len(leading)) * _NON_LEADING_WEIGHT
        return parts if self.own in leading else parts / _NON_LEADING_WEIGHT

    @property
    def live(self) -> list[Instance]:
        """Return the instances that callers may use, including this one if it is ready."""
        return [
            instance
            for name, instance in self._known.items()
            if (self.ready if name == self.own.name else name not in self._silent)
            and name not in self._leaving
        ]

    def put(self, instance: Instance) -> None:
        """Add or update an instance; after a restart it counts as live again.

        An instance that was silent when removed stays silent: the store may have been restored
        from a copy that still contains its entry.

        Incarnations derive from the wall clock, which may have been set back between two starts,
        so any different incarnation is a restart. Updates arrive in the store's order, never an
        old one after a new one.
        """
        if instance.name == self.own.name:
            self._set_listed(True)
            return
        known = self._known.get(instance.name)
        if known is None or known.incarnation != instance.incarnation:
            self._reset_state(instance)
        self._known[instance.name] = instance
        if known != instance:
            self._on_change()

    def remove(self, name: str) -> None:
        """Remove an instance."""
        if name == self.own.name:
            self._set_listed(False)
        elif (removed := self._known.pop(name, None)) is not None:
            if name in self._silent:
                self._remember_silent(removed)
            self._silent.discard(name)
            self._silent_since.pop(name, None)
            self._relisted.discard(name)
            self._leaving.pop(name, None)
            self._on_change()

    def is_relisted(self, name: str) -> bool:
        """Return whether an instance removed while silent is listed again and not heard yet."""
        return name in self._relisted

    def set_silent(self, name: str, silent: bool, now: float) -> None:
        """Record whether an instance is silent, meaning that its peers receive nothing from it."""
        if silent:
            self._silent.add(name)
            self._silent_since.setdefault(name, now)
        else:
            self._silent.discard(name)
            self._silent_since.pop(name, None)
            self._relisted.discard(name)

    def silent_for(self, seconds: float, now: float) -> list[str]:
        """Return the instances that have been silent for at least this long."""
        return [name for name, since in self._silent_since.items() if now - since >= seconds]

    def set_leaving(self, name: str, incarnation: int) -> None:
        """Record that a process of an instance accepts no new callers; its next process may."""
        self._leaving[name] = incarnation

    def started(self, name: str, incarnation: int) -> None:
        """Record which process of an instance is running."""
        if self._leaving.get(name) != incarnation:
            self._leaving.pop(name, None)

    def _reset_state(self, instance: Instance) -> None:
        """Reset the state of an instance when it is new or a new process of it has started.

        If this process was silent when it was removed, it counts as silent again.
        """
        name = instance.name
        self._silent.discard(name)
        self._relisted.discard(name)
        if self._removed_silent.pop(name, None) == instance.incarnation:
            self._silent.add(name)
            self._relisted.add(name)
        self.started(name, instance.incarnation)

    def _remember_silent(self, removed: Instance) -> None:
        """Remember that an instance was silent when removed."""
        self._removed_silent[removed.name] = removed.incarnation
        if len(self._removed_silent) > _MAX_REMOVED_SILENT:
            self._removed_silent.popitem(last=False)

    def _set_listed(self, is_listed: bool) -> None:
        if is_listed != self.is_listed:
            self.is_listed = is_listed
            self._on_change()
