"""Bounds on what all callers of a process use together."""

import pytest

from limpethollow_policy.process.callerbounds import (
    CallerBounds,
    ListenerKind,
    Standing,
    connections_to_close,
)
from limpethollow_policy.version.routes import CallerLimits

MEGABYTE = 1024 * 1024


class TestBounds:
    def test_all_listeners_leave_sockets_for_searchers_and_the_store(self):
        """Guards against callers that keep the process from reaching its searchers."""
        bounds = CallerBounds.of(300 * MEGABYTE, 4100)
        kinds = [*ListenerKind, ListenerKind.INTERNAL]
        assert sum(bounds.connections(kind) for kind in kinds) <= 0.7 * 3900

    def test_connections_fit_into_a_small_memory(self):
        """Guards against descriptors that there is no memory for."""
        assert CallerBounds.of(64 * MEGABYTE, 100_000).sockets * 12 * 1024 <= 16 * MEGABYTE

    @pytest.mark.parametrize("memory", [64 * MEGABYTE, 300 * MEGABYTE])
    def test_one_request_of_the_largest_size_fits(self, memory):
        """Guards against a bound that a single client within the limits meets."""
        limits = CallerLimits(header_bytes=64 * 1024, body_bytes=16 * MEGABYTE)
        assert CallerBounds.of(memory, 4100).received_for(limits) > 34 * MEGABYTE


class TestConnectionsToClose:
    def test_the_one_that_is_idle_longest_is_closed_first(self):
        found = [("new", Standing.IDLE, 9.0), ("old", Standing.IDLE, 1.0)]
        found += [("half", Standing.RECEIVING, 0.0)]
        assert connections_to_close(found, 64) == ["old"]

    def test_those_with_a_request_at_work_are_kept(self):
        """Guards against requests cut while a searcher works on them."""
        found = [("works", Standing.AT_WORK, 0.0), ("unread", Standing.UNREAD, 5.0)]
        assert connections_to_close(found, 64) == ["unread"]
        assert connections_to_close(found[:1], 64) == []

    def test_a_group_does_the_same(self):
        found = [(str(number), Standing.IDLE, float(number)) for number in range(3)]
        found += [("half", Standing.RECEIVING, 0.0)]
        assert connections_to_close(found, 640) == ["0", "1", "2"]
