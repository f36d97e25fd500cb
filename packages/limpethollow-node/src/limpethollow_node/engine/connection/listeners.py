"""Listening sockets for callers."""

import socket

# Connections that may wait to be accepted; the kernel refuses further ones.
BACKLOG = 512
# Size of the kernel's buffers of each accepted connection. Received bytes that are not read yet
# count as the process's memory, and the kernel would let the buffers grow to several megabytes.
RECEIVE_BUFFER_BYTES = 64 * 1024
_SEND_BUFFER_BYTES = 256 * 1024


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


def bind_listener(host: str, port: int, *, for_callers: bool = True) -> socket.socket:
    """Bind an address without listening; connections are refused until `listen` is called.

    Args:
        host: IP address.
        port: Port; 0 for a free one.
        for_callers: Whether to limit the kernel's buffers of each accepted connection.

    Raises:
        OSError: The address is in use or doesn't belong to this machine.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if for_callers:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES)
        listener.bind((host, port))
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener
