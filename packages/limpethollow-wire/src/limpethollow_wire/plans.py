"""Messages between operators and instances: intents, plans and confirmations."""

from typing import Literal

import msgspec

from limpethollow_wire.services import ServiceSpec


class Intent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The change that an operator requests: a service's configuration or its deletion."""

    service: ServiceSpec | None = None
    delete: str = ""


class FieldChange(msgspec.Struct, frozen=True):
    """A field that a plan changes, with its old and new value as text."""

    field: str
    old: str
    new: str


class PlanEffect(msgspec.Struct, frozen=True):
    """The effect of a plan.

    Attributes:
        shards: Shards whose replicas change.
        searchers_added: Searchers that start to receive traffic.
        searchers_removed: Searchers that no longer receive traffic.
        connections: Connections per searcher that all instances together may open.
        extra_load: Maximum share of calls that may be hedged.
    """

    shards: tuple[int, ...]
    searchers_added: tuple[str, ...]
    searchers_removed: tuple[str, ...]
    connections: int
    extra_load: float


class Plan(msgspec.Struct, frozen=True):
    """The proposed change for an intent; nothing changes until it is confirmed.

    Attributes:
        id: Id of the plan.
        service: Name of the affected service.
        action: What a confirmation does.
        base_version: Version on which the plan is based, 0 if there was none.
        spec: The new configuration, None for a deletion.
        changes: The fields that change.
        effect: The shards, searchers and load affected.
        warnings: Risks that the operator should consider.
    """

    id: str
    service: str
    action: Literal["create", "update", "delete", "none"]
    base_version: int
    spec: ServiceSpec | None
    changes: tuple[FieldChange, ...] = ()
    effect: PlanEffect | None = None
    warnings: tuple[str, ...] = ()


class ConfirmRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Requests that a plan be applied.

    Attributes:
        wait: Seconds to wait until the new version is active on all instances.
    """

    wait: float = 7.0


class Confirmation(msgspec.Struct, frozen=True):
    """The result of confirming a plan.

    Attributes:
        plan: Id of the plan.
        service: Name of the affected service.
        version: Version now in the platform's store.
        in_force: Instances on which this or a newer version is active.
        lacking: Live instances that have not reported this yet.
        superseded: Whether a newer version has been confirmed since.
    """

    plan: str
    service: str
    version: int
    in_force: tuple[str, ...]
    lacking: tuple[str, ...]
    superseded: bool = False
