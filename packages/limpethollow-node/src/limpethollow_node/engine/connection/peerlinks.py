"""One link to another instance: frames both ways over a websocket."""

import asyncio
import contextlib
from collections.abc import Callable

from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from limpethollow_node.engine.connection.sockets import set_probes
from limpethollow_node.engine.frames import AnyFrame, Frame, decode_frame, encode_frame
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.catchups import Source
from limpethollow_policy.process.topology import HEARTBEAT_SECONDS
from limpethollow_wire.limits import MAX_FRAME_BYTES

# Frames that may wait for a peer that doesn't read; a link with more is given up.
_MAX_WAITING = 512
# Two heartbeats may be late, and some delay of a busy instance comes on top.
_MISSED_HEARTBEATS = 2.6
# Options of every link: no compression, since frames are small, and no pings of the library's own,
# since heartbeats carry more than a sign of life.
LINK_OPTIONS = {
    "compression": None,
    "ping_interval": None,
    "max_size": MAX_FRAME_BYTES,
    "close_timeout": 0.5,
}


class PeerLink:
    """A link, from its first frame to its end.

    Args:
        socket: The open websocket.
        on_frame: Called with this link and each frame.
        metrics: Counts the bytes sent by kind of frame.
        now: When the link was opened, in monotonic seconds.
        dialled: Whether this end opened it.

    Attributes:
        interval: Seconds between two heartbeats of the other instance.
        beat_due: Monotonic second at which the next heartbeat is to be sent here.
        name: Name of the other instance; None until its first frame.
        source: What the other instance knows, and whether it runs in another failure domain.
    """

    __slots__ = (
        "_metrics",
        "_offset",
        "_on_frame",
        "_outbox",
        "_socket",
        "beat_due",
        "dialled",
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
    ) -> None:
        self.dialled = dialled
        self._socket = socket
        self._on_frame = on_frame
        self._metrics = metrics
        self.source = Source()
        self._offset = float("inf")
        self._outbox: asyncio.Queue[bytes] = asyncio.Queue(_MAX_WAITING)
        self.name: str | None = None
        self.incarnation = 0
        self.ready = False
        self.heard_at = now
        self.interval = HEARTBEAT_SECONDS
        self.beat_due = now
        set_probes(socket.transport.get_extra_info("socket"))

    @property
    def host(self) -> str:
        """Return the other end's IP address."""
        return self._socket.remote_address[0]

    def is_silent(self, now: float) -> bool:
        """Return whether nothing was heard for so long that the other instance must be gone."""
        return now - self.heard_at > _MISSED_HEARTBEATS * self.interval

    def lag(self, sent_at: float) -> float:
        """Return how many seconds later than the quickest a frame came.

        The two ends' clocks differ by an amount that doesn't change, so the least difference that
        was seen stands for a frame that nothing held up.

        Args:
            sent_at: The other end's monotonic second at which it sent the frame.
        """
        passed = self.heard_at - sent_at
        self._offset = min(self._offset, passed)
        return passed - self._offset

    def send(self, frame: Frame) -> None:
        """Send a frame; never waits."""
        self.send_encoded(encode_frame(frame), frame)

    def send_encoded(self, data: bytes, frame: Frame) -> None:
        """Send a frame that is encoded already."""
        kind = type(frame).__struct_config__.tag
        self._metrics.count(
            "link_bytes", f"{kind}/{'far' if self.source.far else 'near'}", len(data)
        )
        try:
            self._outbox.put_nowait(data)
        except asyncio.QueueFull:
            self.close()

    async def run(self) -> None:
        """Read and write frames until the link ends.

        Raises:
            BadRequest: The peer sent something that is no frame.
        """
        writer = asyncio.create_task(self._write())
        loop = asyncio.get_running_loop()
        try:
            async for data in self._socket:
                self.heard_at = loop.time()
                self._on_frame(self, decode_frame(data))
        except (ConnectionClosed, OSError):
            return
        finally:
            writer.cancel()
            self.close()

    def close(self) -> None:
        """End the link at once."""
        self._socket.transport.abort()

    async def _write(self) -> None:
        with contextlib.suppress(ConnectionClosed, OSError):
            while True:
                await self._socket.send(await self._outbox.get())
