"""Stand-in of a searcher, which registers itself in the store and runs requests."""

import asyncio
import itertools
import time
from collections.abc import Awaitable, Callable
from typing import Any

from standins2.http import Answer, Connection, Request, Server
from standins2.store import Store

ID = "x-limpethollow-request-id"
EXPECTED = "x-limpethollow-expect-instance"
TENANT = "x-limpethollow-tenant"
NOT_RUN = "X-Limpethollow-Not-Executed"
HEARTBEAT_SECONDS = 1.2
# Silent ping intervals after which an entry is removed.
_SILENT_PINGS = 3

_proofs = itertools.count(1)

Run = Callable[["Searcher", Connection, Request], Awaitable[Answer | None]]
OnRun = Callable[["Searcher", Request], None]


class Searcher:
    """One lifetime of a searcher.

    Args:
        store: The store.
        service: Its service.
        name: Its id.
        zone: Its zone.
        work: Seconds that a request takes.
        on_run: Called with each request that it begins to run.
        run: Runs a request in a way of its own; None for the usual one.
    """

    def __init__(
        self,
        store: Store,
        service: str,
        name: str,
        zone: str,
        *,
        work: float = 0.02,
        on_run: OnRun = lambda searcher, request: None,
        run: Run | None = None,
    ) -> None:
        self._store = store
        self._on_run = on_run
        self._run = run
        self.service = service
        self.name = name
        self.zone = zone
        self.work = work
        self.server = Server(self._handle)
        self.born = int(time.time() * 1000)
        self.ended = False
        self.draining = False
        self._beats: asyncio.Task[None] | None = None
        self.seq = 0

    @property
    def entry(self) -> dict[str, Any]:
        """Return what it writes into the store."""
        return {
            "service": self.service,
            "addr": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 4,
            "state": "draining" if self.draining else "ready",
            "coldLeftMs": 0,
            "born": self.born,
            "seq": self.seq,
        }

    async def start(self) -> "Searcher":
        """Listen and register."""
        await self.server.start()
        await self._store.put("servers", self.name, self.entry)
        self._beats = asyncio.create_task(self._beat())
        return self

    def crash(self) -> None:
        """End without a word; the entry is removed after three silent ping intervals."""
        if self.ended:
            return
        self.ended = True
        self._beats.cancel()
        self.server.stop()
        asyncio.get_running_loop().create_task(self._expire())

    async def drain(self) -> None:
        """Report that it leaves; it serves on until it is ended."""
        self.draining = True
        await self._store.put("servers", self.name, self.entry)

    async def _expire(self) -> None:
        await asyncio.sleep(_SILENT_PINGS * HEARTBEAT_SECONDS)
        entry = self._store.get("servers", self.name)
        if entry is not None and entry["born"] == self.born:
            await self._store.remove("servers", self.name)

    async def _beat(self) -> None:
        # An entry that changes only in `seq` counts as unchanged, so it is written again only
        # where it is missing.
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            if self._store.get("servers", self.name) is None:
                await self._store.put("servers", self.name, self.entry)

    async def _handle(self, connection: Connection, request: Request) -> Answer | None:
        if request.target == "/health":
            return Answer(200, {"X-Limpethollow-Instance-Id": self.name})
        headers = {"X-Limpethollow-Request-Id": request.headers.get(ID, "")}
        if ID not in request.headers:
            return Answer(400, {**headers, NOT_RUN: "1"})
        if request.headers.get(EXPECTED, self.name) != self.name:
            return Answer(421, {**headers, NOT_RUN: "1"})
        self._on_run(self, request)
        if self._run is not None:
            answer = await self._run(self, connection, request)
            if answer is not None or self.ended:
                return answer
        await asyncio.sleep(self.work)
        return self.success(request)

    def success(self, request: Request) -> Answer:
        """Return the answer of a request that has run."""
        return Answer(200, self.headers(request), f"{self.name} {request.target}".encode())

    def headers(self, request: Request) -> dict[str, str]:
        """Return the headers of an answer of a request that has run."""
        return {
            "X-Limpethollow-Request-Id": request.headers[ID],
            "X-Limpethollow-Server-Stamp": f"3e1b.07.5a2.600.0.{next(_proofs):08x}",
        }
