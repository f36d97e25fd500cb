"""Merging of the shards' records into one answer."""

import struct
from collections.abc import Iterable
from heapq import nlargest

RECORD_BYTES = 16
_RECORD = struct.Struct(f"{RECORD_BYTES}s")


def merge_records(bodies: Iterable[bytes], top: int) -> bytes:
    """Return the greatest records of several shards as one body, greatest first.

    Equal records all count. A remainder of a body that is shorter than a record is no record.

    Args:
        bodies: What the shards sent; bodies that were merged before count as well.
        top: Records wanted.
    """
    joined = b"".join(body[: len(body) - len(body) % RECORD_BYTES] for body in bodies)
    records = [record for (record,) in _RECORD.iter_unpack(joined)]
    return b"".join(nlargest(top, records))
