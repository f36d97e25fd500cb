"""What a process on the platform says of itself, read from its metrics address."""

import re
from dataclasses import dataclass, field

import urllib3

from limpethollow.exceptions import Unavailable

_LINE = re.compile(r"limpethollow_(\w+)(?:\{.*\})? (\S+)")
_TIMEOUT_SECONDS = 2.0
# Beliefs that no instance has confirmed for this long are old: a relay says twice a second whether
# it follows the store.
_OLD_SECONDS = 3.0


@dataclass(slots=True, frozen=True)
class ProcessStatus:
    """The state of one process.

    Attributes:
        ready: Whether callers are served.
        version: Number of the configuration in force, -1 where none is.
        version_age: Seconds since it was last known to be the newest.
        searchers: Searchers that it knows.
        searchers_age: Seconds since its list of them was last known to be the newest.
        instances: Instances that it knows, itself included.
        linked: Instances that it hears.
        follows_store: Whether it follows the platform's store itself.
        evacuated: Failure domains whose searchers get no new calls.
        missing: What is missing, each with a remedy.
    """

    ready: bool
    version: int
    version_age: float
    searchers: int
    searchers_age: float
    instances: int
    linked: int
    follows_store: bool
    evacuated: int = 0
    missing: list[str] = field(default_factory=list)


def read_status(address: str) -> ProcessStatus:
    """Read the status of the process at a metrics address.

    Args:
        address: `host:port/path`, as in the deploy file.

    Raises:
        Unavailable: Nothing answers there, or it is no process on the platform.
    """
    try:
        reply = urllib3.request("GET", f"http://{address}", timeout=_TIMEOUT_SECONDS, retries=False)
    except urllib3.exceptions.HTTPError as error:
        raise Unavailable(f"{address} does not answer ({error}).") from None
    return status_of(reply.data.decode("utf-8", "replace"), address)


def status_of(text: str, address: str) -> ProcessStatus:
    """Return the status that metrics show.

    Args:
        text: The metrics, a line each.
        address: Where they are from, for the error.

    Raises:
        Unavailable: They lack the values of a process on the platform.
    """
    values = {name: float(value) for name, value in _LINE.findall(text)}
    try:
        found = ProcessStatus(
            ready=bool(values["ready"]),
            version=int(values["version"]),
            version_age=values["version_age_seconds"],
            searchers=int(values["searchers_known"]),
            searchers_age=values["searchers_age_seconds"],
            instances=int(values["instances_known"]),
            linked=int(values["instances_heard"]),
            follows_store=bool(values["follows_store"]),
            evacuated=int(values["domains_evacuated"]),
        )
    except KeyError as error:
        raise Unavailable(f"{address} has no metric {error}; is it a metrics address?") from None
    found.missing.extend(_missing(found))
    return found


def _missing(status: ProcessStatus) -> list[str]:
    found = []
    if status.version < 0:
        found.append("no configuration is known: see that the store or a peer can be reached")
    elif status.version_age > _OLD_SECONDS:
        found.append(
            f"the configuration was last confirmed {status.version_age:.0f} s ago: "
            "look for events 201 and 212 of the relays"
        )
    if not status.searchers:
        found.append("no searcher is known: see whether any has registered in the store")
    elif status.searchers_age > _OLD_SECONDS:
        found.append(f"the searchers were last confirmed {status.searchers_age:.0f} s ago")
    if status.instances > 1 and not status.linked:
        found.append("no other instance is heard: look at its network, and for events 301 and 302")
    if not status.ready:
        found.append("callers are not served: it is starting, leaving, or one of the above")
    return found
