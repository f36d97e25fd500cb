"""Keeps the list of instances and their states up to date."""

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
from limpethollow_wire.peers import Hello, InstanceListUpdate

_INITIAL_BACKOFF_SECONDS = 0.1
_MAX_BACKOFF_SECONDS = 5.0
_IDLE_POLL_SECONDS = 0.5


class MembershipTracker:
    """Thread-safe membership view that also watches the platform's list of instances.

    Only some instances watch the platform; see `should_watch`.

    Args:
        own_id: Id of this instance.
        failure_domain: Failure domain that this instance runs in.
        platform: Client of the platform.
        rng: Random source for jitter.
    """

    def __init__(
        self, own_id: str, failure_domain: str, platform: PlatformClient, rng: Random
    ) -> None:
        self._own_id = own_id
        self._failure_domain = failure_domain
        self._platform = platform
        self._lock = threading.Lock()
        self._view = Membership(own_id)
        self._watch_role = PlatformWatchRole(own_id, failure_domain, time.monotonic(), rng)
        self._started_at: dict[str, tuple[str, float]] = {}
        self._backoff = Backoff(_INITIAL_BACKOFF_SECONDS, _MAX_BACKOFF_SECONDS, rng)
        self._listeners: list[Callable[[], None]] = []
        self._searcher_listeners: list[Callable[[tuple[SearcherListing, ...]], None]] = []
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._watch_platform, name="members", daemon=True)

    def __enter__(self) -> "MembershipTracker":
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
        """Revision of the list, -1 before a list was received."""
        with self._lock:
            return self._view.revision

    @property
    def has_peers(self) -> bool:
        """Whether any other instance is known."""
        with self._lock:
            return self._view.has_peers

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a function whenever the list changes."""
        self._listeners.append(listener)

    def add_searcher_listener(
        self, listener: Callable[[tuple[SearcherListing, ...]], None]
    ) -> None:
        """Call a function with the searchers of each list that this instance reads itself."""
        self._searcher_listeners.append(listener)

    def listed(self, change: InstanceListUpdate) -> None:
        """Apply a full list or a change, received from the platform or from a peer."""
        with self._lock:
            applied = self._view.listed(change, time.monotonic())
            self._started_at = {
                i: started_at for i, started_at in self._started_at.items() if self._view.get(i)
            }
        if not applied:
            return
        events.MEMBERS_CHANGED.log(revision=change.revision, changed=len(change.listed))
        for listener in self._listeners:
            listener()

    def changes_since(self, revision: int) -> InstanceListUpdate:
        """Return the changes since a revision, or the whole list if they are no longer kept."""
        with self._lock:
            return self._view.changes_since(revision)

    def hello_received(self, hello: Hello, dialled: bool = False) -> None:
        """Record the hello of an instance."""
        now = time.monotonic()
        with self._lock:
            self._view.hello_received(hello, now, dialled)
            if self._view.incarnation(hello.instance) == hello.incarnation:
                self._started_at[hello.instance] = (hello.incarnation, now - hello.age)

    def heard(self, instance_id: str, incarnation: str, leaving: bool) -> None:
        """Record the incarnation of an instance and whether it is shutting down."""
        with self._lock:
            self._view.heard(instance_id, incarnation, leaving, time.monotonic())

    def age(self, instance_id: str, incarnation: str) -> float | None:
        """Return how long an instance has been running, in seconds; None if unknown."""
        with self._lock:
            heard, started_at = self._started_at.get(instance_id, ("", 0.0))
        return time.monotonic() - started_at if heard == incarnation else None

    def answered(self, instance_id: str) -> None:
        """Record that an instance replied to a request from this one."""
        with self._lock:
            self._view.answered(instance_id, time.monotonic())

    def asked(self, instance_id: str, relay: bool) -> None:
        """Record a request from another instance.

        Args:
            instance_id: The other instance.
            relay: Whether it sent the request as a relay for this instance's failure domain.
        """
        now = time.monotonic()
        with self._lock:
            self._view.asked(instance_id, now)
            if relay:
                self._watch_role.relay_message_received(now)

    def unreachable(self, instance_id: str) -> None:
        """Record that a link to an instance failed."""
        with self._lock:
            self._view.unreachable(instance_id, time.monotonic())

    def incarnation(self, instance_id: str) -> str:
        """Return the last known incarnation of an instance; empty if unknown."""
        with self._lock:
            return self._view.incarnation(instance_id)

    def get(self, instance_id: str) -> InstanceInfo | None:
        """Return a known instance; None if the id is not known."""
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
            return {i.id: self._view.state(i.id, now) for i in self._view.all_instances(now)}

    def all_instances(self) -> tuple[InstanceInfo, ...]:
        """Return all known instances."""
        with self._lock:
            return self._view.all_instances(time.monotonic())

    def peers(self) -> tuple[InstanceInfo, ...]:
        """Return all known instances except this one."""
        with self._lock:
            return self._view.peers(time.monotonic())

    def routable(self) -> tuple[InstanceInfo, ...]:
        """Return the instances that callers may be sent to."""
        with self._lock:
            return self._view.routable(time.monotonic())

    def relays(self, failure_domain: str) -> tuple[str, ...]:
        """Return the ids of the relays of a failure domain, preferred first."""
        return relays_of(failure_domain, self.routable())

    def followers(self) -> tuple[str, ...]:
        """Return the peers that this instance relays updates to; none if it is not a relay."""
        live = self.routable()
        with self._lock:
            if not self._watch_role.is_relay(live):
                return ()
        same_domain = [i.id for i in live if i.failure_domain == self._failure_domain]
        return tuple(i for i in same_domain if i != self._own_id)

    def should_watch(self) -> bool:
        """Return whether this instance has to watch the platform itself."""
        live = self.routable()
        with self._lock:
            return self._watch_role.should_watch(live, time.monotonic())

    def should_load(self) -> bool:
        """Return whether a new instance loads the whole configuration from the platform."""
        with self._lock:
            return self._watch_role.should_load(self._view.has_peers, time.monotonic())

    def _watch_platform(self) -> None:
        while not self._stopped.is_set():
            if not self.should_watch():
                self._stopped.wait(_IDLE_POLL_SECONDS)
                continue
            try:
                self._update_once()
            except LimpethollowError:
                self._stopped.wait(self._backoff.failed())
                continue
            except Exception as error:
                # If this thread ended, the instance would keep a stale list.
                events.UNEXPECTED_ERROR.log(where="members", error=repr(error), exc_info=True)
                self._stopped.wait(self._backoff.failed())
                continue
            self._backoff.succeeded()

    def _update_once(self) -> None:
        response = self._platform.instances(self.revision)
        self.listed(InstanceListUpdate(WHOLE_LIST, response.revision, response.instances))
        for listener in self._searcher_listeners:
            listener(response.searchers)
