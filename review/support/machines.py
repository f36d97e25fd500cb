"""Starts the system's processes as the deploy file says, one for each machine."""

import http.client
import json
import os
import shlex
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
_ROLE = "instance"
_START_SECONDS = 20.0
# Ports for listeners lie below those that the system gives to outgoing connections.
_FIRST_PORT, _LAST_PORT = 12_000, 30_000
# Bounds, limits and store of the smallest deployment.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stabilityWindowMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 3000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "downgradeMs": 250,
    "skewMaxMs": 12000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 56,
    "recoveryS": 12,
    "ttl_max_s": 5,
}
_CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"]


class CannotRun(Exception):
    """The case couldn't be played."""


def free_ports(count: int) -> list[int]:
    """Return ports on which nobody listens."""
    found: list[int] = []
    port = _FIRST_PORT + os.getpid() * 37 % (_LAST_PORT - _FIRST_PORT)
    while len(found) < count:
        port = port + 1 if port < _LAST_PORT else _FIRST_PORT
        if port in _given:
            continue
        try:
            socket.create_server(("127.0.0.1", port)).close()
        except OSError:
            continue
        _given.add(port)
        found.append(port)
    return found


_given: set[int] = set()


class Machine:
    """One machine with its process.

    Usage:
        with Machine("front-1", "zone-a", store.address, folder) as machine:
            machine.wait_ready()

    Args:
        name: Its name.
        zone: Its zone.
        store: Address of the platform's store.
        folder: Where its settings and logs go.
    """

    def __init__(self, name: str, zone: str, store: str, folder: Path) -> None:
        self._folder = folder
        self._child: subprocess.Popen | None = None
        self._ready, self._directory, control, front, first, last = free_ports(6)
        self.name = name
        self.zone = zone
        self.front = f"127.0.0.1:{front}"
        self._settings = {
            "nodeName": name,
            "role": _ROLE,
            "machineClass": "front",
            "serves": ["front", "control", "directory"],
            "ip": "127.0.0.1",
            "zone": zone,
            "region": "region",
            "listen": {
                "front": self.front,
                "ready": f"127.0.0.1:{self._ready}",
                "control": f"127.0.0.1:{control}",
                "directory": f"127.0.0.1:{self._directory}",
            },
            "internalPortRange": [min(first, last), max(first, last)],
            "seeds": [],
            "bootstrap": True,
            "countsLoss": False,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "directory",
            "heartbeatMs": 1200,
            "contracts": _CONTRACTS,
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "addr": store,
                "form": "objects",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "minTtlMs": 1000,
            },
        }

    def __enter__(self) -> "Machine":
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.kill()

    @property
    def runs(self) -> bool:
        """Return whether its process runs."""
        return self._child is not None and self._child.poll() is None

    @property
    def log(self) -> str:
        """Return what its process has written."""
        return (self._folder / f"{self.name}.log").read_text()

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        settings = self._folder / f"{self.name}.json"
        settings.write_text(json.dumps(self._settings))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/tmp"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "LIMPETHOLLOW_SETTINGS": str(settings),
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._child = subprocess.Popen(
                shlex.split(_command()),
                stdout=log,
                stderr=subprocess.STDOUT,
                cwd=ROOT,
                env=environment,
            )

    def terminate(self) -> None:
        """Ask the process to end."""
        self._child.send_signal(signal.SIGTERM)

    def wait_ended(self, seconds: float) -> bool:
        """Wait until the process has ended; return whether it has."""
        try:
            self._child.wait(seconds)
        except subprocess.TimeoutExpired:
            return False
        return True

    def kill(self) -> None:
        """End the process at once."""
        if self.runs:
            self._child.kill()
        if self._child is not None:
            self._child.wait()

    def wait_ready(self) -> None:
        """Wait until the machine counts as ready.

        Raises:
            CannotRun: The process ended, or is not ready in time.
        """
        until = time.monotonic() + _START_SECONDS
        while not self.is_ready():
            if not self.runs or time.monotonic() > until:
                raise CannotRun(f"{self.name} is not ready: {self.log[-1000:]}")
            time.sleep(0.05)

    def is_ready(self) -> bool:
        """Ask as the platform does."""
        try:
            return _get(self._ready, "/ready")[0] == 200
        except OSError:
            return False

    def resolve(self, zone: str) -> tuple[list[str], float]:
        """Ask as a consumer does where to connect, and for how long to keep that.

        Raises:
            OSError: There is no answer.
        """
        status, body = _get(self._directory, f"/resolve?name=host&region=region&zone={zone}")
        if status != 200:
            raise OSError(f"status {status}")
        found: dict[str, Any] = json.loads(body)
        return found["addrs"], found["ttl_s"]


def _get(port: int, path: str) -> tuple[int, bytes]:
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=1.0)
    try:
        connection.request("GET", path)
        answer = connection.getresponse()
        return answer.status, answer.read()
    except http.client.HTTPException as error:
        raise OSError(str(error)) from None
    finally:
        connection.close()


def _command() -> str:
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return deploy["roles"][_ROLE]["run"]
