"""Steady load on one service, with every answer checked against its own label."""

import itertools
import threading
from contextlib import ExitStack
from typing import Any

from limpethollow.exceptions import LimpethollowError
from limpethollow_wire.searches import SearchAnswer
from tests.support.clusters import Cluster
from tests.support.processes import wait_for

DEADLINE = 10.0


def check_label(answer: SearchAnswer) -> None:
    """Check that the label says truly what the rows are."""
    coverage = answer.coverage
    missing = [m.shard for m in coverage.missing]
    assert tuple(part.shard for part in answer.parts) == coverage.covered
    assert not set(missing) & set(coverage.covered)
    assert len(missing) + len(coverage.covered) == coverage.wanted
    for part in answer.parts:
        assert {row["shard"] for row in part.rows} == {part.shard}
        assert {row["version"] for row in part.rows} == {coverage.version}
        # Rows of bookings carry no epoch.
        assert {row.get("epoch", coverage.epoch) for row in part.rows} == {coverage.epoch}


class Load:
    """Threads that search without a pause until the block ends; no query is asked twice.

    Usage:
        with Load(cluster, "finder") as load:
            load.wait_for(100)
        assert not load.errors

    Args:
        cluster: The system.
        service: Name of the service.
        threads: Searches at once.
        deadline: Seconds each search may take.
    """

    def __init__(
        self, cluster: Cluster, service: str, threads: int = 6, deadline: float = DEADLINE
    ) -> None:
        self._cluster = cluster
        self._service = service
        self._deadline = deadline
        self._stopped = threading.Event()
        self._numbers = itertools.count()
        self._threads = [threading.Thread(target=self._run, args=[n]) for n in range(threads)]
        self.answers: list[SearchAnswer] = []
        self.errors: list[LimpethollowError] = []
        self.false_labels: list[Any] = []

    def __enter__(self) -> "Load":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def wait_for(self, more: int) -> None:
        """Wait until so many more searches have ended."""
        until = len(self.answers) + len(self.errors) + more
        wait_for(
            lambda: len(self.answers) + len(self.errors) >= until or self.false_labels,
            f"{more} more searches",
        )

    def assert_all_complete(self) -> None:
        """Check that each search got a true answer of all shards."""
        assert not self.false_labels
        assert not self.errors, self._what_failed()
        partial = [a.coverage for a in self.answers if not a.coverage.complete]
        assert not partial, partial[:3]

    def _what_failed(self) -> tuple[list[str], dict[str, float]]:
        """Return the first errors, and how many repeats each instance had no budget for."""
        refused = 'retries_refused_total{reason="budget"}'
        listed = self._cluster.listed
        return (
            [str(error) for error in self.errors[:3]],
            {instance: self._cluster.metric(instance, refused) for instance in listed},
        )

    def _run(self, thread: int) -> None:
        ids = list(self._cluster.listed)
        with ExitStack() as stack:
            first = ids[thread % len(ids) :] + ids[: thread % len(ids)]
            session = stack.enter_context(self._cluster.session(*first))
            while not self._stopped.is_set():
                query = {"number": next(self._numbers)}
                try:
                    answer = session.search(self._service, query, deadline=self._deadline)
                except LimpethollowError as error:
                    self.errors.append(error)
                    continue
                try:
                    check_label(answer)
                except AssertionError as error:
                    self.false_labels.append((answer, error))
                self.answers.append(answer)
