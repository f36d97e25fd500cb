"""After a drill of the store, a searcher that drains goes on getting requests.

Three machines serve five searchers while three more are added to another service. The store is away
for a second and comes back from a copy that is some seconds old. Seven seconds later, with
everything calm, a searcher reports that it drains. Nothing may reach it `drainMs` after the store
has acknowledged that.
"""

import random
import sys
import threading
import time
from contextlib import ExitStack
from pathlib import Path

from review.support.cases import Record, configuration, has_trouble, play, route
from review.support.consumers import send
from review.support.machines import BOUNDS, Machine
from review.support.searchers import Searcher
from review.support.store import MetadataStore

ZONES = ("zone-a", "zone-b", "zone-c")
DESK, LEAGUE = "desk", "league"
REQUESTS_A_SECOND = 20
DRAIN_SECONDS = BOUNDS["drainMs"] / 1000
STABLE_SECONDS = BOUNDS["stabilityWindowMs"] / 1000
# A searcher that has just started is slow for this long, and says so with each ping.
COLD_SECONDS, PING_SECONDS = 3.0, 1.2
AWAY_SECONDS = 1.0
LAST_ANSWERS_SECONDS = 0.5


class Traffic:
    """Consumers that send requests at a steady rate to machines at random.

    Args:
        machines: The machines.
        record: Where each attempt is noted.
    """

    def __init__(self, machines: list[Machine], record: Record) -> None:
        self._machines = machines
        self._record = record
        self._over = threading.Event()
        self._rng = random.Random(1)
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> "Traffic":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._over.set()
        self._thread.join()
        time.sleep(LAST_ANSWERS_SECONDS)

    def _run(self) -> None:
        number = 0
        while not self._over.wait(1 / REQUESTS_A_SECOND):
            number += 1
            address = self._rng.choice(self._machines).front
            threading.Thread(target=self._send, args=[address, f"r{number}"], daemon=True).start()

    def _send(self, address: str, request: str) -> None:
        attempt = send(address, "/desk/x", request)
        said = attempt.status if attempt.status is not None else attempt.error
        self._record.note(f"{request} got {said} from {attempt.stamp}", attempt.ended)


def add_searchers(store: MetadataStore, added: list[Searcher], record: Record) -> None:
    """Let searchers start and say, ping by ping, how long they are still slow."""
    for number, searcher in enumerate(added):
        for ping in range(int(COLD_SECONDS // PING_SECONDS) + 1):
            left = int(max(0.0, COLD_SECONDS - ping * PING_SECONDS) * 1000)
            entry = searcher.entry(coldLeftMs=left, seq=ping + 1)
            delay = 0.1 * number + ping * PING_SECONDS
            threading.Timer(delay, write, [store, searcher.id, entry, record]).start()


def write(store: MetadataStore, name: str, entry: dict, record: Record) -> None:
    """Write a searcher's entry."""
    revision = store.put("servers", name, entry)
    what = f"{entry['state']}, cold for {entry['coldLeftMs']} ms"
    record.note(f"{name} writes: {what}; revision {revision}, era {store.era}")


def case(record: Record, folder: Path) -> bool:
    """Play the case; return whether the rule held."""
    with ExitStack() as stack:
        store = stack.enter_context(MetadataStore())
        desk = [
            stack.enter_context(Searcher(DESK, f"desk-{n}", ZONES[n % 3], work=lambda: 0.1))
            for n in range(5)
        ]
        league = [stack.enter_context(Searcher(LEAGUE, f"league-{n}", ZONES[n])) for n in range(3)]
        added = [
            stack.enter_context(Searcher(LEAGUE, f"league-{n + 3}", ZONES[n])) for n in range(3)
        ]
        for searcher in (*desk, *league):
            write(store, searcher.id, searcher.entry(), record)
        routes = [route("desk", "/desk/", DESK), route("league", "/league/", LEAGUE)]
        store.put("config", "main", configuration(7, routes, {DESK: 40, LEAGUE: 40}))
        machines = [
            stack.enter_context(Machine(f"front-{zone}", zone, store.address, folder))
            for zone in ZONES
        ]
        for machine in machines:
            machine.wait_ready()
        record.note("all machines are ready")
        with Traffic(machines, record):
            return drill_and_drain(record, store, desk, added)


def drill_and_drain(
    record: Record, store: MetadataStore, desk: list[Searcher], added: list[Searcher]
) -> bool:
    """Go through the drill and what follows; return whether the rule held."""
    time.sleep(STABLE_SECONDS + 1.0)
    kept = store.copy()
    record.note(f"copy of the store at revision {kept.revision}, era {store.era}")
    add_searchers(store, added, record)
    time.sleep(COLD_SECONDS + 0.5)
    if has_trouble():
        record.note(f"the store goes away at revision {store.revision}, era {store.era}")
        store.go_away()
        time.sleep(AWAY_SECONDS)
        store.come_back(kept)
        record.note(f"the store is back at revision {store.revision}, era {store.era}")
        for searcher in added:
            write(store, searcher.id, searcher.entry(coldLeftMs=0, seq=9), record)
    time.sleep(STABLE_SECONDS + 3.0)
    leaving = desk[0]
    write(store, leaving.id, leaving.entry(state="draining"), record)
    drained_at = time.monotonic()
    time.sleep(DRAIN_SECONDS + 5.0)
    store.remove("servers", leaving.id)
    leaving.end()
    record.note(f"{leaving.id} exits")
    time.sleep(1.0)
    for searcher in desk:
        for each in searcher.arrivals:
            record.note(f"{each.request} runs at {searcher.id}", each.at)
    after = [each.at - drained_at for each in leaving.arrivals if each.at > drained_at]
    late = [seconds for seconds in after if seconds > DRAIN_SECONDS]
    last = f"; the last one {max(after):.2f} s after it" if after else ""
    record.note(
        f"{leaving.id}: {len(after)} requests after the acknowledgement, "
        f"{len(late)} of them later than {DRAIN_SECONDS} s{last}"
    )
    return not late


if __name__ == "__main__":
    sys.exit(play(Path(__file__).resolve().parent, case))
