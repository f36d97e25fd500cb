"""Merging records: nothing old comes back, and digests find every gap."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limpethollow_policy.version.configurations import Configuration
from limpethollow_wire.services import SearcherSpec, ServiceRecord, ServiceSpec

_NAMES = ("a", "b", "c", "d")


def record(name: str, version: int, deleted: bool = False) -> ServiceRecord:
    searcher = SearcherSpec("s", "127.0.0.1:1", (0,))
    return ServiceRecord(name, version, None if deleted else ServiceSpec(name, 1, (searcher,)))


records = st.lists(
    st.builds(record, st.sampled_from(_NAMES), st.integers(1, 9), st.booleans()), max_size=20
)


def merged(*parts) -> Configuration:
    configuration = Configuration()
    for part in parts:
        configuration.merge(part)
    return configuration


def close_gaps(mine: Configuration, theirs: Configuration) -> None:
    """Do what two instances do over their link."""
    buckets = theirs.differing_buckets(mine.bucket_hashes)
    versions = theirs.versions_in(buckets)
    mine.merge(theirs.get(name) for name in mine.lacking(versions))
    theirs.merge(mine.get(name) for name in mine.newer_than(versions, buckets))


class TestMerge:
    @pytest.mark.parametrize("order", list(itertools.permutations((1, 2, 3))))
    def test_a_deletion_stays_whatever_order_records_come_in(self, order):
        """A deleted service answers again after an instance comes back from a long freeze.

        It offers the record it had before the freeze. Without the tombstone, that record would
        look new to everybody.
        """
        given = {1: record("a", 1), 2: record("a", 2), 3: record("a", 3, deleted=True)}
        configuration = Configuration()
        for number in order:
            configuration.merge([given[number]])
        assert configuration.spec("a") is None
        assert configuration.merge([given[1], given[2]]) == ()
        assert configuration.digest == {"a": 3}

    @given(records, records)
    def test_versions_never_go_back(self, first, second):
        configuration = merged(first)
        before = configuration.digest
        configuration.merge(second)
        assert all(configuration.digest[name] >= version for name, version in before.items())

    def test_a_service_created_again_replaces_its_tombstone(self):
        configuration = merged([record("a", 3, deleted=True)])
        assert configuration.merge([record("a", 4)]) != ()
        assert configuration.spec("a") is not None


class TestDigests:
    @given(records, records)
    def test_two_instances_agree_after_closing_gaps(self, first, second):
        mine, theirs = merged(first), merged(second)
        close_gaps(mine, theirs)
        assert mine.digest == theirs.digest
        assert mine.fingerprint == theirs.fingerprint

    @given(records, records)
    def test_fingerprints_are_equal_only_where_versions_are(self, first, second):
        mine, theirs = merged(first), merged(second)
        same = mine.digest == theirs.digest
        assert (mine.fingerprint == theirs.fingerprint) == same

    def test_equal_configurations_compare_no_bucket(self):
        mine, theirs = merged([record("a", 1)]), merged([record("a", 1)])
        assert theirs.differing_buckets(mine.bucket_hashes) == ()
