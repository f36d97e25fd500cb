"""When an instance requests missing updates from a peer, and from which peer."""

from collections.abc import Collection
from dataclasses import dataclass

from limpethollow_policy.process.revisions import Revision

# Updates usually arrive within milliseconds from the relay in this instance's failure domain, or
# from the store at a start. Only what is still missing after this delay is requested: an answer can
# take 100 kB, and sending it unrequested on each new link caused most of the traffic between
# failure domains in a rolling restart of 63 instances (57 of 183 MB, and 73 MB for versions).
CATCH_UP_DELAY_SECONDS = 0.1
# Time in which a peer must answer before another one is asked.
ANSWER_TIMEOUT_SECONDS = 0.5


@dataclass(slots=True, frozen=True)
class KnownState:
    """The configuration version and the revisions that an instance has.

    Attributes:
        version: Number of its configuration version; -1 if it has none.
        searchers: Number of its last revision of the searchers.
        instances: Number of its last revision of the instances.
        evacuations: Number of its last revision of the evacuated failure domains.
        era: Era of these revisions; a kind that it only has in an older era has number 0.
            Releases without support for eras omit it, and count as older than any with it.
    """

    version: int = -1
    searchers: int = 0
    instances: int = 0
    evacuations: int = 0
    era: int = 0

    @classmethod
    def of(
        cls, version: int, searchers: Revision, instances: Revision, evacuations: Revision
    ) -> "KnownState":
        """Build the object from the revision of each kind."""
        era = max(searchers.era, instances.era, evacuations.era)
        numbers = (r.number if r.era == era else 0 for r in (searchers, instances, evacuations))
        return cls(version, *numbers, era)

    @property
    def can_serve(self) -> bool:
        """Return whether it is enough to serve callers."""
        return self.version >= 0 and self.searchers > 0

    def is_ahead_of(self, other: "KnownState") -> bool:
        """Return whether the version or any revision is newer than the other's."""
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
    """A peer that can be asked for updates.

    Attributes:
        known: The version and revisions that it reported.
        far: Whether it runs in another failure domain.
        asked_at: Monotonic time of the last request to it, in seconds.
    """

    known: KnownState = KnownState()
    far: bool = False
    asked_at: float = float("-inf")


def choose_source(own: KnownState, sources: Collection[Source], now: float) -> Source | None:
    """Return the peer to ask now; None if no peer is ahead.

    One peer is asked at a time: peers not asked recently come first, and among these the ones in
    this instance's failure domain.
    """
    ahead = [source for source in sources if source.known.is_ahead_of(own)]
    return min(
        ahead,
        key=lambda source: (now - source.asked_at < 2 * ANSWER_TIMEOUT_SECONDS, source.far),
        default=None,
    )
