"""Versions of the platform's objects and lists, across its returns from older copies.

The platform counts its changes, and starts a new era when it comes back from an older copy of what
it held: it then gives out numbers again. Era and number are carried as one integer, so that any
two versions compare as they were written, also at instances of a release that knows no eras.
"""

# Enough for a thousand changes a second over thirty years, and for 8,000 eras within the integers
# that JSON readers keep exact.
_NUMBER_BITS = 40
_NUMBER_MASK = (1 << _NUMBER_BITS) - 1


def version_of(era: int, number: int) -> int:
    """Return the version for a number of an era; negative numbers, which mean none, stay as is."""
    return number if number < 0 else era << _NUMBER_BITS | number


def era_of(version: int) -> int:
    """Return the era in which a version was written, 0 for none."""
    return max(version, 0) >> _NUMBER_BITS


def number_of(version: int) -> int:
    """Return a version's number within its era, which is what the platform calls it."""
    return version if version < 0 else version & _NUMBER_MASK


def version_text(version: int) -> str:
    """Return a version as people read it."""
    era, number = era_of(version), number_of(version)
    return f"{number} of era {era}" if era else str(number)
