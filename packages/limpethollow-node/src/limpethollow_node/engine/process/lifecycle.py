"""When this instance takes callers: its start, its isolation, and its graceful shutdown."""

import asyncio
import socket
import time
from collections.abc import Sequence

from limpethollow_node.engine.connection.callers import CallerServer
from limpethollow_node.engine.process.catalog import Catalog
from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.engine.process.engine import Engine
from limpethollow_node.engine.process.peers import Peers
from limpethollow_node.engine.process.roster import Roster
from limpethollow_node.process import events
from limpethollow_policy.process.stalls import StallWatch

# Callers that connect to a process that is just starting wait in the listener's queue at most this
# long for the first configuration, which takes 10 ms from the store or a peer that answers. Without
# one they are refused then.
FIRST_NEWS_SECONDS = 0.25
# Phases of a graceful shutdown, as shares of the time until the platform kills the process. Until
# the first, all requests are taken: callers keep what the directory said for up to three times as
# long as it asks them to, and then connect here. Then it ends as soon as nothing is open. From the
# second on, new requests are refused, since they might not end in time; at the third, what is still
# open is answered; at the last, it ends whether callers have read their answers or not.
_STAY_SHARE = 0.6
_REFUSE_SHARE = 0.75
_LAST_SHARE = 0.93
_EXIT_SHARE = 0.96
_LOOK_SECONDS = 0.02
# What was written last still has to leave the socket.
_LINGER_SECONDS = 0.1


class Lifecycle:
    """Opens the listeners, notices an isolation, and ends the instance without losing a request.

    Usage:
        await lifecycle.open([(front, listener)])
        await lifecycle.wait_for_leave()
        await lifecycle.leave(grace=6.0)

    Args:
        dispatch: The calls to searchers.
        engine: The request path.
        catalog: What is known of the world.
        roster: The other instances.
        peers: The links to them.
        front: Takes callers' requests.
    """

    __slots__ = (
        "_asked_at",
        "_catalog",
        "_dispatch",
        "_engine",
        "_front",
        "_leaving",
        "_peers",
        "_roster",
        "_stalls",
    )

    def __init__(
        self,
        dispatch: Dispatch,
        engine: Engine,
        catalog: Catalog,
        roster: Roster,
        peers: Peers,
        front: CallerServer,
    ) -> None:
        self._dispatch = dispatch
        self._engine = engine
        self._catalog = catalog
        self._roster = roster
        self._peers = peers
        self._front = front
        self._leaving = asyncio.Event()
        self._stalls = StallWatch(_uptime())
        self._asked_at = 0.0

    @property
    def is_ready(self) -> bool:
        """Return whether callers are served now."""
        return (
            not self._leaving.is_set()
            and not self._dispatch.isolation.is_isolated
            and self._engine.versions.current is not None
            and len(self._dispatch.fleet) > 0
        )

    def ask_to_leave(self) -> None:
        """Begin the graceful shutdown; further calls change nothing."""
        if not self._leaving.is_set():
            self._asked_at = self._stalls.came_from(_uptime())
            self._leaving.set()

    async def wait_for_leave(self) -> None:
        """Return once the shutdown was asked for."""
        await self._leaving.wait()

    async def open(self, doors: Sequence[tuple[CallerServer, socket.socket]]) -> None:
        """Take callers once they can be served, or after a moment if that takes longer.

        Args:
            doors: Servers and their bound listeners, in whose queues callers wait meanwhile.
        """
        loop = asyncio.get_running_loop()
        last = loop.time() + FIRST_NEWS_SECONDS
        while not self.is_ready and loop.time() < last:
            await asyncio.sleep(_LOOK_SECONDS)
        for server, listener in doors:
            await server.serve(listener)
        events.LISTENING.log(ready=self.is_ready)

    def tick(self, now: float) -> None:
        """Do what has no event of its own to wait for; called a few times a second."""
        self._stalls.ran(_uptime())
        self._look_around(now)
        self._roster.ready = self.is_ready
        self._catalog.tick(now)
        self._dispatch.sweep(now)
        if self.is_ready:
            self._dispatch.warm()

    async def leave(self, servers: Sequence[CallerServer], grace: float) -> None:
        """Take no new callers, answer all that was read, and end before the platform ends us.

        Args:
            servers: All servers, that for callers' requests included.
            grace: Seconds after which the platform kills the process.
        """
        begun = self._asked_at
        events.STOPPING.log(late_s=round(_uptime() - begun, 3))
        self._roster.ready = False
        for server in servers:
            server.leaving = True
        self._peers.leave()
        quiet_from = begun + grace * _STAY_SHARE
        refused_from = begun + grace * _REFUSE_SHARE
        while (now := _uptime()) < begun + grace * _LAST_SHARE:
            self._engine.refuses = now > refused_from
            if now > quiet_from and self._front.is_quiet:
                break
            await asyncio.sleep(_LOOK_SECONDS)
        self._engine.refuses = True
        self._front.stop_listening()
        self._front.close_idle()
        events.DRAINED.log(open=len(self._front.connections), after_s=_uptime() - begun)
        self._engine.end_all()
        await self._flush(begun + grace * _EXIT_SHARE)

    async def _flush(self, until: float) -> None:
        """Wait until callers have read their answers, but not past a second of the uptime."""
        while self._front.has_unsent and _uptime() + _LINGER_SECONDS < until:
            await asyncio.sleep(_LOOK_SECONDS)
        await asyncio.sleep(_LINGER_SECONDS)

    def _look_around(self, now: float) -> None:
        """Stop taking requests while nothing that serves them can be reached."""
        isolation = self._dispatch.isolation
        was_isolated = self._front.leaving and not self._leaving.is_set()
        others = len(self._roster) - 1
        if isolation.look(others, self._peers.heard_count(now), now):
            events.ISOLATED.log(others=others)
            self._engine.end_repeatable()
        elif was_isolated and not isolation.is_isolated:
            events.REJOINED.log()
        if isolation.is_isolated:
            self._dispatch.probe()
        self._front.leaving = isolation.is_isolated or self._leaving.is_set()


def _uptime() -> float:
    """Return a second by which the platform's grace is counted: suspended time is part of it."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
