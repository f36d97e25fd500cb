"""The listeners on which callers connect."""

import socket
from dataclasses import dataclass

from limpethollow_node.engine.connection.listeners import open_listener
from limpethollow_node.platform.settings import Listen, split_address


@dataclass(slots=True, frozen=True)
class Doors:
    """Bound listeners whose callers wait until the process takes them.

    Attributes:
        front: Takes callers' requests.
        directory: Takes the question where to connect.
    """

    front: socket.socket
    directory: socket.socket

    @classmethod
    def open(cls, listen: Listen) -> "Doors":
        """Bind both.

        Raises:
            OSError: One can't be bound.
        """
        front = open_listener(*split_address(listen.front))
        try:
            return cls(front, open_listener(*split_address(listen.directory)))
        except OSError:
            front.close()
            raise
