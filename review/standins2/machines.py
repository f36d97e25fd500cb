"""Runs the project's processes with the command of the deploy file."""

import asyncio
import json
import os
import shlex
import signal
import socket
import subprocess
import tomllib
from pathlib import Path
from typing import Any

from standins2.http import ask

ROOT = Path(__file__).resolve().parents[2]


def free_ports(count: int) -> list[int]:
    """Return ports that nobody uses, in ascending order."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind(("0.0.0.0", 0))
        return sorted(each.getsockname()[1] for each in sockets)
    finally:
        for each in sockets:
            each.close()


class Machine:
    """One machine with one process.

    Args:
        number: Its number, which is part of its name.
        zone: Its zone.
        zones: All zones.
        store: Address of the store, as this machine reaches it.
        folder: Where its settings and logs go.
        bounds: Bounds that differ from those of a small deployment.
        contracts: Contracts besides those of a small deployment.
    """

    def __init__(
        self,
        number: int,
        zone: str,
        zones: list[str],
        store: str,
        folder: Path,
        *,
        bounds: dict[str, Any] | None = None,
        contracts: list[str] | None = None,
    ) -> None:
        self.name = f"front-{zone}-{number}"
        # All machines have the same address: a process connects to others from it, and they accept
        # links only from addresses of known machines.
        self.ip = "127.0.0.1"
        front, ready, control, directory, first, last = free_ports(6)
        self.front = f"{self.ip}:{front}"
        self.ready = f"{self.ip}:{ready}"
        self._path = folder / f"{self.name}.json"
        self.log = folder / f"{self.name}.log"
        self._child: subprocess.Popen | None = None
        self._settings = {
            "nodeName": self.name,
            "role": "instance",
            "machineClass": "front",
            "serves": ["front", "control", "directory"],
            "ip": self.ip,
            "zone": zone,
            "region": "region",
            "zones": dict.fromkeys(zones, "region"),
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": f"{self.ip}:{control}",
                "directory": f"{self.ip}:{directory}",
            },
            "internalPortRange": [first, last],
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
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "scatter"]
            + (contracts or [])
            + ["platform"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {
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
                **(bounds or {}),
            },
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

    def start(self) -> None:
        """Start the process as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["instance"]["run"])
        self._settings["bootstrap"] = self._child is None
        self._path.write_text(json.dumps(self._settings))
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        with self.log.open("ab") as log:
            self._child = subprocess.Popen(
                command,
                cwd=ROOT,
                env={**kept, "LIMPETHOLLOW_SETTINGS": str(self._path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self._child is not None and self._child.poll() is None:
            self._child.send_signal(number)

    @property
    def runs(self) -> bool:
        """Return whether the process has not ended."""
        return self._child is not None and self._child.poll() is None

    def resident_bytes(self) -> int:
        """Return the memory of the process; 0 if it has ended."""
        if not self.runs:
            return 0
        try:
            pages = Path(f"/proc/{self._child.pid}/statm").read_text().split()[1]
        except (OSError, IndexError):
            return 0
        return int(pages) * os.sysconf("SC_PAGE_SIZE")

    def end(self) -> None:
        """Kill the process, also a stopped one."""
        if self._child is not None:
            self.signal(signal.SIGKILL)
            self._child.wait()

    async def wait_ready(self, seconds: float = 15.0) -> None:
        """Wait until the machine says that it is ready.

        Raises:
            TimeoutError: It isn't.
        """
        async with asyncio.timeout(seconds):
            while True:
                try:
                    if (await ask(self.ready, "GET", "/ready", {"Host": "ready"})).status == 200:
                        return
                except OSError:
                    pass
                await asyncio.sleep(0.05)
