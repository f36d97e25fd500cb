"""Merging of the records of several shards."""

import struct
from collections.abc import Iterable
from heapq import nlargest

RECORD_BYTES = 16
_RECORD = struct.Struct(f"{RECORD_BYTES}s")


def merge_records(bodies: Iterable[bytes], top: int) -> bytes:
    """Return the highest records of several shards as one body, in descending order.

    Equal records are all kept. Trailing bytes of a body that are shorter than a record are ignored.

    Args:
        bodies: Bodies of the shards' replies, or bodies that were merged before.
        top: Maximum number of records to return.
    """
    joined = b"".join(body[: len(body) - len(body) % RECORD_BYTES] for body in bodies)
    records = [record for (record,) in _RECORD.iter_unpack(joined)]
    return b"".join(nlargest(top, records))
