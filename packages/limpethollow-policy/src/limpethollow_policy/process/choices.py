"""Replica selection: which of several suitable searchers gets a call."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from limpethollow_wire.exceptions import BadRequest


@dataclass(slots=True, frozen=True)
class Candidate:
    """A searcher with a free slot that can serve a call.

    Attributes:
        fresh: Number of its shards for which it has not failed this search before.
        serves: Number of the requested shards that it serves.
        wait: Expected duration of one more call to it, in seconds.
        straggles: Whether another searcher of some of the shards, busy or not, is expected to
            finish far sooner.
        may_wait: Whether the call may wait for a slot of another searcher.
    """

    fresh: int
    serves: int
    wait: float
    straggles: bool = False
    may_wait: bool = False


ReplicaScore = Callable[[Candidate, Random], tuple[float, ...] | None]

_CHOICES: dict[str, ReplicaScore] = {}


def replica_choice(name: str) -> Callable[[ReplicaScore], ReplicaScore]:
    """Register a replica choice under the name that configurations use.

    The function returns the score of a candidate, of which the highest wins, or None if it is
    better to wait for another searcher.
    """

    def register(score: ReplicaScore) -> ReplicaScore:
        _CHOICES[name] = score
        return score

    return register


def find_replica_choice(name: str) -> ReplicaScore:
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
def shortest_wait(candidate: Candidate, rng: Random) -> tuple[float, ...] | None:
    """Prefer the candidates that need the fewest calls, then the shortest expected wait.

    A searcher that failed this search for all its shards ranks last, and a straggler just before
    it. A straggler's free slot is not used while the call may wait for a faster replica, because
    the call would only have to be hedged.
    """
    if candidate.straggles and candidate.may_wait:
        return None
    return (
        candidate.fresh > 0,
        not candidate.straggles,
        candidate.fresh,
        candidate.serves,
        -candidate.wait,
        rng.random(),
    )


@replica_choice("random")
def at_random(candidate: Candidate, rng: Random) -> tuple[float, ...]:
    """Choose a random candidate: the baseline of `docs/ADMISSION.md`."""
    return (rng.random(),)
