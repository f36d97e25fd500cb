"""Requests of this process's own to one server, awaited one by one."""

import asyncio

from limpethollow_node.engine.messages import Headers, Reply, render_headers
from limpethollow_node.engine.process.pools import Call, Pool


class Asker:
    """Sends requests to one address over kept connections.

    Usage:
        asker = Asker("10.0.0.1:80", connections=4)
        reply = await asker.ask(b"GET", b"/health", timeout=1.0)

    Args:
        address: Host and port.
        connections: Requests that may be under way at once.
    """

    __slots__ = ("_host", "_pool")

    def __init__(self, address: str, connections: int) -> None:
        self._host = address.encode()
        self._pool = Pool(address, connections, lambda _: None)

    async def ask(
        self,
        method: bytes,
        target: bytes,
        *,
        timeout: float,
        headers: Headers | None = None,
        body: bytes = b"",
    ) -> Reply:
        """Send a request and wait for the whole reply.

        Args:
            method: The method.
            target: Path and query.
            timeout: Seconds to wait, the connect included.
            headers: Further headers.
            body: The body.

        Raises:
            OSError: No whole reply came in time; the request may have been carried out.
        """
        lines = [(b"Host", self._host), *(headers or [])]
        if body:
            lines.append((b"Content-Length", b"%d" % len(body)))
        data = b"%b %b HTTP/1.1\r\n%b\r\n%b" % (method, target, render_headers(lines), body)
        waiter: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        call = Call(
            lambda: data,
            lambda reply: waiter.done() or waiter.set_result(reply),
            lambda error: waiter.done() or waiter.set_exception(error),
            head=False,
        )
        self._pool.send(call)
        try:
            async with asyncio.timeout(timeout):
                return await waiter
        finally:
            if not waiter.done() or waiter.cancelled():
                call.cancel()

    def sweep(self, now: float) -> None:
        """Close connections that were idle for too long."""
        self._pool.sweep(now)

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()
