"""Lifecycle of an instance, from startup to the end of its graceful shutdown."""

import os
import select
import signal
import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from queue import SimpleQueue

from limpethollow_node.process import events
from limpethollow_node.process.members import MembershipTracker
from limpethollow_policy.process.shutdowns import (
    ABORT_RESERVE_SECONDS,
    FORCED_EXIT_SECONDS,
    Exit,
    GiveUp,
    InstanceState,
    NotifyPeer,
    OpenWork,
    RefuseTokens,
    RouteHoldTracker,
    Shutdown,
    ShutdownAction,
)
from limpethollow_wire.instances import InstanceInfo

EXIT_FORCED = 4

_POLL_SECONDS = 0.02
_NOTIFY_WORKERS = 8
_WAKEUP_BYTES = 64


@dataclass(slots=True, frozen=True)
class ShutdownHooks:
    """Functions of the instance that the shutdown calls.

    Attributes:
        refuse_tokens: Stops accepting new booking tokens.
        notify_peer: Notifies one peer that this instance is leaving; returns the seconds for which
            callers of that peer may still hold this instance's address.
        peers: Returns the ids of the other instances that are currently listed.
        held: Returns the seconds for which callers may still hold this instance's address from
            route answers that it gave itself.
        longest_ttl: Returns the longest time to live of a route answer in force.
        open_work: Returns the open work.
        give_up: Ends everything that is still waiting with a typed answer.
    """

    refuse_tokens: Callable[[], None]
    notify_peer: Callable[[str], float]
    peers: Callable[[], tuple[str, ...]]
    held: Callable[[], float]
    longest_ttl: Callable[[], float]
    open_work: Callable[[], OpenWork]
    give_up: Callable[[], None]


class SignalQueue:
    """Passes signals from their handlers to the main thread that waits for them.

    Guards against two failures in which a signal would have no effect:

    - A handler runs between two bytecode instructions of the main thread, which may hold the lock
      of an `Event` at that moment, so `Event.set` would deadlock. `SimpleQueue.put` is reentrant.
    - A signal that is delivered to another thread, or just before the main thread blocks, only sets
      a flag that a blocked main thread never checks. The interpreter writes to the wake-up file
      descriptor in whichever thread receives the signal, which ends the `select`.
    """

    def __init__(self) -> None:
        self._queue: SimpleQueue[None] = SimpleQueue()
        self._reader, self._writer = socket.socketpair()
        self._reader.setblocking(False)
        self._writer.setblocking(False)

    def __enter__(self) -> "SignalQueue":
        self._previous_wakeup_fd = signal.set_wakeup_fd(
            self._writer.fileno(), warn_on_full_buffer=False
        )
        return self

    def __exit__(self, *_: object) -> None:
        signal.set_wakeup_fd(self._previous_wakeup_fd)

    def put(self) -> None:
        """Record a signal; safe to call in signal handlers."""
        self._queue.put(None)

    def wait(self, seconds: float | None) -> bool:
        """Wait for a signal in the main thread; return False if none arrives in time."""
        while self._queue.empty():
            readable, _, _ = select.select([self._reader], [], [], seconds)
            if readable:
                self._reader.recv(_WAKEUP_BYTES)
            elif seconds is not None:
                return False
        self._queue.get()
        return True


class Lifecycle:
    """Tracks the state of the instance and executes the actions of its shutdown.

    Args:
        linger: Minimum number of seconds for which the instance keeps serving during shutdown.
        bound: Maximum number of seconds from the first signal to the exit.
    """

    def __init__(self, linger: float, bound: float) -> None:
        self._bound = bound
        self._shutdown = Shutdown(linger, bound)
        self._lock = threading.Lock()
        self._signals = SignalQueue()

    @property
    def state(self) -> InstanceState:
        """Current state of the instance."""
        return self._shutdown.state

    @property
    def closing(self) -> bool:
        """Whether callers should close their connections."""
        return self._shutdown.asks_to_close

    @property
    def refusing(self) -> bool:
        """Whether requests that change something or take long are refused at once."""
        return self._shutdown.refuses_work(time.monotonic())

    def started(self) -> None:
        """Record that all listeners are bound."""
        with self._lock:
            self._shutdown.started(time.monotonic())

    def request_shutdown(self) -> None:
        """Start the graceful shutdown; a second call ends its wait. Safe in signal handlers."""
        self._signals.put()

    def run(self, hooks: ShutdownHooks) -> None:
        """Block until a shutdown is requested and the instance may close."""
        with self._signals:
            self._signals.wait(None)
            self._shut_down(hooks)

    def _shut_down(self, hooks: ShutdownHooks) -> None:
        events.STOPPING.log()
        _force_exit_after(self._bound + FORCED_EXIT_SECONDS)
        with ThreadPoolExecutor(_NOTIFY_WORKERS, thread_name_prefix="tell-peer") as executor:
            self._execute(self._handle_shutdown_request(hooks), hooks, executor)
            while self.state is not InstanceState.EXITED:
                if self._signals.wait(_POLL_SECONDS):
                    _force_exit_after(ABORT_RESERVE_SECONDS + FORCED_EXIT_SECONDS)
                    self._execute(self._handle_shutdown_request(hooks), hooks, executor)
                self._execute(self._tick(hooks), hooks, executor)

    def _handle_shutdown_request(self, hooks: ShutdownHooks) -> list[ShutdownAction]:
        held, ttl, peers = hooks.held(), hooks.longest_ttl(), hooks.peers()
        with self._lock:
            now = time.monotonic()
            return self._shutdown.asked(now, held=held, peers=peers, longest_ttl=ttl)

    def _tick(self, hooks: ShutdownHooks) -> list[ShutdownAction]:
        peers, work = hooks.peers(), hooks.open_work()
        with self._lock:
            actions = self._shutdown.peers_listed(peers)
            return actions + self._shutdown.tick(work, time.monotonic())

    def _execute(
        self, actions: list[ShutdownAction], hooks: ShutdownHooks, executor: ThreadPoolExecutor
    ) -> None:
        for action in actions:
            match action:
                case RefuseTokens():
                    hooks.refuse_tokens()
                case NotifyPeer(peer_id):
                    executor.submit(self._notify_peer, peer_id, hooks)
                case GiveUp(reason):
                    events.SHUTDOWN_LIMIT_REACHED.log(
                        reason=reason, open=hooks.open_work().requests
                    )
                    hooks.give_up()
                case Exit(reason):
                    events.DRAINED.log(reason=reason)

    def _notify_peer(self, peer_id: str, hooks: ShutdownHooks) -> None:
        """Notify one peer, and retry for as long as the shutdown requires it."""
        retry = True
        while retry:
            try:
                held = hooks.notify_peer(peer_id)
            except Exception as error:
                # Catch all errors: if this task ended unnoticed, the exit would wait for the bound.
                events.PEER_NOT_NOTIFIED.log(peer=peer_id, error=repr(error))
                with self._lock:
                    retry = bool(self._shutdown.peer_not_notified(peer_id, time.monotonic()))
                time.sleep(_POLL_SECONDS)
                continue
            with self._lock:
                self._shutdown.peer_notified(peer_id, held, time.monotonic())
            return


class RouteSelector:
    """Selects instances for route answers and records how long callers may hold them.

    One lock covers both the selection and its record. Otherwise a notice that an instance is
    leaving could be processed in between: that instance would be told that no caller holds its
    address, and a caller that receives the address a moment later would find the instance gone.

    Args:
        members: Known instances.
    """

    def __init__(self, members: MembershipTracker) -> None:
        self._members = members
        self._route_holds = RouteHoldTracker()
        self._lock = threading.Lock()

    def answer(self, ttl: float) -> tuple[InstanceInfo, ...]:
        """Return the instances for a route answer that callers may hold for `ttl` seconds."""
        with self._lock:
            instances = self._members.routable()
            self._route_holds.answered(tuple(i.id for i in instances), ttl, time.monotonic())
        return instances

    def withdraw_peer(self, instance_id: str, incarnation: str) -> float:
        """Exclude a leaving instance from answers; return how long callers may still hold it."""
        with self._lock:
            now = time.monotonic()
            self._members.heard(instance_id, incarnation, True)
            self._route_holds.forget_expired(now)
            return self._route_holds.held(instance_id, now)


def _force_exit_after(seconds: float) -> None:
    """Exit after a delay even if something hangs, such as a library waiting for a frozen peer."""
    timer = threading.Timer(seconds, _force_exit)
    timer.daemon = True
    timer.start()


def _force_exit() -> None:
    events.EXIT_FORCED.log()
    os._exit(EXIT_FORCED)
