"""Routing: longest prefix, versions that only rise, weights."""

import pytest

from limpethollow_policy.version.routes import (
    CallerLimits,
    CurrentVersion,
    Route,
    RouteTable,
    RoutingVersion,
    WeightedRoundRobin,
    WeightedService,
)


def route(prefix: str, host: str = "a.example", **fields) -> Route:
    return Route(
        name=prefix,
        host=host,
        prefix=prefix,
        idempotent=True,
        timeout=1.0,
        objective=0.1,
        attempts=2,
        **fields,
    )


def version(number: int, *routes: Route) -> RoutingVersion:
    return RoutingVersion(number, routes, {}, CallerLimits())


class TestFind:
    ROUTES = RouteTable((route("/"), route("/a/"), route("/a/b/"), route("/a/", "b.example")))

    @pytest.mark.parametrize(
        ("host", "path", "expected"),
        [
            ("a.example", "/a/b/c", "/a/b/"),
            ("a.example", "/a/b", "/a/"),
            ("a.example", "/a/bc/d", "/a/"),
            ("a.example", "/ab", "/"),
            ("A.Example:8080", "/a/b/", "/a/b/"),
            ("b.example", "/a/x", "/a/"),
        ],
    )
    def test_the_longest_prefix_of_the_host_wins(self, host, path, expected):
        found = self.ROUTES.find(host, path)
        assert found.prefix == expected
        assert found.host == host.partition(":")[0].lower()

    @pytest.mark.parametrize(("host", "path"), [("c.example", "/a/"), ("b.example", "/b/")])
    def test_other_hosts_and_paths_have_no_route(self, host, path):
        assert self.ROUTES.find(host, path) is None


class TestLeastParts:
    @pytest.mark.parametrize(
        ("floor", "shards", "expected"),
        [(0.89, 20, 18), (0.75, 20, 15), (0.6, 5, 3), (0.0, 5, 1), (1.0, 3, 3), (0.95, 90, 86)],
    )
    def test_the_floor_is_rounded_up_to_whole_shards(self, floor, shards, expected):
        names = tuple(str(number) for number in range(shards))
        assert route("/", shards=names, floor=floor).min_parts == expected


class TestVersionBook:
    def test_an_older_version_never_replaces_a_newer_one(self):
        """A caller used a new route, then got 404 for it.

        The instance had version 7 from a peer. Its own slow read, begun earlier, then brought
        version 5, which lacked the route.
        """
        book = CurrentVersion()
        assert book.offer(version(7))
        assert not book.offer(version(5))
        assert not book.offer(version(7))
        assert book.current.number == 7

    def test_age_counts_from_the_last_confirmation(self):
        book = CurrentVersion()
        assert book.age(10.0) == float("inf")
        book.confirm(10.0)
        book.confirm(8.0)
        assert book.age(12.0) == 2.0


class TestWeightedTurns:
    def test_shares_follow_the_weights_within_one_request(self):
        turns = WeightedRoundRobin()
        split = route("/", targets=(WeightedService("a", 7), WeightedService("b", 3)))
        dealt = [turns.next(split) for _ in range(50)]
        assert dealt.count("a") == 35
        assert dealt.count("b") == 15

    def test_a_target_without_weight_gets_nothing(self):
        turns = WeightedRoundRobin()
        split = route("/", targets=(WeightedService("a", 1), WeightedService("b", 0)))
        assert {turns.next(split) for _ in range(20)} == {"a"}
