"""The instances of the system as this one knows them."""

from collections import OrderedDict
from collections.abc import Callable

from limpethollow_policy.process.placements import Instance, leading_among

# Connections that an instance opens which takes no callers, and sends that it repeats, as a share
# of one that does: it makes calls for others only while theirs are lost.
_OTHERS_WEIGHT = 0.125

# Instances that were silent when they were removed, of which the last ones are remembered.
_MOST_REMOVED = 256


class Roster:
    """Known instances, and which of them can be used now.

    Args:
        own: This instance.
        on_change: Called when an instance came or went.

    Attributes:
        own: This instance.
        ready: Whether callers may use it.
        is_listed: Whether it is on the list of instances that it knows.
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
    def sharers(self) -> float:
        """Return into how many parts connections and repeated sends are divided, for this one's.

        Instances that take no callers make few calls, so those that do have larger parts. The
        parts of all add up to the whole: with 76 instances of which 19 take callers, one of these
        has a 26th and one of the others a 209th. With a 76th each, half of the parts that answers
        lacked had not been asked for at a second searcher, for want of budget.
        """
        leading = leading_among(self.known)
        parts = len(leading) + (len(self) - len(leading)) * _OTHERS_WEIGHT
        return parts if self.own in leading else parts / _OTHERS_WEIGHT

    @property
    def live(self) -> list[Instance]:
        """Return the instances that callers may use, this one included where it is ready."""
        return [
            instance
            for name, instance in self._known.items()
            if (self.ready if name == self.own.name else name not in self._silent)
            and name not in self._leaving
        ]

    def put(self, instance: Instance) -> None:
        """Add or update an instance; a new start of one counts as live again.

        One that was silent when it was removed stays silent: the store may have come back from a
        copy that still has its entry.

        Incarnations come from the time of day, which may have jumped back between two starts; so
        any other one is a new start. News come in the store's order, never an old one after it.
        """
        if instance.name == self.own.name:
            self._set_listed(True)
            return
        known = self._known.get(instance.name)
        if known is None or known.incarnation != instance.incarnation:
            self._begin(instance)
        self._known[instance.name] = instance
        if known != instance:
            self._on_change()

    def remove(self, name: str) -> None:
        """Forget an instance."""
        if name == self.own.name:
            self._set_listed(False)
        elif (gone := self._known.pop(name, None)) is not None:
            if name in self._silent:
                self._keep_silent(gone)
            self._silent.discard(name)
            self._silent_since.pop(name, None)
            self._relisted.discard(name)
            self._leaving.pop(name, None)
            self._on_change()

    def is_relisted(self, name: str) -> bool:
        """Return whether an instance was removed while silent, and not heard of since."""
        return name in self._relisted

    def set_silent(self, name: str, silent: bool, now: float) -> None:
        """Note whether an instance answers its peers."""
        if silent:
            self._silent.add(name)
            self._silent_since.setdefault(name, now)
        else:
            self._silent.discard(name)
            self._silent_since.pop(name, None)
            self._relisted.discard(name)

    def silent_for(self, seconds: float, now: float) -> list[str]:
        """Return the instances that have been silent at least this long."""
        return [name for name, since in self._silent_since.items() if now - since >= seconds]

    def set_leaving(self, name: str, incarnation: int) -> None:
        """Note that a process of an instance takes no new callers; its next one may."""
        self._leaving[name] = incarnation

    def started(self, name: str, incarnation: int) -> None:
        """Note which process of an instance runs now."""
        if self._leaving.get(name) != incarnation:
            self._leaving.pop(name, None)

    def _begin(self, instance: Instance) -> None:
        """Note a process of an instance that was not known."""
        name = instance.name
        self._silent.discard(name)
        self._relisted.discard(name)
        if self._removed_silent.pop(name, None) == instance.incarnation:
            self._silent.add(name)
            self._relisted.add(name)
        self.started(name, instance.incarnation)

    def _keep_silent(self, gone: Instance) -> None:
        """Remember that an instance was silent when it was removed."""
        self._removed_silent[gone.name] = gone.incarnation
        if len(self._removed_silent) > _MOST_REMOVED:
            self._removed_silent.popitem(last=False)

    def _set_listed(self, is_listed: bool) -> None:
        if is_listed != self.is_listed:
            self.is_listed = is_listed
            self._on_change()
