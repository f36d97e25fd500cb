"""The listening sockets of a process, bound before the rest of the program is loaded."""

import socket
from contextlib import ExitStack
from dataclasses import dataclass

from limpethollow_node.engine.connection.listeners import BACKLOG, bind_listener
from limpethollow_node.platform.settings import PlatformSettings, split_address


@dataclass(slots=True, frozen=True)
class Listeners:
    """Bound listeners; connections wait in the accept queue until the process serves them.

    Attributes:
        front: Listener for callers' requests.
        directory: Listener for requests to `/resolve`.
        ready: Listener for the platform's readiness checks.
        peers: Listener for other instances, on the first internal port that is free.
    """

    front: socket.socket
    directory: socket.socket
    ready: socket.socket
    peers: socket.socket

    @property
    def peer_port(self) -> int:
        """Return the port for other instances."""
        return self.peers.getsockname()[1]

    @classmethod
    def open(cls, settings: PlatformSettings) -> "Listeners":
        """Open all listeners, or none.

        Raises:
            OSError: A listener can't be opened.
        """
        listen = settings.listen
        with ExitStack() as stack:
            front, directory, ready = (
                stack.enter_context(_bind(*split_address(address)))
                for address in (listen.front, listen.directory, listen.ready)
            )
            peers = stack.enter_context(_bind_first(settings.ip, settings.peer_ports))
            # None listens before all are bound: a connection that is closed with them is reset.
            for listener in (peers, ready, directory, front):
                listener.listen(BACKLOG)
            stack.pop_all()
        return cls(front, directory, ready, peers)


def _bind(host: str, port: int, *, for_callers: bool = True) -> socket.socket:
    """Bind an address.

    Raises:
        OSError: It can't be bound; the error names it.
    """
    try:
        return bind_listener(host, port, for_callers=for_callers)
    except OSError as error:
        raise OSError(error.errno, f"{error.strerror}: {host}:{port}") from None


def _bind_first(host: str, ports: range) -> socket.socket:
    """Bind the first port that can be bound.

    Raises:
        OSError: None can be bound; the error is that of the first one.
    """
    first_error: OSError | None = None
    for port in ports:
        try:
            return _bind(host, port, for_callers=False)
        except OSError as error:
            first_error = first_error or error
    raise first_error or OSError("The range of internal ports is empty.")
