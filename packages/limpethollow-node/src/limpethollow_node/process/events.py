"""Numbered log events; docs/EVENTS.md documents each of them."""

import logging
from dataclasses import dataclass
from typing import Any

_CATALOGUE: dict[int, "Event"] = {}
_LOGGER = logging.getLogger("limpethollow")


@dataclass(slots=True, frozen=True)
class Event:
    """Type of log line.

    Attributes:
        number: Stable number, never reused for another event.
        level: Level as defined by the `logging` module.
        text: Message of the log line.
    """

    number: int
    level: int
    text: str

    def log(self, *, exc_info: bool = False, **fields: Any) -> None:
        """Write a log line with the number of this event and the given fields.

        Args:
            exc_info: Whether to add the traceback of the exception being handled.
            **fields: Additional fields of the log line.
        """
        if _LOGGER.isEnabledFor(self.level):
            extra = {"event": self.number, **fields}
            _LOGGER.log(self.level, self.text, exc_info=exc_info, extra=extra)


def _event(number: int, level: int, text: str) -> Event:
    if number in _CATALOGUE:
        raise ValueError(f"Event {number} is already defined; choose an unused number.")
    event = Event(number, level, text)
    _CATALOGUE[number] = event
    return event


def catalogue() -> tuple[Event, ...]:
    """Return all events in order of their numbers."""
    return tuple(_CATALOGUE[number] for number in sorted(_CATALOGUE))


# 100: the process
STARTED = _event(100, logging.INFO, "instance started")
STOPPING = _event(101, logging.INFO, "graceful shutdown started")
STOPPED = _event(102, logging.INFO, "instance stopped")
SHUTDOWN_LIMIT_REACHED = _event(
    103, logging.WARNING, "shutdown time limit reached with requests still open"
)
UNEXPECTED_ERROR = _event(104, logging.ERROR, "unexpected error; this is a bug")
LISTENING = _event(105, logging.INFO, "accepting connections from callers")
STARTUP_WAITING = _event(106, logging.WARNING, "startup waits for an address or its settings")
STARTUP_CONTINUED = _event(107, logging.INFO, "startup continues after a wait")
STARTUP_FAILED = _event(108, logging.ERROR, "startup failed; the process ends")
METRICS_UNAVAILABLE = _event(
    109, logging.WARNING, "metrics can't be served yet because their port is not available"
)
DRAINED = _event(110, logging.INFO, "wait before the exit ended")
PEER_NOT_NOTIFIED = _event(
    111, logging.WARNING, "failed to notify a peer that this instance is leaving"
)
EXIT_FORCED = _event(112, logging.ERROR, "exit forced because the shutdown hung")
LINES_SUPPRESSED = _event(113, logging.WARNING, "log lines were suppressed or dropped")
MEMORY_HIGH = _event(114, logging.WARNING, "memory in use is close to the limit")

# 200: configuration and platform
RECORDS_APPLIED = _event(200, logging.INFO, "configuration records applied")
PLATFORM_FAILED = _event(201, logging.WARNING, "call to the platform failed")
PLATFORM_RECOVERED = _event(202, logging.INFO, "platform responds again")
PLAN_CREATED = _event(203, logging.INFO, "plan created")
PLAN_CONFIRMED = _event(204, logging.INFO, "plan confirmed")
PLAN_CONFLICT = _event(205, logging.WARNING, "plan refused because its base is stale")
RECORD_UNREADABLE = _event(206, logging.ERROR, "configuration object can't be read")
PLATFORM_CALL_REFUSED = _event(207, logging.WARNING, "call budget for the platform is exhausted")
WORK_REFUSED = _event(
    208, logging.WARNING, "refusing new work; the configuration in force is unknown"
)
WORK_RESUMED = _event(
    209, logging.INFO, "accepting new work; the configuration in force is known again"
)
SEED_FAILED = _event(210, logging.INFO, "a seed address did not answer")
OBJECT_UNREADABLE = _event(211, logging.WARNING, "platform object can't be read")
WATCH_FAILED = _event(212, logging.WARNING, "watch of a kind of platform objects failed")
WATCH_RECOVERED = _event(213, logging.INFO, "watch of a kind of platform objects works again")
VERSION_IN_FORCE = _event(214, logging.INFO, "configuration version is now in force")
SETTINGS_RELOADED = _event(215, logging.INFO, "settings file reloaded")
SETTINGS_REFUSED = _event(
    216, logging.ERROR, "settings file can't be used; keeping the previous settings"
)
STORE_RESTORED = _event(217, logging.WARNING, "store was restored from an older copy")
OUTDATED_LIST_DISCARDED = _event(218, logging.WARNING, "outdated list from the store discarded")
ERA_UNREADABLE = _event(219, logging.WARNING, "store response has no usable era")

# 300: instances
PEER_LINKED = _event(300, logging.INFO, "link to peer opened")
PEER_LOST = _event(301, logging.WARNING, "link to peer lost")
PEER_REFUSED = _event(302, logging.WARNING, "peer refused because of its key or its frames")
MEMBERS_CHANGED = _event(303, logging.INFO, "list of instances changed")
MEMBER_REMOVED = _event(304, logging.INFO, "permanently lost instance removed")
ISOLATED = _event(305, logging.WARNING, "no peer or searcher responds; refusing new requests")
ISOLATION_ENDED = _event(306, logging.INFO, "peers or searchers respond again")
OWN_OBJECT_REMOVED = _event(
    307, logging.WARNING, "instance's own object was removed; writing it again"
)

# 400: searchers
SEARCHER_DRAINING = _event(451, logging.INFO, "searcher is draining or in service again")
CONNECTION_CLOSED = _event(450, logging.DEBUG, "connection to a searcher closed after an error")
SEARCHER_CALL_FAILED = _event(400, logging.DEBUG, "call to a searcher failed")
SEARCHER_UNREACHABLE = _event(401, logging.INFO, "failed to connect to a searcher")
SEND_FAILED = _event(402, logging.INFO, "request to a searcher got no usable reply")
SEARCHER_LISTED = _event(403, logging.INFO, "searcher entry added, changed or removed")
ADDITIONAL_SEND = _event(404, logging.INFO, "request also sent to another searcher")
SHARDS_HEDGED = _event(
    405, logging.INFO, "late shards of a search also requested from other searchers"
)
SEARCHERS_LISTED = _event(406, logging.INFO, "many searcher entries added, changed or removed")
DOMAIN_EVACUATED = _event(
    407, logging.INFO, "failure domain evacuated; it gets no new calls from this instance"
)
DOMAIN_RESTORED = _event(408, logging.INFO, "evacuated failure domain is in use again")
LOAD_UNREADABLE = _event(409, logging.DEBUG, "load report of a searcher can't be read")
SEARCHERS_LOST = _event(410, logging.WARNING, "connections to searchers lost during a request")
CALL_TO_LEAVING_SEARCHER = _event(411, logging.INFO, "call sent to a searcher that is leaving")
NO_DESCRIPTOR = _event(
    412, logging.WARNING, "no connection to a searcher, as this machine lacks descriptors or ports"
)
REPLY_CUT_OFF = _event(420, logging.WARNING, "reply exceeded a limit; its connection was closed")

# 500: requests
REQUEST_REFUSED = _event(500, logging.DEBUG, "request refused")
HTTP_LIBRARY_MESSAGE = _event(502, logging.DEBUG, "message from the HTTP library")
ADMISSION_RATE_REDUCED = _event(
    521, logging.INFO, "admission rate reduced because too many requests were congested"
)
REQUEST_ENDED = _event(520, logging.INFO, "a caller's request ended")
REQUEST_SUSPECTED = _event(522, logging.WARNING, "request is suspected of crashing its searchers")
SUSPICION_ENDED = _event(523, logging.INFO, "request is no longer suspected or quarantined")
CALLER_LIMIT_REACHED = _event(
    524, logging.WARNING, "limit for all callers reached; connection closed or request refused"
)
LEASE_LAPSED = _event(
    530, logging.WARNING, "lease of the keys lapsed; requests that need a key are refused"
)
LEASE_RENEWED = _event(531, logging.INFO, "lease of the keys holds again")
LEASE_READ_FAILED = _event(
    532, logging.WARNING, "configuration could not be read to renew the lease of the keys"
)
LEASE_READ_RECOVERED = _event(533, logging.INFO, "configuration can be read again for the lease")
QUOTA_EXCEEDED = _event(540, logging.INFO, "requests of a team refused above its quota")
QUOTA_UNKNOWN = _event(
    541, logging.WARNING, "requests of a team refused because no holder of its quota answered"
)
QUOTA_PART_CHANGED = _event(542, logging.INFO, "part of the quotas held here changed")
BOOKING_UNKNOWN = _event(501, logging.WARNING, "outcome of a booking is unknown")
BOOKING_RESOLVED = _event(
    510, logging.INFO, "outcome of a booking resolved by querying its searchers"
)
NO_SEARCHER_IN_HOMES = _event(
    550, logging.INFO, "request refused because too few services have a searcher in its homes"
)
NO_INSTANCE_IN_HOMES = _event(
    551, logging.WARNING, "no instance is known in a host's homes or in the caller's region"
)
HOMES_WITHOUT_DOMAIN = _event(
    552, logging.WARNING, "homes in the configuration have no failure domain in the settings"
)
COLD_UNREADABLE = _event(553, logging.DEBUG, "cold time in a searcher's reply can't be read")
SEARCHER_STATED_COLD = _event(554, logging.INFO, "searcher states in a reply that it is cold")
LEDGER_FULL = _event(511, logging.WARNING, "booking ledger is full")
