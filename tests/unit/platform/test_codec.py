"""The platform's objects become the product's types, or are refused."""

import json

import msgspec
import pytest

from limpethollow_node.platform.codec import (
    ObjectMeta,
    StoredObject,
    decode_searcher,
    decode_version,
)
from limpethollow_wire.exceptions import BadRequest

ENTRY = {
    "service": "s",
    "addr": "10.0.0.1:8080",
    "zone": "a",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "coldLeftMs": 1500,
    "seq": 4,
    "born": 17,
}


def stored(spec, name: str = "i-1") -> StoredObject:
    return StoredObject(ObjectMeta(name, 5), msgspec.Raw(json.dumps(spec).encode()))


class TestSearchers:
    def test_a_whole_entry(self):
        found = decode_searcher(stored(ENTRY))
        assert (found.id, found.service, found.address) == ("i-1", "s", "10.0.0.1:8080")
        assert (found.failure_domain, found.slots, found.draining) == ("a", 2, False)
        assert found.incarnation == 17

    def test_a_draining_entry(self):
        assert decode_searcher(stored({**ENTRY, "state": "draining"})).draining

    @pytest.mark.parametrize(
        "spec",
        [
            None,
            "text",
            [],
            {},
            {**ENTRY, "state": "asleep"},
            {**ENTRY, "addr": 7},
            {**ENTRY, "addr": "nowhere"},
            {**ENTRY, "addr": "10.0.0.1:99999"},
            {**ENTRY, "addr": "10.0.0.1:" + "9" * 5000},
            {**ENTRY, "addr": "10.0.0.1:٨٠"},
            {**ENTRY, "slots": 0},
            {**ENTRY, "slots": "two"},
            {**ENTRY, "service": None},
            {**ENTRY, "born": 1.5},
            {key: value for key, value in ENTRY.items() if key != "zone"},
        ],
    )
    def test_an_entry_by_another_writer_names_no_searcher(self, spec):
        with pytest.raises(BadRequest, match="i-1"):
            decode_searcher(stored(spec))


ROUTE = {
    "name": "r",
    "host": "Pupu.example",
    "pathPrefix": "/a/",
    "type": "safe",
    "timeoutMs": 800,
    "sloMs": 56,
    "priority": 2,
    "attempts": 2,
}


class TestVersions:
    def decode(self, *routes, **rest):
        spec = {"version": 7, "routes": list(routes), "services": [], **rest}
        return decode_version(stored(spec, "main"))

    def test_a_search(self):
        route = {**ROUTE, "gather": ["x", "y"], "topK": 5, "minVersion": 0.75}
        found = self.decode(route).routes[0]
        assert found.shards == ("x", "y")
        assert (found.top, found.floor, found.min_parts) == (5, 0.75, 2)
        assert (found.timeout, found.objective) == (0.8, 0.056)
        assert found.host == "pupu.example"

    def test_a_split(self):
        split = [{"service": "x", "weight": 3}, {"service": "y", "weight": 1}]
        found = self.decode({**ROUTE, "trafficSplit": split, "type": "unsafe"}).routes[0]
        assert [(target.name, target.weight) for target in found.targets] == [("x", 3), ("y", 1)]
        assert not found.idempotent

    def test_limits(self):
        limits = {"maxHeaderBytes": 100, "maxBodyBytes": 200, "idleTimeoutMs": 5000}
        found = self.decode(limits=limits)
        assert (found.limits.header_bytes, found.limits.body_bytes) == (100, 200)
        assert found.limits.idle_timeout == 5.0

    @pytest.mark.parametrize("spec", [None, {}, {"version": "x", "routes": [], "services": []}])
    def test_what_is_no_configuration_is_refused(self, spec):
        with pytest.raises(BadRequest, match="configuration"):
            decode_version(stored(spec, "main"))
