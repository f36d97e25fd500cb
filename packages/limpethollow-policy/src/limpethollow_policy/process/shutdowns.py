"""The graceful shutdown of one instance, from the first signal to its exit.

The instance passes through these states and never returns to an earlier one:

    starting -> serving -> leaving -> closing -> given_up -> exited
                              |          |                     ^
                              +----------+---------------------+

`leaving` lasts until no caller holds an unexpired route to the instance, `closing` until no work is
open any more. The time limit or a second signal ends either state early: in `given_up`, all
requests that still wait get a truthful typed answer.
"""

from dataclasses import dataclass
from enum import StrEnum

ABORT_RESERVE_SECONDS = 1.5
FORCED_EXIT_SECONDS = 2.0
TRANSIT_SECONDS = 0.5
NOTIFY_SECONDS = 2.0
QUIET_PERIOD_SECONDS = 0.5
# Share of the time limit after which requests are refused. What begins later has little time left,
# and where it may not be repeated, its outcome would be unknown.
REFUSE_SHARE = 0.75


class InstanceState(StrEnum):
    """How an instance treats requests.

    Attributes:
        STARTING: It is binding its listeners.
        SERVING: It accepts all requests.
        LEAVING: It answers all requests, but accepts no new booking tokens and is in no new routes.
        CLOSING: Like `LEAVING`, and replies ask callers to close their connections.
        GIVEN_UP: All requests that still wait get their typed answers now.
        EXITED: The listeners are closed.
    """

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    CLOSING = "closing"
    GIVEN_UP = "given_up"
    EXITED = "exited"


class ExitReason(StrEnum):
    """Why the shutdown stopped waiting.

    Attributes:
        DRAINED: No work was open any more.
        BOUND: The time limit was reached with requests still open.
        SECOND_SIGNAL: A second signal requested an immediate exit.
    """

    DRAINED = "drained"
    BOUND = "bound"
    SECOND_SIGNAL = "second_signal"


LEAVING_STATES = frozenset(
    {InstanceState.LEAVING, InstanceState.CLOSING, InstanceState.GIVEN_UP, InstanceState.EXITED}
)


@dataclass(slots=True, frozen=True)
class RefuseTokens:
    """Refuse booking tokens that were not seen before, and report those bookings as not run."""


@dataclass(slots=True, frozen=True)
class NotifyPeer:
    """Tell a peer that this instance is leaving, and ask how long callers may hold its address."""

    peer_id: str


@dataclass(slots=True, frozen=True)
class GiveUp:
    """Answer all requests that still wait with their typed errors now."""

    reason: ExitReason


@dataclass(slots=True, frozen=True)
class Exit:
    """Close the listeners and exit the process."""

    reason: ExitReason


ShutdownAction = RefuseTokens | NotifyPeer | GiveUp | Exit


@dataclass(slots=True, frozen=True)
class OpenWork:
    """The open work of the instance.

    Attributes:
        requests: Number of unanswered requests of callers and peers.
        last_arrival: Monotonic time in seconds of the last search or booking from a caller. Route
            requests and look-ups don't count: they are safe to repeat, and callers that keep
            requesting routes here must not delay the exit.
    """

    requests: int
    last_arrival: float


class RouteHoldTracker:
    """Tracks how long callers may keep using the addresses in this instance's route answers."""

    __slots__ = ("_until",)

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def answered(self, instance_ids: tuple[str, ...], ttl: float, now: float) -> None:
        """Record a route answer that names these instances."""
        for instance_id in instance_ids:
            self._until[instance_id] = max(self._until.get(instance_id, 0.0), now + ttl)

    def held(self, instance_id: str, now: float) -> float:
        """Return the seconds for which callers may still hold an instance's address."""
        return max(self._until.get(instance_id, 0.0) - now, 0.0)

    def forget_expired(self, now: float) -> None:
        """Drop expired entries, so that replaced instances don't use memory."""
        self._until = {key: until for key, until in self._until.items() if until > now}


class Shutdown:
    """Decides when an instance that was asked to leave may close and exit.

    The wait is computed from the route answers actually given, here and at every peer, so it
    neither cuts callers off nor lasts longer than necessary.

    Args:
        linger: Minimum time in seconds during which requests are still served.
        bound: Maximum time in seconds from the first signal to the exit.
    """

    __slots__ = (
        "_abort_at",
        "_bound",
        "_held_until",
        "_seen_peers",
        "_linger",
        "_reason",
        "_refuse_at",
        "_state",
        "_state_since",
        "_untold",
        "_untold_ttl",
    )

    def __init__(self, linger: float, bound: float) -> None:
        self._linger = linger
        self._bound = bound
        self._state = InstanceState.STARTING
        self._state_since = 0.0
        self._reason = ExitReason.DRAINED
        self._held_until = 0.0
        self._abort_at = float("inf")
        self._refuse_at = float("inf")
        self._untold: set[str] = set()
        self._seen_peers: set[str] = set()
        self._untold_ttl = 0.0

    @property
    def state(self) -> InstanceState:
        """The current state."""
        return self._state

    @property
    def is_leaving(self) -> bool:
        """Whether the instance was asked to leave."""
        return self._state in LEAVING_STATES

    @property
    def asks_to_close(self) -> bool:
        """Whether replies ask callers to close their connections.

        This is not the case while leaving: callers that still hold the address would need a new
        connection for every request.
        """
        return self.is_leaving and self._state is not InstanceState.LEAVING

    def refuses_work(self, now: float) -> bool:
        """Return whether searches and bookings are refused before anything is done for them."""
        if self._state in (InstanceState.GIVEN_UP, InstanceState.EXITED):
            return True
        return self.is_leaving and now >= self._refuse_at

    @property
    def held_until(self) -> float:
        """Monotonic time in seconds until which callers may hold this instance's address."""
        return self._held_until

    def started(self, now: float) -> None:
        """Record that all listeners are bound; an earlier signal remains in effect."""
        if self._state is InstanceState.STARTING:
            self._enter(InstanceState.SERVING, now)

    def asked(
        self, now: float, *, held: float, peers: tuple[str, ...], longest_ttl: float
    ) -> list[ShutdownAction]:
        """Process a shutdown signal; the second one ends all waiting.

        Args:
            now: Current monotonic time in seconds.
            held: Seconds for which callers may hold the address from route answers given here.
            peers: Instances that may name this one in their route answers.
            longest_ttl: Longest time to live of any route answer in force.
        """
        if self.is_leaving:
            return self._give_up(ExitReason.SECOND_SIGNAL, now)
        self._enter(InstanceState.LEAVING, now)
        self._refuse_at = now + self._bound * REFUSE_SHARE
        self._abort_at = now + max(self._bound - ABORT_RESERVE_SECONDS, self._bound / 2)
        self._held_until = now + max(self._linger, held + TRANSIT_SECONDS if held else 0.0)
        self._untold_ttl = longest_ttl
        return [RefuseTokens(), *self.peers_listed(peers)]

    def peers_listed(self, peers: tuple[str, ...]) -> list[ShutdownAction]:
        """Tell newly listed peers; the list lags behind and may show new ones while leaving."""
        if self._state is not InstanceState.LEAVING:
            return []
        new = [peer for peer in peers if peer not in self._seen_peers]
        self._seen_peers.update(new)
        self._untold.update(new)
        return [NotifyPeer(peer) for peer in new]

    def peer_notified(self, peer_id: str, held: float, now: float) -> None:
        """Record that a peer no longer names this instance, and how long its callers hold it."""
        self._untold.discard(peer_id)
        if held > 0:
            self._held_until = max(self._held_until, now + held + TRANSIT_SECONDS)

    def peer_not_notified(self, peer_id: str, now: float) -> list[ShutdownAction]:
        """Process a failed attempt to tell a peer; it is retried for a limited time.

        An unreachable peer may continue to name this instance until the platform's list shows the
        instance as leaving. Waiting for such a peer indefinitely would let one dead peer block
        every shutdown, so it is assumed to have named this instance until `NOTIFY_SECONDS` after
        the signal.
        """
        if self._state is not InstanceState.LEAVING or peer_id not in self._untold:
            return []
        if now < self._state_since + NOTIFY_SECONDS:
            return [NotifyPeer(peer_id)]
        self._untold.discard(peer_id)
        until = self._state_since + NOTIFY_SECONDS + self._untold_ttl + TRANSIT_SECONDS
        self._held_until = max(self._held_until, until)
        return []

    def tick(self, work: OpenWork, now: float) -> list[ShutdownAction]:
        """Advance the shutdown by the current time and open work."""
        if self._state is InstanceState.LEAVING and not self._untold and now >= self._held_until:
            self._enter(InstanceState.CLOSING, now)
        if self._state is InstanceState.CLOSING and self._is_drained(work, now):
            self._enter(InstanceState.EXITED, now)
            return [Exit(ExitReason.DRAINED)]
        if self._state in (InstanceState.LEAVING, InstanceState.CLOSING) and now >= self._abort_at:
            return self._give_up(ExitReason.BOUND, now)
        if self._state is InstanceState.GIVEN_UP and self._is_given_up_over(work, now):
            self._enter(InstanceState.EXITED, now)
            return [Exit(self._reason)]
        return []

    def _is_drained(self, work: OpenWork, now: float) -> bool:
        """Return whether closing now interrupts no request.

        A request may arrive on a keep-alive connection just as the server closes it as idle; the
        caller would see a reset and not know whether the request ran. Idle connections are
        therefore closed only after a quiet period, in which no caller that honours the lifetime of
        its route can have sent a request.
        """
        return (
            not work.requests
            and now >= max(self._state_since, work.last_arrival) + QUIET_PERIOD_SECONDS
        )

    def _is_given_up_over(self, work: OpenWork, now: float) -> bool:
        return not work.requests or now >= self._state_since + ABORT_RESERVE_SECONDS

    def _give_up(self, reason: ExitReason, now: float) -> list[ShutdownAction]:
        if self._state in (InstanceState.GIVEN_UP, InstanceState.EXITED):
            return []
        self._enter(InstanceState.GIVEN_UP, now)
        self._reason = reason
        return [GiveUp(reason)]

    def _enter(self, state: InstanceState, now: float) -> None:
        self._state = state
        self._state_since = now
