"""The callers' HTTP API."""

from collections.abc import Callable
from dataclasses import dataclass

from limpethollow_node.connection.hangups import HangUpWatch
from limpethollow_node.connection.routes import HttpReply, HttpRequest, Routes
from limpethollow_node.process.configs import ConfigManager
from limpethollow_node.process.lifecycles import RouteSelector
from limpethollow_node.process.members import MembershipTracker
from limpethollow_node.request.bookings import BookingExecutor
from limpethollow_node.request.searches import Coordinator
from limpethollow_policy.process.owners import group_key, owner_order
from limpethollow_wire.bookings import BookingRequest, OutcomeRequest
from limpethollow_wire.exceptions import LimpethollowError, Unauthorized
from limpethollow_wire.instances import InstanceInfo, Route, RouteInstance
from limpethollow_wire.keys import key_digest, keys_equal, parse_bearer_key
from limpethollow_wire.searches import SearchRequest
from limpethollow_wire.services import ServiceSpec

ROUTES = Routes()

_GREETINGS = 2


@dataclass(slots=True)
class CallerContext:
    """What the callers' handlers use."""

    own_id: str
    incarnation: str
    configs: ConfigManager
    members: MembershipTracker
    routes: RouteSelector
    coordinator: Coordinator
    hang_ups: HangUpWatch
    bookings: BookingExecutor
    greet: Callable[[str], None]


@ROUTES.add("GET", "/v1/services/{service}/route")
def route(context: CallerContext, request: HttpRequest) -> HttpReply:
    """Say which instances a caller should use for a service."""
    spec, _ = _admit(context, request)
    live = context.routes.answer(spec.route_ttl)
    order = owner_order(group_key(spec.name, 0), live)
    _learn_incarnation(context, order)
    instances = tuple(
        RouteInstance(
            i.id,
            i.address,
            i.failure_domain,
            _incarnation(context, i.id),
            _token_prefix(context, spec.name, i.id),
        )
        for i in order
    )
    return HttpReply(Route(spec.name, spec.route_ttl, instances))


@ROUTES.add("POST", "/v1/services/{service}/search")
def search(context: CallerContext, request: HttpRequest) -> HttpReply:
    """Answer a search."""
    spec, firm = _admit(context, request)
    message = request.message(SearchRequest)
    assert request.connection is not None
    with context.hang_ups.caller(request.connection) as caller:
        return HttpReply(context.coordinator.search(spec.name, firm, message, caller))


@ROUTES.add("POST", "/v1/services/{service}/bookings")
def book(context: CallerContext, request: HttpRequest) -> HttpReply:
    """Run a booking."""
    spec, firm = _admit(context, request)
    message = request.message(BookingRequest)
    return HttpReply(context.bookings.book(spec.name, firm, message))


@ROUTES.add("GET", "/v1/services/{service}/bookings/{token}")
def look_up(context: CallerContext, request: HttpRequest) -> HttpReply:
    """Say what became of a booking."""
    spec, firm = _admit(context, request, new_work=False)
    question = OutcomeRequest(spec.name, firm, request.names["token"])
    return HttpReply(context.bookings.look_up(question))


def _admit(
    context: CallerContext, request: HttpRequest, new_work: bool = True
) -> tuple[ServiceSpec, str]:
    """Return the service and the firm whose key the caller holds."""
    find = context.configs.admit if new_work else context.configs.require
    record = find(request.names["service"])
    spec = record.spec
    assert spec is not None
    digest = key_digest(parse_bearer_key(request.authorization))
    firms = [c.firm for c in spec.callers if keys_equal(c.key_sha256, digest)]
    if not firms:
        raise Unauthorized(f"The key is not one of service '{spec.name}'.")
    return spec, firms[0]


def _learn_incarnation(context: CallerContext, order: list[InstanceInfo]) -> None:
    """Make sure that the answer names a run that can execute bookings, best the first owner's.

    Instances link when one first needs the other. A leaving instance names itself no more, and may
    never have met the fresh ones; its callers would then hold a route by which nobody can book.
    """
    for instance in order[:_GREETINGS]:
        if _incarnation(context, instance.id):
            return
        try:
            context.greet(instance.id)
            return
        except LimpethollowError:
            continue


def _incarnation(context: CallerContext, instance_id: str) -> str:
    if instance_id == context.own_id:
        return context.incarnation
    return context.members.incarnation(instance_id)


def _token_prefix(context: CallerContext, service: str, instance_id: str) -> str:
    """Return the first parts of an instance's tokens, empty where its run is not known."""
    bookings = context.bookings
    incarnation = _incarnation(context, instance_id)
    if instance_id == context.own_id:
        age: float | None = bookings.age
    else:
        age = context.members.age(instance_id, incarnation)
    if not incarnation or age is None:
        return ""
    record = context.configs.require(service)
    return bookings.token_prefix(record, instance_id, incarnation, age)
