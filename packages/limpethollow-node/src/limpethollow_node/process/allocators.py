"""Settings of the C library's allocator."""

import contextlib
import ctypes

_M_MMAP_THRESHOLD = -3
_LARGE_BYTES = 128 * 1024


def return_large_blocks() -> None:
    """Have the memory of large buffers returned to the system as soon as they are released.

    By default glibc raises its threshold up to 32 MiB with the buffers that are released, and keeps
    later ones of that size for each thread. Memory then grew to twice the limits on buffers. Other
    C libraries have no such setting.
    """
    with contextlib.suppress(AttributeError):
        ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, _LARGE_BYTES)
