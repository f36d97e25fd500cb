"""Selects the instances that callers connect to."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace

# Maximum number of instances that are listed to a caller.
MAX_CALLER_INSTANCES = 64
# If there are many instances, only the strongest serve callers, but at least this many. With 65,
# each would get one search in 2.5 s, too few to learn which searchers are slow, and less than one
# of the 54 connections that a searcher accepts.
_MIN_LEADING = 16
_LEADING_SHARE = 0.25
# An instance with less than this share of the strongest one's strength is listed to callers, and
# asked to work for other instances, only if no stronger one is left.
_MIN_STRENGTH_SHARE = 0.4


@dataclass(slots=True, frozen=True)
class Instance:
    """An instance as known to the others.

    Attributes:
        name: Its name, which stays the same across restarts.
        address: Address for callers.
        peer_address: Address for other instances.
        failure_domain: The failure domain in which it runs.
        strength: Processor cores that it may use; less if its network is the bottleneck.
        incarnation: Start of its process; a different value means that it has restarted.
    """

    name: str
    address: str
    peer_address: str
    failure_domain: str
    strength: float = 1.0
    incarnation: int = 0

    def differs_only_in_incarnation(self, other: "Instance") -> bool:
        """Return whether the other differs from this one in its incarnation at most."""
        return replace(other, incarnation=self.incarnation) == self


def instances_for_caller(
    live: Collection[Instance],
    caller_domain: str,
    searchers: Mapping[str, int],
    usual: Collection[Instance] = (),
) -> list[Instance]:
    """Return the instances that a caller should use.

    Instances in failure domains with searchers are preferred, because their calls stay inside the
    failure domain. The caller's own failure domain matters less, because callers are equally far
    from all of them.

    Args:
        live: Instances that are ready and not leaving.
        caller_domain: The caller's failure domain.
        searchers: Number of usable searchers by failure domain.
        usual: All expected instances; if fewer than half of those that would be chosen are live,
            instances in the other failure domains are included.
    """
    strong = strongest_instances(live)
    near = [instance for instance in strong if searchers.get(instance.failure_domain)]
    wanted = [i for i in strongest_instances(usual) if searchers.get(i.failure_domain)]
    chosen = near if near and 2 * len(near) >= len(wanted) else strong
    leading = leading_instances(chosen)
    return sorted(leading, key=lambda i: (i.failure_domain != caller_domain, i.name))[
        :MAX_CALLER_INSTANCES
    ]


def leading_instances(instances: Collection[Instance]) -> list[Instance]:
    """Return the instances that serve callers and make calls for other instances.

    If there are many, these are the strongest of each failure domain, equally many in each.
    """
    strong = strongest_instances(instances)
    if len(strong) <= _MIN_LEADING:
        return strong
    domains = by_domain(sorted(strong, key=lambda i: (-i.strength, i.name)))
    wanted = max(_MIN_LEADING, int(_LEADING_SHARE * len(strong)))
    each = -(-wanted // len(domains))
    return [instance for members in domains.values() for instance in members[:each]]


def strongest_instances(instances: Collection[Instance]) -> list[Instance]:
    """Return the instances that are strong enough for a share of the common work."""
    strongest = max((instance.strength for instance in instances), default=0.0)
    return [i for i in instances if i.strength >= _MIN_STRENGTH_SHARE * strongest]


def by_domain(instances: Iterable[Instance]) -> dict[str, list[Instance]]:
    """Group instances by failure domain, in the given order."""
    found: dict[str, list[Instance]] = {}
    for instance in instances:
        found.setdefault(instance.failure_domain, []).append(instance)
    return found
