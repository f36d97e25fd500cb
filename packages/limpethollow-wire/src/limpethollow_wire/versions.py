"""Versions of the platform's objects and lists that stay ordered when it restores a backup.

The platform numbers its changes consecutively. When it restores an older copy of its data, it
assigns numbers a second time, and therefore starts a new era. Era and number are encoded in one
integer, so that versions compare in the order in which they were written, even on instances of a
release without support for eras.
"""

# Sufficient for 1,000 changes per second over 30 years. The remaining bits allow 8,000 eras within
# the integers that JSON parsers represent exactly.
_NUMBER_BITS = 40
_NUMBER_MASK = (1 << _NUMBER_BITS) - 1
MAX_NUMBER = _NUMBER_MASK
MAX_ERA = (1 << 53 - _NUMBER_BITS) - 1


def version_of(era: int, number: int) -> int:
    """Combine era and number; negative numbers mean no version and are returned unchanged."""
    return number if number < 0 else era << _NUMBER_BITS | number


def era_of(version: int) -> int:
    """Return the era in which a version was written, 0 if there is no version."""
    return max(version, 0) >> _NUMBER_BITS


def number_of(version: int) -> int:
    """Return a version's number within its era, which is the number that the platform uses."""
    return version if version < 0 else version & _NUMBER_MASK


def format_version(version: int) -> str:
    """Return a version as human-readable text."""
    era, number = era_of(version), number_of(version)
    return f"{number} of era {era}" if era else str(number)
