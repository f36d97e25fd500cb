"""A process that nobody asked to stop goes on, whatever its machine does in the meantime."""

import itertools
import json
import os
import resource
import shutil
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Callable
from pathlib import Path

import pytest
import urllib3

from tests.support.platforms import PlatformInstance, PlatformSystem, forward_route
from tests.support.ports import ReservedPorts
from tests.support.processes import ROOT, wait_for

WAITING = 106
SOURCE = "packages/limpethollow-wire/src/limpethollow_wire/limits.py"
PYTHON_STAND_IN = """#!/bin/sh
# Stands in for pip, which would need the package index.
while [ $# -gt 0 ]; do [ "$1" = --target ] && mkdir -p "$2/library"; shift; done
"""


@pytest.fixture
def instance(system):
    system.backend("desk", "i-1")
    system.configure(1, forward_route("desk"))
    return new_instance(system, "front-1")


@pytest.fixture
def checkout(tmp_path, monkeypatch):
    """A checkout whose builds don't use the package index."""
    python = tmp_path / "bin" / "python3"
    python.parent.mkdir()
    python.write_text(PYTHON_STAND_IN)
    python.chmod(0o755)
    monkeypatch.setenv("PATH", str(python.parent), prepend=":")
    for folder in ("deploy", "packages"):
        shutil.copytree(ROOT / folder, tmp_path / "checkout" / folder)
    return tmp_path / "checkout"


def new_instance(system: PlatformSystem, name: str) -> PlatformInstance:
    """Return an instance that is not started yet and ends with the system."""
    return system.own(PlatformInstance(name, system.store.address, system.folder))


def has_ended(instance: PlatformInstance) -> bool:
    return instance.child.poll() is not None


def listen(port: int) -> socket.socket:
    """Occupy a port, as another program's socket may."""
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind(("127.0.0.1", port))
    holder.listen()
    return holder


class TestSignals:
    @pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
    def test_a_signal_during_the_exit_does_not_end_a_process_that_stops(self, instance, number):
        """Guards against the default action of a signal once the event loop is closed."""
        instance.start()
        instance.wait_ready().terminate()
        while not has_ended(instance):
            instance.signal(number)
        assert instance.child.returncode == 0


class TestAddresses:
    @pytest.mark.parametrize("listener", ["front", "directory", "ready"])
    def test_a_start_waits_for_a_busy_port(self, instance, listener):
        """Guards against a start that fails for a port that is free a moment later."""
        address = instance.settings["listen"][listener]
        with listen(int(address.rpartition(":")[2])):
            instance.start()
            wait_for(lambda: instance.events(WAITING) or has_ended(instance), "it has tried")
            assert not has_ended(instance)
        assert instance.wait_ready().ask("/get/x").status == 200

    def test_no_caller_is_accepted_while_another_port_is_busy(self, instance):
        """Guards against callers that are accepted and reset with each attempt."""
        accepted = 0
        with listen(instance.ready_port):
            instance.start()
            wait_for(lambda: instance.events(WAITING) or has_ended(instance), "it has tried")
            for _ in range(2000):
                with socket.socket() as caller:
                    accepted += caller.connect_ex(("127.0.0.1", instance.front)) == 0
        assert accepted == 0

    def test_settings_that_change_during_the_wait_are_used(self, system, instance):
        """Guards against a wait for an address that is no longer wanted."""
        address = instance.settings["listen"]["front"]
        with listen(instance.front), ReservedPorts(1) as (other,):
            instance.start()
            wait_for(lambda: instance.events(WAITING), "it has tried")
            text = json.dumps(instance.settings).replace(address, f"127.0.0.1:{other}")
            instance.settings_path.write_text(text)
            instance.wait_ready()
            instance.front = other
            assert instance.ask("/get/x").status == 200

    def test_another_internal_port_takes_the_place_of_a_busy_one(self, system, instance):
        """Guards against a start that needs one port where a whole range is free."""
        first, last = instance.settings["internalPortRange"]
        instance.settings["internalPortRange"] = [first, max(last, first + 3)]
        with listen(first):
            instance.start()
            wait_for(lambda: has_ended(instance) or instance.is_ready(), "it has tried")
            assert not has_ended(instance)
            other = system.begin_instance("front-2").wait_ready()
            wait_for(lambda: other.events(300), "the instances are linked")

    def test_a_process_serves_callers_without_its_metrics(self, instance):
        """Guards against an end for a port that only operators use."""
        with listen(instance.settings["internalPortRange"][1]):
            instance.start()
            wait_for(lambda: has_ended(instance) or instance.is_ready(), "it has tried")
            assert not has_ended(instance)
            assert instance.ask("/get/x").status == 200
        wait_for(lambda: "limpethollow_ready" in metrics(instance), "metrics are served")


class TestSettings:
    @pytest.mark.parametrize("share", [0.0, 0.5, None], ids=["empty", "cut off", "absent"])
    def test_a_start_waits_for_settings_that_are_being_written(self, instance, share):
        """Guards against a start in the middle of a change of the settings."""
        whole = json.dumps(instance.settings)

        def write_part() -> None:
            if share is not None:
                instance.settings_path.write_text(whole[: int(share * len(whole))])

        instance.start(write_settings=write_part)
        wait_for(lambda: instance.events(WAITING) or has_ended(instance), "it has tried")
        assert not has_ended(instance)
        instance.settings_path.write_text(whole)
        assert instance.wait_ready().ask("/get/x").status == 200


class TestDescriptors:
    def test_a_start_without_an_output_waits_as_well(self, instance):
        """Guards against a start that ends because it can't log."""
        instance.settings_path.write_text(json.dumps(instance.settings))
        with listen(instance.ready_port):
            instance.child = subprocess.Popen(
                ["sh", "-c", f"exec {sys.executable} -m limpethollow_node.platform.main >&- 2>&-"],
                env={**os.environ, "LIMPETHOLLOW_SETTINGS": str(instance.settings_path)},
            )
            wait_for(lambda: has_ended(instance) or has_begun_to_wait(instance), "it waits")
            assert not has_ended(instance)
        assert instance.wait_ready().ask("/get/x").status == 200

    def test_the_soft_limit_on_descriptors_is_raised(self, instance):
        """Guards against a process that has fewer descriptors than its settings allow."""
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(soft, 256), hard))
        try:
            instance.start()
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        instance.wait_ready()
        limits = resource.prlimit(instance.child.pid, resource.RLIMIT_NOFILE)
        assert limits[0] >= min(4100, hard)


class TestBuild:
    def test_no_folder_of_an_earlier_release_is_taken_for_complete(self, checkout):
        """Guards against builds that go back and forth between releases in one checkout."""
        target = checkout / "target"
        (target / "deps").mkdir(parents=True)
        (target / "installed.txt").touch()
        (target / "sources.txt").touch()
        build(checkout)
        assert (target / "deps").is_symlink()
        assert {path.name for path in target.iterdir()} == {"builds", "deps"}

    def test_a_folder_in_use_outlives_the_next_build(self, checkout):
        """Guards against processes whose program is deleted while they load it."""
        build(checkout)
        program = (checkout / "target" / "deps").resolve()
        os.utime(program, (0, 0))
        change(checkout)
        build(checkout)
        assert modules_in(program)

    def test_the_program_is_whole_at_any_moment_of_a_build(self, checkout):
        """Guards against processes that start beside a build and find half of the program."""
        wanted = modules_in(checkout / "packages/limpethollow-node/src")
        build(checkout)
        missing: set[Path] = set()
        with Repeated(lambda: missing.update(wanted - modules_in(checkout / "target/deps"))):
            for _ in range(10):
                change(checkout)
                build(checkout)
        assert missing == set()


class Repeated:
    """Calls a function again and again on a thread.

    Args:
        function: The function.
    """

    def __init__(self, function: Callable[[], None]) -> None:
        self._function = function
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self) -> "Repeated":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._ended.set()
        self._thread.join()

    def _run(self) -> None:
        for _ in itertools.takewhile(lambda _: not self._ended.is_set(), itertools.count()):
            self._function()


def build(checkout: Path) -> None:
    subprocess.run(["sh", "deploy/build.sh"], cwd=checkout, check=True)


def change(checkout: Path) -> None:
    """Change a source, so that the next build is another one."""
    with (checkout / SOURCE).open("a") as source:
        source.write("#\n")


def has_begun_to_wait(instance: PlatformInstance) -> bool:
    """Return whether a process that can't log ignores SIGHUP and sleeps."""
    lines = Path(f"/proc/{instance.child.pid}/status").read_text().splitlines()
    status = dict(line.split(":\t", 1) for line in lines if ":\t" in line)
    return status["State"].startswith("S") and int(status["SigIgn"], 16) & 1 == 1


def modules_in(folder: Path) -> set[Path]:
    """Return the paths of all modules of the node, from the folder as it is at this moment."""
    now = folder.resolve()
    return {
        Path(found).relative_to(now) / name
        for found, _, names in os.walk(now / "limpethollow_node")
        for name in names
        if name.endswith(".py")
    }


def metrics(instance: PlatformInstance) -> str:
    """Return the process's metrics; empty while it serves none."""
    try:
        return instance.metrics()
    except urllib3.exceptions.HTTPError:
        return ""
