"""Time from confirm to in force everywhere; calls, processor time and memory at rest."""

import statistics
import time
from typing import Any

from benchmarks.configuration.fleets import Fleet, Usage, mean, resident_megabytes
from benchmarks.registry import benchmark

_COUNTS = (8, 64)
_CHANGES = 50
_IDLE_SECONDS = 60.0
_SETTLE_SECONDS = 5.0


@benchmark("configuration-spread")
def spread() -> list[dict[str, Any]]:
    """Fifty changes, one after another, each through another instance."""
    rows = []
    with Fleet() as fleet:
        for count in _COUNTS:
            fleet.grow(count)
            fleet.change(0)
            time.sleep(_SETTLE_SECONDS)
            rows.append(_measure(fleet, count))
    return rows


def _measure(fleet: Fleet, count: int) -> dict[str, Any]:
    before = Usage.of(fleet)
    took, lacking = [], 0
    for number in range(1, _CHANGES + 1):
        began = time.monotonic()
        confirmation = fleet.change(number)
        took.append((time.monotonic() - began) * 1000)
        lacking += len(confirmation.lacking)
    after = Usage.of(fleet)
    calls = sum((after.calls - before.calls).values())
    cpu = mean(after.cpu[name] - before.cpu[name] for name in after.cpu)
    return {
        "instances": count,
        "changes": _CHANGES,
        "plan+confirm min ms": min(took),
        "median ms": statistics.median(took),
        "max ms": max(took),
        "lacking": lacking,
        "platform calls/change": calls / _CHANGES,
        "CPU ms/instance/change": cpu * 1000 / _CHANGES,
    }


@benchmark("configuration-idle")
def idle() -> list[dict[str, Any]]:
    """An idle minute: what control costs with no searches and no changes."""
    rows = []
    with Fleet() as fleet:
        for count in _COUNTS:
            fleet.grow(count)
            fleet.change(0)
            time.sleep(_SETTLE_SECONDS)
            rows += _idle_rows(fleet, count, _IDLE_SECONDS)
    return rows


def _idle_rows(fleet: Fleet, count: int, seconds: float) -> list[dict[str, Any]]:
    before = Usage.of(fleet)
    time.sleep(seconds)
    after = Usage.of(fleet)
    took = after.at - before.at
    relays = fleet.relays()
    roles = {"relay": relays, "plain": set(fleet.listed) - relays}
    calls = sum((after.calls - before.calls).values())
    return [
        {
            "instances": count,
            "role": role,
            "of them": len(names),
            "CPU % of a core": mean(after.cpu[n] - before.cpu[n] for n in names) / took * 100,
            "resident MB": mean(resident_megabytes(fleet.instances[n].pid) for n in names),
            "platform calls/s, all": calls / took,
        }
        for role, names in roles.items()
        if names
    ]


@benchmark("configuration-bytes")
def traffic() -> list[dict[str, Any]]:
    """Bytes that peers exchange, at rest and at two changes a second."""
    rows = []
    with Fleet(count_bytes=True) as fleet:
        for count in (4, 8, 16):
            fleet.grow(count)
            fleet.change(0)
            time.sleep(_SETTLE_SECONDS)
            for rate in (0.0, 2.0):
                rows.append(_traffic_row(fleet, count, rate))
    return rows


def _traffic_row(fleet: Fleet, count: int, rate: float) -> dict[str, Any]:
    before = Usage.of(fleet)
    until = time.monotonic() + 15.0
    changes = 0
    while time.monotonic() < until:
        if rate:
            changes += 1
            fleet.change(changes)
        time.sleep(1 / rate if rate else 0.5)
    after = Usage.of(fleet)
    took = after.at - before.at
    total = sum(after.bytes.values()) - sum(before.bytes.values())
    return {
        "instances": count,
        "changes/s": changes / took,
        "peer bytes/s/instance": total / took / count,
        "platform calls/s": sum((after.calls - before.calls).values()) / took,
    }


@benchmark("configuration-return")
def platform_return() -> list[dict[str, Any]]:
    """Platform calls in the first seconds after an outage of 20 s, with 16 and 64 instances."""
    rows = []
    with Fleet() as fleet:
        for count in (16, 64):
            fleet.grow(count)
            fleet.change(0)
            time.sleep(_SETTLE_SECONDS)
            fleet.platform.control(down=True)
            time.sleep(10.0)
            before = Usage.of(fleet)
            time.sleep(10.0)
            outage = Usage.of(fleet)
            fleet.platform.control(down=False)
            row = {
                "instances": count,
                "calls/s while down": sum((outage.calls - before.calls).values()) / 10.0,
            }
            last = outage
            for second in range(1, 7):
                time.sleep(1.0)
                now = Usage.of(fleet)
                row[f"second {second}"] = sum((now.calls - last.calls).values())
                last = now
            rows.append(row)
    return rows
