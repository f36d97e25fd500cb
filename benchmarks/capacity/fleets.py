"""Processor time, memory and calls of real instances by count, change rate and churn rate."""

import time
from typing import Any

from benchmarks.configuration.fleets import Fleet, Usage, mean, resident_megabytes
from benchmarks.registry import benchmark

_SECONDS = 15.0
_SETTLE_SECONDS = 4.0


@benchmark("capacity-instances")
def instances() -> list[dict[str, Any]]:
    """At rest, by the number of instances."""
    rows = []
    with Fleet() as fleet:
        for count in (8, 16, 32, 64):
            fleet.grow(count)
            fleet.change(0)
            time.sleep(_SETTLE_SECONDS)
            rows.append({"instances": count, **_used(fleet, lambda: time.sleep(_SECONDS))})
    return rows


@benchmark("capacity-changes")
def changes() -> list[dict[str, Any]]:
    """By the rate of confirmed changes, at 16 instances."""
    return _by_rate("changes/s", lambda fleet, number: fleet.change(number), (0.0, 1.0, 4.0, 8.0))


@benchmark("capacity-churn")
def churn() -> list[dict[str, Any]]:
    """By the rate of changes of the list, at 16 instances: one is replaced by another id."""
    return _by_rate("list changes/s", _swap, (0.0, 1.0, 4.0, 8.0))


def _swap(fleet: Fleet, number: int) -> None:
    extra = {**next(iter(fleet.listed.values())), "id": f"x{number}", "state": "leaving"}
    fleet.listed["extra"] = extra
    fleet.publish_list()
    fleet.listed.pop("extra")


def _by_rate(label: str, act: Any, rates: tuple[float, ...]) -> list[dict[str, Any]]:
    rows = []
    with Fleet() as fleet:
        fleet.grow(16)
        fleet.change(0)
        time.sleep(_SETTLE_SECONDS)
        for rate in rates:
            done = []
            used = _used(fleet, lambda r=rate, d=done: _act(fleet, act, r, d))
            rows.append({label: len(done) / _SECONDS, **used})
    return rows


def _act(fleet: Fleet, act: Any, rate: float, done: list[int]) -> None:
    began = time.monotonic()
    while (now := time.monotonic()) < began + _SECONDS:
        if rate and len(done) < (now - began) * rate:
            done.append(len(done) + 1)
            act(fleet, len(done))
        else:
            time.sleep(0.01)


def _used(fleet: Fleet, run: Any) -> dict[str, float]:
    before = Usage.of(fleet)
    run()
    after = Usage.of(fleet)
    took = after.at - before.at
    relays = fleet.relays()
    plain = set(fleet.instances) - relays
    share = {name: (after.cpu[name] - before.cpu[name]) / took * 100 for name in after.cpu}
    row = {
        "relay CPU %": mean(share[name] for name in relays),
        "plain CPU %": mean(share[name] for name in plain),
        "resident MB": mean(resident_megabytes(p.pid) for p in fleet.instances.values()),
    }
    for call in ("watch", "instances", "list", "read", "write"):
        row[f"{call}/s"] = (after.calls[call] - before.calls[call]) / took
    return row
