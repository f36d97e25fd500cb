"""Starts one process; the deploy file runs it with `python3 -S`."""

import _signal
import posix

# SIGHUP asks for a reload of the settings, but ends a process that doesn't handle it yet. `_signal`
# is built in; `signal` and the site packages would take several times as long to load as the
# interpreter itself.
_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

# A closed standard descriptor would become that of a socket, into which logs would be written.
for _descriptor in range(3):
    try:
        posix.fstat(_descriptor)
    except OSError:
        posix.open("/dev/null", posix.O_RDWR)

import os  # noqa: E402
import sys  # noqa: E402

# Resolved once: the link may point to a newer build later.
sys.path[0] = os.path.realpath(os.path.join(os.path.dirname(__file__), "..", "target", "deps"))

from limpethollow_node.platform.main import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
