"""Plans: what an intent would change, what that touches, and whether it may be carried out."""

import re
from dataclasses import dataclass
from enum import Enum, auto
from random import Random
from typing import Any

import msgspec

from limpethollow_policy.connection.budgets import connections_per_searcher
from limpethollow_policy.version.checks import check_policies
from limpethollow_wire.exceptions import BadRequest, NotFound
from limpethollow_wire.plans import FieldChange, Intent, Plan, PlanEffect
from limpethollow_wire.services import ServiceRecord, ServiceSpec

PLAN_SLOTS = 8
KEPT_WRITES = 16

_SERVICE_NAME = re.compile(r"[a-z0-9-]{1,64}")
_PLAN_NAME = re.compile(r"([a-z0-9-]{1,64})\.([0-9]{1,2})\.([0-9a-f]{24})")
_NONCE_BITS = 96


@dataclass(slots=True, frozen=True)
class PlanName:
    """Name of a plan, which also says where it is kept: one of a service's few slots.

    Slots bound the number of plans without a list, a clock or a clean-up: a slot is free again
    once its plan's base is stale, and a plan on a stale base can't be confirmed anyway.

    Attributes:
        service: Service concerned.
        slot: Number of the slot.
        nonce: Makes the name unique; it is the write id of the confirm.
    """

    service: str
    slot: int
    nonce: str

    def __str__(self) -> str:
        return f"{self.service}.{self.slot}.{self.nonce}"

    @property
    def slot_name(self) -> str:
        """Name of the platform's object that keeps the plan."""
        return f"{self.service}.{self.slot}"

    @classmethod
    def new(cls, service: str, slot: int, rng: Random) -> "PlanName":
        """Return a name that was never used."""
        return cls(service, slot, f"{rng.getrandbits(_NONCE_BITS):024x}")

    @classmethod
    def parse(cls, text: str) -> "PlanName":
        """Read a name.

        Raises:
            NotFound: It is no plan's name.
        """
        match = _PLAN_NAME.fullmatch(text)
        if match is None or int(match[2]) >= PLAN_SLOTS:
            raise NotFound("There is no plan of this name.", remedy="Plan again.")
        return cls(match[1], int(match[2]), match[3])


@dataclass(slots=True, frozen=True)
class StoredService:
    """A service's object as the platform holds it.

    Attributes:
        version: Its version, 0 where there is none.
        value: Its value: `spec`, `write_id`, and the `earlier` write ids with their versions.
    """

    version: int
    value: dict[str, Any]

    def version_of(self, write_id: str) -> int:
        """Return the version that a write got, 0 where it is not known to have happened."""
        if self.value.get("write_id") == write_id:
            return self.version
        return dict(self.value.get("earlier", ())).get(write_id, 0)


class Verdict(Enum):
    """What to do with a plan that is confirmed."""

    WRITE = auto()
    NOTHING = auto()
    STALE = auto()


def judge(plan: Plan, stored: StoredService) -> Verdict:
    """Say what to do with a plan that was not carried out yet."""
    if plan.base_version != stored.version:
        return Verdict.STALE
    return Verdict.NOTHING if plan.action == "none" else Verdict.WRITE


def value_after(plan: Plan, stored: StoredService) -> dict[str, Any]:
    """Return the value that carrying out a plan writes.

    It names the writes before it, so that an operator whose reply was lost finds the own write
    even after somebody else wrote on top.
    """
    earlier = list(stored.value.get("earlier", ()))
    if stored.version:
        earlier.append([stored.value.get("write_id", ""), stored.version])
    return {
        "spec": None if plan.spec is None else msgspec.to_builtins(plan.spec),
        "write_id": plan.id,
        "earlier": earlier[-KEPT_WRITES:],
    }


def is_open(plan: Plan, current_version: int) -> bool:
    """Return whether a kept plan could still be confirmed."""
    return plan.base_version >= current_version


def intended_name(intent: Intent) -> str:
    """Return the name of the service that an intent speaks of.

    Raises:
        BadRequest: The intent is empty, says two things, or names no valid service.
    """
    if (intent.service is None) == (not intent.delete):
        raise BadRequest("An intent must have either 'service' or 'delete'.")
    name = intent.service.name if intent.service else intent.delete
    if not _SERVICE_NAME.fullmatch(name):
        raise BadRequest("The service's name may have lower-case letters, digits and '-' only.")
    return name


def make_plan(plan_id: str, intent: Intent, current: ServiceRecord | None) -> Plan:
    """Work out what an intent would change.

    Args:
        plan_id: Name for the plan.
        intent: What the operator wants.
        current: The service's newest record, a tombstone included.

    Raises:
        BadRequest: The intent is empty, says two things, or its service is not valid.
    """
    name = intended_name(intent)
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
    touched = {
        shard
        for name in before.keys() | after.keys()
        if before.get(name) != after.get(name)
        for spec in (before.get(name), after.get(name))
        if spec
        for shard in spec.shards
    }
    moved = set(old.evacuated if old else ()) ^ set(new.evacuated if new else ())
    touched.update(shard for s in after.values() if s.failure_domain in moved for shard in s.shards)
    return PlanEffect(
        shards=tuple(sorted(touched)),
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
    dark = _evacuated_shards(new)
    if dark:
        warnings.append(f"All searchers of {len(dark)} shards are in evacuated failure domains.")
    if not new.callers:
        warnings.append("No caller is listed, so nobody may use the service.")
    if old and old.shards != new.shards and old.epoch == new.epoch:
        warnings.append("The number of shards changes but 'epoch' does not.")
    if old and new.epoch < old.epoch:
        warnings.append("'epoch' goes back; searchers at the newer epoch will not be used.")
    return tuple(warnings)
