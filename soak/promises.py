"""The promises that the soak checks, each registered, from what callers and searchers saw."""

from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from soak.callers import DEADLINE_SECONDS, Kind, Outcome
from soak.teams import NOISY
from soak.world import DESK, SHARDS, TOP, Run, World, desk_body, records_of

# A machine that runs soaks is busy; what users' bounds call half a second gets a whole one here.
_SLACK_SECONDS = 1.0
_REFUSALS = (408, 421, 429, 503)
_DRAIN_SECONDS = 3.0
# Bounds hold for instances and a store that were undisturbed for this long.
_STABLE_SECONDS = 4.0
_APPLY_SECONDS = 3.0
# The defaults of the instances' settings.
_BUDGET_RATIO, _BUDGET_SLACK, _BUDGET_WINDOW = 0.2, 50, 10.0
# A request under which this many searchers have ended may reach searchers in so many repeats.
_LOST_TO_CRASHING, _CRASHING_REPEATS = 3, 3
# Share of requests that are served at the end, when all faults are over for this long.
_RECOVERED_SHARE, RECOVER_SECONDS = 0.9, 3.0
# Between the send of a request and the moment at which a searcher's thread has read it.
_READ_SECONDS = 0.3


@dataclass(slots=True, frozen=True)
class Seen:
    """All that was seen of a run of the soak."""

    world: World
    outcomes: list[Outcome]
    runs: list[Run]
    faults_over: float


Promise = Callable[[Seen], Iterable[str]]
_PROMISES: dict[str, Promise] = {}


def promise(name: str) -> Callable[[Promise], Promise]:
    """Register a check; it yields a line for each time that the promise was broken."""

    def register(check: Promise) -> Promise:
        _PROMISES[name] = check
        return check

    return register


def broken(seen: Seen) -> list[str]:
    """Return a line for each promise that was broken, named."""
    return [f"{name}: {line}" for name, check in _PROMISES.items() for line in check(seen)]


@promise("an answer is the searcher's, whole, and to this request")
def _unmixed(seen: Seen) -> Iterator[str]:
    for outcome in seen.outcomes:
        if outcome.status == 200 and outcome.kind is not Kind.SEARCH:
            searcher, request, status = _proof(outcome)
            expected = desk_body(searcher, outcome.request)
            if (request, status) != (outcome.request, "200") or outcome.body != expected:
                yield f"{outcome.request} got {outcome.body[:60]!r} by {searcher} for {request}"


@promise("a search names its parts truly and holds their greatest records")
def _parts(seen: Seen) -> Iterator[str]:
    for outcome in seen.outcomes:
        if outcome.status != 200 or outcome.kind is not Kind.SEARCH:
            continue
        proofs = outcome.headers.get("x-limpethollow-part-stamps", "").split(", ")
        missing = int(outcome.headers.get("x-limpethollow-missing-parts", "0"))
        shards = [proof.rsplit("-s", 1)[0] for proof in proofs]
        records = sorted(
            (record for shard in shards for record in records_of(shard, outcome.request)),
            reverse=True,
        )
        if any(f".{outcome.request}.200" not in proof for proof in proofs):
            yield f"{outcome.request} has parts {proofs}"
        if len(set(shards)) != len(shards) or len(shards) + missing != len(SHARDS):
            yield f"{outcome.request} has {shards} and says that {missing} are missing"
        if outcome.body != b"".join(records[:TOP]):
            yield f"{outcome.request} holds other records than those of its parts"


@promise("a booking runs once at most")
def _once(seen: Seen) -> Iterator[str]:
    counts = Counter(run.request for run in seen.runs if run.service == DESK)
    for outcome in seen.outcomes:
        if outcome.kind is Kind.BOOKING and counts[outcome.request] > 1:
            yield f"{outcome.request} ran {counts[outcome.request]} times"


@promise("a booking that is refused has not run")
def _refused(seen: Seen) -> Iterator[str]:
    ran = {run.request for run in seen.runs}
    for outcome in seen.outcomes:
        refused = outcome.status in _REFUSALS
        if outcome.kind is Kind.BOOKING and refused and outcome.request in ran:
            yield f"{outcome.request} got {outcome.status} and ran"


@promise("a request is answered by its deadline")
def _answered(seen: Seen) -> Iterator[str]:
    for outcome in seen.outcomes:
        took = outcome.ended - outcome.begun
        if took > DEADLINE_SECONDS + _SLACK_SECONDS and not _is_rough(seen, outcome):
            yield f"{outcome.request} took {took:.2f} s, status {outcome.status}"


@promise("a request that was passed on is answered, also while its instance stops")
def _not_lost(seen: Seen) -> Iterator[str]:
    ran = {run.request for run in seen.runs}
    for outcome in seen.outcomes:
        lost = outcome.status is None and outcome.request in ran
        if lost and not _is_rough(seen, outcome):
            yield f"{outcome.request} ran and its connection ended without an answer"


@promise("repeated sends keep to the budget")
def _budget(seen: Seen) -> Iterator[str]:
    asked: dict[str, list[float]] = defaultdict(list)
    for outcome in seen.outcomes:
        for service in SHARDS if outcome.kind is Kind.SEARCH else [DESK]:
            asked[service].append(outcome.begun)
    repeats: dict[str, list[float]] = defaultdict(list)
    first: set[tuple[str, str]] = set()
    for run in sorted(seen.runs, key=lambda run: run.at):
        if (run.service, run.request) in first:
            repeats[run.service].append(run.at)
        first.add((run.service, run.request))
    for service, times in repeats.items():
        for start in times:
            extra = sum(start <= at < start + _BUDGET_WINDOW for at in times)
            requests = sum(
                start - _BUDGET_WINDOW <= at < start + _BUDGET_WINDOW for at in asked[service]
            )
            if extra > _BUDGET_RATIO * requests + _BUDGET_SLACK:
                yield f"{service} got {extra} repeats for {requests} requests"
                break


@promise("a request that ends its searchers is stopped")
def _stopped(seen: Seen) -> Iterator[str]:
    sent = {o.request: o for o in seen.outcomes if o.kind is Kind.CRASHING}
    ends = sorted((run for run in seen.runs if run.request in sent), key=lambda run: run.at)
    if len(ends) < _LOST_TO_CRASHING:
        return
    due = ends[_LOST_TO_CRASHING - 1].at + _STABLE_SECONDS
    repeats = {run.request for run in ends if run.at > due and _is_calm(seen, sent[run.request])}
    if len(repeats) > _CRASHING_REPEATS:
        yield f"it reached searchers in {len(repeats)} repeats; {len(ends)} ended in all"


@promise("a searcher that drains gets nothing after a while")
def _drained(seen: Seen) -> Iterator[str]:
    for name, since in seen.world.drained.items():
        due = since + _DRAIN_SECONDS
        rough = seen.world.store_rough
        if rough.touches(since - _STABLE_SECONDS, since):
            continue
        for run in seen.runs:
            late = run.searcher == name and run.at > due + _SLACK_SECONDS
            calm = not rough.touches(run.at - _STABLE_SECONDS, run.at)
            if late and calm and not _senders_rough(seen, run):
                yield f"{name} got {run.request} {run.at - since:.1f} s after it said so"


@promise("a new route is served once it is due")
def _in_force(seen: Seen) -> Iterator[str]:
    written = {f"{prefix}x": at for prefix, at in seen.world.routes}
    for outcome in seen.outcomes:
        if outcome.kind is Kind.LOOK_UP and outcome.status == 404:
            at = written[outcome.path]
            due = outcome.begun > at + _APPLY_SECONDS + _SLACK_SECONDS
            calm = not _world_rough(seen, outcome.begun - _STABLE_SECONDS, outcome.ended)
            if due and calm:
                yield f"{outcome.path} unknown {outcome.begun - at:.1f} s after it was written"


@promise("requests are served again when all faults are over")
def _recovered(seen: Seen) -> Iterator[str]:
    calm = [
        outcome
        for outcome in seen.outcomes
        if outcome.begun > seen.faults_over + RECOVER_SECONDS
        and outcome.kind is not Kind.CRASHING
        and _is_entitled(seen, outcome)
    ]
    served = sum(outcome.status == 200 for outcome in calm)
    if not calm or served < _RECOVERED_SHARE * len(calm):
        yield f"{served} of {len(calm)} requests were served"


@promise("a searcher never sees a key")
def _hidden(seen: Seen) -> Iterator[str]:
    for run in seen.runs:
        if run.has_key:
            yield f"{run.searcher} saw the key of {run.request}"


@promise("a searcher is told the team of the caller's key")
def _named(seen: Seen) -> Iterator[str]:
    keys = seen.world.keys
    if keys is None:
        return
    teams = {o.request: keys.keys[o.key].team for o in seen.outcomes if o.key is not None}
    for run in seen.runs:
        if run.request in teams and run.team != teams[run.request]:
            yield f"{run.searcher} was told {run.team} for {run.request} of {teams[run.request]}"


@promise("a removed key is not served after its bound")
def _revoked(seen: Seen) -> Iterator[str]:
    keys = seen.world.keys
    if keys is None:
        return
    sent = {o.request: keys.keys[o.key] for o in seen.outcomes if o.key is not None}
    for run in seen.runs:
        key = sent.get(run.request)
        if key is not None and run.at > key.removed_at + keys.bounds.revoke + _READ_SECONDS:
            yield f"{run.request} ran {run.at - key.removed_at:.2f} s after its key was removed"


@promise("a good key is not refused as unknown")
def _known(seen: Seen) -> Iterator[str]:
    keys = seen.world.keys
    refused = [o for o in seen.outcomes if o.status == 401 and o.key is not None]
    for outcome in refused:
        if keys.is_good(outcome.key, outcome.begun, outcome.ended):
            yield f"{outcome.request} got 401"


@promise("no window has more requests of a team than its quota allows")
def _within_quota(seen: Seen) -> Iterator[str]:
    keys = seen.world.keys
    if keys is None:
        return
    teams = {o.request: keys.keys[o.key].team for o in seen.outcomes if o.key is not None}
    first_runs: dict[str, float] = {}
    for run in seen.runs:
        if run.request in teams:
            first_runs[run.request] = min(run.at, first_runs.get(run.request, run.at))
    for name, team in keys.teams.items():
        times = sorted(at for request, at in first_runs.items() if teams[request] == name)
        most = max(
            (bisect_left(times, at + keys.bounds.window) - n for n, at in enumerate(times)),
            default=0,
        )
        if most > team.allowed(keys.bounds):
            yield f"{most} of {name} in a window; {team.allowed(keys.bounds):.0f} are allowed"


def _is_entitled(seen: Seen, outcome: Outcome) -> bool:
    """Return whether a request should be served when nothing is disturbed."""
    keys = seen.world.keys
    if keys is None or outcome.key is None:
        return True
    over_quota = outcome.status == 429 and keys.keys[outcome.key].team == NOISY
    return not over_quota and keys.is_good(outcome.key, outcome.begun, outcome.ended)


def _proof(outcome: Outcome) -> tuple[str, str, str]:
    searcher, request, status = outcome.headers["x-limpethollow-server-stamp"].rsplit(".", 2)
    return searcher, request, status


def _is_rough(seen: Seen, outcome: Outcome) -> bool:
    instance = seen.world.instances[outcome.instance]
    return instance.rough.touches(outcome.begun - _SLACK_SECONDS, outcome.ended)


def _is_calm(seen: Seen, outcome: Outcome) -> bool:
    """Return whether nothing disturbed an instance for long enough before it was asked."""
    instance, begun = seen.world.instances[outcome.instance], outcome.begun
    return not any(
        spans.touches(begun - _STABLE_SECONDS, begun)
        for spans in (instance.rough, instance.stopped, seen.world.store_rough)
    )


def _senders_rough(seen: Seen, run: Run) -> bool:
    """Return whether an instance that may have sent a run was disturbed shortly before.

    That is the one that the caller asked, and those in the searcher's failure domain.
    """
    world = seen.world
    zones = {each.backend.name: each.backend.zone for each in world.searchers}
    asked = {o.instance for o in seen.outcomes if o.request == run.request}
    return any(
        spans.touches(run.at - _STABLE_SECONDS, run.at)
        for index, instance in enumerate(world.instances)
        if index in asked or instance.zone == zones[run.searcher]
        for spans in (instance.rough, instance.stopped)
    )


def _world_rough(seen: Seen, start: float, end: float) -> bool:
    return seen.world.store_rough.touches(start, end) or any(
        instance.rough.touches(start, end) or instance.stopped.touches(start, end)
        for instance in seen.world.instances
    )
