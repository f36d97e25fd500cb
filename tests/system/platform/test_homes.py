"""Routes with homes in two regions, seen by callers of real processes."""

import json
import time
from collections.abc import Callable

import pytest

from tests.standins.backends import PROOF, RECORD_BYTES
from tests.support.platforms import (
    PlatformInstance,
    PlatformSystem,
    forward_route,
    search_route,
)
from tests.support.processes import wait_for

ZONES = {"zone-a": "north", "zone-b": "south", "zone-c": "south"}
SHARDS = ["s-1", "s-2", "s-3", "s-4"]


def regional_instance(system: PlatformSystem, name: str, zone: str) -> PlatformInstance:
    """Start an instance that knows the regions."""
    instance = PlatformInstance(name, system.store.address, system.folder, zone)
    instance.settings |= {"bootstrap": True, "region": ZONES[zone], "zones": ZONES}
    return system.adopt(instance).wait_ready()


def seen_in(system: PlatformSystem, region: str) -> int:
    """Return how many requests the searchers of a region got."""
    return sum(len(each.seen) for each in system.backends if ZONES[each.zone] == region)


def linked(*instances: PlatformInstance) -> Callable[[], bool]:
    """Return a check that each instance is linked to all others."""
    return lambda: all(len(each.events(300)) >= len(instances) - 1 for each in instances)


@pytest.fixture
def shards(system) -> PlatformSystem:
    """A system with a searcher of each shard in each of three failure domains."""
    for shard in SHARDS:
        for zone in ZONES:
            backend = system.backend(shard, f"{shard}-{zone}", zone=zone)
            backend.records = [b"\0" * RECORD_BYTES]
    return system


class TestSearches:
    def test_searches_and_batches_stay_in_the_homes(self, shards):
        """Guards against a first send, a hedge or a carrier in the region of the instance."""
        shards.configure(1, search_route(SHARDS, allowedRegions=["south"]))
        north = regional_instance(shards, "front-1", "zone-a")
        south = [
            regional_instance(shards, f"front-{n}", z) for n, z in ((2, "zone-b"), (3, "zone-c"))
        ]
        wait_for(linked(north, *south), "the instances are linked")
        for number in range(10):
            for instance in (north, *south):
                reply = instance.ask("/find/x", request_id=f"r{number}-{instance.name}")
                assert reply.status == 200
                assert reply.headers["X-Limpethollow-Missing-Parts"] == "0"
        assert seen_in(shards, "north") == 0
        assert seen_in(shards, "south") >= 120
        assert "limpethollow_batches_sent" in north.metrics()
        batches = [each.metrics().count('link_bytes_total{reason="parts') for each in south]
        assert sum(batches) > 0, "no instance at home carried a batch"

    def test_a_late_shard_is_not_hedged_elsewhere(self, shards):
        """Guards against a hedge in another region, whose searcher answers at once."""
        shards.configure(1, search_route(SHARDS, allowedRegions=["south"]))
        north = regional_instance(shards, "front-1", "zone-a")
        for backend in shards.backends:
            if backend.service == "s-1" and backend.zone != "zone-a":
                backend.work = 0.25
        for number in range(4):
            north.ask("/find/x", request_id=f"r{number}")
        assert seen_in(shards, "south") > 4 * len(SHARDS), "no shard was hedged"
        assert seen_in(shards, "north") == 0


class TestForwards:
    def test_one_is_refused_once_its_home_has_no_searcher_and_served_when_it_has_one(self, system):
        """Guards against a late 504, and against a request that moves to another region."""
        near = system.backend("desk", "i-1", zone="zone-a")
        system.backend("desk", "i-2", zone="zone-b")
        system.configure(1, forward_route("desk", allowedRegions=["south"]))
        instance = regional_instance(system, "front-1", "zone-a")
        assert instance.ask("/get/x").headers[PROOF] == "i-2.r1.200"
        system.store.take_away("servers", "i-2")

        def code() -> str:
            reply = instance.ask("/get/x")
            return json.loads(reply.data)["code"] if reply.status == 503 else ""

        wait_for(lambda: code() == "no_home", "the home has no searcher")
        began = time.monotonic()
        reply = instance.ask("/get/x")
        assert time.monotonic() - began < 0.5
        assert (reply.status, float(reply.headers["Retry-After"]) > 0) == (503, True)
        assert instance.events(550)
        system.backend("desk", "i-3", zone="zone-c")
        wait_for(lambda: instance.ask("/get/x").status == 200, "a new searcher is used")
        assert not near.seen

    def test_a_failure_domain_that_moves_to_another_region_is_used_no_more(self, system):
        """Guards against `zones` that take effect only when every instance has restarted."""
        system.backend("desk", "i-2", zone="zone-b")
        system.configure(1, forward_route("desk", allowedRegions=["south"]))
        instance = regional_instance(system, "front-1", "zone-a")
        assert instance.ask("/get/x").status == 200
        instance.settings["zones"] = {**ZONES, "zone-b": "north"}
        instance.settings_path.write_text(json.dumps(instance.settings))
        wait_for(lambda: instance.ask("/get/x").status == 503, "the new table is in use")

    def test_a_home_that_nothing_belongs_to_is_logged_and_refused(self, system):
        near = system.backend("desk", "i-1", zone="zone-a")
        system.configure(1, forward_route("desk", allowedRegions=["soth"]))
        instance = regional_instance(system, "front-1", "zone-a")
        assert json.loads(instance.ask("/get/x").data)["code"] == "no_home"
        assert [event["homes"] for event in instance.events(552)] == [["soth"]]
        assert not near.seen


class TestDirectory:
    def test_it_names_instances_in_homes_or_in_the_callers_region_only(self, system):
        """Guards against a body that reaches an instance of another region first."""
        system.backend("desk", "i-1", zone="zone-a")
        system.backend("desk", "i-2", zone="zone-b")
        system.configure(1, forward_route("desk", allowedRegions=["south"]))
        north = regional_instance(system, "front-1", "zone-a")
        south = regional_instance(system, "front-2", "zone-b")
        ends = {each: each.settings["listen"]["front"] for each in (north, south)}
        for instance in (north, south):
            wait_for(
                lambda instance=instance: instance.addresses("zone-a", "north") == [ends[south]],
                "the instance at home is live for both",
            )
        for zone, region in (("zone-a", "north"), ("zone-b", "south"), ("zone-x", "east")):
            for instance in (north, south):
                assert instance.addresses(zone, region) == [ends[south]]
        south.kill()
        wait_for(
            lambda: north.addresses("zone-a", "north") == [ends[north]],
            "the caller's own region takes over",
        )
        # The killed instance is still known, and a caller from elsewhere is sent nowhere else.
        assert north.addresses("zone-x", "east") == [ends[south]]

    def test_callers_get_503_where_no_instance_may_serve_them(self, system):
        system.backend("desk", "i-1", zone="zone-a")
        system.configure(1, forward_route("desk", allowedRegions=["south"]))
        north = regional_instance(system, "front-1", "zone-a")
        assert len(north.addresses("zone-a", "north")) == 1
        reply = north.resolve("zone-x", "east")
        assert (reply.status, json.loads(reply.data)["code"]) == (503, "no_home")
        assert float(reply.headers["Retry-After"]) > 0
        assert north.events(551)
