"""Crowds of faulty clients that stay connected to one listener."""

import contextlib
import resource
import selectors
import socket
import threading
import time
from collections.abc import Iterator
from pathlib import Path

_POLL_SECONDS = 0.05
_BLOCK_BYTES = 16 * 1024
_READ_BYTES = 256


class Client:
    """What one faulty client does on each of its connections.

    Attributes:
        start: Bytes that it sends once.
        block: Bytes that it repeats without end; none to stay silent after the start.
        reads: Whether it reads the replies, a few hundred bytes at a time.
    """

    __slots__ = ("block", "reads", "start")

    def __init__(self, start: bytes, block: bytes = b"", *, reads: bool = True) -> None:
        self.start = start
        self.block = block * max(1, _BLOCK_BYTES // len(block)) if block else b""
        self.reads = reads


class _Member:
    __slots__ = ("behaviour", "left", "sock")

    def __init__(self, behaviour: Client) -> None:
        self.behaviour = behaviour
        self.sock: socket.socket | None = None
        self.left = b""


class Crowd:
    r"""Clients on one thread, each of which connects again as soon as it is disconnected.

    Usage:
        with Crowd(address, [Client(b"GET / HTTP/1.1\r\n")] * 300) as crowd:
            crowd.wait_until_met()

    Args:
        address: `host:port` of a listener.
        behaviours: One for each client.
    """

    def __init__(self, address: str, behaviours: list[Client]) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._members = [_Member(behaviour) for behaviour in behaviours]
        self._stopped = threading.Event()
        self._met = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> "Crowd":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        self._thread.join()

    def wait_until_met(self) -> None:
        """Wait until every client has connected and had time to send."""
        assert self._met.wait(30.0)
        time.sleep(2.0)

    def _run(self) -> None:
        with selectors.DefaultSelector() as selector:
            while not self._stopped.is_set():
                for member in self._members:
                    if member.sock is None:
                        self._connect(selector, member)
                self._met.set()
                until = time.monotonic() + _POLL_SECONDS
                while time.monotonic() < until:
                    for key, _ in selector.select(_POLL_SECONDS):
                        self._serve(selector, key.data)
                    time.sleep(0.005)
            for member in self._members:
                if member.sock is not None:
                    member.sock.close()

    def _connect(self, selector: selectors.BaseSelector, member: _Member) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        if member.behaviour.reads:
            # A small window, so that an unread reply stays with the server that sends it.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        with contextlib.suppress(BlockingIOError):
            sock.connect(self._address)
        member.sock, member.left = sock, member.behaviour.start
        self._watch(selector, member)

    def _watch(self, selector: selectors.BaseSelector, member: _Member) -> None:
        wants_to_send = member.left or member.behaviour.block
        wanted = selectors.EVENT_READ * member.behaviour.reads
        wanted |= selectors.EVENT_WRITE if wants_to_send else 0
        if member.sock in selector.get_map():
            selector.unregister(member.sock)
        # Without any interest the end of the connection still has to be noticed.
        selector.register(member.sock, wanted or selectors.EVENT_READ, member)

    def _serve(self, selector: selectors.BaseSelector, member: _Member) -> None:
        sock = member.sock
        try:
            with contextlib.suppress(BlockingIOError):
                if member.left:
                    member.left = member.left[sock.send(member.left) :]
                    if not member.left:
                        self._watch(selector, member)
                elif member.behaviour.block:
                    sock.send(member.behaviour.block)
            if member.behaviour.reads or not (member.left or member.behaviour.block):
                with contextlib.suppress(BlockingIOError):
                    if not sock.recv(_READ_BYTES):
                        raise ConnectionResetError
        except OSError:
            selector.unregister(sock)
            sock.close()
            member.sock = None


class Watch:
    """Notes the most descriptors that a process had open, and its peak resident memory.

    Args:
        pid: Id of the process.
    """

    def __init__(self, pid: int) -> None:
        self._folder = Path(f"/proc/{pid}")
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.descriptors = 0

    def __enter__(self) -> "Watch":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        self._thread.join()

    @property
    def peak_bytes(self) -> int:
        """Peak resident memory of the process."""
        lines = (self._folder / "status").read_text().splitlines()
        return next(int(line.split()[1]) * 1024 for line in lines if line.startswith("VmHWM"))

    def _run(self) -> None:
        while not self._stopped.wait(_POLL_SECONDS):
            with contextlib.suppress(OSError):
                self.descriptors = max(self.descriptors, len(list((self._folder / "fd").iterdir())))


@contextlib.contextmanager
def descriptor_limit(count: int) -> Iterator[None]:
    """Let processes started meanwhile have so many open descriptors."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
