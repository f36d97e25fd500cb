"""Which instances callers are told to connect to."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace

# Callers are not told of more instances than this.
MOST_ENTRIES = 64
# Of many instances the strongest take the callers, this many at least. Each of 65 would get one
# search in 2.5 s, too few to learn which searchers are slow, and under one of the 54 connections
# that a searcher takes.
_LEAST_LEADING = 16
_LEADING_SHARE = 0.25
# An instance with less than this share of the strongest one's strength is named to callers, and
# asked to work for others, only where no stronger one is left.
_LEAST_STRENGTH = 0.4


@dataclass(slots=True, frozen=True)
class Instance:
    """An instance as the others know it.

    Attributes:
        name: Its name, kept across restarts.
        address: Where callers connect.
        peer_address: Where other instances connect.
        failure_domain: Where it runs.
        strength: Processor that it may use, in cores; less where its network is the narrower.
        incarnation: Start of its process; another value means that it has started anew.
    """

    name: str
    address: str
    peer_address: str
    failure_domain: str
    strength: float = 1.0
    incarnation: int = 0

    def is_same_place(self, other: "Instance") -> bool:
        """Return whether another start is of this instance, at the same addresses and strength."""
        return replace(other, incarnation=self.incarnation) == self


def entries_for(
    live: Collection[Instance],
    caller_domain: str,
    searchers: Mapping[str, int],
    usual: Collection[Instance] = (),
) -> list[Instance]:
    """Return the instances that a caller shall use.

    Instances in failure domains that hold searchers come first: their calls stay inside the failure
    domain. A caller's own failure domain matters less, since callers are as far from all of them.

    Args:
        live: Instances that are ready and not leaving.
        caller_domain: The caller's failure domain.
        searchers: Usable searchers by failure domain.
        usual: All instances that are expected; where under half of those that would be chosen
            are live, the choice widens to the other failure domains.
    """
    strong = strong_among(live)
    near = [instance for instance in strong if searchers.get(instance.failure_domain)]
    wanted = [i for i in strong_among(usual) if searchers.get(i.failure_domain)]
    chosen = near if near and 2 * len(near) >= len(wanted) else strong
    leading = leading_among(chosen)
    return sorted(leading, key=lambda i: (i.failure_domain != caller_domain, i.name))[:MOST_ENTRIES]


def leading_among(instances: Collection[Instance]) -> list[Instance]:
    """Return the instances that take callers and make calls for others.

    Where there are many, these are the strongest of each failure domain, as many in each.
    """
    strong = strong_among(instances)
    if len(strong) <= _LEAST_LEADING:
        return strong
    domains = by_domain(sorted(strong, key=lambda i: (-i.strength, i.name)))
    wanted = max(_LEAST_LEADING, int(_LEADING_SHARE * len(strong)))
    each = -(-wanted // len(domains))
    return [instance for members in domains.values() for instance in members[:each]]


def strong_among(instances: Collection[Instance]) -> list[Instance]:
    """Return the instances that can take their part of the common work."""
    strongest = max((instance.strength for instance in instances), default=0.0)
    return [i for i in instances if i.strength >= _LEAST_STRENGTH * strongest]


def by_domain(instances: Iterable[Instance]) -> dict[str, list[Instance]]:
    """Return instances by failure domain, in the order given."""
    found: dict[str, list[Instance]] = {}
    for instance in instances:
        found.setdefault(instance.failure_domain, []).append(instance)
    return found
