"""How long a start waits."""

import errno

import pytest

from limpethollow_policy.process.startups import (
    MAX_ADDRESS_WAIT_SECONDS,
    StartupWait,
    may_become_available,
)

# How long Linux keeps the port of a connection that was closed (TIME_WAIT).
CLOSED_SECONDS = 60.0


class TestWaits:
    def test_a_port_of_a_closed_connection_is_free_in_time(self):
        """Guards against a wait that ends while another program's last port is still kept."""
        assert MAX_ADDRESS_WAIT_SECONDS > CLOSED_SECONDS

    def test_pauses_grow_and_end_with_the_time(self):
        """Guards against starts that spin, and against starts that wait without end."""
        wait, now, pauses = StartupWait(3.0), 100.0, []
        while (pause := wait.failed(now)) is not None:
            pauses.append(pause)
            now += pause
        assert pauses[:3] == [0.01, 0.02, 0.04]
        assert max(pauses) == 0.25
        assert now == pytest.approx(103.0)

    @pytest.mark.parametrize(
        ("number", "waits"),
        [
            (errno.EADDRINUSE, True),
            (errno.EADDRNOTAVAIL, True),
            (errno.EACCES, False),
            (errno.EMFILE, False),
        ],
    )
    def test_only_what_may_change_is_waited_for(self, number, waits):
        """Guards against mistakes in the settings that are told only after the wait."""
        assert may_become_available(OSError(number, "")) is waits
