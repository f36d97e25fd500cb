"""Keeps the view of the other instances current."""

import threading
import time
from random import Random

from limpethollow_node.process import events
from limpethollow_node.process.platforms import PlatformClient
from limpethollow_policy.process.backoffs import Backoff
from limpethollow_policy.process.members import Membership
from limpethollow_wire.exceptions import LimpethollowError
from limpethollow_wire.instances import InstanceInfo

_FIRST_PAUSE = 0.1
_LONGEST_PAUSE = 5.0


class MemberKeeper:
    """Follows the platform's list and guards the membership view with a lock.

    Args:
        own_id: Id of this instance.
        platform: The platform's client.
        rng: Source for jitter.
    """

    def __init__(self, own_id: str, platform: PlatformClient, rng: Random) -> None:
        self._platform = platform
        self._lock = threading.Lock()
        self._view = Membership(own_id)
        self._began: dict[str, tuple[str, float]] = {}
        self._backoff = Backoff(_FIRST_PAUSE, _LONGEST_PAUSE, rng)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._follow, name="members", daemon=True)

    def __enter__(self) -> "MemberKeeper":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()

    def heard(
        self, instance_id: str, incarnation: str, leaving: bool, age: float | None = None
    ) -> None:
        """Take in an instance's word on itself, with the age of its run where it gave one."""
        with self._lock:
            self._view.heard(instance_id, incarnation, leaving)
            if age is not None:
                self._began[instance_id] = (incarnation, time.monotonic() - age)

    def age(self, instance_id: str, incarnation: str) -> float | None:
        """Return the age of an instance's run in seconds, None where it is not known."""
        with self._lock:
            heard, began = self._began.get(instance_id, ("", 0.0))
        return time.monotonic() - began if heard == incarnation else None

    def unreachable(self, instance_id: str) -> None:
        """Note that a link to an instance failed."""
        with self._lock:
            self._view.unreachable(instance_id, time.monotonic())

    def incarnation(self, instance_id: str) -> str:
        """Return the run an instance last named, empty where not known."""
        with self._lock:
            return self._view.incarnation(instance_id)

    def get(self, instance_id: str) -> InstanceInfo | None:
        """Return an instance as listed."""
        with self._lock:
            return self._view.get(instance_id)

    def states(self) -> dict[str, str]:
        """Return the state of every listed instance."""
        now = time.monotonic()
        with self._lock:
            return {i.id: self._view.state(i.id, now) for i in self._view.everyone()}

    def everyone(self) -> tuple[InstanceInfo, ...]:
        """Return all listed instances."""
        with self._lock:
            return self._view.everyone()

    def peers(self) -> tuple[InstanceInfo, ...]:
        """Return all listed instances but this one."""
        with self._lock:
            return self._view.peers()

    def routable(self) -> tuple[InstanceInfo, ...]:
        """Return the instances that callers may be sent to."""
        with self._lock:
            return self._view.routable(time.monotonic())

    def _follow(self) -> None:
        revision = -1
        while not self._stopped.is_set():
            try:
                answer = self._platform.instances(revision)
            except LimpethollowError as error:
                events.PLATFORM_FAILED.log(call="instances", error=str(error))
                self._stopped.wait(self._backoff.failed())
                continue
            self._backoff.succeeded()
            if answer.revision != revision:
                revision = answer.revision
                with self._lock:
                    self._view.listed(answer.instances)
                events.MEMBERS_CHANGED.log(revision=revision, instances=len(answer.instances))
