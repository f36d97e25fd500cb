"""Frame of a case: its record, its verdict and its exit status."""

import os
import signal
import sys
import tempfile
import time
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any

from review.support.machines import ROOT, CannotRun

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    """Notes what was sent, answered and run, with seconds since the start.

    Args:
        path: The file that it is written to.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._begun = time.monotonic()
        self._lines: list[tuple[float, str]] = []

    def note(self, line: str, at: float | None = None) -> None:
        """Note a line at a monotonic second, now where none is given."""
        at = time.monotonic() if at is None else at
        self._lines.append((at - self._begun, line))

    def seconds(self, at: float) -> float:
        """Return a monotonic second as the record shows it."""
        return at - self._begun

    def write(self) -> None:
        """Write all lines, in the order of their times."""
        lines = sorted(self._lines, key=lambda line: line[0])
        self._path.write_text("".join(f"{at:8.3f}  {line}\n" for at, line in lines))


def has_trouble() -> bool:
    """Return whether the case is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(folder: Path, case: Callable[[Record, Path], bool]) -> int:
    """Play a case and return the script's exit status.

    Args:
        folder: The case's folder.
        case: Plays it, given the record and a temporary folder; returns whether the rule held.
    """
    # Whoever stops the script also wants its processes to end, which leaving the case does.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    record = Record(folder / "record.txt")
    record.note(f"disruption: {'yes' if has_trouble() else 'no'}")
    try:
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("There is no build: run `sh deploy/build.sh` first.")
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            held = case(record, Path(temporary))
        record.note("the rule held" if held else "the rule was broken")
    except (CannotRun, OSError) as error:
        record.note(f"could not run: {error}")
        print(f"could not run: {error}", file=sys.stderr)
        return COULD_NOT_RUN
    except Exception:
        record.note(f"could not run: {traceback.format_exc()}")
        traceback.print_exc()
        return COULD_NOT_RUN
    finally:
        record.write()
    print("the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN


def route(name: str, prefix: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the configuration that one searcher answers."""
    return {
        "name": name,
        "host": "host.example",
        "pathPrefix": prefix,
        "type": "safe",
        "timeoutMs": 4000,
        "sloMs": 600,
        "priority": 2,
        "service": service,
        "attempts": 2,
        **fields,
    }


def configuration(
    version: int, routes: list[dict[str, Any]], connections: dict[str, int]
) -> dict[str, Any]:
    """Return a configuration.

    Args:
        version: Its number.
        routes: Its routes.
        connections: For each service, how many connections a searcher takes.
    """
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/health", "maxConns": count, "protocol": "h1"}
            for name, count in connections.items()
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }
