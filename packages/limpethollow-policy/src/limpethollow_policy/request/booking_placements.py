"""Placements: the sets of searchers that booking tokens may be dispatched to."""

from collections import OrderedDict
from hashlib import blake2b

import msgspec

from limpethollow_wire.services import SearcherSpec, ServiceRecord, ServiceSpec

_DIGEST_BYTES = 5
_MAX_KEPT_PER_SERVICE = 4


def placement_digest(spec: ServiceSpec) -> str:
    """Return a digest of a service's partition epoch and its searchers' ids, addresses and shards.

    A token carries the digest that was in force when it was issued, and is dispatched only to
    searchers of that placement. Voiding a token at all of them therefore covers every searcher that
    could ever run it, even if searchers are added later.
    """
    searchers = sorted((s.id, s.address, sorted(s.shards)) for s in spec.searchers)
    data = msgspec.json.encode((spec.epoch, searchers))
    return blake2b(data, digest_size=_DIGEST_BYTES).hexdigest()


class PlacementHistory:
    """Keeps the most recent placements of every service.

    A token that was issued shortly before a searcher was added can thus still be resolved
    afterwards.
    """

    __slots__ = ("_current", "_kept")

    def __init__(self) -> None:
        self._kept: dict[str, OrderedDict[str, tuple[SearcherSpec, ...]]] = {}
        self._current: dict[str, tuple[int, str]] = {}

    def applied(self, records: tuple[ServiceRecord, ...]) -> None:
        """Process records that came into force."""
        for record in records:
            if record.spec is not None:
                self.placement(record)

    def placement(self, record: ServiceRecord) -> str:
        """Return the placement of a record, and keep it for later lookups."""
        version, placement = self._current.get(record.name, (0, ""))
        if version != record.version:
            assert record.spec is not None
            placement = placement_digest(record.spec)
            self._current[record.name] = (record.version, placement)
            self._keep(record.spec, placement)
        return placement

    def holders(self, service: str, placement: str, shard: int) -> tuple[SearcherSpec, ...]:
        """Return all searchers that may run a token's booking; empty for an unknown placement."""
        searchers = self._kept.get(service, OrderedDict()).get(placement, ())
        return tuple(searcher for searcher in searchers if shard in searcher.shards)

    def _keep(self, spec: ServiceSpec, placement: str) -> None:
        kept = self._kept.setdefault(spec.name, OrderedDict())
        kept[placement] = spec.searchers
        kept.move_to_end(placement)
        while len(kept) > _MAX_KEPT_PER_SERVICE:
            kept.popitem(last=False)
