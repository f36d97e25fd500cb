"""Opens links to other instances."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random

from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.exceptions import WebSocketException

from limpethollow_node.engine.connection.peergate import DialledConnection, PeerGate
from limpethollow_node.engine.connection.peerlinks import LINK_OPTIONS
from limpethollow_node.process import events
from limpethollow_policy.process.backoffs import Backoff

# A connect takes a round trip of a few milliseconds; this is two heartbeats of the peer.
_CONNECT_SECONDS = 1.0
# Bounds of the backoff after failed connects, in seconds: a restarted instance listens again within
# the minimum, and one that was down for longer is reached within the maximum.
_MIN_BACKOFF, _MAX_BACKOFF = 0.2, 1.5


class Dialler:
    """Opens at most one link per address at a time, with exponential backoff after failures.

    Args:
        rng: Source for jitter.
        on_open: Runs an open link until it closes.
        gate: Limits the memory of all links.

    Attributes:
        refused_addresses: Addresses that refused a connection and accepted none since then.
    """

    __slots__ = ("_backoffs", "_gate", "_on_open", "_rng", "_tasks", "refused_addresses")

    def __init__(
        self, rng: Random, on_open: Callable[[Connection], Awaitable[None]], gate: PeerGate
    ) -> None:
        self._gate = gate
        self._rng = rng
        self._on_open = on_open
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._backoffs: dict[str, Backoff] = {}
        self.refused_addresses: set[str] = set()

    def dial(self, address: str) -> None:
        """Open a link to an address, unless one is open or being opened."""
        if address not in self._tasks:
            task = asyncio.create_task(self._connect(address))
            self._tasks[address] = task
            task.add_done_callback(lambda _: self._tasks.pop(address, None))

    async def _connect(self, address: str) -> None:
        backoff = self._backoffs.setdefault(address, Backoff(_MIN_BACKOFF, _MAX_BACKOFF, self._rng))
        try:
            socket = await connect(
                f"ws://{address}/",
                open_timeout=_CONNECT_SECONDS,
                proxy=None,
                create_connection=partial(DialledConnection, self._gate),
                **LINK_OPTIONS,
            )
        except (OSError, WebSocketException, ValueError) as error:
            # ValueError: the address has an invalid port or host name.
            if isinstance(error, ConnectionRefusedError):
                self.refused_addresses.add(address)
            events.SEED_FAILED.log(address=address, error=repr(error))
            await asyncio.sleep(backoff.failed())
            return
        backoff.succeeded()
        self.refused_addresses.discard(address)
        await self._on_open(socket)
