"""How a caller's request ended, as logs and metrics tell it."""

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(slots=True)
class Outcome:
    """The end of one request.

    Attributes:
        status: Status that the caller got; 0 where it was gone.
        reason: Why the request ended as it did.
        parts: Shards in a search's answer.
        missing: For each shard left out: its service, why, and the searchers that were asked.
        searchers: Searchers that a forwarded request was sent to.
        hedges: Second sends made because the first was late.
        lost: Searchers whose connection ended under the request, before any byte of a reply.
    """

    status: int
    reason: str
    parts: int = 0
    missing: list[str] = field(default_factory=list)
    searchers: list[str] = field(default_factory=list)
    hedges: int = 0
    lost: list[str] = field(default_factory=list)


OutcomeLog = Callable[[Outcome], None]
