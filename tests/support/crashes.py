"""Searchers that end under one request, and others that take their place."""

from collections.abc import Iterable

from tests.standins.backends import BackendStandIn, Crash, Seen
from tests.support.platforms import PlatformInstance, PlatformSystem, search_route
from tests.support.processes import wait_for

CRASHING = "crash"
SHARDS = ["s-1", "s-2", "s-3", "s-4"]


class CrashingSearchers:
    """Two searchers of each service; a request whose path ends with `crash` ends each that runs it.

    Usage:
        searchers = CrashingSearchers(system, ["s-1", "s-2"])
        instance.ask("/find/crash", request_id="r1")
        searchers.restart_ended()
        searchers.reached_by("/find/crash")     # {"r1"}

    Args:
        system: The system that they are part of.
        services: Their services.
    """

    def __init__(self, system: PlatformSystem, services: Iterable[str]) -> None:
        self._system = system
        self._running: dict[str, BackendStandIn] = {}
        self._starts = 0
        self.attempts = 0
        self.all: list[BackendStandIn] = []
        for service in services:
            for zone in ("zone-a", "zone-b"):
                self._start(service, zone)

    def restart_ended(self) -> None:
        """Start another searcher, under an id of its own, for each that has ended."""
        for name, searcher in list(self._running.items()):
            if searcher.ended:
                del self._running[name]
                self._system.store.take_away("servers", name)
                self._start(searcher.service, searcher.zone)

    def mend(self) -> None:
        """Let no request end the searchers any more."""
        for searcher in self._running.values():
            searcher.answer = None

    def reached_by(self, target: str) -> set[str]:
        """Return the ids of the requests for a target that any searcher got."""
        return {seen.id for searcher in self.all for seen in searcher.seen if seen.target == target}

    @property
    def ended(self) -> int:
        """Return how many searchers have ended."""
        return sum(searcher.ended for searcher in self.all)

    def _start(self, service: str, zone: str) -> None:
        self._starts += 1
        name = f"i-{self._starts}"
        searcher = self._system.backend(service, name, zone=zone, work=0.005, answer=_answer)
        self._running[name] = searcher
        self.all.append(searcher)


def start_two(system: PlatformSystem) -> list[PlatformInstance]:
    return [system.instance("front-1"), system.instance("front-2", zone="zone-b")]


def start_search(system: PlatformSystem) -> tuple[CrashingSearchers, list[PlatformInstance]]:
    """Start searchers of all shards and two instances, and wait until these serve searches."""
    searchers = CrashingSearchers(system, SHARDS)
    system.configure(1, search_route(SHARDS))
    instances = start_two(system)
    wait_served(instances, "/find/before")
    return searchers, instances


def send_crashing(
    searchers: CrashingSearchers, instances: list[PlatformInstance], path: str, times: int
) -> None:
    """Send a crashing request again and again, each time when all searchers are back.

    Args:
        searchers: The searchers.
        instances: They get it in turn.
        path: What the request's path and those of harmless ones begin with.
        times: How often it is sent.
    """
    for _ in range(times):
        instance = instances[searchers.attempts % len(instances)]
        searchers.attempts += 1
        instance.ask(path + CRASHING, request_id=f"crash-{searchers.attempts}")
        searchers.restart_ended()
        wait_served(instances, f"{path}after-{searchers.attempts}")


def wait_served(instances: list[PlatformInstance], target: str) -> None:
    """Wait until each instance serves a harmless request in full."""
    for instance in instances:
        wait_for(lambda i=instance: _is_whole(i, target), f"{instance.name} serves {target}")


def _is_whole(instance: PlatformInstance, target: str) -> bool:
    reply = instance.ask(target)
    return reply.status == 200 and reply.headers.get("X-Limpethollow-Missing-Parts", "0") == "0"


def _answer(me: BackendStandIn, seen: Seen) -> bytes | Crash:
    return Crash() if seen.target.endswith(CRASHING) else me.success(seen)
