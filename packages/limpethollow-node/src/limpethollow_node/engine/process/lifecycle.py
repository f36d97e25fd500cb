"""Startup, isolation and graceful shutdown: the times at which this instance serves callers."""

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
from limpethollow_policy.process.stalls import StallDetector
from limpethollow_policy.process.stops import Stop

# Callers that connect to a starting process wait in the listener's backlog at most this long for
# the first configuration, which takes 10 ms from a responsive store or peer, and for the first
# lease of the keys. Without them they are rejected after that.
FIRST_CONFIGURATION_SECONDS = 0.25
_POLL_SECONDS = 0.02
# Time for the last written bytes to leave the socket.
_LINGER_SECONDS = 0.1


class Lifecycle:
    """Starts serving, detects isolation, and shuts down without losing a request.

    Usage:
        await lifecycle.open([(front, listener)])
        await lifecycle.wait_for_leave()
        await lifecycle.leave(grace=6.0)

    Args:
        dispatch: Sends calls to searchers.
        engine: Handles requests.
        catalog: This instance's view of the cluster.
        roster: The known instances.
        peers: The links to other instances.
        front: The server for callers' requests.
    """

    __slots__ = (
        "_shutdown_requested_at",
        "_catalog",
        "_dispatch",
        "_engine",
        "_front",
        "_shutdown_requested",
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
        self._shutdown_requested = asyncio.Event()
        self._stalls = StallDetector(_uptime())
        self._shutdown_requested_at = 0.0

    @property
    def is_ready(self) -> bool:
        """Return whether this instance can serve callers now."""
        return (
            not self._shutdown_requested.is_set()
            and not self._dispatch.isolation.is_isolated
            and self._engine.versions.current is not None
            and len(self._dispatch.fleet) > 0
        )

    @property
    def _is_ready_for_keys(self) -> bool:
        return self.is_ready and self._engine.access.may_use_keys

    def request_shutdown(self) -> None:
        """Request the graceful shutdown; further calls have no effect."""
        if not self._shutdown_requested.is_set():
            self._shutdown_requested_at = self._stalls.earliest_arrival(_uptime())
            self._shutdown_requested.set()

    async def wait_for_shutdown_request(self) -> None:
        """Wait until the shutdown is requested."""
        await self._shutdown_requested.wait()

    async def open(self, doors: Sequence[tuple[CallerServer, socket.socket]]) -> None:
        """Accept callers as soon as they can be served, or after a timeout.

        Args:
            doors: Servers and their bound listeners, in whose backlogs callers wait meanwhile.
        """
        loop = asyncio.get_running_loop()
        last = loop.time() + FIRST_CONFIGURATION_SECONDS
        while not self._is_ready_for_keys and loop.time() < last:
            await asyncio.sleep(_POLL_SECONDS)
        for server, listener in doors:
            await server.serve(listener)
        events.LISTENING.log(ready=self.is_ready)

    def tick(self, now: float) -> None:
        """Run the periodic work; called a few times a second."""
        self._stalls.ran(_uptime())
        self._check_isolation(now)
        self._roster.ready = self.is_ready
        self._catalog.tick(now)
        self._dispatch.sweep(now)
        if self.is_ready:
            self._dispatch.warm()

    async def leave(self, servers: Sequence[CallerServer], grace: float) -> None:
        """Stop accepting callers, answer all requests read, and return before the platform's kill.

        Args:
            servers: All servers, including the one for callers' requests.
            grace: Seconds after which the platform kills the process.
        """
        begun = self._shutdown_requested_at
        events.STOPPING.log(late_s=round(_uptime() - begun, 3))
        self._roster.ready = False
        for server in servers:
            server.leaving = True
        self._peers.leave()
        stop = self._engine.stop = Stop(begun, grace)
        while (now := _uptime()) < stop.answers_at:
            if stop.may_exit(now) and self._front.all_idle:
                break
            await asyncio.sleep(_POLL_SECONDS)
        self._engine.refuses = True
        self._front.stop_listening()
        self._front.close_idle()
        events.DRAINED.log(open=len(self._front.connections), after_s=_uptime() - begun)
        self._engine.end_all()
        await self._flush(stop.exits_at)

    async def _flush(self, until: float) -> None:
        """Wait until callers have read their responses, at most until the given uptime."""
        while self._front.has_unsent and _uptime() + _LINGER_SECONDS < until:
            await asyncio.sleep(_POLL_SECONDS)
        await asyncio.sleep(_LINGER_SECONDS)

    def _check_isolation(self, now: float) -> None:
        """Reject requests while neither peers nor searchers can be reached."""
        isolation = self._dispatch.isolation
        was_isolated = self._front.leaving and not self._shutdown_requested.is_set()
        others = len(self._roster) - 1
        if isolation.look(others, self._peers.count_heard_peers(now), now):
            events.ISOLATED.log(others=others)
            self._engine.end_retryable()
        elif was_isolated and not isolation.is_isolated:
            events.ISOLATION_ENDED.log()
        if isolation.is_isolated:
            self._dispatch.probe()
        self._front.leaving = isolation.is_isolated or self._shutdown_requested.is_set()


def _uptime() -> float:
    """Return the seconds since boot, including suspended time, as the platform's grace does."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
