"""A link to another instance: frames in both directions over a websocket."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator

from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from limpethollow_node.engine.connection.peergate import PeerGate, host_of
from limpethollow_node.engine.connection.sockets import enable_keepalive
from limpethollow_node.engine.frames import AnyFrame, Frame, decode_frame, encode_frame
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.catchups import Source
from limpethollow_policy.process.topology import HEARTBEAT_SECONDS
from limpethollow_wire.limits import MAX_FRAME_BYTES

# Frames that may be queued for a peer that doesn't read; the link is closed above this.
_MAX_QUEUED_FRAMES = 512
# Their bytes, including those of frames that other links send, too.
_MAX_QUEUED_BYTES = 4 * MAX_FRAME_BYTES
# A longer frame is sent in fragments, since the library copies what it hands to the transport.
_FRAGMENT_BYTES = 64 * 1024
# Tolerates two missing heartbeats plus some scheduling delay of a busy instance.
_SILENCE_INTERVALS = 2.6
# Bounds the memory that a peer can occupy with a first frame that it never completes: until a frame
# has named the peer, no heartbeats are expected of it. The hello is sent as soon as a link is open.
_FIRST_FRAME_SECONDS = 5.0
# Websocket options of every link. Compression is off because frames are small, and the library's
# pings are off because heartbeats already show liveness and carry more data.
LINK_OPTIONS = {
    "compression": None,
    "ping_interval": None,
    "max_size": MAX_FRAME_BYTES,
    "close_timeout": 0.5,
}


class PeerLink:
    """An open link to another instance.

    Args:
        socket: The open websocket.
        on_frame: Called with this link and each received frame.
        metrics: Counts sent bytes by frame type.
        now: Monotonic time in seconds at which the link was opened.
        dialled: Whether this instance opened the connection.
        gate: Limits the memory of all links; None for limits of its own.

    Attributes:
        follows: Whether the other instance reported that it follows the store.
        interval: Seconds between two heartbeats from the other instance.
        heartbeat_due: Monotonic time in seconds at which this instance sends its next heartbeat.
        name: Name of the other instance; None until its first frame arrives.
        failure_domain: Failure domain that it states; empty until its first frame arrives.
        source: State versions that the other instance has, and whether it is in another failure
            domain.
    """

    __slots__ = (
        "_closed",
        "_gate",
        "_metrics",
        "_min_clock_difference",
        "_on_frame",
        "_queued_bytes",
        "_send_queue",
        "_socket",
        "_unshared_bytes",
        "heartbeat_due",
        "dialled",
        "follows",
        "failure_domain",
        "heard_at",
        "incarnation",
        "interval",
        "name",
        "ready",
        "source",
    )

    def __init__(
        self,
        socket: Connection,
        on_frame: Callable[["PeerLink", AnyFrame], None],
        metrics: Metrics,
        now: float,
        *,
        dialled: bool,
        gate: PeerGate | None = None,
    ) -> None:
        self._gate = gate or PeerGate(metrics)
        self._closed = False
        self._queued_bytes = self._unshared_bytes = 0
        self.dialled = dialled
        self._socket = socket
        self._on_frame = on_frame
        self._metrics = metrics
        self.source = Source()
        self._min_clock_difference = float("inf")
        self._send_queue: asyncio.Queue[tuple[bytes, int]] = asyncio.Queue(_MAX_QUEUED_FRAMES)
        self.name: str | None = None
        self.failure_domain = ""
        self.incarnation = 0
        self.ready = False
        self.follows = False
        self.heard_at = now
        self.interval = HEARTBEAT_SECONDS
        self.heartbeat_due = now
        enable_keepalive(socket.transport.get_extra_info("socket"))

    @property
    def host(self) -> str:
        """Return the other end's IP address."""
        return host_of(self._socket)

    def is_silent(self, now: float) -> bool:
        """Return whether the other instance missed enough heartbeats to be considered down."""
        return now - self.heard_at > _SILENCE_INTERVALS * self.interval

    def lag(self, sent_at: float) -> float:
        """Return the delay in seconds of the last frame beyond the fastest frame on this link.

        The offset between the two monotonic clocks is constant, so the smallest difference seen so
        far is that of a frame that was not delayed.

        Args:
            sent_at: The sender's monotonic time in seconds at which it sent the frame.
        """
        passed = self.heard_at - sent_at
        self._min_clock_difference = min(self._min_clock_difference, passed)
        return passed - self._min_clock_difference

    def send(self, frame: Frame) -> None:
        """Queue a frame for sending without blocking."""
        if not self._closed:
            data = encode_frame(frame)
            self._queue(data, frame, len(data))

    def send_encoded(self, data: bytes, frame: Frame) -> None:
        """Queue an already encoded frame, whose bytes are shared with other links."""
        self._queue(data, frame, 0)

    def _queue(self, data: bytes, frame: Frame, unshared: int) -> None:
        if self._closed:
            return
        kind = type(frame).__struct_config__.tag
        self._metrics.count(
            "link_bytes", f"{kind}/{'far' if self.source.far else 'near'}", len(data)
        )
        try:
            self._send_queue.put_nowait((data, unshared))
        except asyncio.QueueFull:
            self._refuse_to_queue()
            return
        self._queued_bytes += len(data)
        if self._queued_bytes > _MAX_QUEUED_BYTES:
            self._refuse_to_queue()
        elif unshared:
            self._unshared_bytes += unshared
            now = asyncio.get_running_loop().time()
            for evicted in self._gate.sending.resize(self, self._unshared_bytes, now):
                evicted._refuse_to_queue()

    def _refuse_to_queue(self) -> None:
        self._gate.report(self.host, "frames_queued")
        self.close()

    async def run(self) -> None:
        """Read and write frames until the link is closed.

        Raises:
            BadRequest: The peer sent an invalid frame.
        """
        writer = asyncio.create_task(self._write())
        loop = asyncio.get_running_loop()
        first_frame_timer = loop.call_later(_FIRST_FRAME_SECONDS, self._close_unnamed)
        try:
            async for data in self._socket:
                self._gate.read(self._socket)
                self.heard_at = loop.time()
                self._on_frame(self, decode_frame(data))
                if self.name is not None:
                    self._gate.named(self._socket)
        except (ConnectionClosed, OSError):
            return
        finally:
            first_frame_timer.cancel()
            writer.cancel()
            self.close()

    def close(self) -> None:
        """Abort the connection and discard the frames that were not sent."""
        self._closed = True
        self._gate.sending.release(self)
        while not self._send_queue.empty():
            self._send_queue.get_nowait()
        self._socket.transport.abort()

    def _close_unnamed(self) -> None:
        if self.name is None:
            self.close()

    async def _write(self) -> None:
        with contextlib.suppress(ConnectionClosed, OSError):
            while True:
                data, unshared = await self._send_queue.get()
                if len(data) > _FRAGMENT_BYTES:
                    await self._socket.send(_fragments(data))
                else:
                    await self._socket.send(data)
                self._queued_bytes -= len(data)
                if unshared:
                    self._unshared_bytes -= unshared
                    now = asyncio.get_running_loop().time()
                    self._gate.sending.resize(self, self._unshared_bytes, now)


def _fragments(data: bytes) -> Iterator[memoryview]:
    view = memoryview(data)
    return (view[at : at + _FRAGMENT_BYTES] for at in range(0, len(data), _FRAGMENT_BYTES))
