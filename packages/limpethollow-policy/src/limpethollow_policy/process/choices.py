"""Replica choices: which of several searchers that could serve a call gets it."""

from collections.abc import Callable
from random import Random

from limpethollow_policy.connection.searchers import SearcherState
from limpethollow_wire.exceptions import BadRequest

ReplicaScore = Callable[[int, int, SearcherState, float, Random], tuple[float, ...]]

_CHOICES: dict[str, ReplicaScore] = {}


def replica_choice(name: str) -> Callable[[ReplicaScore], ReplicaScore]:
    """Register a replica choice under the name that configurations use."""

    def register(score: ReplicaScore) -> ReplicaScore:
        _CHOICES[name] = score
        return score

    return register


def find_choice(name: str) -> ReplicaScore:
    """Return a registered replica choice.

    Raises:
        BadRequest: No choice has this name.
    """
    if name not in _CHOICES:
        raise BadRequest(
            f"'replica_choice' is '{name}'.",
            remedy=f"Use one of: {', '.join(sorted(_CHOICES))}.",
        )
    return _CHOICES[name]


@replica_choice("shortest_wait")
def shortest_wait(
    fresh: int, serves: int, searcher: SearcherState, now: float, rng: Random
) -> tuple[float, ...]:
    """Prefer the searcher that serves most shards, and among equals the shortest expected wait.

    Args:
        fresh: Shards that it serves and did not fail for this search before.
        serves: Shards that it serves.
        searcher: The evidence on it.
        now: Monotonic second.
        rng: Random source.

    Returns:
        A score; the highest is chosen.
    """
    return (fresh, serves, -searcher.expected_wait(now))


@replica_choice("random")
def at_random(
    fresh: int, serves: int, searcher: SearcherState, now: float, rng: Random
) -> tuple[float, ...]:
    """Choose any searcher that serves a shard: the baseline of `docs/ADMISSION.md`."""
    return (rng.random(),)
