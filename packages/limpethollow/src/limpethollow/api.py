"""The facade: one call each, on a session made from the environment."""

import os
from functools import cache
from typing import Any

from limpethollow.models import BookingOutcome, Route, SearchAnswer
from limpethollow.sessions import Session
from limpethollow_wire.exceptions import SettingsError

ADDRESSES_VARIABLE = "LIMPETHOLLOW_ADDRESSES"
KEY_VARIABLE = "LIMPETHOLLOW_KEY"


def search(service: str, query: dict[str, Any] | None = None, **options: Any) -> SearchAnswer:
    """Search a service; see `Session.search`.

    Usage:
        >>> import limpethollow
        >>> limpethollow.search("driver-finder")
    """
    return _session().search(service, query or {}, **options)


def book(service: str, shard: int, booking: dict[str, Any], **options: Any) -> BookingOutcome:
    """Book at most once; see `Session.book`."""
    return _session().book(service, shard, booking, **options)


def look_up(service: str, token: str) -> BookingOutcome:
    """Ask what became of a booking; see `Session.look_up`."""
    return _session().look_up(service, token)


def route(service: str) -> Route:
    """Return which instances serve a service; see `Session.route`."""
    return _session().route(service)


@cache
def _session() -> Session:
    addresses = [a for a in os.environ.get(ADDRESSES_VARIABLE, "").split(",") if a]
    if not addresses:
        raise SettingsError(
            f"The environment has no {ADDRESSES_VARIABLE}.",
            remedy="Set it to one or more host:port, separated by commas, or use a Session.",
        )
    return Session(addresses, key=os.environ.get(KEY_VARIABLE, ""))
