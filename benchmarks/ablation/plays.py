"""Plays days of a deployment with the users' player and reads what they were worth."""

import json
import subprocess
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from statistics import fmean


@dataclass(slots=True, frozen=True)
class Day:
    """One day to play.

    Attributes:
        site: The deployment's file.
        name: The day's name there.
        seed: Other luck than the file's; None for the file's own.
    """

    site: Path
    name: str
    seed: int | None


@dataclass(slots=True, frozen=True)
class Result:
    """What a day was worth.

    Attributes:
        worth: Worth after prices, 1 at best.
        broken: Names of the rules that were broken.
    """

    worth: float
    broken: tuple[str, ...]


class PlayError(RuntimeError):
    """A day gave no report."""


class Player:
    """Runs the users' player.

    Args:
        program: Path of the player.
        jobs: Days at once.
        options: Further options of each play, such as one that charges no processor time.
    """

    def __init__(self, program: Path, jobs: int, options: tuple[str, ...] = ()) -> None:
        self._program = program
        self._jobs = jobs
        self._options = options

    def play(self, copy: Path, days: list[Day], why: str) -> list[Result]:
        """Play days with the sources of a copy; the player's journal stays in the copy.

        Raises:
            PlayError: A day gave no report; its output is in the message.
        """
        subprocess.run([self._program, "build"], cwd=copy, capture_output=True, check=True)
        with ThreadPoolExecutor(self._jobs) as threads:
            return list(threads.map(lambda day: self._play(copy, day, why), days))

    def _play(self, copy: Path, day: Day, why: str) -> Result:
        report = copy / "target" / f"{day.site.stem}-{day.name}-{day.seed}.json"
        command = [self._program, "run", day.site, day.name, "--jobs", "1", "--why", why]
        command += ["--report", report, *self._options]
        if day.seed is not None:
            command += ["--seed", str(day.seed)]
        ended = subprocess.run(command, cwd=copy, capture_output=True, text=True, check=False)
        if not report.exists():
            raise PlayError(f"{day.name} of {day.site.name} gave no report:\n{ended.stdout}")
        found = json.loads(report.read_text())
        return Result(found["G"], tuple(str(rule) for rule in found["short"]))


def mean_by_site(days: list[Day], results: list[Result]) -> dict[str, float]:
    """Return the mean worth of each site's days."""
    sites = dict.fromkeys(day.site.stem for day in days)
    return {
        site: fmean(r.worth for day, r in zip(days, results, strict=True) if day.site.stem == site)
        for site in sites
    }
