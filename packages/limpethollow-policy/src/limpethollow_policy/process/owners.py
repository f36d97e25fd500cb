"""Selects the owners of a group by rendezvous hashing, spread over failure domains."""

from collections.abc import Iterable
from hashlib import blake2b

from limpethollow_wire.instances import InstanceInfo

_SILENT_SECONDS = 1.0


def owner_order(key: str, instances: Iterable[InstanceInfo]) -> list[InstanceInfo]:
    """Order instances by rendezvous weight for a key.

    The best instance of each failure domain comes first, then the second of each, and so on, so
    that the next owner stays reachable when one domain is lost. Instances with different lists may
    disagree; ownership is only a routing hint and not an exclusive right, so disagreement costs
    nothing but shed calls.

    Args:
        key: Name of the group.
        instances: The instances to choose from.

    Returns:
        The instances, best first.
    """
    ranked = sorted(instances, key=lambda instance: _weight(key, instance.id), reverse=True)
    domain_counts: dict[str, int] = {}
    placed: list[tuple[int, int, InstanceInfo]] = []
    for rank, instance in enumerate(ranked):
        position = domain_counts.get(instance.failure_domain, 0)
        domain_counts[instance.failure_domain] = position + 1
        placed.append((position, rank, instance))
    placed.sort(key=lambda item: item[:2])
    return [instance for _, _, instance in placed]


def spread_over_owners(order: list[str], owners: int, own_id: str) -> list[str]:
    """Move the active owner that the requesting instance uses to the front.

    The first `owners` instances of the order are active, each with a share of every searcher's
    slots. An active owner uses itself; the other instances are distributed over the active owners
    by their ids, so that each share gets its part of the load. The remaining instances are
    fallbacks.

    Args:
        order: Ids of the instances, best first.
        owners: Number of active owners.
        own_id: Id of the requesting instance.
    """
    active, fallbacks = order[:owners], order[owners:]
    if own_id in active:
        first = own_id
    else:
        first = max(active, key=lambda owner: _weight(own_id, owner), default=own_id)
    others = [owner for owner in active if owner != first]
    return [first, *others, *fallbacks]


class SilentOwners:
    """Owners that recently did not answer a request that another one answered; they come last.

    Without this, each request to a frozen owner would wait for its hedge delay until the link to
    the owner is closed, which takes seconds.
    """

    __slots__ = ("_until",)

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def mark_silent(self, owner: str, now: float) -> None:
        """Record that an owner gave no answer while another did."""
        self._until[owner] = now + _SILENT_SECONDS

    def answered(self, owner: str) -> None:
        """Record that an owner answered."""
        self._until.pop(owner, None)

    def last(self, order: list[str], now: float) -> list[str]:
        """Return the order with the silent owners moved to its end."""
        silent = {owner for owner, until in self._until.items() if now < until}
        responsive = [owner for owner in order if owner not in silent]
        return [*responsive, *(owner for owner in order if owner in silent)]


def group_key(service: str, group: int) -> str:
    """Return the key by which the owners of a group are chosen."""
    return f"{service}/{group}"


def _weight(key: str, instance_id: str) -> int:
    digest = blake2b(f"{key}\0{instance_id}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
