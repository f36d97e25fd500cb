"""The graceful shutdown of one instance, from the first signal to its exit.

The instance goes through these states, and never back:

    starting -> serving -> leaving -> closing -> given_up -> exited
                              |          |                     ^
                              +----------+---------------------+

`leaving` lasts until every address that callers hold has expired, `closing` until nothing is open
any more. The bound, or a second signal, ends either of them by `given_up`, in which all that still
waits gets a true typed answer.
"""

from dataclasses import dataclass
from enum import StrEnum

ABORT_RESERVE_SECONDS = 1.5
FORCED_EXIT_SECONDS = 2.0
TRANSIT_SECONDS = 0.5
UNTOLD_SECONDS = 2.0
QUIET_SECONDS = 0.5


class InstanceState(StrEnum):
    """What an instance does with requests.

    Attributes:
        STARTING: It binds its listeners.
        SERVING: It takes all requests.
        LEAVING: It answers all requests, but takes no new booking token and is in no new route.
        CLOSING: As leaving; replies ask callers to close their connections.
        GIVEN_UP: Whatever still waits gets its typed answer now.
        EXITED: The listeners are closed.
    """

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    CLOSING = "closing"
    GIVEN_UP = "given_up"
    EXITED = "exited"


class ExitReason(StrEnum):
    """Why the waiting ended.

    Attributes:
        DRAINED: Nothing was open any more.
        BOUND: The bound was reached with requests still open.
        SECOND_SIGNAL: A second signal asked for the end.
    """

    DRAINED = "drained"
    BOUND = "bound"
    SECOND_SIGNAL = "second_signal"


LEAVING_STATES = frozenset(
    {InstanceState.LEAVING, InstanceState.CLOSING, InstanceState.GIVEN_UP, InstanceState.EXITED}
)


@dataclass(slots=True, frozen=True)
class RefuseTokens:
    """Take no booking token that was not seen before; it is refused as not run."""


@dataclass(slots=True, frozen=True)
class TellPeer:
    """Tell one peer that this instance is leaving, and ask how long callers may keep it."""

    peer_id: str


@dataclass(slots=True, frozen=True)
class GiveUp:
    """Give everything that still waits its typed answer now."""

    reason: ExitReason


@dataclass(slots=True, frozen=True)
class Exit:
    """Close the listeners and end the process."""

    reason: ExitReason


ShutdownAction = RefuseTokens | TellPeer | GiveUp | Exit


@dataclass(slots=True, frozen=True)
class OpenWork:
    """What is open at the instance.

    Attributes:
        requests: Requests of callers and of peers that have no answer yet.
        last_arrival: Monotonic second of the last search or booking of a caller. Route answers and
            look-ups are left out: they are safe to repeat, and callers that ask for routes here
            again and again must not hold the exit.
    """

    requests: int
    last_arrival: float


class RoutesGiven:
    """Until when callers may hold an instance's address, by the route answers given here."""

    __slots__ = ("_until",)

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def answered(self, instance_ids: tuple[str, ...], ttl: float, now: float) -> None:
        """Note a route answer that names these instances."""
        for instance_id in instance_ids:
            self._until[instance_id] = max(self._until.get(instance_id, 0.0), now + ttl)

    def held(self, instance_id: str, now: float) -> float:
        """Return for how many seconds callers may still hold an instance's address."""
        return max(self._until.get(instance_id, 0.0) - now, 0.0)

    def forget_expired(self, now: float) -> None:
        """Drop what no caller holds any more, so that replaced instances leave nothing behind."""
        self._until = {key: until for key, until in self._until.items() if until > now}


class Shutdown:
    """Decides when an instance that was asked to leave may close and exit.

    The wait is worked out from the route answers that were really given, here and at each peer, so
    it is neither a guess that cuts callers off nor longer than needed.

    Args:
        linger: Seconds to stay useful at least.
        bound: Seconds from the first signal to the exit at the latest.
    """

    __slots__ = (
        "_abort_at",
        "_bound",
        "_held_until",
        "_known_peers",
        "_linger",
        "_reason",
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
        self._untold: set[str] = set()
        self._known_peers: set[str] = set()
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

        Not while leaving: callers who still hold the address would pay for a new connection with
        every request.
        """
        return self.is_leaving and self._state is not InstanceState.LEAVING

    @property
    def held_until(self) -> float:
        """Monotonic second until which callers may hold this instance's address."""
        return self._held_until

    def started(self, now: float) -> None:
        """Note that all listeners are bound; a signal that came before keeps its effect."""
        if self._state is InstanceState.STARTING:
            self._enter(InstanceState.SERVING, now)

    def asked(
        self, now: float, *, held: float, peers: tuple[str, ...], longest_ttl: float
    ) -> list[ShutdownAction]:
        """Take in a signal; the second one ends all waiting.

        Args:
            now: Monotonic second.
            held: Seconds for which callers may hold the address from routes given here.
            peers: Instances that may name this one in their route answers.
            longest_ttl: Longest time to live of a route answer in force.
        """
        if self.is_leaving:
            return self._give_up(ExitReason.SECOND_SIGNAL, now)
        self._enter(InstanceState.LEAVING, now)
        self._abort_at = now + max(self._bound - ABORT_RESERVE_SECONDS, self._bound / 2)
        self._held_until = now + max(self._linger, held + TRANSIT_SECONDS if held else 0.0)
        self._untold_ttl = longest_ttl
        return [RefuseTokens(), *self.peers_listed(peers)]

    def peers_listed(self, peers: tuple[str, ...]) -> list[ShutdownAction]:
        """Tell peers that were not told yet; the lagging list may show new ones while leaving."""
        if self._state is not InstanceState.LEAVING:
            return []
        new = [peer for peer in peers if peer not in self._known_peers]
        self._known_peers.update(new)
        self._untold.update(new)
        return [TellPeer(peer) for peer in new]

    def peer_told(self, peer_id: str, held: float, now: float) -> None:
        """Take in that a peer names this instance no more, and how long its callers hold it."""
        self._untold.discard(peer_id)
        if held > 0:
            self._held_until = max(self._held_until, now + held + TRANSIT_SECONDS)

    def peer_not_told(self, peer_id: str, now: float) -> list[ShutdownAction]:
        """Take in that a peer could not be told; it is told again for a while.

        A peer that can't be reached may go on naming this instance until the platform's list shows
        it as leaving. Waiting for that without end would let one dead peer hold every shutdown, so
        it counts as if it had named this instance until `UNTOLD_SECONDS` after the signal.
        """
        if self._state is not InstanceState.LEAVING or peer_id not in self._untold:
            return []
        if now < self._state_since + UNTOLD_SECONDS:
            return [TellPeer(peer_id)]
        self._untold.discard(peer_id)
        until = self._state_since + UNTOLD_SECONDS + self._untold_ttl + TRANSIT_SECONDS
        self._held_until = max(self._held_until, until)
        return []

    def tick(self, work: OpenWork, now: float) -> list[ShutdownAction]:
        """Act on the passage of time."""
        if self._state is InstanceState.LEAVING and not self._untold and now >= self._held_until:
            self._enter(InstanceState.CLOSING, now)
        if self._state is InstanceState.CLOSING and self._is_drained(work, now):
            self._enter(InstanceState.EXITED, now)
            return [Exit(ExitReason.DRAINED)]
        if self._state in (InstanceState.LEAVING, InstanceState.CLOSING) and now >= self._abort_at:
            return self._give_up(ExitReason.BOUND, now)
        if self._state is InstanceState.GIVEN_UP and self._gave_up_long_enough(work, now):
            self._enter(InstanceState.EXITED, now)
            return [Exit(self._reason)]
        return []

    def _is_drained(self, work: OpenWork, now: float) -> bool:
        """Return whether closing now cuts nothing off.

        A request may arrive on a kept connection in the very moment in which the server closes it
        as idle; the caller would see a reset and not know whether it ran. So idle connections are
        only closed after a quiet time, in which no caller that honours its route can have sent.
        """
        return (
            not work.requests and now >= max(self._state_since, work.last_arrival) + QUIET_SECONDS
        )

    def _gave_up_long_enough(self, work: OpenWork, now: float) -> bool:
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
