"""Each promise of the soak, broken once: a check that can't fail proves nothing."""

from dataclasses import replace
from random import Random
from types import SimpleNamespace

import pytest

from soak.callers import DEADLINE_SECONDS, Kind, Outcome
from soak.faults import plan
from soak.promises import Seen, broken
from soak.world import DESK, SHARDS, TOP, Disturbed, Run, desk_body, records_of

PROOF = "x-limpethollow-server-stamp"
PARTS = "x-limpethollow-part-stamps"
MISSING = "x-limpethollow-missing-parts"


def booking(request: str = "b1", begun: float = 100.0, **fields) -> Outcome:
    searcher = f"{DESK}-s0"
    whole = Outcome(
        request=request,
        kind=Kind.BOOKING,
        path="/get/x",
        instance=0,
        begun=begun,
        ended=begun + 0.05,
        status=200,
        headers={PROOF: f"{searcher}.{request}.200"},
        body=desk_body(searcher, request),
        kept=True,
    )
    return replace(whole, **fields)


def search(request: str = "s1", **fields) -> Outcome:
    records = sorted((r for shard in SHARDS for r in records_of(shard, request)), reverse=True)
    headers = {PARTS: ", ".join(f"{shard}-s0.{request}.200" for shard in SHARDS), MISSING: "0"}
    whole = booking(request, kind=Kind.SEARCH, headers=headers, body=b"".join(records[:TOP]))
    return replace(whole, **fields)


def crashing(request: str, begun: float) -> Outcome:
    return booking(request, begun, kind=Kind.CRASHING, status=503, headers={}, body=b"")


def ran(request: str, service: str = DESK, at: float = 100.01, searcher: str = "") -> Run:
    return Run(request, service, searcher or f"{service}-s0", at)


def seen(outcomes: list[Outcome], runs: list[Run] | None = None, **world) -> list[str]:
    """Return the broken promises, but for that of recovery, which needs calm requests."""
    rough = world.pop("rough", Disturbed())
    instance = SimpleNamespace(rough=rough, stopped=Disturbed(), zone="zone-a")
    calm = {
        "instances": [instance],
        "store_rough": Disturbed(),
        "drained": {},
        "routes": [],
        "keys": None,
    }
    found = SimpleNamespace(**{**calm, **world})
    lines = broken(Seen(found, outcomes, runs or [], 0.0))
    return [line for line in lines if not line.startswith("requests are served again")]


class TestKept:
    def test_whole_answers_break_nothing(self):
        assert seen([booking(), search()], [ran("b1")]) == []

    def test_an_answer_lost_with_a_killed_instance_breaks_nothing(self):
        lost = booking(status=None, headers={}, body=b"")
        assert seen([lost], [ran("b1")], rough=Disturbed([[99.9, 101.0]])) == []


class TestBroken:
    @pytest.mark.parametrize(
        "outcome",
        [
            booking(body=b"other"),
            booking(headers={PROOF: f"{DESK}-s0.other.200"}),
            search(body=b"x" * 16),
            search(headers={PARTS: f"{SHARDS[0]}-s0.other.200", MISSING: "5"}),
            search(headers={PARTS: f"{SHARDS[0]}-s0.s1.200", MISSING: "0"}),
            booking(ended=100.0 + DEADLINE_SECONDS + 2.0),
        ],
    )
    def test_by_a_wrong_or_late_answer(self, outcome):
        assert seen([outcome]) != []

    def test_by_a_booking_that_ran_twice(self):
        assert len(seen([booking()], [ran("b1"), ran("b1", at=100.2)])) == 1

    def test_by_a_refused_booking_that_ran(self):
        assert len(seen([booking(status=503)], [ran("b1")])) == 1

    def test_by_a_request_that_ran_and_got_no_answer(self):
        assert len(seen([booking(status=None)], [ran("b1")])) == 1

    def test_by_a_crashing_request_that_goes_on_reaching_searchers(self):
        sent = [crashing(f"k{n}", 100.0 + n) for n in range(12)]
        ends = [ran(f"k{n}", SHARDS[0], 100.01 + n) for n in range(12)]
        assert len(seen(sent, ends)) == 1
        assert seen(sent, ends[:8]) == []

    def test_by_too_many_repeats(self):
        runs = [ran(f"s{n}", SHARDS[0], 100.0 + n / 100) for n in range(60) for _ in range(2)]
        assert len(seen([search(f"s{n}") for n in range(5)], runs)) == 1

    def test_by_a_draining_searcher_that_gets_more(self):
        searcher = SimpleNamespace(backend=SimpleNamespace(name=f"{DESK}-s0", zone="zone-a"))
        world = {"drained": {f"{DESK}-s0": 100.0}, "searchers": [searcher]}
        assert len(seen([], [ran("b1", at=105.0)], **world)) == 1
        paused = Disturbed([[103.0, 104.0]])
        assert seen([], [ran("b1", at=105.0)], rough=paused, **world) == []

    def test_by_a_route_that_is_not_in_force(self):
        late = booking("r1", 105.0, kind=Kind.LOOK_UP, path="/extra-2/x", status=404)
        assert len(seen([late], routes=[("/extra-2/", 100.0)])) == 1

    def test_by_a_system_that_does_not_recover(self):
        world = SimpleNamespace(
            instances=[SimpleNamespace(rough=Disturbed(), stopped=Disturbed())],
            store_rough=Disturbed(),
            drained={},
            routes=[],
            keys=None,
        )
        failed = [booking(f"b{n}", 100.0 + n, status=502) for n in range(20)]
        assert len(broken(Seen(world, failed, [], 100.0))) == 1


class TestPlans:
    def test_a_seed_always_gives_the_same_plan(self):

        assert plan(Random(7), 10.0) == plan(Random(7), 10.0)
        assert plan(Random(7), 10.0) != plan(Random(8), 10.0)
