"""The parts of one search's answer: single ones, and groups that another instance merged."""

from dataclasses import dataclass


@dataclass(slots=True)
class _Group:
    proofs: dict[str, bytes]
    records: list[bytes]


class PartSet:
    """Collects parts by shard; each shard counts once.

    A group's records are merged already and can't be told apart, so it counts whole or not at all.
    Where a shard was answered by a hedge before its group came, the group replaces that part: kept
    both, the shard's records would stand in the answer twice.
    """

    __slots__ = ("_groups", "_single")

    def __init__(self) -> None:
        self._single: dict[str, tuple[bytes, list[bytes]]] = {}
        self._groups: list[_Group] = []

    def __len__(self) -> int:
        return len(self._single) + sum(len(group.proofs) for group in self._groups)

    def __contains__(self, shard: str) -> bool:
        return shard in self._single or any(shard in group.proofs for group in self._groups)

    def add(self, shard: str, proof: bytes, records: list[bytes]) -> bool:
        """Add one shard's part; return whether it counts.

        The same signature for two shards can't be right, and the caller would refuse the whole
        answer for it; so the second one is left out.
        """
        if shard in self or proof in self.proofs():
            return False
        self._single[shard] = (proof, records)
        return True

    def add_group(self, proofs: dict[str, bytes], records: list[bytes]) -> bool:
        """Add merged parts by shard; return whether they count."""
        if any(shard in group.proofs for group in self._groups for shard in proofs):
            return False
        for shard in proofs:
            self._single.pop(shard, None)
        self._groups.append(_Group(proofs, records))
        return True

    def proofs(self) -> list[bytes]:
        """Return the signatures of all parts."""
        found = [proof for proof, _ in self._single.values()]
        for group in self._groups:
            found.extend(group.proofs.values())
        return found

    def records(self) -> list[list[bytes]]:
        """Return the records of all parts, in lists to be merged."""
        found = [records for _, records in self._single.values()]
        found.extend(group.records for group in self._groups)
        return found
