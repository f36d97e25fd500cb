"""Keeps the view of the other instances current."""

import threading
import time
from collections.abc import Callable
from random import Random

from limpethollow_node.process import events
from limpethollow_node.process.platforms import PlatformClient
from limpethollow_policy.process.backoffs import Backoff
from limpethollow_policy.process.members import WHOLE_LIST, Membership
from limpethollow_policy.process.relays import PlatformWatchRole, relays_of
from limpethollow_wire.exceptions import LimpethollowError
from limpethollow_wire.instances import InstanceInfo, SearcherListing
from limpethollow_wire.peers import Hello, ListChange

_FIRST_PAUSE = 0.1
_LONGEST_PAUSE = 5.0
_IDLE_POLL = 0.5


class MemberKeeper:
    """Guards the membership view with a lock, and follows the platform's list while on duty.

    Args:
        own_id: Id of this instance.
        failure_domain: Where it runs.
        platform: The platform's client.
        rng: Source for jitter.
    """

    def __init__(
        self, own_id: str, failure_domain: str, platform: PlatformClient, rng: Random
    ) -> None:
        self._own_id = own_id
        self._domain = failure_domain
        self._platform = platform
        self._lock = threading.Lock()
        self._view = Membership(own_id)
        self._duty = PlatformWatchRole(own_id, failure_domain, time.monotonic(), rng)
        self._began: dict[str, tuple[str, float]] = {}
        self._backoff = Backoff(_FIRST_PAUSE, _LONGEST_PAUSE, rng)
        self._listeners: list[Callable[[], None]] = []
        self._searcher_listeners: list[Callable[[tuple[SearcherListing, ...]], None]] = []
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._follow, name="members", daemon=True)

    def __enter__(self) -> "MemberKeeper":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()

    @property
    def own_id(self) -> str:
        """Id of this instance."""
        return self._own_id

    @property
    def revision(self) -> int:
        """Revision of the list, -1 before the first."""
        with self._lock:
            return self._view.revision

    @property
    def has_peers(self) -> bool:
        """Whether any other instance is known."""
        with self._lock:
            return self._view.has_peers

    def listen(self, listener: Callable[[], None]) -> None:
        """Have a callable told that the list changed."""
        self._listeners.append(listener)

    def listen_for_searchers(self, listener: Callable[[tuple[SearcherListing, ...]], None]) -> None:
        """Have a callable told of the searchers in each list that is read here."""
        self._searcher_listeners.append(listener)

    def listed(self, change: ListChange) -> None:
        """Take in the list or a change of it, from the platform or from a peer."""
        with self._lock:
            applied = self._view.listed(change, time.monotonic())
            self._began = {i: began for i, began in self._began.items() if self._view.get(i)}
        if not applied:
            return
        events.MEMBERS_CHANGED.log(revision=change.revision, changed=len(change.listed))
        for listener in self._listeners:
            listener()

    def changes_since(self, revision: int) -> ListChange:
        """Return what the holder of a revision of the list lacks."""
        with self._lock:
            return self._view.changes_since(revision)

    def greeted(self, hello: Hello, dialled: bool = False) -> None:
        """Take in an instance's hello."""
        now = time.monotonic()
        with self._lock:
            self._view.greeted(hello, now, dialled)
            if self._view.incarnation(hello.instance) == hello.incarnation:
                self._began[hello.instance] = (hello.incarnation, now - hello.age)

    def heard(self, instance_id: str, incarnation: str, leaving: bool) -> None:
        """Take in an instance's word on itself."""
        with self._lock:
            self._view.heard(instance_id, incarnation, leaving, time.monotonic())

    def age(self, instance_id: str, incarnation: str) -> float | None:
        """Return the age of an instance's run in seconds, None where it is not known."""
        with self._lock:
            heard, began = self._began.get(instance_id, ("", 0.0))
        return time.monotonic() - began if heard == incarnation else None

    def answered(self, instance_id: str) -> None:
        """Note that an instance replied to a request of ours."""
        with self._lock:
            self._view.answered(instance_id, time.monotonic())

    def asked(self, instance_id: str, relay: bool) -> None:
        """Note that an instance sent us a request, as our relay or not."""
        now = time.monotonic()
        with self._lock:
            self._view.asked(instance_id, now)
            if relay:
                self._duty.relay_message_received(now)

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

    def state(self, instance_id: str) -> str:
        """Return `live`, `leaving` or `unreachable`."""
        with self._lock:
            return self._view.state(instance_id, time.monotonic())

    def states(self) -> dict[str, str]:
        """Return the state of every known instance."""
        now = time.monotonic()
        with self._lock:
            return {i.id: self._view.state(i.id, now) for i in self._view.everyone(now)}

    def everyone(self) -> tuple[InstanceInfo, ...]:
        """Return all known instances."""
        with self._lock:
            return self._view.everyone(time.monotonic())

    def peers(self) -> tuple[InstanceInfo, ...]:
        """Return all known instances but this one."""
        with self._lock:
            return self._view.peers(time.monotonic())

    def routable(self) -> tuple[InstanceInfo, ...]:
        """Return the instances that callers may be sent to."""
        with self._lock:
            return self._view.routable(time.monotonic())

    def relays(self, failure_domain: str) -> tuple[str, ...]:
        """Return the ids of a failure domain's relays, best first."""
        return relays_of(failure_domain, self.routable())

    def followers(self) -> tuple[str, ...]:
        """Return the peers that this instance feeds: none where it is no relay."""
        live = self.routable()
        with self._lock:
            if not self._duty.is_relay(live):
                return ()
        inside = [i.id for i in live if i.failure_domain == self._domain]
        return tuple(i for i in inside if i != self._own_id)

    def should_watch(self) -> bool:
        """Return whether this instance reads the platform itself."""
        live = self.routable()
        with self._lock:
            return self._duty.should_watch(live, time.monotonic())

    def should_load(self) -> bool:
        """Return whether a fresh instance reads the whole configuration from the platform."""
        with self._lock:
            return self._duty.should_load(self._view.has_peers, time.monotonic())

    def _follow(self) -> None:
        while not self._stopped.is_set():
            if not self.should_watch():
                self._stopped.wait(_IDLE_POLL)
                continue
            try:
                answer = self._platform.instances(self.revision)
            except LimpethollowError:
                self._stopped.wait(self._backoff.failed())
                continue
            self._backoff.succeeded()
            self.listed(ListChange(WHOLE_LIST, answer.revision, answer.instances))
            for listener in self._searcher_listeners:
                listener(answer.searchers)
