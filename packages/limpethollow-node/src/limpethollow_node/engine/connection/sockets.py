"""TCP socket options and statistics."""

import socket
import struct

# A peer that lost power, or a broken network path, is only detected on an idle connection by
# unanswered keep-alive probes. These values detect it within about 3 s; the default is two hours.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# Unacknowledged data closes the connection after this time, about as soon as the probes would.
_USER_TIMEOUT_MS = 3000
# Format and offset of the smoothed round-trip time, in µs, in Linux's tcp_info (linux/tcp.h).
_RTT_FORMAT, _RTT_OFFSET = "=I", 68
_TCP_INFO_BYTES = 104


def enable_keepalive(sock: socket.socket | None) -> None:
    """Enable TCP keep-alive and a user timeout, so that dead peers are detected within seconds."""
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)


def round_trip(sock: socket.socket | None) -> float | None:
    """Return the kernel's round-trip time of a connection in seconds; None if unavailable.

    The kernel first measures it during the handshake, so it is available from the start.
    """
    if sock is None:
        return None
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
        (microseconds,) = struct.unpack_from(_RTT_FORMAT, info, _RTT_OFFSET)
    except (OSError, struct.error):
        return None
    return microseconds / 1_000_000 or None
