"""Search and book through limpethollow.

Usage:
    >>> import limpethollow
    >>> session = limpethollow.Session("10.0.0.7:8080", key="...")
    >>> answer = session.search("driver-finder", {"free": True})
    >>> answer.coverage.complete
    True

The functions of this module use a session made from `LIMPETHOLLOW_ADDRESSES` and
`LIMPETHOLLOW_KEY`, so that a first call takes a service and a query only:

    >>> limpethollow.search("driver-finder", {"free": True})
"""

from limpethollow.api import book, look_up, route, search
from limpethollow.models import BookingOutcome, Coverage, OutcomeState, Route, SearchAnswer
from limpethollow.sessions import Session

__all__ = [
    "BookingOutcome",
    "Coverage",
    "OutcomeState",
    "Route",
    "SearchAnswer",
    "Session",
    "book",
    "look_up",
    "route",
    "search",
]
