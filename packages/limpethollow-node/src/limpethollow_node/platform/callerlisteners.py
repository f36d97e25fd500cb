"""Listening sockets for callers' connections."""

import socket
from dataclasses import dataclass

from limpethollow_node.engine.connection.listeners import open_listener
from limpethollow_node.platform.settings import Listen, split_address


@dataclass(slots=True, frozen=True)
class CallerListeners:
    """Bound listeners; connections wait in the accept queue until the process serves them.

    Attributes:
        front: Listener for callers' requests.
        directory: Listener for requests to `/resolve`.
    """

    front: socket.socket
    directory: socket.socket

    @classmethod
    def open(cls, listen: Listen) -> "CallerListeners":
        """Bind both listeners.

        Raises:
            OSError: A listener can't be bound.
        """
        front = open_listener(*split_address(listen.front))
        try:
            return cls(front, open_listener(*split_address(listen.directory)))
        except OSError:
            front.close()
            raise
