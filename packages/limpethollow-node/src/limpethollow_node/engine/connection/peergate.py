"""Limits on what all links to other instances together keep in memory and open."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any

from websockets.asyncio.client import ClientConnection
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import ServerConnection

from limpethollow_node.process import events
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.memorypools import MemoryPool
from limpethollow_wire.limits import MAX_FRAME_BYTES

_MEGABYTE = 1024 * 1024
_DEFAULT_MEMORY_MB = 256
_DEFAULT_SOCKETS = 3900
# Share of the memory for each direction. Heartbeats and batches have a few kilobytes.
_MEMORY_SHARE = 1 / 16
_OWN_BYTES = 16 * 1024
# Share of the sockets for accepted connections that have not named an instance yet. When a fleet of
# 195 instances starts, all dial the relays in the same second, each from its own address.
_UNNAMED_SHARE = 1 / 8
_MAX_UNNAMED = 512
# Share of the sockets for connections from one address, on which several instances may run.
_HOST_SHARE = 1 / 16
_MAX_OF_HOST = 256


class PeerGate:
    """Accepts connections of other instances, and limits the memory of all links.

    Args:
        metrics: The process's metrics.
        memory_mb: Memory of the process in megabytes.
        sockets: Sockets that the process may open.

    Attributes:
        is_member: Returns whether an address belongs to an instance.
        sending: Memory of the frames that wait to be sent.
        receiving: Memory of the frames that have arrived, in part or whole, and are not read yet.
    """

    __slots__ = (
        "_count_of_host",
        "_hosts",
        "_max_of_host",
        "_max_unnamed",
        "_metrics",
        "_unnamed",
        "_unread",
        "is_member",
        "receiving",
        "sending",
    )

    def __init__(
        self,
        metrics: Metrics,
        memory_mb: float = _DEFAULT_MEMORY_MB,
        sockets: int = _DEFAULT_SOCKETS,
    ) -> None:
        share = int(memory_mb * _MEMORY_SHARE * _MEGABYTE)
        self._metrics = metrics
        self._max_unnamed = max(1, min(_MAX_UNNAMED, int(sockets * _UNNAMED_SHARE)))
        self._max_of_host = max(1, min(_MAX_OF_HOST, int(sockets * _HOST_SHARE)))
        self._unnamed: set[Connection] = set()
        self._hosts: dict[Connection, str] = {}
        self._count_of_host: Counter[str] = Counter()
        self._unread: dict[Connection, int] = {}
        self.is_member: Callable[[str], bool] = lambda host: True
        # A complete state of a large deployment takes several frames of the largest size, which
        # may arrive before the first of them is read.
        limit = max(share, 4 * MAX_FRAME_BYTES)
        self.sending: MemoryPool[Any] = MemoryPool(limit, _OWN_BYTES)
        self.receiving: MemoryPool[Any] = MemoryPool(limit, _OWN_BYTES)

    def accept(self, connection: Connection, host: str) -> bool:
        """Count a new connection without a name; return False if it is refused."""
        reason = self._refusal(host)
        if reason is not None:
            self.report(host, reason)
            return False
        self._unnamed.add(connection)
        self._hosts[connection] = host
        self._count_of_host[host] += 1
        return True

    def named(self, connection: Connection) -> None:
        """Count a connection no longer as one without a name."""
        self._unnamed.discard(connection)

    def received(self, connection: Connection, count: int) -> None:
        """Count bytes that arrived on a connection."""
        unread = self._unread[connection] = self._unread.get(connection, 0) + count
        if unread <= _OWN_BYTES:
            return
        now = asyncio.get_running_loop().time()
        for evicted in self.receiving.resize(connection, unread, now):
            self.report(host_of(evicted), "frames_received")
            evicted.transport.abort()

    def read(self, connection: Connection) -> None:
        """Count the bytes of a connection again after a message was read."""
        if connection in self._unread:
            self._unread[connection] = len(connection.protocol.reader.buffer)
            self.receiving.release(connection)

    def lost(self, connection: Connection) -> None:
        """Forget a closed connection."""
        self._unnamed.discard(connection)
        host = self._hosts.pop(connection, None)
        if host is not None:
            self._count_of_host[host] -= 1
            if not self._count_of_host[host]:
                del self._count_of_host[host]
        self._unread.pop(connection, None)
        self.receiving.release(connection)

    def report(self, host: str, reason: str) -> None:
        """Log and count a connection that was refused or closed."""
        self._metrics.count("peers_refused", reason)
        events.PEER_REFUSED.log(address=host, reason=reason)

    def _refusal(self, host: str) -> str | None:
        if not self.is_member(host):
            return "not_a_member"
        if len(self._unnamed) >= self._max_unnamed:
            return "too_many_unnamed"
        if self._count_of_host[host] >= self._max_of_host:
            return "too_many_of_one_peer"
        return None


def host_of(connection: Connection) -> str:
    """Return the IP address of a connection's other end; empty if it has closed."""
    address = connection.remote_address
    return address[0] if address else ""


class AcceptedConnection(ServerConnection):
    """A connection that another instance opened; refused ones are closed before the handshake."""

    def __init__(self, gate: PeerGate, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._gate = gate

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the handshake, or close a refused connection."""
        address = transport.get_extra_info("peername")
        if address is not None and self._gate.accept(self, address[0]):
            super().connection_made(transport)
            return
        # Without the handshake's task, which the class in between starts.
        Connection.connection_made(self, transport)
        transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self._gate.lost(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Count and handle received bytes."""
        self._gate.received(self, len(data))
        super().data_received(data)


class DialledConnection(ClientConnection):
    """A connection that this instance opened."""

    def __init__(self, gate: PeerGate, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._gate = gate

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self._gate.lost(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Count and handle received bytes."""
        self._gate.received(self, len(data))
        super().data_received(data)
