"""What the system can tell of a TCP connection, and is asked to watch on it."""

import socket
import struct

# A peer without power, or a path that went silent, shows on an open connection only by missing
# replies to these probes: found within about 3 s instead of the system's default of two hours.
_KEEP_ALIVE_IDLE_S = 1
_KEEP_ALIVE_INTERVAL_S = 1
_KEEP_ALIVE_PROBES = 2
# A write that nobody acknowledges ends the connection after this time, as the probes would.
_UNACKNOWLEDGED_MS = 3000
# Where the smoothed round trip, in microseconds, stands in Linux's struct tcp_info (linux/tcp.h).
_ROUND_TRIP_FORMAT, _ROUND_TRIP_OFFSET = "=I", 68
_INFO_BYTES = 104


def set_probes(sock: socket.socket | None) -> None:
    """Let the system find out within seconds that the peer of a connection is silent."""
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEP_ALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEP_ALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS)


def round_trip(sock: socket.socket | None) -> float | None:
    """Return the seconds of a connection's round trip as the system measures it; None where not.

    The first measurement is that of the connection's handshake, so it is there from the start.
    """
    if sock is None:
        return None
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES)
        (microseconds,) = struct.unpack_from(_ROUND_TRIP_FORMAT, info, _ROUND_TRIP_OFFSET)
    except (OSError, struct.error):
        return None
    return microseconds / 1_000_000 or None
