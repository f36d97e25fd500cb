"""Runs the real platform process against stand-ins of the store and of searchers."""

import json
import os
import signal
import subprocess
import sys
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import urllib3

from tests.standins.backends import REQUEST_ID, BackendStandIn
from tests.standins.objectstore import ObjectStoreStandIn
from tests.support.ports import ReservedPorts
from tests.support.processes import ROOT, wait_for

HOST = "shop.example"
_http = urllib3.PoolManager(num_pools=50, retries=False)


def search_route(shards: list[str], **fields: Any) -> dict[str, Any]:
    return {
        "name": "search",
        "host": HOST,
        "pathPrefix": "/find/",
        "type": "safe",
        "timeoutMs": 2000,
        "sloMs": 400,
        "priority": 1,
        "gather": shards,
        "attempts": 2,
        "topK": 5,
        "minVersion": 0.5,
        **fields,
    }


def forward_route(service: str, **fields: Any) -> dict[str, Any]:
    return {
        "name": "forward",
        "host": HOST,
        "pathPrefix": "/get/",
        "type": "safe",
        "timeoutMs": 2000,
        "sloMs": 600,
        "priority": 1,
        "service": service,
        "attempts": 2,
        **fields,
    }


def configuration(version: int, *routes: dict[str, Any]) -> dict[str, Any]:
    services = {name for route in routes for name in route.get("gather", [])}
    services |= {route["service"] for route in routes if "service" in route}
    return {
        "version": version,
        "routes": list(routes),
        "services": [
            {"name": name, "healthPath": "/health", "maxConns": 26} for name in sorted(services)
        ],
        "limits": {
            "maxHeaderBytes": 8192,
            "maxBodyBytes": 65536,
            "headerTimeoutMs": 2000,
            "idleTimeoutMs": 10000,
        },
    }


class PlatformInstance:
    """One real process.

    Args:
        name: Its node name.
        store: Address of the store.
        folder: Where its settings and logs go.
        zone: Its zone.
    """

    def __init__(self, name: str, store: str, folder: Path, zone: str = "zone-a") -> None:
        self.name = name
        self._ports = ReservedPorts(6)
        front, ready, directory, control, first, second = self._ports.numbers
        self.front, self.ready_port, self.directory = front, ready, directory
        self.settings_path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.settings = {
            "nodeName": name,
            "role": "instance",
            "ip": "127.0.0.1",
            "zone": zone,
            "region": "region",
            "listen": {
                "front": f"127.0.0.1:{front}",
                "ready": f"127.0.0.1:{ready}",
                "control": f"127.0.0.1:{control}",
                "directory": f"127.0.0.1:{directory}",
            },
            "internalPortRange": [min(first, second), max(first, second)],
            "seeds": [],
            "limits": {"cpuShare": 0.5, "cores": 2, "memoryMb": 300, "maxFds": 4100},
            "bounds": {"drainMs": 3000, "graceS": 3, "configApplyMs": 3000},
            "heartbeatMs": 1200,
            "platform": {"addr": store, "writesPerS": 400, "readsPerS": 2000},
        }
        self.child: subprocess.Popen | None = None

    def __enter__(self) -> "PlatformInstance":
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.kill()
        self._ports.close()

    def start(self, write_settings: Callable[[], object] | None = None) -> None:
        """Start the process, with other contents of its settings file if given."""
        if self.child is not None:
            self.settings["bootstrap"] = False
        if write_settings is None:
            self.settings_path.write_text(json.dumps(self.settings))
        else:
            write_settings()
        environment = {**os.environ, "LIMPETHOLLOW_SETTINGS": str(self.settings_path)}
        with self.log_path.open("ab") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-m", "limpethollow_node.platform.main"],
                stdout=log,
                stderr=subprocess.STDOUT,
                cwd=ROOT,
                env=environment,
            )

    def signal(self, number: int) -> None:
        self.child.send_signal(number)

    def terminate(self) -> None:
        self.signal(signal.SIGTERM)

    def kill(self) -> None:
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
        if self.child is not None:
            self.child.wait()

    def is_ready(self) -> bool:
        try:
            reply = _http.request("GET", f"http://127.0.0.1:{self.ready_port}/ready", timeout=1.0)
        except urllib3.exceptions.HTTPError:
            return False
        return reply.status == 200

    def wait_ready(self) -> "PlatformInstance":
        def ready() -> bool:
            if self.child.poll() is not None:
                raise RuntimeError(f"{self.name} ended: {self.log_path.read_text()[-2000:]}")
            return self.is_ready()

        wait_for(ready, f"{self.name} is ready")
        return self

    def metrics(self) -> str:
        port = self.settings["internalPortRange"][1]
        return _http.request("GET", f"http://127.0.0.1:{port}/metrics").data.decode()

    def addresses(self, zone: str = "zone-a", region: str = "region") -> list[str]:
        """Return what callers are told to use."""
        return json.loads(self.resolve(zone, region).data)["addrs"]

    def resolve(self, zone: str, region: str) -> urllib3.BaseHTTPResponse:
        """Ask the directory which instances callers should use."""
        url = f"http://127.0.0.1:{self.directory}/resolve?name={HOST}&region={region}&zone={zone}"
        return _http.request("GET", url, timeout=1.0)

    def ask(
        self,
        path: str,
        *,
        method: str = "GET",
        request_id: str = "r1",
        time_left: int = 2000,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Send a caller's request on a connection of its own."""
        sent = {
            "Host": HOST,
            REQUEST_ID: request_id,
            "X-Limpethollow-Deadline-Ms": str(time_left),
            **(headers or {}),
        }
        with urllib3.HTTPConnectionPool("127.0.0.1", self.front) as pool:
            return pool.urlopen(
                method, path, body=body, headers=sent, retries=False, timeout=10.0, redirect=False
            )

    def events(self, number: int) -> list[dict[str, Any]]:
        """Return the log lines of one event."""
        lines = self.log_path.read_text().splitlines()
        found = [json.loads(line) for line in lines if line.startswith("{")]
        return [line for line in found if line.get("event") == number]


class PlatformSystem:
    """A store, searchers and instances.

    Usage:
        with PlatformSystem(tmp_path) as system:
            one = system.backend("service", "i-1")
            system.configure(1, forward_route("service"))
            instance = system.instance()
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = ObjectStoreStandIn()
        self.instances: list[PlatformInstance] = []
        self.backends: list[BackendStandIn] = []
        self._stack = ExitStack()

    def __enter__(self) -> "PlatformSystem":
        self._stack.enter_context(self.store)
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    def backend(self, service: str, name: str, **fields: Any) -> BackendStandIn:
        """Start a searcher and register it."""
        backend = self._stack.enter_context(BackendStandIn(service, name, **fields))
        self.store.put("servers", name, backend.entry())
        self.backends.append(backend)
        return backend

    def backends_in(self, zone: str) -> list[BackendStandIn]:
        """Return the searchers that say that they run in a zone."""
        return [backend for backend in self.backends if backend.zone == zone]

    def configure(self, version: int, *routes: dict[str, Any]) -> None:
        self.store.put("config", "main", configuration(version, *routes))

    def instance(self, name: str = "", zone: str = "zone-a") -> PlatformInstance:
        """Start an instance of a system that starts for the first time, and wait for it."""
        return self.begin_instance(name, zone, first_start=True).wait_ready()

    def begin_instance(
        self, name: str = "", zone: str = "zone-a", *, first_start: bool = False
    ) -> PlatformInstance:
        """Start an instance."""
        name = name or f"front-{len(self.instances) + 1}"
        instance = PlatformInstance(name, self.store.address, self.folder, zone)
        instance.settings["bootstrap"] = first_start
        return self.adopt(instance)

    def own(self, instance: PlatformInstance) -> PlatformInstance:
        """End an instance with the system; the caller starts it."""
        self._stack.push(instance)
        self.instances.append(instance)
        return instance

    def adopt(self, instance: PlatformInstance) -> PlatformInstance:
        """Start an instance whose settings were changed, and end it with the system."""
        self.instances.append(self._stack.enter_context(instance))
        return instance


def two_domains(system: PlatformSystem) -> BackendStandIn:
    """Start a searcher in each of two failure domains; return that in the instances' own one.

    A request goes to one of them only: where the machine is busy, a late answer would be hedged
    at the other one.
    """
    one = system.backend("desk", "i-1", zone="zone-a")
    system.backend("desk", "i-2", zone="zone-b")
    system.configure(1, forward_route("desk", attempts=1))
    return one
