"""Which instances are there: the platform's lagging list joined with own evidence."""

from collections import deque
from dataclasses import dataclass

from limpethollow_policy.process.shutdowns import LEAVING_STATES
from limpethollow_wire.instances import InstanceInfo
from limpethollow_wire.peers import Hello, ListChange

WHOLE_LIST = -1

_FIRST_PAUSE = 2.0
_LONGEST_PAUSE = 30.0
_UNLISTED_SECONDS = 10.0
_KEPT_CHANGES = 256
_KEPT_INCARNATIONS = 4


@dataclass(slots=True, frozen=True)
class _Unlisted:
    """An instance that the list lacks: since when, and what is known of it."""

    info: InstanceInfo
    since: float


@dataclass(slots=True)
class _Evidence:
    """What this instance saw of another by itself."""

    incarnation: str = ""
    retired: tuple[str, ...] = ()
    leaving: bool = False
    lost: bool = False
    heard_at: float = float("-inf")
    pause: float = _FIRST_PAUSE
    unreachable_until: float = float("-inf")
    listed_leaving_as: str | None = None


class Membership:
    """Joins the platform's list with what links to peers show.

    Nothing here needs two instances to agree; a wrong view costs a forward or a shed call. All
    times are this process's own.

    Args:
        own_id: Id of this instance.
    """

    __slots__ = (
        "_changes",
        "_evidence",
        "_instances",
        "_live",
        "_live_until",
        "_own_id",
        "_revision",
        "_unlisted",
    )

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._revision = WHOLE_LIST
        self._instances: dict[str, InstanceInfo] = {}
        self._unlisted: dict[str, _Unlisted] = {}
        self._evidence: dict[str, _Evidence] = {}
        self._live: tuple[InstanceInfo, ...] | None = None
        self._live_until = 0.0
        self._changes: deque[tuple[int, frozenset[str]]] = deque(maxlen=_KEPT_CHANGES)

    @property
    def revision(self) -> int:
        """Revision of the list, -1 before the first."""
        return self._revision

    @property
    def has_peers(self) -> bool:
        """Whether any other instance is known."""
        return bool(self._unlisted) or bool(self._instances.keys() - {self._own_id})

    def listed(self, change: ListChange, now: float) -> bool:
        """Take in the list or a change of it; only a higher revision applies.

        Returns:
            Whether it applied; a change on another base than ours does not.
        """
        if change.revision <= self._revision:
            return False
        if change.base not in (WHOLE_LIST, self._revision):
            return False
        after = {} if change.base == WHOLE_LIST else dict(self._instances)
        after.update((instance.id, instance) for instance in change.listed)
        for instance_id in change.dropped:
            after.pop(instance_id, None)
        self._take(after, change.revision, now)
        self._forget(now)
        self._live = None
        return True

    def changes_since(self, revision: int) -> ListChange:
        """Return what the holder of a revision lacks, the whole list where that is not known."""
        known = [r for r, _ in self._changes]
        if revision == WHOLE_LIST or revision not in known:
            return ListChange(WHOLE_LIST, self._revision, tuple(self._instances.values()))
        touched = {i for r, ids in self._changes if r > revision for i in ids}
        return ListChange(
            base=revision,
            revision=self._revision,
            listed=tuple(self._instances[i] for i in touched if i in self._instances),
            dropped=tuple(i for i in touched if i not in self._instances),
        )

    def greeted(self, hello: Hello, now: float, dialled: bool = False) -> None:
        """Take in an instance's hello, which also tells where it is.

        Args:
            hello: Who spoke.
            now: Monotonic seconds.
            dialled: Whether it answered at its listed address.
        """
        instance_id = hello.instance
        if instance_id not in self._instances and hello.peer_address:
            known = self._unlisted.get(instance_id)
            since = known.since if known else float("-inf")
            self._unlisted[instance_id] = _Unlisted(_info(hello), since)
        leaving = hello.state in LEAVING_STATES
        self.heard(instance_id, hello.incarnation, leaving, now, dialled)

    def heard(
        self, instance_id: str, incarnation: str, leaving: bool, now: float, dialled: bool = False
    ) -> None:
        """Take in a word from the instance itself; it counts more than the list.

        Args:
            instance_id: Who spoke.
            incarnation: Its run.
            leaving: Whether it leaves.
            now: Monotonic seconds.
            dialled: Whether it answered at its listed address. Such a word is of the current run;
                one that came in may be a late word of a run that was replaced since.
        """
        evidence = self._evidence.setdefault(instance_id, _Evidence())
        if incarnation != evidence.incarnation:
            if incarnation in evidence.retired and not dialled:
                return
            if evidence.incarnation:
                kept = (evidence.incarnation, *evidence.retired)[:_KEPT_INCARNATIONS]
                evidence.retired = tuple(i for i in kept if i != incarnation)
            evidence.incarnation = incarnation
        evidence.leaving = leaving
        self._live = None
        self.answered(instance_id, now)

    def answered(self, instance_id: str, now: float) -> None:
        """Note that an instance replied to a request of ours."""
        evidence = self._evidence.setdefault(instance_id, _Evidence())
        if evidence.lost or instance_id in self._unlisted:
            self._live = None
        evidence.heard_at = now
        evidence.lost = False
        evidence.unreachable_until = float("-inf")
        evidence.pause = _FIRST_PAUSE

    def asked(self, instance_id: str, now: float) -> None:
        """Note that an instance sent us a request: it runs, but may not be reachable from here."""
        self._evidence.setdefault(instance_id, _Evidence()).heard_at = now
        if instance_id in self._unlisted:
            self._live = None

    def unreachable(self, instance_id: str, now: float) -> None:
        """Note that a link to the instance failed; each failure in a row doubles the pause."""
        evidence = self._evidence.setdefault(instance_id, _Evidence())
        evidence.unreachable_until = now + evidence.pause
        evidence.pause = min(evidence.pause * 2, _LONGEST_PAUSE)
        evidence.lost = True
        self._live = None

    def incarnation(self, instance_id: str) -> str:
        """Return the run that an instance last named, empty where not known."""
        evidence = self._evidence.get(instance_id)
        return evidence.incarnation if evidence and not evidence.lost else ""

    def get(self, instance_id: str) -> InstanceInfo | None:
        """Return an instance as listed, or as it named itself where the list lacks it."""
        unlisted = self._unlisted.get(instance_id)
        return self._instances.get(instance_id) or (unlisted.info if unlisted else None)

    def state(self, instance_id: str, now: float) -> str:
        """Return `live`, `leaving` or `unreachable`."""
        evidence = self._evidence.get(instance_id, _Evidence())
        if evidence.leaving or self._is_listed_leaving(instance_id, evidence):
            return "leaving"
        if now < evidence.unreachable_until:
            return "unreachable"
        return "live"

    def everyone(self, now: float) -> tuple[InstanceInfo, ...]:
        """Return all instances that are listed, or heard of though the list lacks them."""
        speaking = [u.info for u in self._unlisted.values() if self._is_speaking(u, now)]
        return (*self._instances.values(), *speaking)

    def peers(self, now: float) -> tuple[InstanceInfo, ...]:
        """Return everyone but this instance."""
        return tuple(i for i in self.everyone(now) if i.id != self._own_id)

    def routable(self, now: float) -> tuple[InstanceInfo, ...]:
        """Return the instances that callers may be sent to.

        The same tuple comes back until something changes, since every request asks for it.
        """
        if self._live is None or now >= self._live_until:
            self._live = tuple(i for i in self.everyone(now) if self.state(i.id, now) == "live")
            self._live_until = self._next_change(now)
        return self._live

    def _next_change(self, now: float) -> float:
        """Return when the mere passage of time changes who is live."""
        ends = [e.unreachable_until for e in self._evidence.values()]
        ends += [self._evidence[i].heard_at + _UNLISTED_SECONDS for i in self._unlisted]
        return min((end for end in ends if end > now), default=float("inf"))

    def _is_speaking(self, unlisted: _Unlisted, now: float) -> bool:
        """Return whether an instance spoke after the list dropped it, and not long ago."""
        heard_at = self._evidence[unlisted.info.id].heard_at
        return heard_at > unlisted.since and now - heard_at < _UNLISTED_SECONDS

    def _forget(self, now: float) -> None:
        """Drop what is known of ended instances; thousands end on a day, each under a new id."""
        for instance_id, unlisted in tuple(self._unlisted.items()):
            quiet_since = max(self._evidence[instance_id].heard_at, unlisted.since)
            if now - quiet_since > _UNLISTED_SECONDS:
                del self._unlisted[instance_id]
        for instance_id in self._evidence.keys() - self._instances.keys() - self._unlisted.keys():
            del self._evidence[instance_id]

    def _take(self, after: dict[str, InstanceInfo], revision: int, now: float) -> None:
        before = self._instances
        touched = {i for i in before.keys() | after.keys() if before.get(i) != after.get(i)}
        for instance_id in touched:
            self._note_change(before.get(instance_id), after.get(instance_id), now)
        self._instances = after
        self._revision = revision
        self._changes.append((revision, frozenset(touched)))

    def _note_change(self, old: InstanceInfo | None, new: InstanceInfo | None, now: float) -> None:
        """Keep what was heard of an instance that the list drops.

        The list may drop an instance wrongly. While it still speaks to us, it stays in use;
        one that really ended falls silent and is left out by `everyone`.
        """
        if new is not None:
            self._unlisted.pop(new.id, None)
            evidence = self._evidence.setdefault(new.id, _Evidence())
            evidence.listed_leaving_as = evidence.incarnation if new.state == "leaving" else None
        elif old is not None and old.id in self._evidence:
            self._unlisted[old.id] = _Unlisted(old, now)

    def _is_listed_leaving(self, instance_id: str, evidence: _Evidence) -> bool:
        """Return whether the list says that the current run leaves.

        The list lags, so it may still speak of a run that was replaced under the same id.
        """
        listed = self._instances.get(instance_id)
        if listed is None or listed.state != "leaving":
            return False
        return evidence.incarnation in ("", evidence.listed_leaving_as)


def _info(hello: Hello) -> InstanceInfo:
    return InstanceInfo(
        id=hello.instance,
        failure_domain=hello.failure_domain,
        address=hello.address,
        peer_address=hello.peer_address,
        operator_address=hello.operator_address,
    )
