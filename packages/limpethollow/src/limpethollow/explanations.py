"""Tells the story of one request from the logs of the processes that it touched."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec

from limpethollow.exceptions import NotFound, SettingsError

# Changes of what a process believed this long before the request's end belong to its story.
_BEFORE_SECONDS = 5.0
_REQUEST_ENDED = 520
_SEARCHERS_LISTED = 406
# Fields of every line that are told apart from its facts.
_COMMON = frozenset({"asctime", "levelname", "name", "message", "instance", "event", "request"})

# What an engineer can do about what a line tells; docs/EVENTS.md has all events.
_REMEDIES = {
    113: "Lines are missing here; look at the counters as well.",
    201: "Look at the platform's store; see docs/operators/platform-outage.md.",
    212: "Look at the platform's store; see docs/operators/platform-outage.md.",
    301: "Look at the peer named and at the network to it.",
    305: "Look at the network of this instance's machine.",
    401: "Look at the searcher named and at the network to it.",
    402: "Look at the searcher named; 'verdict' says whether it may have run the request.",
    410: "Other lines with this fingerprint: see docs/operators/crashing-requests.md.",
    522: "Mend the searchers, then release it: see docs/operators/crashing-requests.md.",
}
_REASONS = {
    "whole": "All shards answered.",
    "answered": "The searcher's answer was passed on.",
    "objective": "At the objective some shards had not answered; the answer went out without them.",
    "little_time": "The caller's time ended before the objective; what had come was answered.",
    "late": "Too few shards for the floor had answered at the objective; the answer waited.",
    "floor_out_of_reach": "Too many shards failed for the floor to be reached; see their lines.",
    "too_few_shards": "Too few shards had a searcher that could take a call; nothing was sent.",
    "deadline": "The time that the caller or the route allows was over.",
    "searcher_failed": "The searcher itself answered with a failure; it was passed on.",
    "no_searcher": "No usable searcher of the service was known here.",
    "quarantined": "Searchers had ended under earlier tries of this request; it was not run.",
    "no_route": "The version in force has no route for the host and path.",
    "caller_gone": "The caller closed its connection before the answer.",
    "isolated": "The instance reached neither peers nor searchers.",
    "unavailable": "No version was known yet, or the instance was cut off.",
}


class StoryLine(msgspec.Struct, frozen=True):
    """One line of a story.

    Attributes:
        at: When it was written, by the clock of its process.
        instance: Who wrote it.
        event: Number of the event.
        text: What happened.
        facts: What decided it.
        remedy: What can be done about it; empty where nothing need be.
    """

    at: str
    instance: str
    event: int
    text: str
    facts: dict[str, Any]
    remedy: str = ""


class Story(msgspec.Struct, frozen=True):
    """What the logs tell of one request.

    Attributes:
        request: Id of the request.
        outcome: Why it ended as it did.
        lines: What happened, in order of time.
    """

    request: str
    outcome: str
    lines: tuple[StoryLine, ...]


def explain(request: str, files: Iterable[Path]) -> Story:
    """Join the lines of several logs into the story of one request.

    Args:
        request: Id of the request.
        files: Logs of the processes that it may have touched.

    Raises:
        NotFound: No line names the request.
        SettingsError: A file can't be read.
    """
    lines = [line for path in files for line in _read(path)]
    own = [line for line in lines if line.get("request") == request]
    if not own:
        raise NotFound(
            f"No line names the request {request!r}.",
            remedy="Give the logs of all instances of that time; look for event 113, lost lines.",
        )
    chosen = own + [line for line in lines if _belongs(line, own)]
    chosen.sort(key=lambda line: str(line.get("asctime", "")))
    return Story(request, _outcome(own), tuple(_story_line(line) for line in chosen))


def _read(path: Path) -> Iterator[dict[str, Any]]:
    try:
        text = path.read_text(errors="replace")
    except OSError as error:
        raise SettingsError(f"{path}: can't be read ({error}).") from None
    for line in text.splitlines():
        start = line.find("{")
        if start < 0:
            continue
        try:
            found = json.loads(line[start:])
        except ValueError:
            # A collector may cut long lines, and a process that is killed its last one.
            continue
        if isinstance(found, dict) and "event" in found:
            yield found


def _belongs(line: dict[str, Any], own: list[dict[str, Any]]) -> bool:
    """Return whether a line tells of a belief that the request met."""
    if line.get("request") is not None or not 100 <= line["event"] < 410:
        return False
    end = own[-1]
    if line.get("instance") != end.get("instance") or not _just_before(line, end):
        return False
    if line["event"] == _SEARCHERS_LISTED:
        return not _ids_in(line.get("searchers") or ()).isdisjoint(_searchers(own))
    if line["event"] // 100 == 4:
        return line.get("searcher") in _searchers(own)
    return True


def _just_before(line: dict[str, Any], end: dict[str, Any]) -> bool:
    at, until = _seconds(line), _seconds(end)
    return at is not None and until is not None and until - _BEFORE_SECONDS <= at <= until


def _seconds(line: dict[str, Any]) -> float | None:
    """Return the second of its day at which a line was written."""
    _, _, clock = str(line.get("asctime", "")).partition(" ")
    try:
        hours, minutes, seconds = clock.replace(",", ".").split(":")
        return int(hours) * 3600 + int(minutes) * 60 + float(seconds)
    except ValueError:
        return None


def _searchers(own: list[dict[str, Any]]) -> set[str]:
    found: set[str] = set()
    for line in own:
        if line.get("searcher"):
            found.add(line["searcher"])
        found.update(_ids_in(line.get("searchers") or ()))
        for missing in line.get("missing") or ():
            found.update(str(missing).rpartition(":")[2].split("+"))
    return found


def _ids_in(searchers: list[str] | dict[str, list[str]]) -> set[str]:
    """Return the ids of a line's searchers, which some events group by shard or by state."""
    if isinstance(searchers, dict):
        return {name for names in searchers.values() for name in names}
    return set(searchers)


def _outcome(own: list[dict[str, Any]]) -> str:
    ends = [line for line in own if line["event"] == _REQUEST_ENDED]
    if not ends:
        return "No line tells its end: its instance was killed, or the request still runs."
    end = ends[-1]
    reason = str(end.get("reason"))
    meaning = _REASONS.get(reason, f"{reason}: see the lines of its sends.")
    return f"Status {end.get('status')} after {end.get('ms')} ms. {meaning}"


def _story_line(line: dict[str, Any]) -> StoryLine:
    facts = {key: value for key, value in line.items() if key not in _COMMON}
    return StoryLine(
        str(line.get("asctime", "")),
        str(line.get("instance", "")),
        int(line["event"]),
        str(line.get("message", "")),
        facts,
        _REMEDIES.get(int(line["event"]), ""),
    )
