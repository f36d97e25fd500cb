"""What the directory names to callers of hosts with homes."""

import json

import pytest

from limpethollow_node.engine.messages import Request
from limpethollow_node.platform.directory import DirectoryHandler, DirectoryQuery
from limpethollow_policy.process.homes import Regions, instances_for_host
from limpethollow_policy.process.placements import Instance
from limpethollow_wire.exceptions import NoHome
from tests.support.searches import VirtualExchange

REGIONS = Regions({"n-1": "north", "n-2": "north", "s-1": "south", "e-1": "east"})
HOMES = [frozenset({"south"})]


def instance(name: str, domain: str, strength: float = 1.0) -> Instance:
    return Instance(name, f"{name}:80", f"{name}:81", domain, strength)


NORTH = instance("north-1", "n-1")
SOUTH = instance("south-1", "s-1")
EAST = instance("east-1", "e-1", strength=8.0)
LOST = instance("lost-1", "unlisted")
ALL = [NORTH, SOUTH, EAST, LOST]
SEARCHERS = {"n-1": 3, "s-1": 3, "e-1": 3, "unlisted": 3}


def named(live, known=ALL, region="north", zone="n-2", homes=HOMES, searchers=SEARCHERS):
    found = instances_for_host(live, known, region, zone, homes, searchers, REGIONS)
    return {each.name for each in found}


class TestNamedInstances:
    def test_instances_in_homes_are_named(self):
        assert named(ALL) == {"south-1"}

    def test_those_in_the_callers_region_are_named_where_no_home_is_live(self):
        assert named([NORTH, EAST, LOST]) == {"north-1"}

    @pytest.mark.parametrize("region", ["north", ""])
    def test_the_callers_region_follows_from_its_failure_domain_if_it_states_none(self, region):
        assert named([NORTH], region=region) == {"north-1"}

    def test_known_ones_are_named_before_any_of_another_region(self):
        """Guards against callers sent to another region while their own one is only silent."""
        assert named([EAST, LOST]) == {"north-1", "south-1"}
        assert named([EAST, LOST], known=[NORTH, EAST, LOST]) == {"north-1"}

    def test_none_is_named_where_none_is_known(self):
        assert named([EAST, LOST], known=[EAST, LOST]) == set()

    def test_routes_with_different_homes_share_what_suits_all_of_them(self):
        """Guards against a request that reaches an instance in the home of another route only."""
        homes = [frozenset({"north", "east"}), frozenset({"south", "east"})]
        assert named(ALL, homes=homes, region="west", zone="w-1") == {"east-1"}
        alike = [instance("north-1", "n-1"), instance("south-1", "s-1"), instance("east-1", "e-1")]
        assert named(alike, homes=homes, known=alike) == {"north-1", "east-1"}

    def test_without_one_that_suits_all_each_home_will_do(self):
        homes = [frozenset({"north"}), frozenset({"south"})]
        assert named(ALL, homes=homes, region="west", zone="w-1") == {"north-1", "south-1"}

    @pytest.mark.parametrize("region", ["", "unlisted", "west"])
    def test_an_unlisted_failure_domain_is_in_no_region(self, region):
        """Guards against an unknown caller's region that matches an unknown instance's."""
        found = named([LOST], known=[LOST], region=region, zone="unlisted", homes=HOMES)
        assert found == set()

    def test_a_weak_instance_at_home_is_named_beside_a_strong_one_elsewhere(self):
        """Guards against a choice of the strongest instances before the regions are looked at."""
        weak = instance("south-2", "s-1", strength=0.1)
        assert named([weak, EAST], known=[weak, EAST]) == {"south-2"}


class TestHandler:
    def ask(self, target: bytes, choose) -> VirtualExchange:
        exchange = VirtualExchange(Request(b"GET", target, []), 0.0)
        DirectoryHandler(choose, lambda: 3.0).handle(exchange)
        return exchange

    def test_the_query_states_host_region_and_zone(self):
        asked: list[DirectoryQuery] = []

        def choose(query: DirectoryQuery) -> list[str]:
            asked.append(query)
            return ["one:80"]

        target = b"/resolve?name=shop.example&region=north&zone=n-1"
        (reply,) = self.ask(target, choose).replies
        assert json.loads(reply.body) == {"addrs": ["one:80"], "ttl_s": 3.0}
        self.ask(b"/resolve", choose)
        assert asked == [DirectoryQuery("shop.example", "north", "n-1"), DirectoryQuery()]

    def test_no_instance_is_told_as_an_error_with_a_time_to_retry(self):
        """Guards against a caller that takes an empty list for an answer to keep."""

        def choose(query: DirectoryQuery) -> list[str]:
            raise NoHome("None.", retry_after=0.5)

        (reply,) = self.ask(b"/resolve?name=h", choose).replies
        assert reply.status == 503
        assert reply.header(b"retry-after") == b"0.500"
