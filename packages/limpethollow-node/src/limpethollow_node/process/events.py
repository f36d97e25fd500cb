"""Numbered log events; docs/EVENTS.md is their catalogue."""

import logging
from dataclasses import dataclass
from typing import Any

_CATALOGUE: dict[int, "Event"] = {}
_LOGGER = logging.getLogger("limpethollow")


@dataclass(slots=True, frozen=True)
class Event:
    """One kind of log line.

    Attributes:
        number: Stable number, never used for another event.
        level: Level of the logging module.
        text: What happened.
    """

    number: int
    level: int
    text: str

    def log(self, *, exc_info: bool = False, **fields: Any) -> None:
        """Write one line with this event's number and the given fields.

        Args:
            exc_info: Whether to add the traceback of the error being handled.
            **fields: What the line tells besides.
        """
        if _LOGGER.isEnabledFor(self.level):
            extra = {"event": self.number, **fields}
            _LOGGER.log(self.level, self.text, exc_info=exc_info, extra=extra)


def _event(number: int, level: int, text: str) -> Event:
    if number in _CATALOGUE:
        raise ValueError(f"Event {number} is defined twice; take a free number.")
    event = Event(number, level, text)
    _CATALOGUE[number] = event
    return event


def catalogue() -> tuple[Event, ...]:
    """Return all events by number."""
    return tuple(_CATALOGUE[number] for number in sorted(_CATALOGUE))


# 100: the process
STARTED = _event(100, logging.INFO, "instance started")
STOPPING = _event(101, logging.INFO, "graceful shutdown began")
STOPPED = _event(102, logging.INFO, "instance stopped")
BOUND_REACHED = _event(103, logging.WARNING, "shutdown bound reached with requests still open")
DEFECT = _event(104, logging.ERROR, "unexpected error; this is a defect")
LISTENING = _event(105, logging.INFO, "callers' connections are taken")
DRAINED = _event(110, logging.INFO, "waiting before the exit ended")
PEER_NOT_TOLD = _event(111, logging.WARNING, "a peer could not be told that this instance leaves")
EXIT_FORCED = _event(112, logging.ERROR, "exit forced because closing hung")
LINES_SUPPRESSED = _event(113, logging.WARNING, "log lines were not written")

# 200: configuration and platform
RECORDS_APPLIED = _event(200, logging.INFO, "configuration records came into force")
PLATFORM_FAILED = _event(201, logging.WARNING, "a call to the platform failed")
PLATFORM_BACK = _event(202, logging.INFO, "the platform answers again")
PLAN_MADE = _event(203, logging.INFO, "plan made")
PLAN_CONFIRMED = _event(204, logging.INFO, "plan confirmed")
PLAN_CONFLICT = _event(205, logging.WARNING, "plan refused because its base is stale")
RECORD_UNREADABLE = _event(206, logging.ERROR, "a configuration object can't be read")
PLATFORM_CALL_REFUSED = _event(207, logging.WARNING, "own call budget for the platform is spent")
WORK_REFUSED = _event(208, logging.WARNING, "new work is refused; what is in force is not known")
WORK_RESUMED = _event(209, logging.INFO, "what is in force is known again")
SEED_FAILED = _event(210, logging.INFO, "a seed address did not answer")
OBJECT_UNREADABLE = _event(211, logging.WARNING, "an object of the platform can't be read")
FEED_LOST = _event(212, logging.WARNING, "a kind of objects can't be followed")
FEED_BACK = _event(213, logging.INFO, "a kind of objects is followed again")
VERSION_IN_FORCE = _event(214, logging.INFO, "a configuration version came into force")
SETTINGS_RELOADED = _event(215, logging.INFO, "settings file read again")
SETTINGS_REFUSED = _event(216, logging.ERROR, "settings file can't be used; the old one stays")
STORE_RESTORED = _event(217, logging.WARNING, "the store came back from an older copy")
LIST_DROPPED = _event(218, logging.WARNING, "a list of the store was dropped as older")
ERA_UNREADABLE = _event(219, logging.WARNING, "an answer of the store tells no usable era")

# 300: instances
PEER_LINKED = _event(300, logging.INFO, "link to peer opened")
PEER_LOST = _event(301, logging.WARNING, "link to peer lost")
PEER_REFUSED = _event(302, logging.WARNING, "peer refused because of its key or its frames")
MEMBERS_CHANGED = _event(303, logging.INFO, "list of instances changed")
MEMBER_REMOVED = _event(304, logging.INFO, "an instance that is gone for good was removed")
ISOLATED = _event(305, logging.WARNING, "no peer and no searcher answers; new requests are refused")
REJOINED = _event(306, logging.INFO, "peers or searchers answer again")
OWN_OBJECT_GONE = _event(307, logging.WARNING, "the own object was removed; it is written again")

# 400: searchers
SEARCHER_DRAINS = _event(451, logging.INFO, "searcher is leaving, or is back")
CONNECTION_CONDEMNED = _event(450, logging.DEBUG, "connection to a searcher closed after a fault")
SEARCHER_CALL_FAILED = _event(400, logging.DEBUG, "a call to a searcher failed")
SEARCHER_UNREACHABLE = _event(401, logging.INFO, "no connection to a searcher could be opened")
SEND_FAILED = _event(402, logging.INFO, "a send to a searcher gave no answer")
SEARCHER_LISTED = _event(403, logging.INFO, "a searcher's entry came, changed or went")
SENT_AGAIN = _event(404, logging.INFO, "a request was sent to another searcher as well")
SHARDS_HEDGED = _event(405, logging.INFO, "late shards of a search were asked elsewhere as well")
SEARCHERS_LISTED = _event(406, logging.INFO, "entries of many searchers came, changed or went")
DOMAIN_EVACUATED = _event(407, logging.INFO, "a failure domain gets no new calls from here")
DOMAIN_RESTORED = _event(408, logging.INFO, "an evacuated failure domain is used again")
LOAD_UNREADABLE = _event(409, logging.DEBUG, "what a searcher says of its load can't be read")
SEARCHERS_LOST = _event(410, logging.WARNING, "connections to searchers ended under a request")
SENT_TO_LEAVING = _event(411, logging.INFO, "a call went to a searcher that is leaving")

# 500: requests
REQUEST_REFUSED = _event(500, logging.DEBUG, "request refused")
SERVER_MESSAGE = _event(502, logging.DEBUG, "the HTTP library had something to say")
ADMISSION_CUT = _event(521, logging.INFO, "fewer requests are admitted, as too many were congested")
REQUEST_ENDED = _event(520, logging.INFO, "a caller's request ended")
REQUEST_SUSPECTED = _event(522, logging.WARNING, "a request is suspected of ending its searchers")
REQUEST_RELEASED = _event(523, logging.INFO, "a request runs as usual again")
BOOKING_UNKNOWN = _event(501, logging.WARNING, "the outcome of a booking is not known")
BOOKING_RESOLVED = _event(510, logging.INFO, "a booking was resolved by asking its searchers")
LEDGER_FULL = _event(511, logging.WARNING, "the ledger of bookings is full")
