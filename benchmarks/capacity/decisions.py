"""Processor time of the decisions, without threads or sockets, at several sizes."""

import time
from random import Random
from typing import Any

from benchmarks.registry import benchmark
from limpethollow_policy.process.members import WHOLE_LIST, Membership
from limpethollow_policy.process.owners import group_key, owner_order
from limpethollow_policy.process.relays import GossipChoice, relays_of
from limpethollow_policy.process.schedulers import GroupScheduler
from limpethollow_policy.request.events import Complete, Search, StartCall
from limpethollow_policy.request.merges import merge_answers
from limpethollow_policy.version.groups import cut_groups
from limpethollow_wire.instances import InstanceInfo
from limpethollow_wire.peers import ListChange
from limpethollow_wire.searches import CallPart, SearcherReply
from limpethollow_wire.services import SearcherSpec, ServiceSpec

_SEARCHES = 100
_REPEATS = 5


@benchmark("capacity-scatter")
def scatter() -> list[dict[str, Any]]:
    """One search to so many searchers, one shard each, in groups of 16, replies at once."""
    return [_scatter_row(searchers) for searchers in (20, 60, 140, 420)]


def _scatter_row(searchers: int) -> dict[str, Any]:
    held = tuple(SearcherSpec(f"s{n}", "10.0.0.1:80", (n,)) for n in range(searchers))
    spec = ServiceSpec("bench", searchers, held)
    schedulers = [(group, GroupScheduler(spec, group, Random(1))) for group in cut_groups(spec)]
    _search_all(schedulers, 0)
    best = min(_timed(lambda: _run(schedulers)) for _ in range(_REPEATS)) / _SEARCHES
    return {
        "searchers": searchers,
        "groups": len(schedulers),
        "us/search": best * 1e6,
        "us/call": best * 1e6 / searchers,
    }


def _run(schedulers: list[Any]) -> None:
    for number in range(1, _SEARCHES + 1):
        _search_all(schedulers, number)


def _search_all(schedulers: list[Any], number: int) -> None:
    now = 100.0 + number * 0.001
    answers = {}
    for group, scheduler in schedulers:
        search = Search(f"q{number}", "firm", {}, group.shards, now + 1.0, floor=0.0)
        answers[group.index] = _drive(scheduler, search, now)
    wanted = {group.index: group.shards for group, _ in schedulers}
    coverage, _ = merge_answers(wanted, answers)
    if not coverage.complete:
        raise RuntimeError("The search was not answered in full.")


def _drive(scheduler: GroupScheduler, search: Search, now: float) -> Any:
    waiting = scheduler.search_arrived(search, now)
    answer = None
    while waiting:
        action = waiting.pop()
        if isinstance(action, Complete):
            answer = action.answer
        elif isinstance(action, StartCall):
            waiting += scheduler.call_answered(action.call_id, _reply(action), now)
    return answer


def _reply(call: StartCall) -> SearcherReply:
    shard = int(call.searcher_id[1:])
    parts = tuple(CallPart(query.id, shard, 1, []) for query in call.queries)
    return SearcherReply(call.call_id, "bench", 1, False, {str(shard): (1,)}, parts)


@benchmark("capacity-list")
def instance_list() -> list[dict[str, Any]]:
    """Decisions over the whole list of instances."""
    return [_list_row(count) for count in (8, 64, 800, 1600, 3200)]


def _list_row(count: int) -> dict[str, Any]:
    infos = tuple(
        InstanceInfo(f"instance-{n}", f"domain-{n % 36}", "10.0.0.1:80", "10.0.0.1:81")
        for n in range(count)
    )
    view = Membership("instance-0")
    view.listed(ListChange(WHOLE_LIST, 1, infos), 0.0)
    gossip = GossipChoice("instance-0", Random(1))
    live = view.routable(0.0)
    return {
        "instances": count,
        "owner order us": _each(lambda: owner_order(group_key("bench", 3), live)),
        "routable us": _each(lambda: view.routable(0.0)),
        "relays us": _each(lambda: relays_of("domain-1", live)),
        "partner us": _each(lambda: gossip.partner(live)),
    }


def _each(call: Any, times: int = 20) -> float:
    def repeat() -> None:
        for _ in range(times):
            call()

    return min(_timed(repeat) for _ in range(_REPEATS)) / times * 1e6


def _timed(call: Any) -> float:
    began = time.process_time()
    call()
    return time.process_time() - began
