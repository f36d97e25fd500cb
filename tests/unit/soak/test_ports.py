"""Ports that test runs on one machine share out among themselves."""

import socket

from tests.support import ports
from tests.support.ports import HOST, ReservedPorts


class TestReservedPorts:
    def test_no_port_is_given_out_twice(self, monkeypatch):
        """Guards against runs side by side whose instances end as the address is taken."""
        with ReservedPorts(4) as first:
            monkeypatch.setattr(
                ReservedPorts, "_next", iter(n - 10_000 for n in range(first[0], 30_000))
            )
            with ReservedPorts(4) as second:
                assert not set(first) & set(second)

    def test_a_listener_can_take_a_reserved_port(self):
        with ReservedPorts(1) as (port,), socket.create_server((HOST, port)) as listener:
            assert listener.getsockname() == (HOST, port)

    def test_one_that_somebody_listens_on_is_left_alone(self):
        with socket.create_server((HOST, 0)) as listener:
            taken = listener.getsockname()[1]
            assert ports._hold(taken) is None

    def test_a_port_that_was_given_back_can_be_reserved_again(self):
        with ReservedPorts(1) as (port,):
            assert ports._hold(port) is None
        held = ports._hold(port)
        assert held is not None
        held.close()
