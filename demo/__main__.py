"""Shows the whole path on loopback, checks every step, and ends by itself.

Exit code 0 means that every answer was right; 1 that some step's answer was wrong.
"""

import sys
import threading
from collections.abc import Callable

from limpethollow import OutcomeState, SearchAnswer
from tests.support.clusters import Cluster

SERVICE = "driver-finder"
SHARDS = list(range(6))


class WrongAnswer(Exception):
    """A step's answer was not what it must be."""


def main() -> int:
    """Run all steps."""
    with Cluster() as cluster:
        try:
            for step in (_confirm, _route, _search, _book, _kill):
                print(f"{step.__doc__}")
                print(f"    {step(cluster)}")
        except WrongAnswer as error:
            print(f"WRONG: {error}", file=sys.stderr)
            return 1
    print("Every answer was right.")
    return 0


def _require(holds: bool, complaint: str) -> None:
    if not holds:
        raise WrongAnswer(complaint)


def _confirm(cluster: Cluster) -> str:
    """An operator states an intent, reads the plan and confirms it."""
    cluster.start_instances(4)
    searchers = cluster.start_searchers(SERVICE, [SHARDS, SHARDS], connect_cost=0.006)
    confirmation = cluster.put_service(SERVICE, searchers)
    _require(len(confirmation.in_force) == 4, f"in force at {confirmation.in_force} only")
    return f"version {confirmation.version} in force at {', '.join(confirmation.in_force)}"


def _route(cluster: Cluster) -> str:
    """A caller asks which instances to use."""
    with cluster.session() as session:
        route = session.route(SERVICE)
    domains = [instance.failure_domain for instance in route.instances]
    _require(len(set(domains)) == 4, f"the route lies in {domains}")
    return ", ".join(f"{i.id} ({i.failure_domain})" for i in route.instances)


def _search(cluster: Cluster) -> str:
    """A driver searches for a free bay."""
    with cluster.session() as session:
        return _check(session.search(SERVICE, {"free": True}, deadline=5.0), complete=True)


def _book(cluster: Cluster) -> str:
    """A dispatcher books a bay, and sends the same booking again."""
    with cluster.session() as session:
        outcome = session.book(SERVICE, shard=2, booking={"bay": 12}, deadline=5.0)
        again = session.book(SERVICE, shard=2, booking={"bay": 12}, token=outcome.token)
    counts = [s.stats()["executions"].get(outcome.token, 0) for s in cluster.searchers.values()]
    _require(outcome.state == OutcomeState.BOOKED, f"the booking is {outcome.state}")
    _require(again == outcome, f"the second answer is {again}")
    _require(sum(counts) == 1, f"the booking ran {sum(counts)} times")
    return f"{outcome.state}, ran once, visible from version {outcome.visible_version}"


def _kill(cluster: Cluster) -> str:
    """A searcher is killed while searches run; every label stays true."""
    answers: list[SearchAnswer | Exception] = []

    def search() -> None:
        with cluster.session() as session:
            for _ in range(20):
                answers.append(_attempt(lambda: session.search(SERVICE, {}, deadline=5.0)))

    threads = [threading.Thread(target=search) for _ in range(4)]
    for thread in threads:
        thread.start()
    cluster.searchers[f"{SERVICE}-s0"].kill()
    for thread in threads:
        thread.join()
    for answer in answers:
        if isinstance(answer, Exception):
            raise WrongAnswer(f"a search failed: {answer}")
        _check(answer, complete=False)
    complete = sum(answer.coverage.complete for answer in answers)
    _require(_check_last(cluster), "no complete answer after the kill")
    return f"{complete} of {len(answers)} answers complete, every label true"


def _check_last(cluster: Cluster) -> bool:
    with cluster.session() as session:
        return session.search(SERVICE, {}, deadline=5.0).coverage.complete


def _attempt(search: Callable[[], SearchAnswer]) -> SearchAnswer | Exception:
    try:
        return search()
    except Exception as error:
        return error


def _check(answer: SearchAnswer, *, complete: bool) -> str:
    """Check that the label tells the truth about the rows."""
    coverage = answer.coverage
    covered = tuple(part.shard for part in answer.parts)
    versions = {row["version"] for part in answer.parts for row in part.rows}
    missing = {shard.shard for shard in coverage.missing}
    _require(covered == coverage.covered, f"rows of {covered}, label says {coverage.covered}")
    _require(versions == {coverage.version}, f"rows of versions {versions}")
    _require(missing == set(SHARDS) - set(covered), f"missing shards are {missing}")
    _require(coverage.complete or not complete, f"only {covered} are covered")
    return f"{len(covered)} of {coverage.wanted} shards at version {coverage.version}"


if __name__ == "__main__":
    sys.exit(main())
