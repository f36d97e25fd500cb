"""Which instances own a group: rendezvous hashing, spread over failure domains."""

from collections.abc import Iterable
from hashlib import blake2b

from limpethollow_wire.instances import InstanceInfo


def owner_order(key: str, instances: Iterable[InstanceInfo]) -> list[InstanceInfo]:
    """Order instances by rendezvous weight for a key.

    The best instance of each failure domain comes first, then the second of each, and so on, so
    that the loss of one domain leaves the next owner reachable. Instances that see different lists
    may disagree; an owner is a routing hint and never a right, so that costs shed calls only.

    Args:
        key: Name of the group.
        instances: The instances to choose from.

    Returns:
        The instances, best first.
    """
    ranked = sorted(instances, key=lambda instance: _weight(key, instance.id), reverse=True)
    rounds: dict[str, int] = {}
    placed: list[tuple[int, int, InstanceInfo]] = []
    for rank, instance in enumerate(ranked):
        turn = rounds.get(instance.failure_domain, 0)
        rounds[instance.failure_domain] = turn + 1
        placed.append((turn, rank, instance))
    placed.sort(key=lambda item: item[:2])
    return [instance for _, _, instance in placed]


def group_key(service: str, group: int) -> str:
    """Return the key that a group's owners are chosen by."""
    return f"{service}/{group}"


def _weight(key: str, instance_id: str) -> int:
    digest = blake2b(f"{key}\0{instance_id}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
