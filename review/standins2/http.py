"""A small HTTP/1.1 server and client on asyncio, enough for the stand-ins."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

_REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request"}


@dataclass(slots=True)
class Request:
    """A complete request."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class Answer:
    """A complete answer."""

    status: int
    headers: dict[str, str]
    body: bytes = b""


class Connection:
    """One accepted connection, on which a handler may also write bytes of its own."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def reset(self) -> None:
        """Close the connection at once."""
        self.writer.transport.abort()

    def send(self, answer: Answer) -> None:
        """Write a complete answer."""
        self.writer.write(encode_answer(answer))


Handler = Callable[[Connection, Request], Awaitable[Answer | None]]


class Server:
    """Serves requests on one address, one at a time on each connection.

    Args:
        handler: Returns the answer; None if it has done with the connection itself.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self.connections: set[Connection] = set()
        self.address = ""

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    def stop(self) -> None:
        """Stop listening and reset all connections, as a process does that ends."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            connection.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        self.connections.add(connection)
        try:
            while (request := await read_request(reader)) is not None:
                answer = await self._handler(connection, request)
                if answer is not None:
                    connection.send(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            # A cancelled task is one that the end of the event loop finds waiting.
            pass
        finally:
            self.connections.discard(connection)
            writer.close()


def encode_answer(answer: Answer) -> bytes:
    """Return the bytes of an answer."""
    lines = [f"HTTP/1.1 {answer.status} {_REASONS.get(answer.status, 'Answer')}"]
    lines += [f"{name}: {value}" for name, value in answer.headers.items()]
    lines.append(f"Content-Length: {len(answer.body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + answer.body


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read a request; return None at the end of the connection."""
    found = await _read_message(reader)
    if found is None:
        return None
    first, headers, body = found
    method, target, _ = first.split(" ", 2)
    return Request(method, target, headers, body)


async def ask(
    address: str, method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> Answer:
    """Send a request on a connection of its own and return the answer.

    Raises:
        OSError: There is no complete answer.
    """
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        try:
            found = await _read_message(reader)
        except (asyncio.IncompleteReadError, ValueError) as error:
            raise ConnectionError(f"The answer is incomplete ({error!r}).") from None
        if found is None:
            raise ConnectionError("The connection ended without an answer.")
        first, received, content = found
        return Answer(int(first.split(" ")[1]), received, content)
    finally:
        writer.close()


async def _read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int((await reader.readline()).strip(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body
