"""Starts processes for tests, benchmarks and the demo, and ends those it started."""

import json
import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import urllib3

ROOT = Path(__file__).resolve().parents[2]
START_SECONDS = 30.0
CONDITION_SECONDS = 30.0
_POLL_SECONDS = 0.01

_http = urllib3.PoolManager(num_pools=200, maxsize=8, retries=False)


class Process:
    """One child process that printed a ready line.

    Args:
        arguments: Module or program with its arguments, for this interpreter.
        log: File that takes its standard error.
    """

    def __init__(self, arguments: list[str], log: Path) -> None:
        self.log = log
        self._stderr = log.open("ab")
        self._child = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=subprocess.PIPE,
            stderr=self._stderr,
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": _search_path()},
        )
        self.ready = self._read_ready(arguments)

    def __enter__(self) -> "Process":
        return self

    def __exit__(self, *_: object) -> None:
        self.kill()

    @property
    def pid(self) -> int:
        return self._child.pid

    @property
    def is_running(self) -> bool:
        return self._child.poll() is None

    @property
    def exit_code(self) -> int | None:
        return self._child.poll()

    def signal(self, number: int) -> None:
        if self.is_running:
            self._child.send_signal(number)

    def terminate(self) -> None:
        self.signal(signal.SIGTERM)

    def freeze(self) -> None:
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        self.signal(signal.SIGCONT)

    def kill(self) -> None:
        """End the process at once and wait for it."""
        if self.is_running:
            self._child.kill()
        self._child.wait()
        if self._child.stdout:
            self._child.stdout.close()
        self._stderr.close()

    def wait(self, seconds: float) -> int:
        return self._child.wait(seconds)

    def _read_ready(self, arguments: list[str]) -> dict[str, str]:
        watchdog = threading.Timer(START_SECONDS, self._child.kill)
        watchdog.start()
        assert self._child.stdout is not None
        line = self._child.stdout.readline()
        watchdog.cancel()
        if not line:
            self._child.wait()
            raise RuntimeError(f"{arguments} did not start: {self.log.read_text()[-2000:]}")
        return json.loads(line)["ready"]


def _search_path() -> str:
    """Return where children import from: this tree first, then where this process does."""
    return os.pathsep.join(filter(None, [str(ROOT), os.environ.get("PYTHONPATH", "")]))


class StandIn(Process):
    """A stand-in with a control listener."""

    @property
    def address(self) -> str:
        return self.ready["http"]

    def control(self, **fields: Any) -> dict[str, Any]:
        """Change fields of the stand-in's state."""
        return post(self.address, "/control", fields)

    def command(self, name: str) -> None:
        """Have the stand-in do what it has a control path for."""
        post(self.address, f"/control/{name}", {})

    def stats(self) -> dict[str, Any]:
        """Return what the stand-in counted."""
        return json.loads(_http.request("GET", f"http://{self.address}/control/stats").data)


def post(address: str, path: str, body: Any) -> dict[str, Any]:
    """Send JSON and return the JSON reply."""
    reply = _http.request("POST", f"http://{address}{path}", json=body)
    assert reply.status == 200, reply.data
    return json.loads(reply.data)


def put_object(platform: str, kind: str, name: str, spec: Any) -> int:
    """Write a service's object as an instance does that dies right after; return its version."""
    value = {"spec": msgspec.to_builtins(spec), "write_id": "of-a-dead-instance"}
    url = f"http://{platform}/objects/{kind}/{name}"
    reply = _http.request("PUT", url, json={"value": value, "if_version": None})
    assert reply.status == 200, reply.data
    return json.loads(reply.data)["version"]


def wait_for(
    condition: Callable[[], Any],
    what: str,
    seconds: float = CONDITION_SECONDS,
    pause: float = _POLL_SECONDS,
) -> Any:
    """Wait for a condition, looked at again after each pause in seconds, and return its value.

    Raises:
        AssertionError: It did not hold within a bound that only a hang can reach.
    """
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        value = condition()
        if value:
            return value
        time.sleep(pause)
    raise AssertionError(f"{what} did not happen within {seconds} s")
