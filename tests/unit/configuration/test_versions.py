"""Versions across the platform's eras, as one number."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limpethollow_wire.versions import era_of, format_version, number_of, version_of

eras = st.integers(0, 1000)
numbers = st.integers(0, 10**12)


class TestOrder:
    @given(eras, numbers, eras, numbers)
    def test_the_era_goes_before_the_number(self, era, number, other_era, other_number):
        """Guards against versions that are compared by a number that was given out twice."""
        first, second = version_of(era, number), version_of(other_era, other_number)
        assert (first < second) == ((era, number) < (other_era, other_number))

    @given(eras, numbers)
    def test_both_can_be_read_back(self, era, number):
        version = version_of(era, number)
        assert (era_of(version), number_of(version)) == (era, number)

    def test_no_version_is_before_all(self):
        assert (version_of(3, -1), era_of(-1), number_of(-1)) == (-1, 0, -1)


class TestText:
    @pytest.mark.parametrize(("era", "text"), [(0, "47"), (2, "47 of era 2")])
    def test_people_read_the_number_and_a_later_era(self, era, text):
        assert format_version(version_of(era, 47)) == text
