"""The parts of one search's answer: single ones, and groups that another instance merged."""

from limpethollow_policy.request.records import RECORD_BYTES, merge_records

# A part with more records than this many times those wanted is cut when it comes, so that a search
# over 420 shards holds a few megabytes at most. Others are merged once, when the answer goes out:
# most of what is sorted part by part loses to later parts (0.23 and 0.12 ms for 29 parts of 62
# records and five groups of 50, `timeit`).
_MOST_KEPT = 8


class PartSet:
    """Collects parts by shard; each shard counts once.

    A group's records are merged already and can't be told apart, so it counts whole or not at all.
    Where a shard was answered by a hedge before its group came, the group replaces that part: kept
    both, the shard's records would stand in the answer twice.

    Args:
        top: Records that the answer shall have.
    """

    __slots__ = ("_groups", "_proofs", "_signatures", "_single", "_top")

    def __init__(self, top: int) -> None:
        self._top = top
        self._proofs: dict[str, bytes] = {}
        self._signatures: set[bytes] = set()
        self._single: dict[str, bytes] = {}
        self._groups: list[bytes] = []

    def __len__(self) -> int:
        return len(self._proofs)

    def __contains__(self, shard: str) -> bool:
        return shard in self._proofs

    @property
    def held_bytes(self) -> int:
        """Return the bytes of the records that are kept."""
        return sum(map(len, self._single.values())) + sum(map(len, self._groups))

    def add(self, shard: str, proof: bytes, body: bytes) -> bool:
        """Add one shard's part; return whether it counts.

        The same signature for two shards can't be right, and the caller would refuse the whole
        answer for it; so the second one is left out.
        """
        if shard in self._proofs or proof in self._signatures:
            return False
        if len(body) > _MOST_KEPT * self._top * RECORD_BYTES:
            body = merge_records([body], self._top)
        self._proofs[shard] = proof
        self._signatures.add(proof)
        self._single[shard] = body
        return True

    def add_group(self, proofs: dict[str, bytes], body: bytes) -> bool:
        """Add merged parts by shard; return whether they count."""
        if any(shard in self._proofs and shard not in self._single for shard in proofs):
            return False
        for shard in self._single.keys() & proofs.keys():
            del self._single[shard]
            self._signatures.discard(self._proofs[shard])
        self._proofs.update(proofs)
        self._signatures.update(proofs.values())
        self._groups.append(body)
        return True

    @property
    def by_shard(self) -> dict[str, bytes]:
        """Return the signatures of all parts by shard, in the order in which they came."""
        return self._proofs

    def proofs(self) -> list[bytes]:
        """Return the signatures of all parts."""
        return list(self._proofs.values())

    def merged(self) -> bytes:
        """Return the greatest records of all parts as one body."""
        return merge_records([*self._single.values(), *self._groups], self._top)
