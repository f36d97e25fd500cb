"""The known instances: the platform's list, which lags, combined with direct observations."""

from collections import deque
from dataclasses import dataclass

from limpethollow_policy.process.shutdowns import LEAVING_STATES
from limpethollow_wire.instances import InstanceInfo
from limpethollow_wire.peers import Hello, InstanceListUpdate

WHOLE_LIST = -1

_INITIAL_PAUSE = 2.0
_MAX_PAUSE = 30.0
_UNLISTED_SECONDS = 10.0
_MAX_KEPT_CHANGES = 256
_MAX_KEPT_INCARNATIONS = 4


@dataclass(slots=True, frozen=True)
class _Unlisted:
    """An instance that is missing in the list, and since when."""

    info: InstanceInfo
    since: float


@dataclass(slots=True)
class _Evidence:
    """Direct observations of another instance."""

    incarnation: str = ""
    retired: tuple[str, ...] = ()
    leaving: bool = False
    lost: bool = False
    heard_at: float = float("-inf")
    pause: float = _INITIAL_PAUSE
    unreachable_until: float = float("-inf")
    listed_leaving_as: str | None = None


class Membership:
    """Combines the platform's list with the state of the links to peers.

    Instances need not agree on the result; a wrong view costs a forward or a shed call. All times
    are monotonic times of this process.

    Args:
        own_id: Id of this instance.
    """

    __slots__ = (
        "_changes",
        "_evidence",
        "_instances",
        "_routable",
        "_routable_until",
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
        self._routable: tuple[InstanceInfo, ...] | None = None
        self._routable_until = 0.0
        self._changes: deque[tuple[int, frozenset[str]]] = deque(maxlen=_MAX_KEPT_CHANGES)

    @property
    def revision(self) -> int:
        """Revision of the list; -1 before the first one."""
        return self._revision

    @property
    def has_peers(self) -> bool:
        """Whether any other instance is known."""
        return bool(self._unlisted) or bool(self._instances.keys() - {self._own_id})

    def listed(self, change: InstanceListUpdate, now: float) -> bool:
        """Apply the full list or a change of it, if its revision is higher.

        Returns:
            Whether it was applied; a change with a base other than the current revision is not.
        """
        if change.revision <= self._revision:
            return False
        if change.base not in (WHOLE_LIST, self._revision):
            return False
        after = {} if change.base == WHOLE_LIST else dict(self._instances)
        after.update((instance.id, instance) for instance in change.listed)
        for instance_id in change.dropped:
            after.pop(instance_id, None)
        self._replace_list(after, change.revision, now)
        self._drop_ended(now)
        self._routable = None
        return True

    def changes_since(self, revision: int) -> InstanceListUpdate:
        """Return the changes after a revision, or the full list if they are not known."""
        known = [r for r, _ in self._changes]
        if revision == WHOLE_LIST or revision not in known:
            return InstanceListUpdate(WHOLE_LIST, self._revision, tuple(self._instances.values()))
        changed_ids = {i for r, ids in self._changes if r > revision for i in ids}
        return InstanceListUpdate(
            base=revision,
            revision=self._revision,
            listed=tuple(self._instances[i] for i in changed_ids if i in self._instances),
            dropped=tuple(i for i in changed_ids if i not in self._instances),
        )

    def hello_received(self, hello: Hello, now: float, dialled: bool = False) -> None:
        """Record the hello of an instance, which includes its addresses.

        Args:
            hello: The message.
            now: Monotonic time in seconds.
            dialled: Whether it came over a link opened to the listed address.
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
        """Record a message from the instance itself, which takes precedence over the list.

        Args:
            instance_id: The sender.
            incarnation: Its incarnation.
            leaving: Whether it is leaving.
            now: Monotonic time in seconds.
            dialled: Whether it came over a link opened to the listed address. Such a message is
                from the current incarnation; one on an incoming link may be a late message of an
                incarnation that has been replaced.
        """
        evidence = self._evidence.setdefault(instance_id, _Evidence())
        if incarnation != evidence.incarnation:
            if incarnation in evidence.retired and not dialled:
                return
            if evidence.incarnation:
                kept = (evidence.incarnation, *evidence.retired)[:_MAX_KEPT_INCARNATIONS]
                evidence.retired = tuple(i for i in kept if i != incarnation)
            evidence.incarnation = incarnation
        evidence.leaving = leaving
        self._routable = None
        self.answered(instance_id, now)

    def answered(self, instance_id: str, now: float) -> None:
        """Record that an instance replied to a request of this one."""
        evidence = self._evidence.setdefault(instance_id, _Evidence())
        if evidence.lost or instance_id in self._unlisted:
            self._routable = None
        evidence.heard_at = now
        evidence.lost = False
        evidence.unreachable_until = float("-inf")
        evidence.pause = _INITIAL_PAUSE

    def asked(self, instance_id: str, now: float) -> None:
        """Record a request from an instance: it runs, but may be unreachable from here."""
        self._evidence.setdefault(instance_id, _Evidence()).heard_at = now
        if instance_id in self._unlisted:
            self._routable = None

    def unreachable(self, instance_id: str, now: float) -> None:
        """Record that a link to an instance failed; each failure in a row doubles the pause."""
        evidence = self._evidence.setdefault(instance_id, _Evidence())
        evidence.unreachable_until = now + evidence.pause
        evidence.pause = min(evidence.pause * 2, _MAX_PAUSE)
        evidence.lost = True
        self._routable = None

    def incarnation(self, instance_id: str) -> str:
        """Return the last incarnation that an instance reported; empty if unknown."""
        evidence = self._evidence.get(instance_id)
        return evidence.incarnation if evidence and not evidence.lost else ""

    def get(self, instance_id: str) -> InstanceInfo | None:
        """Return an instance as listed, or as it described itself if it is not listed."""
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

    def all_instances(self, now: float) -> tuple[InstanceInfo, ...]:
        """Return all listed instances, and unlisted ones that were heard from recently."""
        recently_heard = [u.info for u in self._unlisted.values() if self._is_heard(u, now)]
        return (*self._instances.values(), *recently_heard)

    def peers(self, now: float) -> tuple[InstanceInfo, ...]:
        """Return all instances except this one."""
        return tuple(i for i in self.all_instances(now) if i.id != self._own_id)

    def routable(self, now: float) -> tuple[InstanceInfo, ...]:
        """Return the instances to which callers may be directed.

        The result is cached until something changes, because every request needs it.
        """
        if self._routable is None or now >= self._routable_until:
            self._routable = tuple(
                i for i in self.all_instances(now) if self.state(i.id, now) == "live"
            )
            self._routable_until = self._next_timeout(now)
        return self._routable

    def _next_timeout(self, now: float) -> float:
        """Return the next time at which a timeout changes the set of live instances."""
        ends = [e.unreachable_until for e in self._evidence.values()]
        ends += [self._evidence[i].heard_at + _UNLISTED_SECONDS for i in self._unlisted]
        return min((end for end in ends if end > now), default=float("inf"))

    def _is_heard(self, unlisted: _Unlisted, now: float) -> bool:
        """Return whether an instance was heard from recently, and after the list dropped it."""
        heard_at = self._evidence[unlisted.info.id].heard_at
        return heard_at > unlisted.since and now - heard_at < _UNLISTED_SECONDS

    def _drop_ended(self, now: float) -> None:
        """Drop the state of ended instances; thousands end in a day, each with its own id."""
        for instance_id, unlisted in tuple(self._unlisted.items()):
            quiet_since = max(self._evidence[instance_id].heard_at, unlisted.since)
            if now - quiet_since > _UNLISTED_SECONDS:
                del self._unlisted[instance_id]
        for instance_id in self._evidence.keys() - self._instances.keys() - self._unlisted.keys():
            del self._evidence[instance_id]

    def _replace_list(self, after: dict[str, InstanceInfo], revision: int, now: float) -> None:
        before = self._instances
        changed_ids = {i for i in before.keys() | after.keys() if before.get(i) != after.get(i)}
        for instance_id in changed_ids:
            self._note_change(before.get(instance_id), after.get(instance_id), now)
        self._instances = after
        self._revision = revision
        self._changes.append((revision, frozenset(changed_ids)))

    def _note_change(self, old: InstanceInfo | None, new: InstanceInfo | None, now: float) -> None:
        """Update the state of an instance whose list entry was added, changed or removed.

        The list may drop an instance by mistake. It stays in use while messages from it arrive; one
        that has really ended sends none and is left out by `all_instances`.
        """
        if new is not None:
            self._unlisted.pop(new.id, None)
            evidence = self._evidence.setdefault(new.id, _Evidence())
            evidence.listed_leaving_as = evidence.incarnation if new.state == "leaving" else None
        elif old is not None and old.id in self._evidence:
            self._unlisted[old.id] = _Unlisted(old, now)

    def _is_listed_leaving(self, instance_id: str, evidence: _Evidence) -> bool:
        """Return whether the list shows the current incarnation as leaving.

        The list lags, so it may still show an incarnation that was replaced under the same id.
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
