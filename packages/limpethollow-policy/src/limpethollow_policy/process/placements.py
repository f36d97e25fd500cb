"""Which instances callers are told to connect to."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

# Callers are not told of more instances than this.
MOST_ENTRIES = 64
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
    ordered = sorted(chosen, key=lambda i: (i.failure_domain != caller_domain, i.name))
    return ordered[:MOST_ENTRIES]


def strong_among(instances: Collection[Instance]) -> list[Instance]:
    """Return the instances that can take their part of the common work."""
    strongest = max((instance.strength for instance in instances), default=0.0)
    return [i for i in instances if i.strength >= _LEAST_STRENGTH * strongest]
