"""What an instance answers to its peers."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from limpethollow_node.process.configs import ConfigManager
from limpethollow_node.process.groups import LocalGroups
from limpethollow_node.process.lifecycles import RouteSelector
from limpethollow_node.process.members import MembershipTracker
from limpethollow_node.process.peersync import PeerSync
from limpethollow_node.request.bookings import BookingExecutor
from limpethollow_node.request.searches import Coordinator
from limpethollow_wire.bookings import ForwardedBooking, OutcomeRequest
from limpethollow_wire.codecs import convert
from limpethollow_wire.exceptions import BadRequest
from limpethollow_wire.instances import InstanceStatus
from limpethollow_wire.peers import (
    Acknowledgement,
    DrainNotice,
    Hello,
    Leaving,
    RouteHoldTime,
    ServiceRecords,
)
from limpethollow_wire.searches import (
    GroupCancel,
    GroupSearch,
    GroupVersionsRequest,
    RecordRequest,
)

PeerHandler = Callable[["PeerContext", Any], Any]

_HANDLERS: dict[str, tuple[type, PeerHandler]] = {}


@dataclass(slots=True)
class PeerContext:
    """What the peers' handlers use."""

    configs: ConfigManager
    members: MembershipTracker
    routes: RouteSelector
    coordinator: Coordinator
    bookings: BookingExecutor
    status: Callable[[], InstanceStatus]
    sync: PeerSync
    groups: LocalGroups


def peer_request(kind: str, body: type) -> Callable[[PeerHandler], PeerHandler]:
    """Register the handler of one kind of request from peers."""

    def register(handler: PeerHandler) -> PeerHandler:
        _HANDLERS[kind] = (body, handler)
        return handler

    return register


def answer_peer(context: PeerContext, kind: str, body: Any) -> Any:
    """Answer one request.

    Raises:
        BadRequest: No such kind is known here, or the body is not of its type.
    """
    if kind not in _HANDLERS:
        raise BadRequest(
            f"Peers may not ask for '{kind[:50]}' here.",
            remedy="Run the same release on all instances.",
        )
    expected, handler = _HANDLERS[kind]
    return handler(context, convert(body, expected))


@peer_request("group.search", GroupSearch)
def _search(context: PeerContext, body: GroupSearch) -> Any:
    context.configs.require_current()
    return context.coordinator.parts.search(body)


@peer_request("group.versions", GroupVersionsRequest)
def _versions(context: PeerContext, body: GroupVersionsRequest) -> Any:
    context.configs.require_current()
    return context.coordinator.parts.versions(body)


@peer_request("group.abandon", GroupCancel)
def _abandon(context: PeerContext, body: GroupCancel) -> Any:
    context.coordinator.parts.abandon(body.request_id)
    return Acknowledgement()


@peer_request("group.record", RecordRequest)
def _record(context: PeerContext, body: RecordRequest) -> Any:
    record = context.coordinator.parts.record(body.service)
    return ServiceRecords(() if record is None else (record,))


@peer_request("booking.run", ForwardedBooking)
def _book(context: PeerContext, body: ForwardedBooking) -> Any:
    context.configs.require_current()
    return context.bookings.run_forwarded(body)


@peer_request("booking.look_up", OutcomeRequest)
def _look_up(context: PeerContext, body: OutcomeRequest) -> Any:
    return context.bookings.look_up_here(body)


@peer_request("instance.hello", Hello)
def _hello(context: PeerContext, body: Hello) -> Any:
    context.members.hello_received(body)
    return Acknowledgement()


@peer_request("instance.leaving", Leaving)
def _leaving(context: PeerContext, body: Leaving) -> Any:
    return RouteHoldTime(context.routes.withdraw_peer(body.instance, body.incarnation))


@peer_request("searcher.drain", DrainNotice)
def _drain(context: PeerContext, body: DrainNotice) -> Any:
    context.groups.drain_reported(body)
    return Acknowledgement()


@peer_request("instance.status", type(None))
def _status(context: PeerContext, body: None) -> Any:
    return context.status()
