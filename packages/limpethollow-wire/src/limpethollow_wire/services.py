"""The configuration of one search service, as operators state it and instances keep it."""

from typing import Literal

import msgspec

from limpethollow_wire.exceptions import BadRequest
from limpethollow_wire.limits import MAX_NAME_LENGTH, MAX_SHARDS_PER_REQUEST


class SearcherSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One searcher (backend server) of a service.

    Attributes:
        id: Name, unique within the service.
        address: `host:port` of its HTTP listener.
        shards: The shards it holds a replica of.
        failure_domain: Where it runs.
        slots: Requests it runs at once.
        connections: Connections it accepts in total, from all instances together.
        draining: Whether it gets no new work, whatever it says itself.
    """

    id: str
    address: str
    shards: tuple[int, ...]
    failure_domain: str = ""
    slots: int = 2
    connections: int = 25
    draining: bool = False


class Objective(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a service's answers must reach.

    Attributes:
        mode: `latency` answers at `latency` with what has come by then, if that meets the floor;
            `coverage` waits for every shard until the request's deadline.
        latency: Seconds after which `latency` mode answers.
        deadline: Seconds a request may take where the caller names none.
        coverage_floor: Share of the wanted shards, 0 to 1, below which there is no answer.
    """

    mode: Literal["latency", "coverage"] = "latency"
    latency: float = 0.1
    deadline: float = 1.0
    coverage_floor: float = 0.5


class HedgePolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """When a second replica is asked.

    Attributes:
        quantile: Latency quantile of the service after which a call is hedged.
        budget: Hedges allowed as a share of recent calls; 0 turns hedging off.
        minimum_delay: Seconds below which no call is hedged.
    """

    quantile: float = 0.95
    budget: float = 0.05
    minimum_delay: float = 0.005


class AdmissionPolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How waiting requests share the searchers.

    Attributes:
        policy: Name of a registered admission policy.
        max_queue: Requests that may wait in one group.
    """

    policy: str = "least_usage"
    max_queue: int = 200


class CallerSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A firm or club that may call the service.

    Attributes:
        firm: Its name in counters and in the sharing of capacity.
        key_sha256: Hex digest of its key; the key itself is never stored.
        share: Weight against the other firms.
    """

    firm: str
    key_sha256: str
    share: float = 1.0


class ServiceSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One search service: its shards, its searchers and what it must reach.

    Attributes:
        name: Lower-case name, unique on the platform.
        epoch: Partition epoch; raised whenever shards are cut anew.
        shards: Number of shards, numbered from 0.
        owners: Active owner instances per group, 1 to 4.
        route_ttl: Seconds for which callers keep a route answer.
        inventory_max_age: Seconds for which a searcher's list of index versions is believed.
        searchers_per_group: Searchers that one group may hold at most.
        queries_per_call: Searches that one call to a busy searcher may carry; above 1 it pays only
            where a searcher runs several in much less time than one after the other.
        replica_choice: Name of a registered replica choice.
        dispatch: Name of a registered dispatch policy: `owner` sends a group's calls from its
            owner, `direct` from any instance (a baseline for measurements).
        evacuated: Failure domains whose searchers get no new work.
    """

    name: str
    shards: int
    searchers: tuple[SearcherSpec, ...]
    callers: tuple[CallerSpec, ...] = ()
    epoch: int = 1
    objective: Objective = Objective()
    hedge: HedgePolicy = HedgePolicy()
    admission: AdmissionPolicy = AdmissionPolicy()
    owners: int = 1
    route_ttl: float = 5.0
    inventory_max_age: float = 1.0
    searchers_per_group: int = 16
    queries_per_call: int = 1
    replica_choice: str = "shortest_wait"
    dispatch: str = "owner"
    evacuated: tuple[str, ...] = ()

    @property
    def failure_domains(self) -> frozenset[str]:
        """Return the failure domains in which searchers run."""
        return frozenset(searcher.failure_domain for searcher in self.searchers)

    def check(self) -> None:
        """Check what the types alone can't say.

        Raises:
            BadRequest: A value is out of range; the message names the field.
        """
        for holds, complaint in self._rules():
            if not holds:
                raise BadRequest(f"Service '{self.name}': {complaint}.")

    def _rules(self) -> list[tuple[bool, str]]:
        held = {shard for searcher in self.searchers for shard in searcher.shards}
        ids = [searcher.id for searcher in self.searchers]
        objective = self.objective
        return [
            (0 < len(self.name) <= MAX_NAME_LENGTH, "'name' must have 1 to 64 characters"),
            (
                self.name.replace("-", "").isalnum() and self.name == self.name.lower(),
                "'name' may have lower-case letters, digits and '-' only",
            ),
            (0 < self.shards <= MAX_SHARDS_PER_REQUEST, "'shards' must be 1 to 4096"),
            (len(set(ids)) == len(ids), "'searchers' has an id twice"),
            (held == set(range(self.shards)), "'searchers' must hold every shard, and no other"),
            (all(s.slots > 0 for s in self.searchers), "'slots' must be above 0"),
            (all(s.connections >= 4 for s in self.searchers), "'connections' must be 4 or more"),
            (self.epoch > 0, "'epoch' must be above 0"),
            (1 <= self.owners <= 4, "'owners' must be 1 to 4"),
            (
                all(s.slots >= self.owners for s in self.searchers),
                "'owners' must not be above a searcher's 'slots', which they share",
            ),
            (0 < objective.latency <= objective.deadline, "'latency' must be within 'deadline'"),
            (0 <= objective.coverage_floor <= 1, "'coverage_floor' must be 0 to 1"),
            (0 <= self.hedge.budget <= 1, "'hedge.budget' must be 0 to 1"),
            (0 < self.hedge.quantile < 1, "'hedge.quantile' must be between 0 and 1"),
            (self.admission.max_queue > 0, "'max_queue' must be above 0"),
            (self.route_ttl > 0, "'route_ttl' must be above 0"),
            (self.inventory_max_age > 0, "'inventory_max_age' must be above 0"),
            (self.searchers_per_group > 0, "'searchers_per_group' must be above 0"),
            (0 < self.queries_per_call <= 64, "'queries_per_call' must be 1 to 64"),
            (all(c.share > 0 for c in self.callers), "'share' must be above 0"),
            (
                set(self.evacuated) <= self.failure_domains,
                "'evacuated' must name failure domains of its searchers only",
            ),
        ]


class ServiceRecord(msgspec.Struct, frozen=True):
    """A service's configuration object as the platform holds it.

    Attributes:
        name: The service's name.
        version: The platform's version of the object; higher replaces lower.
        spec: The configuration, None for a deleted service (a tombstone).
        write_id: Names the confirm that wrote this version.
    """

    name: str
    version: int
    spec: ServiceSpec | None
    write_id: str = ""
