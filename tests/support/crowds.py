"""Many clients of one process that send much, read little, and stay connected."""

import os
import select
import socket
import threading
import time
from collections.abc import Sequence
from contextlib import ExitStack
from pathlib import Path

from tests.support.platforms import PlatformInstance

# The crowd is complete once no client could send or read anything for this long.
_QUIET_SECONDS = 1.0
_MAX_SECONDS = 60.0
_BLOCK_BYTES = 64 * 1024
_MEGABYTE = 1024 * 1024


class CrowdClient:
    """One connection; what it has sent and whether the server closed it.

    Args:
        port: Port to connect to.
        data: What it sends.
        window: Size of its receive buffer in bytes.
    """

    def __init__(self, port: int, data: bytes, window: int = 4096) -> None:
        self._unsent = memoryview(data)
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        self.socket.connect(("127.0.0.1", port))
        self.socket.setblocking(False)
        self.closed = False

    @property
    def is_done(self) -> bool:
        return self.closed or not self._unsent

    def send(self) -> None:
        try:
            self._unsent = self._unsent[self.socket.send(self._unsent[:_BLOCK_BYTES]) :]
        except BlockingIOError:
            return
        except OSError:
            self.closed = True


class Crowd:
    """Clients on one port that send all they have and read nothing.

    Usage:
        with Crowd(instance.front, [b"GET / HT"] * 100) as crowd:
            crowd.send()

    Args:
        port: Port to connect to.
        messages: What each client sends.
    """

    def __init__(self, port: int, messages: Sequence[bytes]) -> None:
        self._port = port
        self._messages = messages
        self._stack = ExitStack()
        self.clients: list[CrowdClient] = []

    def __enter__(self) -> "Crowd":
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    def send(self) -> None:
        """Connect and send, until all is sent or the server takes no more."""
        for data in self._messages:
            client = CrowdClient(self._port, data)
            self._stack.enter_context(client.socket)
            self.clients.append(client)
        until = time.monotonic() + _MAX_SECONDS
        while (left := [c for c in self.clients if not c.is_done]) and time.monotonic() < until:
            polled = select.poll()
            by_number = {client.socket.fileno(): client for client in left}
            for number in by_number:
                polled.register(number, select.POLLOUT)
            able = polled.poll(_QUIET_SECONDS * 1000)
            if not able:
                return
            for number, _ in able:
                by_number[number].send()


class SlowReaders:
    """Clients that read a few kilobytes of their replies a second, until they are closed.

    Usage:
        with SlowReaders(instance.front) as readers:
            readers.add(request)

    Args:
        port: Port to connect to.
    """

    def __init__(self, port: int) -> None:
        self._port = port
        self._stack = ExitStack()
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._read, daemon=True)
        self._clients: list[CrowdClient] = []

    def __enter__(self) -> "SlowReaders":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._ended.set()
        self._thread.join()
        self._stack.close()

    def add(self, request: bytes) -> None:
        """Send a request on a new connection, and wait for the first bytes of its reply."""
        client = CrowdClient(self._port, request)
        self._stack.enter_context(client.socket)
        client.send()
        select.select([client.socket], [], [], _MAX_SECONDS)
        self._clients.append(client)

    def _read(self) -> None:
        while not self._ended.wait(0.3):
            for client in tuple(self._clients):
                try:
                    client.socket.recv(4096)
                except OSError:
                    continue


class ResourceWatch:
    """Records the most memory and descriptors that a process had while a test runs.

    Attributes:
        descriptors: Most descriptors that were open at once.
    """

    def __init__(self, instance: PlatformInstance) -> None:
        self._process = Path(f"/proc/{instance.child.pid}")
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self.descriptors = 0

    def __enter__(self) -> "ResourceWatch":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._ended.set()
        self._thread.join()

    @property
    def peak_mb(self) -> float:
        """Return the highest resident memory since the process began."""
        lines = (self._process / "status").read_text().splitlines()
        (line,) = (line for line in lines if line.startswith("VmHWM:"))
        return int(line.split()[1]) * 1024 / _MEGABYTE

    def look(self) -> None:
        """Count the descriptors that are open now."""
        self.descriptors = max(self.descriptors, len(os.listdir(self._process / "fd")))

    def _watch(self) -> None:
        while not self._ended.wait(0.005):
            self.look()
