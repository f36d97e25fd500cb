"""Plans: what an intent would change, and what that touches."""

import msgspec

from limpethollow_policy.connection.budgets import connections_per_searcher
from limpethollow_policy.version.checks import check_policies
from limpethollow_wire.exceptions import BadRequest
from limpethollow_wire.plans import FieldChange, Intent, Plan, PlanEffect
from limpethollow_wire.services import ServiceRecord, ServiceSpec


def make_plan(plan_id: str, intent: Intent, current: ServiceRecord | None) -> Plan:
    """Work out what an intent would change.

    Args:
        plan_id: Name for the plan.
        intent: What the operator wants.
        current: The service's newest record, a tombstone included.

    Raises:
        BadRequest: The intent is empty, says two things, or its service is not valid.
    """
    if (intent.service is None) == (not intent.delete):
        raise BadRequest("An intent must have either 'service' or 'delete'.")
    wanted = intent.service
    if wanted is not None:
        wanted.check()
        check_policies(wanted)
    name = wanted.name if wanted else intent.delete
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
    return PlanEffect(
        shards=tuple(sorted(touched)),
        searchers_added=tuple(sorted(after.keys() - before.keys())),
        searchers_removed=tuple(sorted(before.keys() - after.keys())),
        connections=max((connections_per_searcher(s) * 4 for s in after.values()), default=0),
        extra_load=new.hedge.budget if new else 0.0,
    )


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
    if not new.callers:
        warnings.append("No caller is listed, so nobody may use the service.")
    if old and old.shards != new.shards and old.epoch == new.epoch:
        warnings.append("The number of shards changes but 'epoch' does not.")
    if old and new.epoch < old.epoch:
        warnings.append("'epoch' goes back; searchers at the newer epoch will not be used.")
    return tuple(warnings)
