"""Plans: the changes and effects of an intent, and whether a plan may be applied."""

import re
from dataclasses import dataclass
from enum import Enum, auto
from random import Random
from typing import Any

import msgspec

from limpethollow_policy.connection.connection_limits import connections_per_searcher
from limpethollow_policy.version.policy_checks import check_policies
from limpethollow_wire.exceptions import BadRequest, NotFound
from limpethollow_wire.plans import FieldChange, Intent, Plan, PlanEffect
from limpethollow_wire.services import ServiceRecord, ServiceSpec

PLAN_SLOTS = 8
MAX_KEPT_WRITES = 16

_SERVICE_NAME = re.compile(r"[a-z0-9-]{1,64}")
_PLAN_NAME = re.compile(r"([a-z0-9-]{1,64})\.([0-9]{1,2})\.([0-9a-f]{24})")
_NONCE_BITS = 96


@dataclass(slots=True, frozen=True)
class PlanName:
    """Name of a plan, which includes its storage slot; each service has a fixed number of slots.

    Slots limit the number of plans without a list, a clock or a clean-up: a slot is free again once
    its plan's base version is stale, since such a plan can't be confirmed any more.

    Attributes:
        service: Name of the service.
        slot: Number of the slot.
        nonce: Makes the name unique; the name is also the write id of the confirm.
    """

    service: str
    slot: int
    nonce: str

    def __str__(self) -> str:
        return f"{self.service}.{self.slot}.{self.nonce}"

    @property
    def slot_name(self) -> str:
        """Name of the platform object that stores the plan."""
        return f"{self.service}.{self.slot}"

    @classmethod
    def new(cls, service: str, slot: int, rng: Random) -> "PlanName":
        """Return a new, unique name."""
        return cls(service, slot, f"{rng.getrandbits(_NONCE_BITS):024x}")

    @classmethod
    def parse(cls, text: str) -> "PlanName":
        """Parse a name.

        Raises:
            NotFound: The text is not a valid plan name.
        """
        match = _PLAN_NAME.fullmatch(text)
        if match is None or int(match[2]) >= PLAN_SLOTS:
            raise NotFound("There is no plan with this name.", remedy="Plan again.")
        return cls(match[1], int(match[2]), match[3])


@dataclass(slots=True, frozen=True)
class StoredService:
    """A service's object as stored in the platform.

    Attributes:
        version: Its version, 0 if there is no object.
        value: Its value: `spec`, `write_id`, and the `earlier` write ids with their versions.
    """

    version: int
    value: dict[str, Any]

    def version_of(self, write_id: str) -> int:
        """Return the version produced by a write, 0 if the write is not known to have happened."""
        if self.value.get("write_id") == write_id:
            return self.version
        return dict(self.value.get("earlier", ())).get(write_id, 0)


class Verdict(Enum):
    """How to handle a confirmed plan."""

    WRITE = auto()
    NOTHING = auto()
    STALE = auto()


def judge(plan: Plan, stored: StoredService) -> Verdict:
    """Decide how to handle a confirmed plan that was not applied yet."""
    if plan.base_version != stored.version:
        return Verdict.STALE
    return Verdict.NOTHING if plan.action == "none" else Verdict.WRITE


def value_to_write(plan: Plan, stored: StoredService) -> dict[str, Any]:
    """Return the value to write in order to apply a plan.

    It includes the ids of earlier writes, so that an operator whose reply was lost can find their
    own write even after another operator has written a newer version.
    """
    earlier = list(stored.value.get("earlier", ()))
    if stored.version:
        earlier.append([stored.value.get("write_id", ""), stored.version])
    return {
        "spec": None if plan.spec is None else msgspec.to_builtins(plan.spec),
        "write_id": plan.id,
        "earlier": earlier[-MAX_KEPT_WRITES:],
    }


def is_open(plan: Plan, current_version: int) -> bool:
    """Return whether a stored plan can still be confirmed."""
    return plan.base_version >= current_version


def intent_service_name(intent: Intent) -> str:
    """Return the name of the service that an intent refers to.

    Raises:
        BadRequest: The intent has neither or both of `service` and `delete`, or the name of the
            service is not valid.
    """
    if (intent.service is None) == (not intent.delete):
        raise BadRequest("An intent must have exactly one of 'service' and 'delete'.")
    name = intent.service.name if intent.service else intent.delete
    if not _SERVICE_NAME.fullmatch(name):
        raise BadRequest("The service name must be 1 to 64 lower-case letters, digits or '-'.")
    return name


def make_plan(plan_id: str, intent: Intent, current: ServiceRecord | None) -> Plan:
    """Compute the changes and effects of an intent.

    Args:
        plan_id: Name of the plan.
        intent: The change that the operator requests.
        current: The service's latest record, which may be a tombstone; None if there is none.

    Raises:
        BadRequest: The intent has neither or both of `service` and `delete`, or its service is not
            valid.
    """
    name = intent_service_name(intent)
    wanted = intent.service
    if wanted is not None:
        wanted.check()
        check_policies(wanted)
    old = current.spec if current else None
    changes = _changes(old, wanted)
    return Plan(
        id=plan_id,
        service=name,
        action=_action(old, wanted, changes),
        base_version=current.version if current else 0,
        spec=wanted,
        changes=changes,
        effect=_effect(old, wanted),
        warnings=_warnings(old, wanted),
    )


def _action(
    old: ServiceSpec | None, new: ServiceSpec | None, changes: tuple[FieldChange, ...]
) -> str:
    if new is None:
        return "delete" if old else "none"
    if old is None:
        return "create"
    return "update" if changes else "none"


def _changes(old: ServiceSpec | None, new: ServiceSpec | None) -> tuple[FieldChange, ...]:
    before = msgspec.to_builtins(old) if old else {}
    after = msgspec.to_builtins(new) if new else {}
    fields = sorted(before.keys() | after.keys())
    return tuple(
        FieldChange(field, _text(before.get(field)), _text(after.get(field)))
        for field in fields
        if before.get(field) != after.get(field)
    )


def _text(value: object) -> str:
    return "" if value is None else msgspec.json.encode(value).decode()


def _effect(old: ServiceSpec | None, new: ServiceSpec | None) -> PlanEffect:
    before = {s.id: s for s in old.searchers} if old else {}
    after = {s.id: s for s in new.searchers} if new else {}
    affected = {
        shard
        for name in before.keys() | after.keys()
        if before.get(name) != after.get(name)
        for spec in (before.get(name), after.get(name))
        if spec
        for shard in spec.shards
    }
    changed_domains = set(old.evacuated if old else ()) ^ set(new.evacuated if new else ())
    affected.update(
        shard for s in after.values() if s.failure_domain in changed_domains for shard in s.shards
    )
    return PlanEffect(
        shards=tuple(sorted(affected)),
        searchers_added=tuple(sorted(after.keys() - before.keys())),
        searchers_removed=tuple(sorted(before.keys() - after.keys())),
        connections=max((connections_per_searcher(s) * 4 for s in after.values()), default=0),
        extra_load=new.hedge.budget if new else 0.0,
    )


def _evacuated_shards(spec: ServiceSpec) -> set[int]:
    """Return the shards that no searcher outside the evacuated failure domains holds."""
    served = {
        shard
        for searcher in spec.searchers
        if searcher.failure_domain not in spec.evacuated
        for shard in searcher.shards
    }
    return set(range(spec.shards)) - served


def _warnings(old: ServiceSpec | None, new: ServiceSpec | None) -> tuple[str, ...]:
    if new is None:
        return ("Searches and bookings of this service will be refused at once.",) if old else ()
    warnings = []
    replicas = dict.fromkeys(range(new.shards), 0)
    for searcher in new.searchers:
        for shard in searcher.shards:
            replicas[shard] += 1
    if min(replicas.values()) < 2:
        warnings.append("Some shards have one replica only; its loss is missing coverage.")
    unserved = _evacuated_shards(new)
    if unserved:
        warnings.append(
            f"All searchers of {len(unserved)} shards are in evacuated failure domains."
        )
    if not new.callers:
        warnings.append("No caller is listed, so nobody may use the service.")
    if old and old.shards != new.shards and old.epoch == new.epoch:
        warnings.append("The number of shards changes but 'epoch' does not.")
    if old and new.epoch < old.epoch:
        warnings.append("'epoch' goes back; searchers at the newer epoch will not be used.")
    return tuple(warnings)
