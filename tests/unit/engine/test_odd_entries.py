"""Entries that only one instance could use, or that harm others than what they describe."""

import json
import math

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limpethollow_node.engine.frames import (
    CrashUpdate,
    InstanceUpdate,
    SearcherUpdate,
    decode_frame,
    encode_frame,
)
from limpethollow_node.platform.codec import (
    ObjectMeta,
    StoredObject,
    decode_instance,
    decode_quarantine,
    decode_searcher,
    decode_version,
)
from limpethollow_policy.process.placements import Instance
from limpethollow_policy.process.searchers import Searcher
from limpethollow_wire.exceptions import BadRequest
from tests.unit.engine.test_catalog import Catalog, FakeRoster, FleetDispatch

SEARCHER = {"service": "s", "addr": "10.0.0.1:80", "zone": "a", "slots": 2, "state": "ready"}
INSTANCE = {"address": "10.0.0.1:1", "peer_address": "10.0.0.1:2", "failure_domain": "a"}
ROUTE = {
    "name": "r",
    "host": "h",
    "pathPrefix": "/",
    "type": "safe",
    "timeoutMs": 800,
    "sloMs": 60,
    "service": "s",
}
LONG = "x" * 1_000_000
ODD_NAMES = ["i 1", "i\r\nX-Odd: 1", "i\0", "é", "x" * 500]
ODD_ADDRESSES = [
    "a b:80",
    "h\0:80",
    "x" * 70 + ":80",
    "a..b:80",
    ":80",
    "h:0",
    "h:65536",
    LONG + ":1",
]
ODD_SEARCHERS = [
    *({"addr": address} for address in ODD_ADDRESSES),
    {"slots": 2**64},
    {"slots": 10**400},
    {"born": 10**400},
    {"born": -(10**400)},
    {"coldLeftMs": 1e300},
    {"service": LONG},
    {"service": ""},
    {"zone": LONG},
]
ODD_INSTANCES = [
    *({"address": address} for address in ODD_ADDRESSES),
    *({"peer_address": address} for address in ODD_ADDRESSES),
    {"strength": -1.0},
    {"strength": 1e308},
    {"incarnation": 10**400},
    {"failure_domain": LONG},
]


def stored(spec: object, name: str = "i-1") -> StoredObject:
    return StoredObject(ObjectMeta(name), msgspec.Raw(json.dumps(spec).encode()))


def made() -> Catalog:
    return Catalog(FleetDispatch(), None, FakeRoster(), 0.0, lambda version: None)


class TestStored:
    """Guards against entries whose use raises errors, or whose frames peers refuse."""

    @pytest.mark.parametrize("fields", ODD_SEARCHERS)
    def test_no_searcher_has_such_fields(self, fields):
        with pytest.raises(BadRequest, match="i-1"):
            decode_searcher(stored({**SEARCHER, **fields}))

    @pytest.mark.parametrize("name", ODD_NAMES)
    def test_no_searcher_has_such_a_name(self, name):
        """Guards against a name that adds headers to the requests that state it."""
        with pytest.raises(BadRequest):
            decode_searcher(stored(SEARCHER, name))

    @pytest.mark.parametrize("fields", ODD_INSTANCES)
    def test_no_instance_has_such_fields(self, fields):
        with pytest.raises(BadRequest, match="i-1"):
            decode_instance(stored({**INSTANCE, "name": "i-1", **fields}))

    @pytest.mark.parametrize("name", ODD_NAMES)
    def test_no_instance_has_such_a_name(self, name):
        with pytest.raises(BadRequest):
            decode_instance(stored({**INSTANCE, "name": name}, name))

    def test_no_error_repeats_a_large_value(self):
        for fields in ({"zone": LONG}, {"state": LONG}, {"addr": LONG}):
            with pytest.raises(BadRequest) as caught:
                decode_searcher(stored({**SEARCHER, **fields}))
            assert len(str(caught.value)) < 1000

    def test_no_version_has_a_number_beyond_64_bits(self):
        with pytest.raises(BadRequest):
            decode_version(stored({"version": 10**400, "routes": [], "services": []}))

    @pytest.mark.parametrize(
        "fields",
        [
            {"services": [{"name": "s", "maxConns": 10**400}]},
            {"routes": [{**ROUTE, "attempts": 10**400}]},
            {"routes": [{**ROUTE, "topK": -(10**400)}]},
            {"routes": [{**ROUTE, "priority": 10**400}]},
            {"limits": {"maxBodyBytes": 10**400}},
            {"limits": {"maxHeaderBytes": 10**400}},
            {"tenants": [{"name": "t", "priority": 10**400}]},
        ],
    )
    def test_no_version_has_integers_beyond_64_bits(self, fields):
        """Guards against a version that is only partly applied, as a computation overflows."""
        with pytest.raises(BadRequest):
            decode_version(stored({"version": 1, "routes": [], "services": [], **fields}))

    @pytest.mark.parametrize(
        "fields",
        [
            {"searchers": [LONG], "on_trial": []},
            {"searchers": [], "on_trial": [LONG]},
            {"searchers": [str(n) for n in range(1000)], "on_trial": []},
            {"searchers": [], "on_trial": [], "epoch": 2**70},
        ],
    )
    def test_no_quarantine_has_such_evidence(self, fields):
        spec = {"onTrial" if name == "on_trial" else name: v for name, v in fields.items()}
        with pytest.raises(BadRequest):
            decode_quarantine(stored(spec))

    def test_no_quarantine_has_a_long_name(self):
        with pytest.raises(BadRequest):
            decode_quarantine(stored({"searchers": [], "onTrial": []}, "f" * 500))


class TestOfPeers:
    """Guards against entries that a peer of another release took from the store."""

    odd = [
        Searcher("i-1", "s", "h:" + "9" * 5000, "a", 2),
        Searcher("i-1", "s", "h:65536", "a", 2),
        Searcher("i-1", "s", "h:80", "a", 0),
        Searcher("i-1", "s", "h:80", "a", 2, cold_left=math.nan),
        Searcher("i-1", "s", "h:80", "a", 2, cold_left=math.inf),
        Searcher("i 1\r\n", "s", "h:80", "a", 2),
    ]

    @pytest.mark.parametrize("odd", odd)
    def test_only_the_other_searchers_are_used(self, odd):
        catalog, good = made(), Searcher("i-2", "s", "h:80", "a", 2)
        assert catalog.apply_searchers(SearcherUpdate(None, 7, [odd, good], []))
        assert set(catalog.searchers.items) == {"i-2"}

    def test_a_searcher_that_becomes_odd_is_gone(self):
        catalog = made()
        catalog.apply_searchers(SearcherUpdate(None, 7, [Searcher("i-1", "s", "h:80", "a", 2)], []))
        assert catalog.apply_searchers(SearcherUpdate(7, 8, [self.odd[1]], []))
        assert not catalog.searchers.items
        assert catalog.searchers.revision.number == 8

    @pytest.mark.parametrize("fields", [{"peer_address": "h:65536"}, {"strength": math.nan}])
    def test_only_the_other_instances_are_used(self, fields):
        catalog = made()
        odd = Instance("i-1", **{**INSTANCE, **fields})
        good = Instance("i-2", **INSTANCE)
        assert catalog.apply_instances(InstanceUpdate(None, 7, [odd, good], []))
        assert set(catalog.instances.items) == {"i-2"}


# Values as another writer may leave them in any field.
VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(10**30), 10**30),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=300),
    st.sampled_from(["ready", "10.0.0.1:80", "h:1", "a"]),
    st.lists(st.integers(), max_size=2),
)


class TestFrames:
    """Guards against links that are closed again and again for an entry that peers refuse."""

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.dictionaries(st.sampled_from([*SEARCHER, "born", "coldLeftMs"]), VALUES), st.text())
    def test_each_searcher_that_is_used_can_be_told(self, fields, name):
        self.check(decode_searcher, SearcherUpdate, {**SEARCHER, **fields}, name)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        st.dictionaries(st.sampled_from([*INSTANCE, "strength", "incarnation"]), VALUES), st.text()
    )
    def test_each_instance_that_is_used_can_be_told(self, fields, name):
        spec = {**INSTANCE, "name": name, **fields}
        self.check(decode_instance, InstanceUpdate, spec, name)

    def test_all_evidence_that_may_be_kept_fits_into_a_frame(self):
        spec = {
            "searchers": [f"{n:0128}" for n in range(32)],
            "onTrial": [f"{n:0128}" for n in range(32)],
        }
        reports = [decode_quarantine(stored(spec, f"{n:032}")).report for n in range(256)]
        assert decode_frame(encode_frame(CrashUpdate(reports))) == CrashUpdate(reports)

    def check(self, decode, kind, spec, name) -> None:
        try:
            decoded = decode(stored(spec, name))
        except BadRequest:
            return
        frame = kind(None, 7, [decoded], [])
        assert decode_frame(encode_frame(frame)) == frame
