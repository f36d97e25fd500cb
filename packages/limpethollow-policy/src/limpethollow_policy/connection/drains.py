"""Whether a searcher is leaving: which evidence counts, and what is told to other instances.

The order, strongest first:

1. The service's configuration says so: the operators' intent, as long as it is in force.
2. The newest word of the searcher itself, heard here or at another instance. What another
   instance heard comes with its age, so a notice that was held up does not beat a newer reply.
3. The platform's list says that it is leaving. The list lags, but it may also be first: a reply
   from before the listing does not count against it. It gives way only where the searcher has
   visibly left and come back since, or has said for long that it stays.

Health and load endpoints are no evidence: they lag and mislead.
"""

from dataclasses import dataclass

LIST_BELIEVED_SECONDS = 30.0
PROBE_SECONDS = 1.0


@dataclass(slots=True, frozen=True)
class DrainWord:
    """A searcher's word on whether it is leaving.

    Attributes:
        draining: What it said.
        said_at: Monotonic second here at which it was said.
    """

    draining: bool
    said_at: float


class DrainEvidence:
    """Joins all evidence on one searcher.

    Args:
        configured: Whether the service's configuration says that it is leaving.
    """

    __slots__ = ("_listed_at", "_probed_at", "_was_away", "_word", "configured")

    def __init__(self, configured: bool) -> None:
        self.configured = configured
        self._word = DrainWord(False, float("-inf"))
        self._listed_at: float | None = None
        self._was_away = False
        self._probed_at = float("-inf")

    @property
    def word(self) -> DrainWord:
        """The searcher's newest word."""
        return self._word

    def is_leaving(self) -> bool:
        """Return whether no new work may go to the searcher."""
        return self.configured or self._word.draining or self._listed_at is not None

    def said(self, draining: bool, said_at: float) -> bool:
        """Take in the searcher's word, from its own reply or a notice.

        Returns:
            Whether the word is news that other instances should hear.
        """
        if said_at < self._word.said_at:
            return False
        is_news = draining != self._word.draining
        self._word = DrainWord(draining, said_at)
        if draining:
            self._was_away = True
        elif self._listed_at is not None and self._refutes_list(said_at):
            self._listed_at = None
        return is_news

    def refused(self) -> None:
        """Take in that the searcher accepts no connection: it may be restarting."""
        self._was_away = True

    def listed(self, leaving: bool, now: float) -> None:
        """Take in the platform's list."""
        if not leaving:
            self._listed_at = None
        elif self._listed_at is None:
            self._listed_at = now
            self._was_away = self._word.draining

    def wants_probe(self, now: float) -> bool:
        """Return whether traffic should ask the searcher if it is back; true once a while."""
        if self.configured or not self.is_leaving() or now < self._probed_at + PROBE_SECONDS:
            return False
        self._probed_at = now
        return True

    def _refutes_list(self, said_at: float) -> bool:
        assert self._listed_at is not None
        return self._was_away or said_at >= self._listed_at + LIST_BELIEVED_SECONDS
