"""The configuration of a search service, as written by operators and stored by instances."""

from typing import Literal

import msgspec

from limpethollow_wire.exceptions import BadRequest
from limpethollow_wire.limits import MAX_NAME_LENGTH, MAX_SHARDS_PER_REQUEST


class SearcherSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One searcher (backend server) of a service.

    Attributes:
        id: Id, unique within the service.
        address: `host:port` of its HTTP listener.
        shards: Shards of which it holds a replica.
        failure_domain: Failure domain in which it runs.
        slots: Requests that it runs concurrently.
        connections: Connections that it accepts from all instances together.
        draining: Whether it gets no new work, regardless of the state that it reports.
    """

    id: str
    address: str
    shards: tuple[int, ...]
    failure_domain: str = ""
    slots: int = 2
    connections: int = 25
    draining: bool = False


class Objective(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Latency and coverage objectives of a service.

    Attributes:
        mode: `latency` answers after `latency` seconds with the parts received, if they meet the
            floor; `coverage` waits for every shard until the request's deadline.
        latency: Seconds after which `latency` mode answers.
        deadline: Seconds that a request may take if the caller sets no deadline.
        coverage_floor: Share of the requested shards, 0 to 1, below which the request fails.
    """

    mode: Literal["latency", "coverage"] = "latency"
    latency: float = 0.1
    deadline: float = 1.0
    coverage_floor: float = 0.5


class HedgePolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """When a call is hedged by a second call to another replica.

    Attributes:
        quantile: Quantile of the service's latency after which a call is hedged.
        budget: Maximum hedges as a share of recent calls; 0 disables hedging.
        minimum_delay: Minimum delay in seconds before a call is hedged.
    """

    quantile: float = 0.95
    budget: float = 0.05
    minimum_delay: float = 0.005


class AdmissionPolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How queued requests share the searchers.

    Attributes:
        policy: Name of a registered admission policy.
        max_queue: Maximum number of queued requests per group.
    """

    policy: str = "least_usage"
    max_queue: int = 200


class CallerSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A firm or club that may call the service.

    Attributes:
        firm: Its name in counters and for fair sharing of capacity.
        key_sha256: Hex digest of its key; the key itself is never stored.
        share: Its weight relative to the other firms.
    """

    firm: str
    key_sha256: str
    share: float = 1.0


class ServiceSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A search service: its shards, searchers, callers, objectives and policies.

    Attributes:
        name: Lower-case name, unique on the platform.
        epoch: Partition epoch; incremented whenever the data is repartitioned into shards.
        shards: Number of shards, numbered from 0.
        owners: Active owner instances per group, 1 to 4.
        route_ttl: Seconds for which callers cache a route answer.
        inventory_max_age: Seconds for which a searcher's list of index versions is valid.
        searchers_per_group: Maximum number of searchers in a group.
        queries_per_call: Maximum number of searches in one call to a busy searcher; values above 1
            only help if a searcher runs several together in much less time than in sequence.
        replica_choice: Name of a registered replica choice policy.
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
        """The failure domains in which searchers run."""
        return frozenset(searcher.failure_domain for searcher in self.searchers)

    def check(self) -> None:
        """Check the constraints that the field types don't express.

        Raises:
            BadRequest: A value is out of range; the message names the field.
        """
        for valid, problem in self._rules():
            if not valid:
                raise BadRequest(f"Service '{self.name}': {problem}.")

    def _rules(self) -> list[tuple[bool, str]]:
        held_shards = {shard for searcher in self.searchers for shard in searcher.shards}
        ids = [searcher.id for searcher in self.searchers]
        objective = self.objective
        return [
            (0 < len(self.name) <= MAX_NAME_LENGTH, "'name' must have 1 to 64 characters"),
            (
                self.name.replace("-", "").isalnum() and self.name == self.name.lower(),
                "'name' may only contain lower-case letters, digits and '-'",
            ),
            (0 < self.shards <= MAX_SHARDS_PER_REQUEST, "'shards' must be 1 to 4096"),
            (len(set(ids)) == len(ids), "'searchers' contains a duplicate id"),
            (
                held_shards == set(range(self.shards)),
                "'searchers' must hold every shard below 'shards' and no others",
            ),
            (all(s.slots > 0 for s in self.searchers), "'slots' must be above 0"),
            (all(s.connections >= 4 for s in self.searchers), "'connections' must be 4 or more"),
            (self.epoch > 0, "'epoch' must be above 0"),
            (1 <= self.owners <= 4, "'owners' must be 1 to 4"),
            (
                all(s.slots >= self.owners for s in self.searchers),
                "'owners' must not be above a searcher's 'slots', which the owners share",
            ),
            (
                0 < objective.latency <= objective.deadline,
                "'latency' must be above 0 and at most 'deadline'",
            ),
            (0 <= objective.coverage_floor <= 1, "'coverage_floor' must be 0 to 1"),
            (0 <= self.hedge.budget <= 1, "'hedge.budget' must be 0 to 1"),
            (0 < self.hedge.quantile < 1, "'hedge.quantile' must be above 0 and below 1"),
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
    """A service's configuration object as stored by the platform.

    Attributes:
        name: The service's name.
        version: The platform's version of the object; higher versions replace lower ones.
        spec: The configuration, None for a deleted service (a tombstone).
        write_id: Identifies the confirmation that wrote this version.
    """

    name: str
    version: int
    spec: ServiceSpec | None
    write_id: str = ""
