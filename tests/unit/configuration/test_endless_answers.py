"""Answers of the platform that never end."""

import threading
import time

import pytest

from limpethollow_node.process.metrics import Metrics
from limpethollow_node.process.platforms import PlatformClient
from limpethollow_wire.exceptions import Unavailable
from limpethollow_wire.settings import PlatformSettings
from tests.standins.endless import ENDLESS, EndlessServer

TIMEOUT = 0.5


class TestEndless:
    """Guards against a thread that reads one answer for ever, and follows the platform no more."""

    @pytest.mark.parametrize("pause", [0.0, 0.02])
    @pytest.mark.parametrize("name", ENDLESS)
    def test_a_call_ends_with_its_time(self, name, pause):
        raised: list[Exception] = []
        with EndlessServer(*ENDLESS[name], pause) as server:
            client = PlatformClient(PlatformSettings(server.address, timeout=TIMEOUT), Metrics())

            def read() -> None:
                try:
                    client.list("service")
                except Exception as error:
                    raised.append(error)

            began = time.monotonic()
            thread = threading.Thread(target=read, daemon=True)
            thread.start()
            thread.join(TIMEOUT + 2.0)
            assert not thread.is_alive()
            assert time.monotonic() - began < TIMEOUT + 2.0
        assert [type(error) for error in raised] == [Unavailable]
