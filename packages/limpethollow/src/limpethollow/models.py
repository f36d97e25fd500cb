"""What the client returns; the same messages that travel on the wire."""

from limpethollow_wire.bookings import BookingOutcome, BookingToken, OutcomeState
from limpethollow_wire.instances import Route, RouteInstance
from limpethollow_wire.plans import Confirmation, Intent, Plan
from limpethollow_wire.searches import Coverage, MissingShard, Part, SearchAnswer
from limpethollow_wire.services import ServiceSpec

__all__ = [
    "BookingOutcome",
    "BookingToken",
    "Confirmation",
    "Coverage",
    "Intent",
    "MissingShard",
    "OutcomeState",
    "Part",
    "Plan",
    "Route",
    "RouteInstance",
    "SearchAnswer",
    "ServiceSpec",
]
