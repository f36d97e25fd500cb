"""Memory and descriptors that this process uses."""

import contextlib
import os
import resource
from pathlib import Path

_STATM = Path("/proc/self/statm")
_DESCRIPTORS = Path("/proc/self/fd")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int:
    """Return the resident memory in bytes; 0 where the system doesn't tell it."""
    try:
        return int(_STATM.read_text().split()[1]) * _PAGE_BYTES
    except (OSError, IndexError, ValueError):
        return 0


def open_descriptors() -> int:
    """Return the number of open file descriptors; 0 where the system doesn't tell it."""
    try:
        return len(os.listdir(_DESCRIPTORS))
    except OSError:
        return 0


def raise_descriptor_limit(wanted: int) -> None:
    """Raise the soft limit on open descriptors up to the wanted number or the hard limit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    allowed = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    if soft != resource.RLIM_INFINITY and soft < allowed:
        with contextlib.suppress(OSError, ValueError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (allowed, hard))
