"""HTTP client for requests that this process makes to one server on its own behalf."""

import asyncio

from limpethollow_node.engine.connection.replylimits import SEARCHER_LIMITS, ReplyLimits
from limpethollow_node.engine.messages import Headers, Reply, render_headers
from limpethollow_node.engine.process.pools import Call, Pool


class HttpClient:
    """Sends requests to one address over persistent connections.

    Usage:
        asker = Asker("10.0.0.1:80", connections=4)
        reply = await asker.ask(b"GET", b"/health", timeout=1.0)

    Args:
        address: Host and port.
        connections: Maximum number of concurrent requests.
        limits: Limits on replies.
    """

    __slots__ = ("_host", "_pool")

    def __init__(
        self, address: str, connections: int, limits: ReplyLimits = SEARCHER_LIMITS
    ) -> None:
        self._host = address.encode()
        self._pool = Pool(address, connections, lambda _: None, limits=limits)

    async def ask(
        self,
        method: bytes,
        target: bytes,
        *,
        timeout: float,
        headers: Headers | None = None,
        body: bytes = b"",
    ) -> Reply:
        """Send a request and wait for the complete response.

        Args:
            method: The method.
            target: Path and query string.
            timeout: Seconds to wait, including the connect.
            headers: Additional headers.
            body: The request body.

        Raises:
            ReplyCutOff: The response exceeded a limit.
            OSError: No complete response arrived in time; the server may have executed the request.
        """
        lines = [(b"Host", self._host), *(headers or [])]
        if body:
            lines.append((b"Content-Length", b"%d" % len(body)))
        data = b"%b %b HTTP/1.1\r\n%b\r\n" % (method, target, render_headers(lines))
        waiter: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        call = Call(
            lambda: data,
            lambda reply: waiter.done() or waiter.set_result(reply),
            lambda error: waiter.done() or waiter.set_exception(error),
            head=False,
            body=body,
        )
        self._pool.send(call)
        try:
            async with asyncio.timeout(timeout):
                return await waiter
        finally:
            if not waiter.done() or waiter.cancelled():
                call.cancel()

    def sweep(self, now: float) -> None:
        """Close connections that exceeded the idle timeout."""
        self._pool.sweep(now)

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()
