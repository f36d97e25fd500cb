"""The first moments of a process."""

import socket
import subprocess
import sys
import time

from limpethollow_policy.process.placements import Instance
from limpethollow_policy.process.topology import relays_among
from tests.support.platforms import HOST, PlatformInstance, forward_route
from tests.support.processes import wait_for

REQUEST = (
    f"GET /get/x HTTP/1.1\r\nHost: {HOST}\r\nX-Limpethollow-Request-Id: r1\r\n"
    "X-Limpethollow-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n"
).encode()


def connect_early(instance: PlatformInstance) -> socket.socket:
    """Connect as soon as the address is bound."""

    def connected() -> socket.socket | None:
        try:
            return socket.create_connection(("127.0.0.1", instance.front), timeout=5.0)
        except ConnectionRefusedError:
            return None

    return wait_for(connected, "the address is bound", pause=0.002)


def ask(connection: socket.socket) -> bytes:
    with connection:
        connection.sendall(REQUEST)
        return connection.makefile("rb").read()


class TestCallersDuringTheStart:
    """All instances lost power and start again, and callers find each address refused.

    A caller has one repeat. Those that connect while the program is still being loaded (0.13 s)
    were refused too, though the instance would have served them a moment later.
    """

    def test_a_connection_made_before_the_program_is_loaded_is_served(self, system):
        system.backend("desk", "i-1")
        system.configure(1, forward_route("desk"))
        instance = system.begin_instance()
        assert ask(connect_early(instance)).startswith(b"HTTP/1.1 200 ")

    def test_the_listeners_are_bound_before_the_program_is_loaded(self):
        loaded = "import sys, limpethollow_node.platform.main; print(*sys.modules)"
        modules = subprocess.check_output([sys.executable, "-c", loaded], text=True).split()
        assert "limpethollow_node.platform.listeners" in modules
        assert not {"asyncio", "websockets", "limpethollow_node.platform.process"} & set(modules)

    def test_without_a_configuration_the_refusal_comes_at_once(self, system):
        system.store.refuses = True
        instance = system.begin_instance()
        connection = connect_early(instance)
        begun = time.monotonic()
        reply = ask(connection)
        assert reply.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: " in reply
        # Loading the program and a quarter of a second for the first news, on a busy machine.
        assert time.monotonic() - begun < 2.0


class TestFirstStart:
    """195 instances started for the first time, and the store got 14 calls from each.

    Each read all kinds, though the relays had them a tenth of a second later, and watched them
    until it had heard a relay.
    """

    INSTANCES = 8

    def start_all(self, system) -> list[PlatformInstance]:
        made = []
        for number in range(self.INSTANCES):
            name = f"front-{number}"
            instance = PlatformInstance(name, system.store.address, system.folder, "zone-a")
            instance.settings["bootstrap"] = True
            made.append(system.adopt(instance))
        return made

    def test_all_become_ready_and_few_read_what_the_relay_can_tell(self, system):
        system.backend("desk", "i-1")
        system.configure(1, forward_route("desk"))
        for instance in self.start_all(system):
            instance.wait_ready()
        # One list of instances each; the relay's two more, and those of instances that a busy
        # machine starts more than half a second before the others.
        assert system.store.calls["read"] <= self.INSTANCES + 8

    def test_all_become_ready_without_the_relay(self, system):
        system.backend("desk", "i-1")
        system.configure(1, forward_route("desk"))
        made = self.start_all(system)
        all_instances = [Instance(i.name, "", "", "zone-a") for i in made]
        relay = next(iter(relays_among(all_instances)))
        next(i for i in made if i.name == relay).kill()
        for instance in made:
            if instance.name != relay:
                instance.wait_ready()
