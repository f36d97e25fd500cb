"""Merging of the shards' records into one answer."""

from collections.abc import Iterable

RECORD_BYTES = 16


def split_records(body: bytes, top: int) -> list[bytes]:
    """Return the greatest records of one shard's body, greatest first.

    A remainder shorter than a record is no record.
    """
    whole = len(body) - len(body) % RECORD_BYTES
    records = [body[at : at + RECORD_BYTES] for at in range(0, whole, RECORD_BYTES)]
    records.sort(reverse=True)
    return records[:top]


def merge_records(parts: Iterable[list[bytes]], top: int) -> bytes:
    """Return the greatest records of several shards as one body; equal records all count."""
    merged = [record for part in parts for record in part]
    merged.sort(reverse=True)
    return b"".join(merged[:top])
