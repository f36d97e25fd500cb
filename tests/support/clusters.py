"""A whole system on loopback: platform, searchers, instances."""

import json
import os
import tempfile
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from typing import Any, TypeVar

from limpethollow import Session
from limpethollow.exceptions import Unavailable
from limpethollow.operators import Operator
from limpethollow_wire.keys import key_digest
from limpethollow_wire.plans import Confirmation, Intent
from limpethollow_wire.services import CallerSpec, SearcherSpec, ServiceSpec
from tests.support.processes import Process, StandIn, post, wait_for

T = TypeVar("T")

OPERATOR_KEY = "operator-key-for-tests"
# One key for each test worker: an instance of another worker's system, which looks for a dead peer
# at a port that is in use here by now, would otherwise be taken for the peer of the same name.
PEER_KEY = f"peer-key-for-tests-{os.getpid()}"
CALLER_KEY = "caller-key"
FIRM = "tasfreight"
DOMAINS = ("lton-a", "lton-b", "dvpt-a", "burnie-a")

_SETTINGS = """\
[instance]
id = "{id}"
failure_domain = "{domain}"

[platform]
address = "{platform}"
timeout = 1.0
watch_timeout = 5.0

[keys]
operator = "{operator_key}"
peer = "{peer_key}"

[shutdown]
bound = 20.0
"""


class Cluster:
    """Starts and ends all processes of one system.

    Usage:
        with Cluster() as cluster:
            cluster.start_instances(4)
            searchers = cluster.start_searchers("finder", [[0, 1], [0, 1]])
            cluster.put_service("finder", searchers)
            answer = cluster.session().search("finder", {})
    """

    def __init__(self) -> None:
        self._stack = ExitStack()
        self.instances: dict[str, Process] = {}
        self.listed: dict[str, dict[str, str]] = {}
        self.searchers: dict[str, StandIn] = {}

    def __enter__(self) -> "Cluster":
        self.folder = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        self.platform = self.start_standin("platform", "tests.standins.platform", [])
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    def start_standin(self, name: str, module: str, arguments: list[str]) -> StandIn:
        """Start a stand-in that ends with the cluster."""
        process = StandIn(["-m", module, *arguments], self.folder / f"{name}.log")
        return self._stack.enter_context(process)

    def start_proxy(self, name: str, target: str) -> StandIn:
        """Start a fault-injecting proxy; its entry is `ready["entry"]`."""
        return self.start_standin(name, "tests.standins.proxy", [target])

    def start_instance(
        self, instance_id: str, domain: str, extra: str = "", platform: str = ""
    ) -> Process:
        """Start one instance and list it in the platform.

        Args:
            instance_id: Its id.
            domain: Its failure domain.
            extra: More lines of settings.
            platform: Address of the platform where not the stand-in's own, such as a proxy's.
        """
        path = self.folder / f"{instance_id}.toml"
        text = _SETTINGS.format(
            id=instance_id,
            domain=domain,
            platform=platform or self.platform.address,
            operator_key=OPERATOR_KEY,
            peer_key=PEER_KEY,
        )
        path.write_text(text + extra)
        arguments = ["-m", "limpethollow_node.process.main", "--settings", str(path)]
        process = Process(arguments, self.folder / f"{instance_id}.log")
        self._stack.enter_context(process)
        self.instances[instance_id] = process
        self.listed[instance_id] = {
            "id": instance_id,
            "failure_domain": domain,
            "address": process.ready["caller"],
            "peer_address": process.ready["peer"],
            "operator_address": process.ready["operator"],
            "state": "live",
        }
        return process

    def start_instances(self, count: int, extra: str = "") -> list[str]:
        """Start instances `n0`, `n1`, ... over the failure domains and list them."""
        for number in range(count):
            self.start_instance(f"n{number}", DOMAINS[number % len(DOMAINS)], extra)
        self.publish_list()
        ids = list(self.listed)[-count:]
        wait_for(
            lambda: all(self._sees_everyone(instance) for instance in ids), "full membership view"
        )
        return ids

    def publish_list(self) -> None:
        """Give the platform the list of instances as it stands here."""
        body = {"instances": list(self.listed.values())}
        post(self.platform.address, "/control/instances", body)

    def start_searchers(
        self, service: str, shards: list[list[int]], **options: Any
    ) -> list[SearcherSpec]:
        """Start one searcher for each list of shards and return their specs."""
        return [
            self.start_searcher(service, f"{service}-s{number}", held, **options)
            for number, held in enumerate(shards)
        ]

    def start_searcher(
        self, service: str, name: str, shards: list[int], **options: Any
    ) -> SearcherSpec:
        """Start one searcher and return its spec."""
        arguments = ["--service", service, "--shards", json.dumps(shards)]
        arguments += ["--options", json.dumps(options)]
        process = self.start_standin(name, "tests.standins.searcher", arguments)
        self.searchers[name] = process
        return SearcherSpec(
            id=name,
            address=process.address,
            shards=tuple(shards),
            failure_domain=DOMAINS[len(self.searchers) % len(DOMAINS)],
            slots=options.get("slots", 2),
            connections=options.get("connection_limit", 25),
        )

    def service_spec(self, name: str, searchers: list[SearcherSpec], **fields: Any) -> ServiceSpec:
        """Return the spec of a service that the test caller may use."""
        shards = 1 + max(shard for searcher in searchers for shard in searcher.shards)
        fields.setdefault("callers", (CallerSpec(FIRM, key_digest(CALLER_KEY)),))
        fields.setdefault("route_ttl", 1.0)
        return ServiceSpec(name=name, shards=shards, searchers=tuple(searchers), **fields)

    def put_service(self, name: str, searchers: list[SearcherSpec], **fields: Any) -> Confirmation:
        """Plan and confirm a service through the first instance.

        On a busy machine a call to the platform can time out; both steps are safe to repeat.
        """
        intent = Intent(service=self.service_spec(name, searchers, **fields))
        with self.operator() as operator:
            plan = wait_for(lambda: _unless_unavailable(lambda: operator.plan(intent)), "a plan")
            return wait_for(
                lambda: _unless_unavailable(lambda: operator.confirm(plan.id)), "a confirm"
            )

    def operator(self, instance_id: str = "") -> Operator:
        """Return an operator of one instance, the first where none is named."""
        instance = instance_id or next(iter(self.listed))
        return Operator(self.listed[instance]["operator_address"], OPERATOR_KEY)

    def session(self, *instance_ids: str, key: str = CALLER_KEY) -> Session:
        """Return a caller's session that asks the named instances first, all where none is."""
        ids = instance_ids or tuple(self.listed)
        return Session([self.listed[instance]["address"] for instance in ids], key)

    def status(self, instance_id: str) -> Any:
        """Return what an instance says of itself."""
        with self.operator(instance_id) as operator:
            return operator.status()

    def metric(self, instance_id: str, line_start: str) -> float:
        """Return one metric of an instance, 0 where it was never counted."""
        with self.operator(instance_id) as operator:
            for line in operator.metrics().splitlines():
                if line.startswith(f"limpethollow_{line_start} "):
                    return float(line.rsplit(" ", 1)[1])
        return 0.0

    def _sees_everyone(self, instance_id: str) -> bool:
        return set(self.listed) <= set(self.status(instance_id).peers)


def _unless_unavailable(call: Callable[[], T]) -> T | None:
    try:
        return call()
    except Unavailable:
        return None
