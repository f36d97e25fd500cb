"""Messages between operators and instances."""

from typing import Literal

import msgspec

from limpethollow_wire.services import ServiceSpec


class Intent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What an operator wants: a service as given, or its deletion."""

    service: ServiceSpec | None = None
    delete: str = ""


class FieldChange(msgspec.Struct, frozen=True):
    """One field that a plan would change, old and new value as text."""

    field: str
    old: str
    new: str


class PlanEffect(msgspec.Struct, frozen=True):
    """What a plan would touch.

    Attributes:
        shards: Shards whose replicas change.
        searchers_added: Searchers that would get traffic.
        searchers_removed: Searchers that would get none any more.
        connections: Connections per searcher that the system may open, all instances together.
        extra_load: Hedged calls allowed as a share of calls.
    """

    shards: tuple[int, ...]
    searchers_added: tuple[str, ...]
    searchers_removed: tuple[str, ...]
    connections: int
    extra_load: float


class Plan(msgspec.Struct, frozen=True):
    """The system's answer to an intent; nothing changes until it is confirmed.

    Attributes:
        id: Name of the plan.
        service: Service concerned.
        action: What confirming would do.
        base_version: Version the plan was made against, 0 where there was none.
        spec: The wanted configuration, None for a deletion.
        changes: Field by field difference.
        effect: What it touches.
        warnings: What the operator should think about.
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
    """Asks to carry out a plan.

    Attributes:
        wait: Seconds to wait for the version to be in force everywhere.
    """

    wait: float = 7.0


class Confirmation(msgspec.Struct, frozen=True):
    """What a confirm did.

    Attributes:
        plan: Name of the plan.
        service: Service concerned.
        version: Version now in the platform's store.
        in_force: Instances that have it, or a newer version, in force.
        lacking: Live instances that have not said so yet.
        superseded: Whether somebody confirmed a newer version since.
    """

    plan: str
    service: str
    version: int
    in_force: tuple[str, ...]
    lacking: tuple[str, ...]
    superseded: bool = False
