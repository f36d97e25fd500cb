"""Parts of one search's answer: single shards, and groups merged by another instance."""

from limpethollow_policy.request.records import RECORD_BYTES, merge_records

# A part with more than this multiple of the requested records is truncated on arrival, so that a
# search over 420 shards holds a few megabytes at most. Other parts are merged once, when the answer
# is sent: merging on arrival mostly sorts records that later parts displace (0.23 ms against
# 0.12 ms for 29 parts of 62 records and five groups of 50, `timeit`).
_MAX_KEPT_FACTOR = 8


class PartSet:
    """Collects parts by shard; each shard counts once.

    The records of a group are already merged and can't be separated by shard, so a group is
    accepted or rejected as a whole. If a hedge answered for a shard before its group arrived, the
    group replaces that part; otherwise the shard's records would be in the answer twice.

    Args:
        top: Number of records in the answer.
    """

    __slots__ = ("_groups", "_signature_by_shard", "_used_signatures", "_single", "_top")

    def __init__(self, top: int) -> None:
        self._top = top
        self._signature_by_shard: dict[str, bytes] = {}
        self._used_signatures: set[bytes] = set()
        self._single: dict[str, bytes] = {}
        self._groups: list[bytes] = []

    def __len__(self) -> int:
        return len(self._signature_by_shard)

    def __contains__(self, shard: str) -> bool:
        return shard in self._signature_by_shard

    @property
    def held_bytes(self) -> int:
        """Return the total size of the stored records in bytes."""
        return sum(map(len, self._single.values())) + sum(map(len, self._groups))

    def add(self, shard: str, proof: bytes, body: bytes) -> bool:
        """Add one shard's part; return whether it was accepted.

        A signature that is already used for another shard is invalid, and the caller would reject
        the whole answer because of it; so the second part is left out.
        """
        if shard in self._signature_by_shard or proof in self._used_signatures:
            return False
        if len(body) > _MAX_KEPT_FACTOR * self._top * RECORD_BYTES:
            body = merge_records([body], self._top)
        self._signature_by_shard[shard] = proof
        self._used_signatures.add(proof)
        self._single[shard] = body
        return True

    def add_group(self, proofs: dict[str, bytes], body: bytes) -> bool:
        """Add the merged parts of several shards; return whether they were accepted."""
        if any(shard in self._signature_by_shard and shard not in self._single for shard in proofs):
            return False
        for shard in self._single.keys() & proofs.keys():
            del self._single[shard]
            self._used_signatures.discard(self._signature_by_shard[shard])
        self._signature_by_shard.update(proofs)
        self._used_signatures.update(proofs.values())
        self._groups.append(body)
        return True

    @property
    def by_shard(self) -> dict[str, bytes]:
        """Return the signatures of all parts by shard, in order of arrival."""
        return self._signature_by_shard

    def proofs(self) -> list[bytes]:
        """Return the signatures of all parts."""
        return list(self._signature_by_shard.values())

    def merged(self) -> bytes:
        """Return the highest-ranked records of all parts, compared as bytes, as one body."""
        return merge_records([*self._single.values(), *self._groups], self._top)
