"""Regions of failure domains, and which of them may process a request that has homes."""

from collections.abc import Collection, Mapping
from collections.abc import Set as AbstractSet

from limpethollow_policy.process.placements import Instance, instances_for_caller

# Sets of homes come from the configuration and their intersections, so there are few at a time.
# The bound only limits what earlier versions leave behind.
_MAX_CACHED_HOMES = 256


class Regions:
    """The region of each failure domain.

    Args:
        zones: Region by failure domain.
    """

    __slots__ = ("_domains_by_homes", "_zones")

    def __init__(self, zones: Mapping[str, str] | None = None) -> None:
        self._domains_by_homes: dict[frozenset[str], frozenset[str]] = {}
        self.set_zones(zones or {})

    @property
    def names(self) -> frozenset[str]:
        """Return all regions that have a failure domain."""
        return frozenset(self._zones.values())

    def set_zones(self, zones: Mapping[str, str]) -> None:
        """Replace the table; a failure domain with an empty region counts as not listed."""
        self._zones = {domain: region for domain, region in zones.items() if region}
        self._domains_by_homes.clear()

    def region_of(self, failure_domain: str) -> str | None:
        """Return the region of a failure domain; None if the table does not list it."""
        return self._zones.get(failure_domain)

    def domains_in(self, homes: frozenset[str] | None) -> frozenset[str] | None:
        """Return the failure domains in some regions; None, meaning all, if `homes` is None.

        A failure domain that the table does not list may be anywhere, so it is never included.
        """
        if homes is None:
            return None
        found = self._domains_by_homes.get(homes)
        if found is None:
            if len(self._domains_by_homes) >= _MAX_CACHED_HOMES:
                self._domains_by_homes.clear()
            found = frozenset(domain for domain, region in self._zones.items() if region in homes)
            self._domains_by_homes[homes] = found
        return found


def instances_for_host(
    live: Collection[Instance],
    known: Collection[Instance],
    caller_region: str,
    caller_domain: str,
    homes: Collection[frozenset[str]],
    searchers: Mapping[str, int],
    regions: Regions,
) -> list[Instance]:
    """Return the instances that a caller of a host with homes should use.

    Only instances in the homes or in the caller's region are returned, because the body of a
    request may reach no other instance. A query does not state the path, so if the routes have
    different homes, instances that suit all of them are preferred: those in a home of every route
    or in the caller's region. If none of the instances is live, all known ones are returned: they
    may be back before the caller tries them, or only this instance can't reach them, and a caller
    that fails to connect has sent its body nowhere.

    Args:
        live: Instances that are ready and not leaving.
        known: All known instances.
        caller_region: The caller's region; derived from its failure domain if empty.
        caller_domain: The caller's failure domain.
        homes: Homes of each of the host's routes that has homes, at least one.
        searchers: Number of usable searchers by failure domain.
        regions: The regions of the failure domains.

    Returns:
        The instances; empty if none is known in these regions.
    """
    own = frozenset({caller_region or regions.region_of(caller_domain)}) - {None}
    any_home = frozenset().union(*homes)
    in_homes = {d: n for d, n in searchers.items() if regions.region_of(d) in any_home}
    for permitted in (frozenset.intersection(*homes) | own, any_home | own):
        near = _instances_in(permitted, live, regions)
        if near:
            usual = _instances_in(permitted, known, regions)
            return instances_for_caller(near, caller_domain, in_homes, usual)
    return instances_for_caller(_instances_in(any_home | own, known, regions), caller_domain, {})


def _instances_in(
    permitted: AbstractSet[str], instances: Collection[Instance], regions: Regions
) -> list[Instance]:
    return [i for i in instances if regions.region_of(i.failure_domain) in permitted]
