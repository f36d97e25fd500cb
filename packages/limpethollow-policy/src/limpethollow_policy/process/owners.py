"""Which instances own a group: rendezvous hashing, spread over failure domains."""

from collections.abc import Iterable
from hashlib import blake2b

from limpethollow_wire.instances import InstanceInfo

_SILENT_SECONDS = 1.0


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


def spread_over_owners(order: list[str], owners: int, own_id: str) -> list[str]:
    """Put the active owner that an asking instance uses first.

    The first `owners` of the order are active, each with its share of every searcher's slots. An
    instance that is one of them uses itself; the others are spread over them by their ids, so that
    each share gets its part of the load. Instances further down are fallbacks.

    Args:
        order: Ids of the instances, best first.
        owners: Number of active owners.
        own_id: The asking instance.
    """
    active, fallbacks = order[:owners], order[owners:]
    if own_id in active:
        first = own_id
    else:
        first = max(active, key=lambda owner: _weight(own_id, owner), default=own_id)
    others = [owner for owner in active if owner != first]
    return [first, *others, *fallbacks]


class SilentOwners:
    """Owners that let a request wait while another answered it; they are asked last for a while.

    Without it, each request to a frozen owner would lose its patience anew until the link to it is
    given up, which takes seconds.
    """

    __slots__ = ("_until",)

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def was_silent(self, owner: str, now: float) -> None:
        """Note that an owner gave no answer while another did."""
        self._until[owner] = now + _SILENT_SECONDS

    def answered(self, owner: str) -> None:
        """Note that an owner answered."""
        self._until.pop(owner, None)

    def last(self, order: list[str], now: float) -> list[str]:
        """Return the order with the silent ones moved to its end."""
        silent = {owner for owner, until in self._until.items() if now < until}
        talking = [owner for owner in order if owner not in silent]
        return [*talking, *(owner for owner in order if owner in silent)]


def group_key(service: str, group: int) -> str:
    """Return the key that a group's owners are chosen by."""
    return f"{service}/{group}"


def _weight(key: str, instance_id: str) -> int:
    digest = blake2b(f"{key}\0{instance_id}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
