"""The states of one run of an instance, and the graceful shutdown carried out."""

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
from limpethollow_node.process.members import MemberKeeper
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
_TELL_WORKERS = 8
_WAKEUP_BYTES = 64


@dataclass(slots=True, frozen=True)
class ShutdownHooks:
    """What the shutdown uses of the instance.

    Attributes:
        refuse_tokens: Takes no new booking token from now on.
        tell_peer: Tells one peer; returns for how long its callers may hold the address.
        peers: Ids of the other instances, as listed now.
        held: Seconds for which callers may hold the address from routes given here.
        longest_ttl: Longest time to live of a route answer in force.
        open_work: What is open.
        give_up: Gives everything that still waits its typed answer.
    """

    refuse_tokens: Callable[[], None]
    tell_peer: Callable[[str], float]
    peers: Callable[[], tuple[str, ...]]
    held: Callable[[], float]
    longest_ttl: Callable[[], float]
    open_work: Callable[[], OpenWork]
    give_up: Callable[[], None]


class SignalQueue:
    """Brings signals from their handlers to the main thread that waits for them.

    Two failures are guarded against, both of which show as a signal without effect. A handler runs
    between two steps of the main thread, which may hold the lock of an `Event` just then, so that
    `Event.set` would wait for itself; the put of a `SimpleQueue` is reentrant. And a signal that
    is delivered to another thread, or just before the main thread blocks, only leaves a mark which
    a blocked main thread never looks at; the wake-up descriptor is written by the interpreter in
    whatever thread it is, and ends the `select`.
    """

    def __init__(self) -> None:
        self._queue: SimpleQueue[None] = SimpleQueue()
        self._reader, self._writer = socket.socketpair()
        self._reader.setblocking(False)
        self._writer.setblocking(False)

    def __enter__(self) -> "SignalQueue":
        self._before = signal.set_wakeup_fd(self._writer.fileno(), warn_on_full_buffer=False)
        return self

    def __exit__(self, *_: object) -> None:
        signal.set_wakeup_fd(self._before)

    def put(self) -> None:
        """Note a signal; safe in signal handlers."""
        self._queue.put(None)

    def wait(self, seconds: float | None) -> bool:
        """Wait for a signal, in the main thread; false where none came in time."""
        while self._queue.empty():
            readable, _, _ = select.select([self._reader], [], [], seconds)
            if readable:
                self._reader.recv(_WAKEUP_BYTES)
            elif seconds is not None:
                return False
        self._queue.get()
        return True


class Lifecycle:
    """Holds the state of the run and carries the shutdown's actions out.

    Args:
        linger: Seconds to stay useful at least.
        bound: Seconds from the first signal to the exit at the latest.
    """

    def __init__(self, linger: float, bound: float) -> None:
        self._bound = bound
        self._shutdown = Shutdown(linger, bound)
        self._lock = threading.Lock()
        self._signals = SignalQueue()

    @property
    def state(self) -> InstanceState:
        """The current state."""
        return self._shutdown.state

    @property
    def closing(self) -> bool:
        """Whether callers should close their connections."""
        return self._shutdown.asks_to_close

    def started(self) -> None:
        """Note that all listeners are bound."""
        with self._lock:
            self._shutdown.started(time.monotonic())

    def request_shutdown(self) -> None:
        """Begin the graceful shutdown; a second call ends its waiting. Safe in signal handlers."""
        self._signals.put()

    def run(self, hooks: ShutdownHooks) -> None:
        """Block until the shutdown was asked for, then until the instance may close."""
        with self._signals:
            self._signals.wait(None)
            self._shut_down(hooks)

    def _shut_down(self, hooks: ShutdownHooks) -> None:
        events.STOPPING.log()
        _force_exit_after(self._bound + FORCED_EXIT_SECONDS)
        with ThreadPoolExecutor(_TELL_WORKERS, thread_name_prefix="tell-peer") as tellers:
            self._carry_out(self._asked(hooks), hooks, tellers)
            while self.state is not InstanceState.EXITED:
                if self._signals.wait(_POLL_SECONDS):
                    _force_exit_after(ABORT_RESERVE_SECONDS + FORCED_EXIT_SECONDS)
                    self._carry_out(self._asked(hooks), hooks, tellers)
                self._carry_out(self._tick(hooks), hooks, tellers)

    def _asked(self, hooks: ShutdownHooks) -> list[ShutdownAction]:
        held, ttl, peers = hooks.held(), hooks.longest_ttl(), hooks.peers()
        with self._lock:
            now = time.monotonic()
            return self._shutdown.asked(now, held=held, peers=peers, longest_ttl=ttl)

    def _tick(self, hooks: ShutdownHooks) -> list[ShutdownAction]:
        peers, work = hooks.peers(), hooks.open_work()
        with self._lock:
            actions = self._shutdown.peers_listed(peers)
            return actions + self._shutdown.tick(work, time.monotonic())

    def _carry_out(
        self, actions: list[ShutdownAction], hooks: ShutdownHooks, tellers: ThreadPoolExecutor
    ) -> None:
        for action in actions:
            match action:
                case RefuseTokens():
                    hooks.refuse_tokens()
                case NotifyPeer(peer_id):
                    tellers.submit(self._tell, peer_id, hooks)
                case GiveUp(reason):
                    events.BOUND_REACHED.log(reason=reason, open=hooks.open_work().requests)
                    hooks.give_up()
                case Exit(reason):
                    events.DRAINED.log(reason=reason)

    def _tell(self, peer_id: str, hooks: ShutdownHooks) -> None:
        """Tell one peer, and again while the shutdown wants it."""
        again = True
        while again:
            try:
                held = hooks.tell_peer(peer_id)
            except Exception as error:
                # Whatever it was: a teller that ends unseen would hold the exit until the bound.
                events.PEER_NOT_TOLD.log(peer=peer_id, error=repr(error))
                with self._lock:
                    again = bool(self._shutdown.peer_not_notified(peer_id, time.monotonic()))
                time.sleep(_POLL_SECONDS)
                continue
            with self._lock:
                self._shutdown.peer_notified(peer_id, held, time.monotonic())
            return


class RouteBook:
    """Answers which instances callers may use, and remembers until when they may hold them.

    One lock covers the choice and its note. Otherwise a notice of leaving could be taken in
    between: the leaving instance would be told that nobody holds its address, and the caller that
    gets it a moment later would find the instance gone.

    Args:
        members: The instances.
    """

    def __init__(self, members: MemberKeeper) -> None:
        self._members = members
        self._given = RouteHoldTracker()
        self._lock = threading.Lock()

    def answer(self, ttl: float) -> tuple[InstanceInfo, ...]:
        """Return the instances for a route answer that callers keep for `ttl` seconds."""
        with self._lock:
            instances = self._members.routable()
            self._given.answered(tuple(i.id for i in instances), ttl, time.monotonic())
        return instances

    def peer_leaves(self, instance_id: str, incarnation: str) -> float:
        """Name an instance in no further answer; return how long callers may hold it still."""
        with self._lock:
            now = time.monotonic()
            self._members.heard(instance_id, incarnation, True)
            self._given.forget_expired(now)
            return self._given.held(instance_id, now)


def _force_exit_after(seconds: float) -> None:
    """End the process whatever hangs, such as a library that waits for a frozen peer to close."""
    timer = threading.Timer(seconds, _force_exit)
    timer.daemon = True
    timer.start()


def _force_exit() -> None:
    events.EXIT_FORCED.log()
    os._exit(EXIT_FORCED)
