"""Points in the history of the platform's store."""

from typing import NamedTuple


class Revision(NamedTuple):
    """A point in the store's history; later ones compare greater.

    The store may come back from an older copy of what it held. It then begins a new era, in which
    it gives out revisions again, so a number says nothing without its era.

    Attributes:
        era: How often the store came back; 0 where its answer, or an instance, didn't say.
        number: The store's count of changes; 0 where nothing is known yet.
    """

    era: int = 0
    number: int = 0


NOTHING_KNOWN = Revision()
# Before the first answer: below the first era of any store, also of one that counts from 0.
UNKNOWN_ERA = -1
