"""The faults of the soak, each registered under its name, and random plans of them."""

import signal
import subprocess
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from soak.world import DESK, Mood, SoakInstance, SoakSearcher, World
from tests.standins.objectstore import StoreCopy
from tests.standins.proxy import ProxyStandIn

Fault = Callable[[World, Random, float], None]
Plan = Callable[[Random, float], "list[Planned]"]
_FAULTS: dict[str, Fault] = {}
# Names of those that `plan` doesn't draw, so that the seeds of before keep their faults.
_NOT_DRAWN: set[str] = set()
# Moods that the fault of a bad mood doesn't draw, for the same reason.
_MOODS_NOT_DRAWN = {Mood.WELL, Mood.DOUBLES}
# An instance whose kept connections were harmed counts as rough for this long after it.
_SETTLE_SECONDS = 0.5
# Plans that are drawn beside that of each run where they are asked for, by name.
EXTRA_PLANS: "dict[str, ExtraPlan]" = {}
STOPS = "stops"
STORE_RETURNS = "store back from a copy"
SECOND_REPLIES = "bookings shed, replies sent twice"
STOPS_IN_TURN = "instances stopped in turn"
TEAMS = "teams"
KEY_REPLACED = "key replaced"
# What others than instances wrote is written again this long after the store's return.
_REWRITE_SECONDS = 1.0
# A busy machine may take this much longer to run a process that stops in time.
_KILL_SLACK_SECONDS = 0.5
# Share of the faults of searchers that meet one of the two that take bookings.
_DESK_SHARE = 0.4


def fault(name: str, *, drawn: bool = True) -> Callable[[Fault], Fault]:
    """Register a fault; it lasts for the seconds it is given, and then cleans up."""

    def register(act: Fault) -> Fault:
        _FAULTS[name] = act
        if not drawn:
            _NOT_DRAWN.add(name)
        return act

    return register


def extra_plan(name: str, summary: str) -> Callable[[Plan], Plan]:
    """Register a plan of faults that a run has beside its own only where it is asked for."""

    def register(make: Plan) -> Plan:
        EXTRA_PLANS[name] = ExtraPlan(name, summary, make)
        return make

    return register


@dataclass(slots=True, frozen=True)
class Planned:
    """A fault at a time.

    Attributes:
        at: Seconds after the start.
        name: The fault.
        seconds: How long it lasts.
    """

    at: float
    name: str
    seconds: float


@dataclass(slots=True, frozen=True)
class ExtraPlan:
    """Faults beside those that each run draws.

    Attributes:
        name: Its name.
        summary: What it does.
        make: Returns the faults, given a random source and the seconds until they end.
    """

    name: str
    summary: str
    make: Plan

    def faults(self, seed: int, until: float) -> list[Planned]:
        """Return the faults of a seed."""
        return self.make(Random(f"{self.name} {seed}"), until)


def plan(rng: Random, until: float) -> list[Planned]:
    """Return a random plan: faults in series and overlapping, some kinds twice."""
    found = []
    at = 1.0
    names = sorted(_FAULTS.keys() - _NOT_DRAWN)
    while at < until - 2.0:
        seconds = rng.uniform(0.4, 2.5)
        found.append(Planned(at, rng.choice(names), min(seconds, until - at)))
        at += rng.choice((0.0, 0.3, 0.8, 1.5))
    return found


@extra_plan("returns", "let the store come back from an older copy, too")
def _plan_returns(rng: Random, until: float) -> list[Planned]:
    """Return one or two returns of the store from a copy, at random times."""
    times = [rng.uniform(1.5, until - 1.0) for _ in range(rng.choice((1, 2)))]
    return [Planned(at, STORE_RETURNS, rng.uniform(0.5, 4.0)) for at in times]


@extra_plan("replies", "let bookings be shed, and replies come twice, too")
def _plan_replies(rng: Random, until: float) -> list[Planned]:
    """Return some times in which the searchers of bookings shed, and send replies twice."""
    times = [rng.uniform(1.0, until - 2.0) for _ in range(3)]
    return [Planned(at, SECOND_REPLIES, rng.uniform(1.0, 3.0)) for at in times]


@extra_plan(STOPS, "stop all instances in turn, too, under callers that don't pause")
def _plan_stops(rng: Random, until: float) -> list[Planned]:
    """Return series of stops of all instances in turn."""
    times = [rng.uniform(1.0, until - 3.0) for _ in range(2)]
    return [Planned(at, STOPS_IN_TURN, rng.uniform(0.5, 1.5)) for at in times]


@extra_plan(TEAMS, "let callers be of three teams with keys and quotas, and replace keys, too")
def _plan_teams(rng: Random, until: float) -> list[Planned]:
    """Return some replacements of keys, the first early enough for its bound to pass."""
    times = [0.5, *(rng.uniform(1.0, until) for _ in range(2))]
    return [Planned(at, KEY_REPLACED, 0.0) for at in times]


def act(planned: Planned, world: World, rng: Random) -> None:
    """Carry out a planned fault."""
    _FAULTS[planned.name](world, rng, planned.seconds)


@fault("instance killed")
def _kill(world: World, rng: Random, seconds: float) -> None:
    _kill_and_restart(rng.choice(world.instances), seconds)


@fault("all instances killed")
def _kill_all(world: World, rng: Random, seconds: float) -> None:
    threads = [
        threading.Thread(target=_kill_and_restart, args=(instance, seconds))
        for instance in world.instances
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@fault("instance stopped")
def _stop(world: World, rng: Random, seconds: float) -> None:
    _stop_and_restart(rng.choice(world.instances), seconds)


@fault(STOPS_IN_TURN, drawn=False)
def _stop_in_turn(world: World, rng: Random, seconds: float) -> None:
    """Stop them while requests last long enough that some are always under way."""
    threads = []
    for searcher in world.searchers:
        searcher.mood = Mood.SLOW
    for instance in world.instances:
        thread = threading.Thread(target=_stop_and_restart, args=(instance, 0.0))
        thread.start()
        threads.append(thread)
        time.sleep(seconds)
    for thread in threads:
        thread.join()
    for searcher in world.searchers:
        searcher.mood = Mood.WELL


@fault("instance paused")
def _pause(world: World, rng: Random, seconds: float) -> None:
    instance = rng.choice(world.instances)
    with instance.claim() as free:
        if not free:
            return
        with instance.rough.span():
            instance.process.signal(signal.SIGSTOP)
            time.sleep(seconds)
            instance.process.signal(signal.SIGCONT)
            time.sleep(_SETTLE_SECONDS)


@fault("settings signalled")
def _hup(world: World, rng: Random, seconds: float) -> None:
    for instance in world.instances:
        with instance.claim() as free:
            if free:
                instance.process.signal(signal.SIGHUP)


@fault("store silent")
def _silent(world: World, rng: Random, seconds: float) -> None:
    with world.store_rough.span():
        world.store.go_silent()
        time.sleep(seconds)
        world.store.come_back()


@fault("store refuses")
def _refuses(world: World, rng: Random, seconds: float) -> None:
    _set_store(world, "refuses", seconds)


@fault("store loses replies")
def _loses(world: World, rng: Random, seconds: float) -> None:
    _set_store(world, "loses_replies", seconds)


@fault("store forgets its history")
def _forgets(world: World, rng: Random, seconds: float) -> None:
    world.store.forget_history()


@fault(STORE_RETURNS, drawn=False)
def _return(world: World, rng: Random, seconds: float) -> None:
    kept = world.store.copy()
    time.sleep(seconds)
    with world.store_rough.span():
        lost = world.store.copy()
        world.store.restore(kept)
        time.sleep(_REWRITE_SECONDS)
        for kind in ("config", "servers"):
            _write_again(world, kind, kept, lost)


def _write_again(world: World, kind: str, kept: StoreCopy, lost: StoreCopy) -> None:
    """Let the operator and the searchers write what the store has lost."""
    for (of, name), stored in lost.objects.items():
        before = kept.objects.get((of, name))
        if of == kind and (before is None or before["spec"] != stored["spec"]):
            world.store.put(kind, name, stored["spec"])


@fault(SECOND_REPLIES, drawn=False)
def _send_twice(world: World, rng: Random, seconds: float) -> None:
    desk = [searcher for searcher in world.searchers if searcher.backend.service == DESK]
    for searcher in desk:
        searcher.mood = Mood.DOUBLES
    time.sleep(seconds)
    for searcher in desk:
        searcher.mood = Mood.WELL


@fault("instance cut from the store")
def _cut_from_store(world: World, rng: Random, seconds: float) -> None:
    instance = rng.choice(world.instances)
    with world.store_rough.span():
        _disturb(instance.proxy, rng, seconds)


@fault("searcher in a bad mood")
def _mood(world: World, rng: Random, seconds: float) -> None:
    searcher = rng.choice(_searchers(world, rng))
    searcher.mood = rng.choice([mood for mood in Mood if mood not in _MOODS_NOT_DRAWN])
    time.sleep(seconds)
    searcher.mood = Mood.WELL


@fault("way to a searcher disturbed")
def _way(world: World, rng: Random, seconds: float) -> None:
    _disturb(rng.choice(_searchers(world, rng)).proxy, rng, seconds)


@fault("configuration changed")
def _configure(world: World, rng: Random, seconds: float) -> None:
    world.configure()


@fault(KEY_REPLACED, drawn=False)
def _replace_key(world: World, rng: Random, seconds: float) -> None:
    world.keys.replace(rng.choice(sorted(world.keys.teams)), world.configure)


@fault("searcher drained")
def _drain(world: World, rng: Random, seconds: float) -> None:
    searcher = rng.choice(world.searchers)
    name, service = searcher.backend.name, searcher.backend.service
    partner = _partner(world, searcher)
    if name in world.drained or partner.backend.name in world.drained or service == DESK:
        return
    world.drain(searcher)


def _searchers(world: World, rng: Random) -> list[SoakSearcher]:
    """Return the searchers of bookings, or all: faults would otherwise seldom meet a booking."""
    desk = [searcher for searcher in world.searchers if searcher.backend.service == DESK]
    return desk if rng.random() < _DESK_SHARE else world.searchers


def _partner(world: World, searcher: SoakSearcher) -> SoakSearcher:
    return next(
        other
        for other in world.searchers
        if other.backend.service == searcher.backend.service and other is not searcher
    )


def _set_store(world: World, name: str, seconds: float) -> None:
    with world.store_rough.span():
        setattr(world.store, name, True)
        time.sleep(seconds)
        setattr(world.store, name, False)


def _disturb(proxy: ProxyStandIn, rng: Random, seconds: float) -> None:
    """Delay, reset, silence or cut one way all connections through a proxy for a while."""
    how = rng.choice(("delay", "refuse", "silent", "hold_requests", "hold_replies"))
    proxy.control({how: 0.05 if how == "delay" else True}, {})
    if how == "refuse":
        proxy.control({"cut": True}, {})
    time.sleep(seconds)
    proxy.control({how: 0.0 if how == "delay" else False}, {})
    if how == "silent":
        proxy.control({"cut": True}, {})


def _stop_and_restart(instance: SoakInstance, seconds: float) -> None:
    with instance.claim() as free:
        if not free:
            return
        with instance.stopped.span():
            instance.process.terminate()
            _kill_after_grace(instance)
        time.sleep(min(seconds, 1.0))
        instance.process.start()
        instance.process.wait_ready()


def _kill_after_grace(instance: SoakInstance) -> None:
    """Do as the platform does with a process that is slow to stop."""
    grace = instance.process.settings["bounds"]["graceS"]
    try:
        instance.process.child.wait(grace + _KILL_SLACK_SECONDS)
    except subprocess.TimeoutExpired:
        instance.process.kill()


def _kill_and_restart(instance: SoakInstance, seconds: float) -> None:
    with instance.claim() as free:
        if not free:
            return
        with instance.rough.span():
            instance.process.kill()
            time.sleep(min(seconds, 1.0))
            instance.process.start()
            instance.process.wait_ready()
            time.sleep(_SETTLE_SECONDS)
