"""The status of a process, from its metrics."""

import pytest

from limpethollow.exceptions import Unavailable
from limpethollow.statuses import status_of

CALM = {
    "ready": 1,
    "version": 7,
    "version_age_seconds": 0.2,
    "searchers_known": 48,
    "searchers_age_seconds": 0.3,
    "instances_known": 8,
    "instances_heard": 7,
    "follows_store": 0,
    "domains_evacuated": 0,
}


def metrics(**changed: float) -> str:
    values = {**CALM, **changed}
    lines = [f"limpethollow_{name} {value}" for name, value in values.items()]
    return "\n".join(['limpethollow_requests_total{reason="200"} 5', *lines])


class TestStatus:
    def test_a_calm_process_lacks_nothing(self):
        found = status_of(metrics(), "here")
        assert (found.ready, found.version, found.searchers, found.missing) == (True, 7, 48, [])

    def test_evacuated_domains_are_counted(self):
        assert status_of(metrics(domains_evacuated=2), "here").evacuated == 2

    @pytest.mark.parametrize(
        "changed, word",
        [
            ({"version": -1, "version_age_seconds": float("inf")}, "no configuration"),
            ({"version_age_seconds": 9.0}, "9 s ago"),
            ({"searchers_known": 0}, "no searcher"),
            ({"searchers_age_seconds": 12.0}, "12 s ago"),
            ({"instances_heard": 0}, "no other instance"),
            ({"ready": 0}, "not served"),
        ],
    )
    def test_what_is_missing_is_said(self, changed, word):
        assert word in " ".join(status_of(metrics(**changed), "here").missing)

    def test_other_metrics_are_refused(self):
        with pytest.raises(Unavailable, match="here"):
            status_of("limpethollow_threads 5", "here")
