"""Revisions of the platform's store."""

from typing import NamedTuple


class Revision(NamedTuple):
    """A revision of the store; later revisions compare greater.

    The store may be restored from an older copy of its data. It then begins a new era and assigns
    the same revision numbers again, so a number is meaningless without its era.

    Attributes:
        era: How often the store was restored from an older copy; 0 if not stated.
        number: The store's count of changes; 0 if nothing is known yet.
    """

    era: int = 0
    number: int = 0


NOTHING_KNOWN = Revision()
# The era before the first answer: lower than the first era of any store, even if that is 0.
UNKNOWN_ERA = -1
