"""Opens links to other instances."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.exceptions import WebSocketException

from limpethollow_node.engine.connection.peerlinks import LINK_OPTIONS
from limpethollow_node.process import events
from limpethollow_policy.process.backoffs import Backoff

# A connect takes a round trip of some milliseconds; this is two heartbeats of the other instance.
_CONNECT_SECONDS = 1.0
# Pauses after connects that failed, in seconds: a restarted instance listens within the first, and
# is found within the longest if it was away for longer.
_FIRST_PAUSE, _LONGEST_PAUSE = 0.2, 1.5


class Dialler:
    """Opens at most one link to each address at a time, and waits longer after each failure.

    Args:
        rng: Source for jitter.
        on_open: Runs a link until it ends.

    Attributes:
        refusing: Addresses at which nothing listened at the last try.
    """

    __slots__ = ("_backoffs", "_on_open", "_rng", "_under_way", "refusing")

    def __init__(self, rng: Random, on_open: Callable[[Connection], Awaitable[None]]) -> None:
        self._rng = rng
        self._on_open = on_open
        self._under_way: dict[str, asyncio.Task[None]] = {}
        self._backoffs: dict[str, Backoff] = {}
        self.refusing: set[str] = set()

    def dial(self, address: str) -> None:
        """Open a link to an address, unless that is under way or the link is open."""
        if address not in self._under_way:
            task = asyncio.create_task(self._connect(address))
            self._under_way[address] = task
            task.add_done_callback(lambda _: self._under_way.pop(address, None))

    async def _connect(self, address: str) -> None:
        backoff = self._backoffs.setdefault(
            address, Backoff(_FIRST_PAUSE, _LONGEST_PAUSE, self._rng)
        )
        try:
            socket = await connect(
                f"ws://{address}/", open_timeout=_CONNECT_SECONDS, proxy=None, **LINK_OPTIONS
            )
        except (OSError, WebSocketException) as error:
            if isinstance(error, ConnectionRefusedError):
                self.refusing.add(address)
            events.SEED_FAILED.log(address=address, error=repr(error))
            await asyncio.sleep(backoff.failed())
            return
        backoff.succeeded()
        self.refusing.discard(address)
        await self._on_open(socket)
