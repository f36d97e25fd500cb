"""Bound sockets on which callers connect."""

import socket

# Callers that wait for the process to take them; more are refused by the system.
BACKLOG = 512


def open_listener(host: str, port: int) -> socket.socket:
    """Bind an address and let callers queue there until the process takes them.

    Usage:
        listener = open_listener("10.1.0.9", 8104)
        await server.serve(listener)

    Raises:
        OSError: The address is taken or not this machine's.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(BACKLOG)
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener
