"""A system whose instances reach each other and the platform through proxies."""

import threading
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from limpethollow.exceptions import LimpethollowError
from limpethollow_wire.plans import Intent, Plan
from tests.support.clusters import DOMAINS, Cluster
from tests.support.processes import StandIn, wait_for

NEAR = ("n0", "n1", "n2", "n3")
FAR = ("n4", "n5", "n6", "n7")


class ProxiedSystem(Cluster):
    """Two instances in each failure domain: a near and a far half, one proxy each.

    Each half reaches the platform through a proxy of its own.
    """

    def __enter__(self) -> "ProxiedSystem":
        super().__enter__()
        self.peer_proxies: dict[str, StandIn] = {}
        self.platforms = {
            half: self.start_proxy(f"platform-{half[0]}", self.platform.address)
            for half in (NEAR, FAR)
        }
        for number, name in enumerate(NEAR + FAR):
            self.start_proxied(name, DOMAINS[number % len(DOMAINS)])
        self.publish_list()
        wait_for(lambda: all(len(self.peers(i)) >= 8 for i in NEAR + FAR), "full membership")
        self.recorder = VersionRecorder(self)
        self._stack.enter_context(self.recorder)
        return self

    def start_proxied(self, name: str, domain: str, extra: str = "") -> None:
        """Start an instance behind a proxy of its own, not listed yet."""
        half = NEAR if name in NEAR else FAR
        platform = self.platforms[half].ready["entry"]
        process = self.start_instance(name, domain, extra, platform=platform)
        target = process.ready["peer"]
        proxy = self.start_standin(f"peer-{name}-{target}", "tests.standins.partition", [target])
        self.peer_proxies[name] = proxy
        self.listed[name]["peer_address"] = proxy.ready["entry"]

    def replace(self, name: str) -> None:
        """Kill an instance and start its next run under the same id."""
        self.instances[name].kill()
        self.start_proxied(name, self.listed[name]["failure_domain"])
        self.publish_list()

    def part_halves(self) -> None:
        """Cut the far half off from the near half and from the platform."""
        for name, proxy in self.peer_proxies.items():
            other = FAR if name in NEAR else NEAR
            proxy.control(blocked=[self.instances[i].pid for i in other])
        # Refuse first: an instance opens a new connection as soon as its old one is cut.
        self.platforms[FAR].control(refuse=True)
        self.platforms[FAR].control(cut=True)

    def join_halves(self) -> None:
        for proxy in self.peer_proxies.values():
            proxy.control(blocked=[], cut=True)
        self.platforms[FAR].control(refuse=False)

    def peers(self, instance: str) -> dict[str, str]:
        return self.status(instance).peers

    def version(self, instance: str, service: str) -> int:
        try:
            return self.status(instance).versions.get(service, 0)
        except LimpethollowError:
            return 0

    def plan(self, service: str, instance: str = "n0", **fields: Any) -> Plan:
        spec = self.service_spec(service, self.specs, **fields)
        with self.operator(instance) as operator:
            return operator.plan(Intent(service=spec))

    def confirm(self, plan: Plan, instance: str = "n0", wait: float = 7.0) -> Any:
        """Confirm a plan; return the confirmation or the typed error."""
        try:
            with self.operator(instance) as operator:
                return operator.confirm(plan.id, wait)
        except LimpethollowError as error:
            return error

    def wait_in_force(self, service: str, version: int) -> None:
        wait_for(
            lambda: all(self.version(i, service) >= version for i in self.listed),
            f"version {version} of {service} in force everywhere",
        )

    def writes(self, service: str) -> int:
        return self.platform.stats()["writes"].get(f"service/{service}", 0)


class VersionRecorder:
    """Reads every instance's versions all the time, and notes each that went back."""

    def __init__(self, system: ProxiedSystem) -> None:
        self.system = system
        self.went_back: list[str] = []
        self._seen: dict[tuple[str, str], int] = {}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> "VersionRecorder":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        with ThreadPoolExecutor(8) as pool:
            while not self._stopped.wait(0.1):
                list(pool.map(self._read, tuple(self.system.listed)))

    def _read(self, instance: str) -> None:
        try:
            status = self.system.status(instance)
        except LimpethollowError:
            return
        for service, version in status.versions.items():
            key = (f"{instance}/{status.incarnation}", service)
            if version < self._seen.get(key, 0):
                self.went_back.append(f"{key}: {self._seen[key]} to {version}")
            self._seen[key] = version
