"""Makes plans and carries them out by one conditional write each."""

import time
import uuid
from typing import Any

import msgspec

from limpethollow_node.process import events
from limpethollow_node.process.configs import SERVICE_KIND, ConfigKeeper, record_of
from limpethollow_node.process.links import PeerLinks
from limpethollow_node.process.members import MemberKeeper
from limpethollow_node.process.platforms import PlatformClient, PlatformObject
from limpethollow_policy.version.plans import make_plan
from limpethollow_wire.codecs import convert, to_plain
from limpethollow_wire.exceptions import Conflict, LimpethollowError, NotFound, Unavailable
from limpethollow_wire.instances import InstanceStatus
from limpethollow_wire.peers import Acknowledgement, Records
from limpethollow_wire.plans import Confirmation, Intent, Plan
from limpethollow_wire.services import ServiceRecord

PLAN_KIND = "plan"

_WRITE_TRIES = 3
_PEER_TIMEOUT = 0.5
_POLL_SECONDS = 0.05


class Planner:
    """Answers intents with plans, and confirms with one conditional write.

    Args:
        own_id: Id of this instance.
        platform: The platform's client.
        configs: The configuration in force here.
        members: The other instances.
        links: Links to them.
    """

    def __init__(
        self,
        own_id: str,
        platform: PlatformClient,
        configs: ConfigKeeper,
        members: MemberKeeper,
        links: PeerLinks,
    ) -> None:
        self._own_id = own_id
        self._platform = platform
        self._configs = configs
        self._members = members
        self._links = links

    def plan(self, intent: Intent) -> Plan:
        """Make a plan and keep it in the platform; nothing changes.

        Raises:
            BadRequest: The intent can't be met as stated.
            Unavailable: The platform can't be reached.
        """
        name = intent.service.name if intent.service else intent.delete
        plan = make_plan(uuid.uuid4().hex, intent, self._stored(name))
        self._platform.write(PLAN_KIND, plan.id, to_plain(plan))
        events.PLAN_MADE.log(plan=plan.id, service=plan.service, action=plan.action)
        return plan

    def confirm(self, plan_id: str, wait: float) -> Confirmation:
        """Carry out a plan and wait for it to be in force everywhere.

        Args:
            plan_id: Name of the plan.
            wait: Seconds to wait at most.

        Raises:
            NotFound: There is no such plan.
            Conflict: The service was changed since the plan was made; nothing was changed.
            Unavailable: The platform can't be reached; confirming again is safe.
        """
        plan = convert(self._platform.read(PLAN_KIND, plan_id).value, Plan)
        if plan.action == "none":
            record = ServiceRecord(plan.service, plan.base_version, plan.spec)
        else:
            record = record_of(self._write(plan))
            self._configs.merge((record,))
            events.PLAN_CONFIRMED.log(plan=plan.id, service=plan.service, version=record.version)
        in_force, lacking = self._spread(record, time.monotonic() + wait)
        return Confirmation(plan.id, plan.service, record.version, in_force, lacking)

    def _stored(self, name: str) -> ServiceRecord | None:
        try:
            return record_of(self._platform.read(SERVICE_KIND, name))
        except NotFound:
            return None

    def _write(self, plan: Plan) -> PlatformObject:
        """Write the plan's configuration, once, whatever replies get lost.

        A reply can be lost after the write took effect. The next try then meets a conflict with
        our own write; the plan's id in it tells it from somebody else's.
        """
        value: dict[str, Any] = {
            "spec": None if plan.spec is None else msgspec.to_builtins(plan.spec),
            "write_id": plan.id,
        }
        for attempt in range(_WRITE_TRIES):
            try:
                return self._platform.write(SERVICE_KIND, plan.service, value, plan.base_version)
            except Conflict:
                return self._own_write(plan)
            except Unavailable:
                if attempt == _WRITE_TRIES - 1:
                    raise
        raise Unavailable("The platform can't be reached.")

    def _own_write(self, plan: Plan) -> PlatformObject:
        stored = self._platform.read(SERVICE_KIND, plan.service)
        if stored.value.get("write_id") == plan.id:
            return stored
        events.PLAN_CONFLICT.log(plan=plan.id, service=plan.service)
        raise Conflict(
            f"Service '{plan.service}' is at version {stored.version}; the plan was made against "
            f"version {plan.base_version}."
        )

    def _spread(
        self, record: ServiceRecord, until: float
    ) -> tuple[tuple[str, ...], tuple[str, ...]]:
        in_force = {self._own_id}
        while True:
            waiting = [p.id for p in self._members.peers() if p.id not in in_force]
            in_force |= {peer for peer in waiting if self._push(peer, record)}
            lacking = tuple(sorted(peer for peer in waiting if peer not in in_force))
            if not lacking or time.monotonic() >= until:
                return tuple(sorted(in_force)), lacking
            time.sleep(_POLL_SECONDS)

    def _push(self, peer: str, record: ServiceRecord) -> bool:
        try:
            body = Records((record,))
            self._links.request(peer, "config.push", body, Acknowledgement, _PEER_TIMEOUT)
            status = self._links.request(
                peer, "instance.status", None, InstanceStatus, _PEER_TIMEOUT
            )
        except LimpethollowError:
            return False
        return status.versions.get(record.name, 0) >= record.version
