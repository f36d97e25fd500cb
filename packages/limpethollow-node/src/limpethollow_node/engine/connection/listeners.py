"""Listening sockets for callers."""

import socket

# Connections that may wait to be accepted; the kernel refuses further ones.
BACKLOG = 512


def open_listener(host: str, port: int) -> socket.socket:
    """Bind an address and listen; connections queue until the process accepts them.

    Usage:
        listener = open_listener("10.1.0.9", 8104)
        await server.serve(listener)

    Raises:
        OSError: The address is in use or doesn't belong to this machine.
    """
    listener = bind_listener(host, port)
    try:
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


def bind_listener(host: str, port: int) -> socket.socket:
    """Bind an address without listening; connections are refused until `listen` is called.

    Raises:
        OSError: The address is in use or doesn't belong to this machine.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener
