"""When an instance asks a peer for news that it lacks, and which peer."""

from collections.abc import Collection
from dataclasses import dataclass

from limpethollow_policy.process.revisions import Revision

# News come within milliseconds from the relay in the own failure domain, or from the store at a
# start. Only what is still missing after this long is asked for: an answer may be 100 kB long, and
# sending it unasked on each new link made up most of the bytes between failure domains when 63
# instances were restarted in turn (57 of 183 MB, and versions 73 MB).
LACKING_SECONDS = 0.1
# A peer that was asked has this long; then another one is asked.
ANSWER_SECONDS = 0.5


@dataclass(slots=True, frozen=True)
class Known:
    """How much an instance knows.

    Attributes:
        version: Number of its configuration version; -1 where it knows none.
        searchers: Number of the last revision of searchers that it knows.
        instances: The same of instances.
        evacuations: The same of evacuated failure domains.
        era: Era of these revisions; a kind that it knows in an older era only has number 0.
            Releases that don't know of eras leave it out, and count as older than any that do.
    """

    version: int = -1
    searchers: int = 0
    instances: int = 0
    evacuations: int = 0
    era: int = 0

    @classmethod
    def of(
        cls, version: int, searchers: Revision, instances: Revision, evacuations: Revision
    ) -> "Known":
        """Return what is known, given the revision of each kind."""
        era = max(searchers.era, instances.era, evacuations.era)
        numbers = (r.number if r.era == era else 0 for r in (searchers, instances, evacuations))
        return cls(version, *numbers, era)

    @property
    def can_serve(self) -> bool:
        """Return whether callers can be served by it."""
        return self.version >= 0 and self.searchers > 0

    def is_ahead_of(self, other: "Known") -> bool:
        """Return whether it holds something that is newer than all that the other knows."""
        kinds = (
            (self.searchers, other.searchers),
            (self.instances, other.instances),
            (self.evacuations, other.evacuations),
        )
        return self.version > other.version or any(
            own and Revision(self.era, own) > Revision(other.era, theirs) for own, theirs in kinds
        )

    def revision(self, number: int) -> Revision:
        """Return a revision of this era."""
        return Revision(self.era, number)


@dataclass(slots=True)
class Source:
    """A peer that could be asked.

    Attributes:
        known: What it said that it knows.
        far: Whether it runs in another failure domain.
        asked_at: When it was asked last, in monotonic seconds.
    """

    known: Known = Known()
    far: bool = False
    asked_at: float = float("-inf")


def source_for(own: Known, sources: Collection[Source], now: float) -> Source | None:
    """Return the peer to ask now; None where nobody is ahead.

    One is asked at a time: those that were not asked of late go first, and of these the near ones.
    """
    ahead = [source for source in sources if source.known.is_ahead_of(own)]
    return min(
        ahead,
        key=lambda source: (now - source.asked_at < 2 * ANSWER_SECONDS, source.far),
        default=None,
    )
