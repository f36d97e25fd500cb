"""A system on the platform for each test."""

import pytest

from tests.support.platforms import PlatformSystem


@pytest.fixture
def system(tmp_path):
    with PlatformSystem(tmp_path) as running:
        yield running
