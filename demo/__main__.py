"""Shows the whole path on loopback, checks every step, and ends by itself.

Exit code 0 means that every answer was right; 1 that some step's answer was wrong.
"""

import sys
import threading
from dataclasses import dataclass
from typing import Any

from demo.checks import WrongAnswer, require
from demo.platform import run_platform_steps
from limpethollow import OutcomeState, SearchAnswer, Session
from limpethollow.exceptions import Conflict
from limpethollow.models import Intent
from limpethollow_wire.codecs import convert
from tests.support.clusters import Cluster
from tests.support.processes import wait_for

SERVICE = "driver-finder-1"
SHARDS = list(range(4))
INSTANCES = 4
SEARCHES_PER_THREAD = 20
SEARCH_THREADS = 4
SLOW_SERVICE_TIME = 0.02


@dataclass(slots=True, frozen=True)
class Size:
    """One service of tas-north, at the sizes of the users' brief.

    Attributes:
        searchers: Number of searchers.
        slots: Requests each runs at once.
        connections: Connections each accepts.
        connect_cost: Seconds a new connection costs.
    """

    searchers: int
    slots: int
    connections: int
    connect_cost: float


FINDER = Size(searchers=2, slots=2, connections=25, connect_cost=0.006)
DESK = Size(searchers=4, slots=4, connections=110, connect_cost=0.001)
# tas-north with 2 instead of 20 driver finders and 2 instead of 30 depot boards.
TAS_NORTH = {
    "driver-finder-1": FINDER,
    "driver-finder-2": FINDER,
    "depot-board-1": FINDER,
    "depot-board-2": FINDER,
    "booking-desk": DESK,
    "billing-split": DESK,
}


def main() -> int:
    """Run all steps."""
    with Cluster() as cluster:
        try:
            for step in (_confirm, _conflict, _route, _search, _book, _kill):
                print(f"{step.__doc__}")
                print(f"    {step(cluster)}")
            run_platform_steps()
        except WrongAnswer as error:
            print(f"WRONG: {error}", file=sys.stderr)
            return 1
    print("Every answer was right.")
    return 0


def _confirm(cluster: Cluster) -> str:
    """An operator states an intent for each service, reads the plans and confirms them."""
    cluster.start_instances(INSTANCES)
    for name, size in TAS_NORTH.items():
        _confirm_service(cluster, name, size)
    with cluster.operator("n3") as operator:
        known = {service["name"] for service in operator.services()["services"]}
    require(known == set(TAS_NORTH), f"n3 knows {sorted(known)} only")
    return f"{len(known)} services in force at {INSTANCES} instances"


def _confirm_service(cluster: Cluster, name: str, size: Size) -> None:
    searchers = cluster.start_searchers(
        name,
        [SHARDS] * size.searchers,
        slots=size.slots,
        connection_limit=size.connections,
        connect_cost=size.connect_cost,
    )
    intent = Intent(service=cluster.service_spec(name, searchers))
    with cluster.operator() as operator:
        plan = operator.plan(intent)
        require(plan.action == "create", f"the plan for {name} would {plan.action}")
        status = operator.status()
        require(name not in status.versions, f"{name} is in force before its plan is confirmed")
        confirmation = operator.confirm(plan.id)
    require(len(confirmation.in_force) == INSTANCES, f"{name} lacks {confirmation.lacking}")


def _conflict(cluster: Cluster) -> str:
    """Two operators plan against the same version; the second confirm changes nothing."""
    with cluster.operator("n0") as first, cluster.operator("n1") as second:
        spec = first.services()["services"][0]["spec"]
        name = spec["name"]
        early = first.plan(_with_ttl(spec, 2.0))
        late = second.plan(_with_ttl(spec, 3.0))
        done = first.confirm(early.id)
        try:
            second.confirm(late.id)
        except Conflict as conflict:
            require(first.status().versions[name] == done.version, "the version moved on")
            return f"{conflict}"
    raise WrongAnswer("both plans were carried out")


def _with_ttl(spec: dict[str, Any], seconds: float) -> Intent:
    return convert({"service": {**spec, "route_ttl": seconds}}, Intent)


def _route(cluster: Cluster) -> str:
    """A caller asks which instances to use."""
    with cluster.session() as session:
        route = session.route(SERVICE)
    domains = [instance.failure_domain for instance in route.instances]
    require(len(set(domains)) == INSTANCES, f"the route lies in {domains}")
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
    require(outcome.state == OutcomeState.BOOKED, f"the booking is {outcome.state}")
    require(again == outcome, f"the second answer is {again}")
    require(sum(counts) == 1, f"the booking ran {sum(counts)} times")
    return f"{outcome.state}, ran once, visible from version {outcome.visible_version}"


def _kill(cluster: Cluster) -> str:
    """A searcher is killed while searches run; every label stays true."""
    answers: list[SearchAnswer | Exception] = []

    def search(driver: int) -> None:
        # Queries differ, since identical ones on one snapshot are run only once.
        with cluster.session() as session:
            for number in range(SEARCHES_PER_THREAD):
                answers.append(_attempt(session, {"driver": driver, "number": number}))

    victim = cluster.searchers[f"{SERVICE}-s0"]
    for number in range(FINDER.searchers):
        cluster.searchers[f"{SERVICE}-s{number}"].control(service_time=SLOW_SERVICE_TIME)
    threads = [threading.Thread(target=search, args=[n]) for n in range(SEARCH_THREADS)]
    for thread in threads:
        thread.start()
    wait_for(lambda: victim.stats()["running"] > 0, "a search on the searcher to kill")
    victim.kill()
    for thread in threads:
        thread.join()
    for answer in answers:
        if isinstance(answer, Exception):
            raise WrongAnswer(f"a search failed: {answer}")
        _check(answer, complete=False)
    complete = sum(answer.coverage.complete for answer in answers)
    require(_check_last(cluster), "no complete answer after the kill")
    return f"{complete} of {len(answers)} answers complete, every label true"


def _check_last(cluster: Cluster) -> bool:
    with cluster.session() as session:
        return session.search(SERVICE, {}, deadline=5.0).coverage.complete


def _attempt(session: Session, query: dict[str, Any]) -> SearchAnswer | Exception:
    try:
        return session.search(SERVICE, query, deadline=5.0)
    except Exception as error:
        return error


def _check(answer: SearchAnswer, *, complete: bool) -> str:
    """Check that the label tells the truth about the rows."""
    coverage = answer.coverage
    covered = tuple(part.shard for part in answer.parts)
    versions = {row["version"] for part in answer.parts for row in part.rows}
    missing = {shard.shard for shard in coverage.missing}
    require(covered == coverage.covered, f"rows of {covered}, label says {coverage.covered}")
    require(versions == {coverage.version}, f"rows of versions {versions}")
    require(missing == set(SHARDS) - set(covered), f"missing shards are {missing}")
    require(coverage.complete or not complete, f"only {covered} are covered")
    return f"{len(covered)} of {coverage.wanted} shards at version {coverage.version}"


if __name__ == "__main__":
    sys.exit(main())
