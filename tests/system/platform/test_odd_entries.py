"""Odd entries that another writer leaves in the store, beside those of searchers and instances."""

import time
from typing import Any

from tests.support.crowds import ResourceWatch
from tests.support.platforms import PlatformInstance, PlatformSystem, forward_route
from tests.support.processes import wait_for

DEEP = b"[" * 100_000 + b"]" * 100_000
KINDS = ("servers", "instances", "evacuations", "quarantines", "config")
SEARCHER = {"service": "desk", "addr": "127.0.0.1:1", "zone": "zone-a", "slots": 2}
# Valid JSON that takes some 20 times its length in memory when it is decoded into plain values.
ROWS = b'{"rows":[' + b",".join([b"{}"] * 330_000) + b"]}"
# Text with balanced brackets that is no JSON.
LOG = b"2026-12-07 [info] request {id: 17} done [ok]\n" * 20_000
INSTANCE = {"address": "127.0.0.1:1", "peer_address": "127.0.0.1:2", "failure_domain": "zone-a"}


def put_odd(system: PlatformSystem, run: str) -> None:
    """Write odd entries of each kind, the first and the last of the kind among them."""
    for kind in KINDS:
        for name in (f"!{run}", f"odd {run}", f"~{run}"):
            system.store.put_raw(kind, name, DEEP)
            system.store.put_raw(kind, f"{name}&NaN\r\n", b"NaN")
            system.store.put_raw(kind, f"{name} surrogate", b'{"zone": "\\ud800"}')
    odd: list[dict[str, Any]] = [
        {"addr": "127.0.0.1:" + "9" * 5000},
        {"addr": "127.0.0.1:65536"},
        {"addr": "a..b:80"},
        {"slots": 10**400},
        {"born": 10**400},
        {"coldLeftMs": 1e300},
        *({"zone": letter * 900_000} for letter in "abcdef"),
    ]
    for number, fields in enumerate(odd):
        spec = {**SEARCHER, "state": "ready", **fields}
        system.store.put("servers", f"odd-{run}-{number}", spec)
    for number, address in enumerate(["127.0.0.1:99999", "h:" + "9" * 5000, "x" * 900_000]):
        spec = {**INSTANCE, "name": f"odd-{run}-{number}", "peer_address": address}
        system.store.put("instances", spec["name"], spec)
    evidence = {"searchers": ["x" * 900_000] * 3, "onTrial": ["x" * 900_000] * 2}
    system.store.put("quarantines", f"odd-{run}", evidence)


def answers(instance: PlatformInstance, path: str) -> bool:
    return instance.ask(path).status == 200


def lists(system: PlatformSystem) -> int:
    return system.store.calls["read"] + system.store.calls["watch"]


def test_they_cost_nothing_but_themselves(system):
    """Guards against instances that end, stop following or ask without end for an odd entry."""
    put_odd(system, "before")
    system.backend("desk", "i-1", zone="zone-a")
    system.backend("desk", "i-2", zone="zone-b")
    system.configure(1, forward_route("desk"))
    pair = [system.instance("front-1"), system.instance("front-2", zone="zone-b")]
    for instance in pair:
        wait_for(lambda i=instance: i.events(300), f"{instance.name} is linked")
        wait_for(lambda i=instance: len(i.addresses()) == 2, "both are named")
        assert answers(instance, "/get/x")
    put_odd(system, "later")
    system.backend("hall", "i-3", zone="zone-a")
    system.configure(2, forward_route("desk"), forward_route("hall", name="h", pathPrefix="/h/"))
    for instance in pair:
        wait_for(lambda i=instance: answers(i, "/h/x"), "the later change is followed")
    before = lists(system)
    time.sleep(2.0)
    assert lists(system) - before <= 12
    named = {line.get("start") for instance in pair for line in instance.events(211)}
    assert named & {"odd before", "odd later"}
    for instance in pair:
        assert instance.child.poll() is None
        assert [instance.events(number) for number in (104, 301, 302)] == [[], [], []]
        assert instance.is_ready()
        assert len(instance.addresses()) == 2


class TestLargeEntries:
    """Entries of nearly the largest size that the store takes, none of which names a searcher."""

    def test_lists_with_them_take_no_memory(self, system):
        """Guards against instances that exceed their memory whenever they list the searchers."""
        system.backend("desk", "i-1", zone="zone-a")
        system.configure(1, forward_route("desk"))
        instance = system.instance()
        with ResourceWatch(instance) as watch:
            for number in range(48):
                system.store.put_raw("servers", f"dump-{number:02d}", ROWS)
            system.store.forget_history()
            system.backend("hall", "i-3", zone="zone-a")
            system.configure(2, forward_route("hall", pathPrefix="/h/"))
            wait_for(lambda: answers(instance, "/h/x"), "the searchers behind them are known")
            assert watch.peak_mb < instance.settings["limits"]["memoryMb"] / 2
        assert instance.child.poll() is None

    def test_unreadable_ones_cost_little_time(self, system):
        """Guards against instances that answer nothing while they look for the end of an entry."""
        system.backend("desk", "i-1", zone="zone-a")
        system.configure(1, forward_route("desk"))
        instance = system.instance()
        system.store.put_raw("servers", "request.log", LOG)
        system.backend("hall", "i-3", zone="zone-a")
        system.configure(2, forward_route("hall", pathPrefix="/h/"))
        wait_for(lambda: answers(instance, "/h/x"), "the searchers behind it are known")
        later = system.instance("front-2")
        assert answers(later, "/h/x")

    def test_more_of_them_than_fit_into_one_answer_hide_no_change(self, system):
        """Guards against a watch that is cut off at its limit, and sent again, without end."""
        system.backend("desk", "i-1", zone="zone-a")
        system.configure(1, forward_route("desk"))
        instance = system.instance()
        with system.store.changed:
            for number in range(16):
                system.store.put_raw("servers", f"dump-{number:02d}", ROWS)
        system.backend("hall", "i-3", zone="zone-a")
        system.configure(2, forward_route("hall", pathPrefix="/h/"))
        wait_for(lambda: answers(instance, "/h/x"), "the searchers behind them are known")
