"""An instance that nobody asked to stop goes on, whatever its machine does in the meantime."""

import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from tests.support.clusters import OPERATOR_KEY, PEER_KEY
from tests.support.ports import ReservedPorts
from tests.support.processes import ROOT, wait_for

SETTINGS = """\
[instance]
id = "one"
failure_domain = "domain"

[platform]
address = "127.0.0.1:{platform}"

[keys]
operator = "{operator_key}"
peer = "{peer_key}"

[listeners]
caller_port = {caller}
operator_port = {operator}
peer_port = {peer}

[shutdown]
bound = 3.0
"""
LISTENERS = ("caller", "operator", "peer")


class Instance:
    """A real process.

    Args:
        folder: Where its settings and output go.
        ports: Ports of its three listeners, and one on which no platform listens.
    """

    def __init__(self, folder, ports: list[int]) -> None:
        self.ports = dict(zip((*LISTENERS, "platform"), ports, strict=True))
        self._settings = folder / "settings.toml"
        self._settings.write_text(
            SETTINGS.format(operator_key=OPERATOR_KEY, peer_key=PEER_KEY, **self.ports)
        )
        self._output = folder / "output"
        self.child: subprocess.Popen | None = None

    def start(self) -> None:
        with self._output.open("ab") as output:
            self.child = subprocess.Popen(
                [sys.executable, "-m", "limpethollow_node.process.main"]
                + ["--settings", str(self._settings)],
                stdout=output,
                stderr=output,
                cwd=ROOT,
                env=os.environ,
            )

    def has_ended(self) -> bool:
        return self.child.poll() is not None

    def has_told(self, text: str) -> bool:
        return text in self._output.read_text()

    def wait_ready(self) -> None:
        wait_for(lambda: self.has_told('"ready"') or self.has_ended(), "it has started")
        assert not self.has_ended(), self._output.read_text()


@pytest.fixture
def instance(tmp_path) -> Iterator[Instance]:
    with ReservedPorts(4) as ports:
        one = Instance(tmp_path, ports)
        yield one
        if not one.has_ended():
            one.child.kill()
        one.child.wait()


@contextmanager
def listening(port: int) -> Iterator[None]:
    """Occupy a port, as another program's socket may."""
    with socket.socket() as holder:
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(("127.0.0.1", port))
        holder.listen()
        yield


class TestSignals:
    def test_a_reload_signal_does_not_end_it(self, instance):
        """Guards against an instance that ends by what asks others to read their settings."""
        instance.start()
        instance.wait_ready()
        instance.child.send_signal(signal.SIGHUP)
        instance.child.send_signal(signal.SIGTERM)
        assert instance.child.wait(30) == 0

    @pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
    def test_a_signal_during_the_exit_does_not_end_it(self, instance, number):
        """Guards against the default action of a signal while the interpreter ends."""
        instance.start()
        instance.wait_ready()
        instance.child.terminate()
        while not instance.has_ended():
            instance.child.send_signal(number)
        assert instance.child.returncode == 0


class TestAddresses:
    @pytest.mark.parametrize("listener", LISTENERS)
    def test_a_start_waits_for_a_busy_port(self, instance, listener):
        """Guards against a start that fails for a port that is free a moment later."""
        with listening(instance.ports[listener]):
            instance.start()
            wait_for(lambda: instance.has_told('"event": 106') or instance.has_ended(), "it tried")
            assert not instance.has_ended()
        instance.wait_ready()

    @pytest.mark.parametrize("listener", LISTENERS)
    def test_one_that_waits_ends_when_it_is_asked_to(self, instance, listener):
        """Guards against an instance that hangs with a part of its listeners open."""
        with listening(instance.ports[listener]):
            instance.start()
            wait_for(lambda: instance.has_told("in use") or instance.has_ended(), "it tried")
            instance.child.terminate()
            wait_for(instance.has_ended, "it ends")
