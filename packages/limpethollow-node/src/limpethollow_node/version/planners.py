"""Makes plans and carries them out by one conditional write each."""

import time
from random import Random

from limpethollow_node.process import events
from limpethollow_node.process.configs import SERVICE_KIND, ConfigManager, decode_record
from limpethollow_node.process.members import MembershipTracker
from limpethollow_node.process.peersync import PeerSync
from limpethollow_node.process.platforms import PlatformClient, PlatformObject
from limpethollow_policy.process.backoffs import Backoff
from limpethollow_policy.version.plans import (
    PLAN_SLOTS,
    PlanName,
    StoredService,
    Verdict,
    intent_service_name,
    is_open,
    judge,
    make_plan,
    value_to_write,
)
from limpethollow_wire.codecs import to_plain
from limpethollow_wire.exceptions import BadRequest, Conflict, NotFound, Unavailable
from limpethollow_wire.plans import Confirmation, Intent, Plan
from limpethollow_wire.services import ServiceRecord
from limpethollow_wire.versions import format_version

PLAN_KIND = "plan"
MAX_WAIT_SECONDS = 60.0

_WRITE_TRIES = 4
_FIRST_PAUSE = 0.05
_LONGEST_PAUSE = 0.5
_DIRECT_OFFERS = 16
_SLOTS_TRIED = 3


class Planner:
    """Answers intents with plans, and confirms with one conditional write.

    Args:
        platform: The platform's client.
        configs: The configuration in force here.
        members: The other instances.
        sync: Brings a change to them.
        rng: Source for names and jitter.
    """

    def __init__(
        self,
        platform: PlatformClient,
        configs: ConfigManager,
        members: MembershipTracker,
        sync: PeerSync,
        rng: Random,
    ) -> None:
        self._platform = platform
        self._configs = configs
        self._members = members
        self._sync = sync
        self._rng = rng

    def plan(self, intent: Intent) -> Plan:
        """Make a plan and keep it in the platform; nothing changes.

        Raises:
            BadRequest: The intent can't be met as stated.
            Unavailable: The platform can't be reached.
        """
        service = intent_service_name(intent)
        stored = self._stored(service)
        current = decode_record(stored) if stored else None
        name, version = self._free_slot(service, current.version if current else 0)
        plan = make_plan(str(name), intent, current)
        self._keep(name, plan, version)
        events.PLAN_CREATED.log(plan=plan.id, service=plan.service, action=plan.action)
        return plan

    def confirm(self, plan_id: str, wait: float) -> Confirmation:
        """Carry out a plan and wait for it to be in force everywhere.

        Args:
            plan_id: Name of the plan.
            wait: Seconds to wait at most.

        Raises:
            BadRequest: The name or the wait is not valid.
            NotFound: There is no such plan.
            Conflict: The service was changed since the plan was made; nothing was changed.
            Unavailable: The platform can't be reached; confirming again is safe.
        """
        if not 0 <= wait <= MAX_WAIT_SECONDS:
            raise BadRequest(f"'wait' must be 0 to {MAX_WAIT_SECONDS:g} seconds.")
        until = time.monotonic() + wait
        name = PlanName.parse(plan_id)
        record, own_version = self._carry_out(name)
        self._configs.merge((record,))
        events.PLAN_CONFIRMED.log(plan=plan_id, service=name.service, version=own_version)
        in_force, lacking = self._spread(record, until)
        superseded = record.version > own_version
        return Confirmation(plan_id, name.service, own_version, in_force, lacking, superseded)

    def _stored(self, service: str) -> PlatformObject | None:
        try:
            return self._platform.read(SERVICE_KIND, service)
        except NotFound:
            return None

    def _free_slot(self, service: str, current_version: int) -> tuple[PlanName, int]:
        """Find a slot whose plan can't be confirmed any more, starting anywhere.

        Plans need no list and no clean-up that way. Where all slots tried hold open plans, one of
        them is given up; its operator is told to plan again.
        """
        first = self._rng.randrange(PLAN_SLOTS)
        name, version = PlanName.new(service, first, self._rng), 0
        for step in range(_SLOTS_TRIED):
            name = PlanName.new(service, (first + step) % PLAN_SLOTS, self._rng)
            try:
                kept = self._platform.read(PLAN_KIND, name.slot_name)
            except NotFound:
                return name, 0
            version = kept.version
            if not is_open(kept.decode(Plan), current_version):
                break
        return name, version

    def _keep(self, name: PlanName, plan: Plan, version: int) -> None:
        """Keep a plan; a lost reply is told from another operator's plan by the plan's name."""
        backoff = Backoff(_FIRST_PAUSE, _LONGEST_PAUSE, self._rng)
        for attempt in range(_WRITE_TRIES):
            try:
                self._platform.write(PLAN_KIND, name.slot_name, to_plain(plan), version)
                return
            except Conflict:
                if self._platform.read(PLAN_KIND, name.slot_name).value.get("id") == plan.id:
                    return
                raise Unavailable(
                    "Another operator planned in the same moment.", retry_after=_LONGEST_PAUSE
                ) from None
            except Unavailable as error:
                self._pause_or_raise(attempt, backoff, error)

    def _carry_out(self, name: PlanName) -> tuple[ServiceRecord, int]:
        """Write a plan's configuration, once, whatever replies get lost.

        A reply can be lost after the write took effect. The next try then finds the plan's name
        as write id in the stored service, or among the earlier ones where somebody wrote on top,
        and takes the write as done.

        Returns:
            The service's newest record, and the version that this plan's write got.
        """
        backoff = Backoff(_FIRST_PAUSE, _LONGEST_PAUSE, self._rng)
        for attempt in range(_WRITE_TRIES):
            try:
                return self._try_to_carry_out(name)
            except Unavailable as error:
                self._pause_or_raise(attempt, backoff, error)
        raise Unavailable("The platform can't be reached.")

    def _try_to_carry_out(self, name: PlanName) -> tuple[ServiceRecord, int]:
        stored = self._stored(name.service)
        service = StoredService(stored.version, stored.value) if stored else StoredService(0, {})
        written = service.version_of(str(name))
        if written and stored:
            return decode_record(stored), written
        plan = self._plan(name)
        match judge(plan, service):
            case Verdict.NOTHING:
                return ServiceRecord(plan.service, plan.base_version, plan.spec), plan.base_version
            case Verdict.STALE:
                self._refuse(plan, service.version)
        value = value_to_write(plan, service)
        try:
            written_now = self._platform.write(SERVICE_KIND, plan.service, value, plan.base_version)
        except Conflict:
            # Ours after a lost reply, or somebody else's in between: reading again tells.
            raise Unavailable("The service was changed while the plan was confirmed.") from None
        return decode_record(written_now), written_now.version

    def _plan(self, name: PlanName) -> Plan:
        plan = self._platform.read(PLAN_KIND, name.slot_name).decode(Plan)
        if plan.id != str(name):
            raise NotFound(
                f"The plan '{name}' is not kept any more.",
                remedy="Plan again and confirm the new plan.",
            )
        return plan

    def _refuse(self, plan: Plan, version: int) -> None:
        events.PLAN_CONFLICT.log(plan=plan.id, service=plan.service)
        raise Conflict(
            f"Service '{plan.service}' is at version {format_version(version)}; the plan was made "
            f"against version {format_version(plan.base_version)}."
        )

    def _pause_or_raise(self, attempt: int, backoff: Backoff, error: Unavailable) -> None:
        """Wait before the next try, or give up with the error of the last one.

        The first retry is not taken from the budget of retries. Right after an outage that budget
        is spent, and an operator whose reply is lost then would be refused though the platform is
        well. Operators write 0.25 times a second in the whole fleet, so this multiplies no outage.
        """
        may_retry = attempt == 0 or self._platform.may_retry("write")
        if attempt == _WRITE_TRIES - 1 or not may_retry:
            raise error
        time.sleep(backoff.failed())

    def _spread(
        self, record: ServiceRecord, until: float
    ) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Bring a record to all, by relays first and to those still lacking it directly."""
        backoff = Backoff(_FIRST_PAUSE, _LONGEST_PAUSE, self._rng)
        in_force = self._sync.spread(record)
        while True:
            lacking = self._lacking(in_force)
            if lacking:
                in_force |= self._sync.offer_directly(lacking[:_DIRECT_OFFERS], record)
                lacking = self._lacking(in_force)
            if not lacking or time.monotonic() >= until:
                return tuple(sorted(in_force)), lacking
            time.sleep(backoff.failed())

    def _lacking(self, in_force: set[str]) -> tuple[str, ...]:
        waiting = [i for i in self._members.peers() if i.id not in in_force]
        states = self._members.states()
        return tuple(sorted(i.id for i in waiting if states.get(i.id) != "leaving"))
