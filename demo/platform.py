"""The path on the users' platform: store, searchers, instances, each on loopback."""

from collections.abc import Callable
from pathlib import Path
from tempfile import TemporaryDirectory

from demo.checks import require
from tests.standins.backends import PROOF
from tests.support.platforms import PlatformSystem, forward_route, search_route
from tests.support.processes import wait_for

SHARDS = [f"finder-{number}" for number in range(4)]
ZONES = ("zone-a", "zone-b")


def run_platform_steps() -> None:
    """Run all steps and print what each showed.

    Raises:
        WrongAnswer: A step's answer was wrong.
    """
    with TemporaryDirectory() as folder, PlatformSystem(Path(folder)) as system:
        _start(system)
        steps: tuple[Callable[[PlatformSystem], str], ...] = (
            _search,
            _book,
            _reconfigure,
            _evacuate,
            _lose_the_store,
            _kill,
        )
        for step in steps:
            print(f"{step.__doc__}")
            print(f"    {step(system)}")


def _start(system: PlatformSystem) -> None:
    for number, shard in enumerate(SHARDS):
        for zone in ZONES:
            record = bytes([number + 1]) * 16
            system.backend(shard, f"{shard}-{zone}", zone=zone, records=[record])
    system.backend("desk", "desk-1", zone="zone-a")
    system.backend("desk", "desk-2", zone="zone-b")
    system.configure(1, search_route(SHARDS, topK=3), forward_route("desk", type="unsafe"))
    for zone in ZONES:
        system.instance(zone=zone)
    for instance in system.instances:
        wait_for(lambda i=instance: len(i.addresses()) == 2, "both instances are named")


def _search(system: PlatformSystem) -> str:
    """A caller searches all shards through an instance that the directory names."""
    reply = system.instances[0].ask("/find/bays")
    missing = reply.headers["X-Limpethollow-Missing-Parts"]
    require(reply.status == 200 and missing == "0", f"{missing} shards are missing")
    require(reply.data == b"".join(bytes([n]) * 16 for n in (4, 3, 2)), "records are wrong")
    return f"{len(SHARDS)} shards, {len(reply.data) // 16} records, none missing"


def _book(system: PlatformSystem) -> str:
    """A booking runs at one searcher, and once."""
    reply = system.instances[1].ask("/get/book", method="POST", body=b"bay 12", request_id="b1")
    require(reply.status == 200, f"the booking got {reply.status}")
    return f"run, as {reply.headers[PROOF]} proves"


def _reconfigure(system: PlatformSystem) -> str:
    """The operator adds a route; it comes into force at all instances."""
    added = forward_route("desk", pathPrefix="/new/")
    system.configure(2, search_route(SHARDS, topK=3), forward_route("desk"), added)
    for instance in system.instances:
        wait_for(lambda i=instance: i.ask("/new/x").status == 200, "the route is in force")
    sources = [instance.events(214)[-1]["source"] for instance in system.instances]
    return f"version 2 in force, heard from {' and '.join(sorted(set(sources)))}"


def _evacuate(system: PlatformSystem) -> str:
    """The operator evacuates a failure domain; its searchers get nothing until it is restored."""
    system.store.put("evacuations", ZONES[0], {})
    for instance in system.instances:
        wait_for(lambda i=instance: i.events(407), "the evacuation is known")
    before = [len(backend.seen) for backend in system.backends_in(ZONES[0])]
    reply = system.instances[0].ask("/find/bays")
    missing = reply.headers["X-Limpethollow-Missing-Parts"]
    require(reply.status == 200 and missing == "0", f"{missing} shards are missing")
    after = [len(backend.seen) for backend in system.backends_in(ZONES[0])]
    require(after == before, "a searcher of the evacuated failure domain got a request")
    system.store.take_away("evacuations", ZONES[0])
    for instance in system.instances:
        wait_for(lambda i=instance: i.events(408), "the failure domain is restored")
    return f"all {len(SHARDS)} shards from the other failure domain, then both again"


def _lose_the_store(system: PlatformSystem) -> str:
    """The store goes away; requests go on."""
    system.store.refuses = True
    status = system.instances[0].ask("/find/bays").status
    require(status == 200, f"a search got {status} without the store")
    system.store.refuses = False
    return "a search is served without the store"


def _kill(system: PlatformSystem) -> str:
    """An instance is killed; the other one's directory names it no more."""
    first, second = system.instances
    second.kill()
    alone = [f"127.0.0.1:{first.front}"]
    wait_for(lambda: first.addresses() == alone, "only the live instance is named")
    require(first.ask("/find/bays").status == 200, "the search failed")
    return "callers are sent to the live instance, which serves all shards"
