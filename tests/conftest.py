"""What holds for all tests."""

import pytest
from hypothesis.internal.conjecture import providers


@pytest.fixture(scope="session", autouse=True)
def examples_without_constants_of_modules():
    """Play the same examples whichever tests ran before in the same process.

    Hypothesis also draws constants that it finds in the sources of the modules that are loaded.
    Which ones these are depends on the order of the tests, and it reads them while a test runs.
    """
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(providers, "_get_local_constants", lambda: providers._local_constants)
        yield
