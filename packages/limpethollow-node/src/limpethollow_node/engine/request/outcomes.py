"""The outcome of a caller's request, for logs and metrics."""

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(slots=True)
class Outcome:
    """The outcome of one request.

    Attributes:
        status: Status that was sent to the caller; 0 if the caller had disconnected.
        reason: Cause of the outcome.
        parts: Number of shards included in a search reply.
        missing: For each missing shard: its service, the reason, and the searchers called.
        searchers: Searchers that a forwarded request was sent to.
        hedges: Number of hedged sends, made because the first one was late.
        lost: Searchers whose connection closed during the request, before the first reply byte.
    """

    status: int
    reason: str
    parts: int = 0
    missing: list[str] = field(default_factory=list)
    searchers: list[str] = field(default_factory=list)
    hedges: int = 0
    lost: list[str] = field(default_factory=list)


OutcomeLog = Callable[[Outcome], None]
