"""The operators' HTTP API."""

from collections.abc import Callable
from dataclasses import dataclass

from limpethollow_node.connection.routes import Handler, HttpReply, HttpRequest, Routes
from limpethollow_node.process.configs import ConfigManager
from limpethollow_node.process.members import MembershipTracker
from limpethollow_node.process.metrics import Metrics
from limpethollow_node.version.planners import Planner
from limpethollow_wire.exceptions import Unauthorized
from limpethollow_wire.instances import InstanceStatus
from limpethollow_wire.keys import keys_equal, parse_bearer_key
from limpethollow_wire.plans import ConfirmRequest, Intent

ROUTES = Routes()


@dataclass(slots=True)
class OperatorContext:
    """What the operators' handlers use."""

    key: str
    configs: ConfigManager
    members: MembershipTracker
    planner: Planner
    metrics: Metrics
    status: Callable[[], InstanceStatus]


def _route(method: str, pattern: str) -> Callable[[Handler], Handler]:
    """Register a handler behind the operators' key."""

    def register(handler: Handler) -> Handler:
        @ROUTES.add(method, pattern)
        def guarded(context: OperatorContext, request: HttpRequest) -> HttpReply:
            if not keys_equal(parse_bearer_key(request.authorization), context.key):
                raise Unauthorized("The operators' key is wrong.")
            return handler(context, request)

        return handler

    return register


@_route("GET", "/v1/services")
def services(context: OperatorContext, request: HttpRequest) -> HttpReply:
    """List all services with their versions, tombstones left out."""
    records = [record for record in context.configs.records if record.spec is not None]
    return HttpReply({"services": sorted(records, key=lambda record: record.name)})


@_route("GET", "/v1/services/{service}")
def service(context: OperatorContext, request: HttpRequest) -> HttpReply:
    """Show one service."""
    return HttpReply(context.configs.require(request.names["service"]))


@_route("GET", "/v1/instances")
def instances(context: OperatorContext, request: HttpRequest) -> HttpReply:
    """List all instances with their states as seen from here."""
    states = context.members.states()
    rows = [
        {
            "id": instance.id,
            "state": states.get(instance.id, "live"),
            "address": instance.address,
            "failure_domain": instance.failure_domain,
            "incarnation": context.members.incarnation(instance.id),
        }
        for instance in context.members.all_instances()
    ]
    return HttpReply({"instances": sorted(rows, key=lambda row: row["id"])})


@_route("GET", "/v1/status")
def status(context: OperatorContext, request: HttpRequest) -> HttpReply:
    """Show what this instance says of itself."""
    return HttpReply(context.status())


@_route("GET", "/metrics")
def metrics(context: OperatorContext, request: HttpRequest) -> HttpReply:
    """Show all counters and histograms."""
    return HttpReply(context.metrics.render())


@_route("POST", "/v1/plans")
def plan(context: OperatorContext, request: HttpRequest) -> HttpReply:
    """Make a plan; nothing changes."""
    return HttpReply(context.planner.plan(request.message(Intent)))


@_route("POST", "/v1/plans/{plan}/confirm")
def confirm(context: OperatorContext, request: HttpRequest) -> HttpReply:
    """Carry a plan out."""
    message = request.message(ConfirmRequest)
    return HttpReply(context.planner.confirm(request.names["plan"], message.wait))
