"""Dispatch policies: which instance sends the calls of a group to its searchers."""

from collections.abc import Callable, Sequence

from limpethollow_policy.process.owners import owner_order
from limpethollow_wire.exceptions import BadRequest
from limpethollow_wire.instances import InstanceInfo

DispatchOrder = Callable[[str, str, Sequence[InstanceInfo]], list[str]]

_POLICIES: dict[str, DispatchOrder] = {}


def dispatch_policy(name: str) -> Callable[[DispatchOrder], DispatchOrder]:
    """Register a dispatch policy under the name that configurations use."""

    def register(policy: DispatchOrder) -> DispatchOrder:
        _POLICIES[name] = policy
        return policy

    return register


def find_dispatch_policy(name: str) -> DispatchOrder:
    """Return a registered dispatch policy.

    The policy takes the key of the group, the id of the requesting instance and the reachable
    instances, and returns the ids of the instances to ask, best first.

    Raises:
        BadRequest: No policy has this name.
    """
    if name not in _POLICIES:
        raise BadRequest(
            f"'dispatch' is '{name}'.", remedy=f"Use one of: {', '.join(sorted(_POLICIES))}."
        )
    return _POLICIES[name]


@dispatch_policy("owner")
def owner_first(key: str, own_id: str, instances: Sequence[InstanceInfo]) -> list[str]:
    """Ask the owners of the group in order, so that one queue controls the searchers' slots."""
    return [instance.id for instance in owner_order(key, instances)]


@dispatch_policy("direct")
def direct(key: str, own_id: str, instances: Sequence[InstanceInfo]) -> list[str]:
    """Call the searchers from the instance that received the request.

    This is the baseline of `docs/ADMISSION.md`, not for production: several instances use the few
    slots of a searcher without knowing of each other's calls, and the searcher sheds load.
    """
    return [own_id]
