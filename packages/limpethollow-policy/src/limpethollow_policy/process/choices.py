"""Replica choices: which of several searchers that could serve a call gets it."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from limpethollow_wire.exceptions import BadRequest


@dataclass(slots=True, frozen=True)
class Candidate:
    """A searcher with a free slot that could serve a call.

    Attributes:
        fresh: Shards that it serves and did not fail for this search before.
        serves: Shards that it serves.
        wait: Seconds that one more call to it is expected to take.
        straggles: Whether another searcher that serves some of the shards, busy or not, is expected
            to be done far sooner.
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

    It returns a candidate's score, the highest of which is chosen, or None where it is better to
    wait for another searcher.
    """

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
def shortest_wait(candidate: Candidate, rng: Random) -> tuple[float, ...] | None:
    """Prefer few calls, and among equals the shortest expected wait.

    A searcher that failed this search for all its shards comes last, and a straggler before it. A
    straggler's free slot is left free while a faster replica's may be waited for: taking it would
    only make the call due for a hedge.
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
    """Choose any searcher that serves a shard: the baseline of `docs/ADMISSION.md`."""
    return (rng.random(),)
