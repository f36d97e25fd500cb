"""A booking that was refused is sent again on a connection that still carries a second refusal."""

import itertools
import random
import sys
import threading
import time
from collections import Counter
from contextlib import ExitStack
from pathlib import Path

from review.support.cases import Record, configuration, has_trouble, play, route
from review.support.consumers import send
from review.support.machines import Machine
from review.support.searchers import Received, Searcher
from review.support.store import MetadataStore

ZONES = ("zone-a", "zone-b")
DESK = "desk"
CONSUMERS = 40
PLAY_SECONDS = 20.0
# Share of its answers after which a faulty searcher sends a second one.
DOUBLE_SHARE = 0.04


def case(record: Record, folder: Path) -> bool:
    rng = random.Random(2)

    def doubles(request: Received) -> bool:
        return has_trouble() and rng.random() < DOUBLE_SHARE

    with ExitStack() as stack:
        store = stack.enter_context(MetadataStore())
        desk = [
            stack.enter_context(
                Searcher(DESK, f"desk-{n}", ZONES[n], slots=2, queue=6, work=0.005, doubles=doubles)
            )
            for n in range(2)
        ]
        for searcher in desk:
            store.put("servers", searcher.id, searcher.entry())
        routes = [route("book", "/book/", DESK, type="unsafe")]
        store.put("config", "main", configuration(7, routes, {DESK: 26}))
        machines = [
            stack.enter_context(Machine(f"front-{zone}", zone, store.address, folder))
            for zone in ZONES
        ]
        for machine in machines:
            machine.wait_ready()
        numbers = itertools.count(1)
        attempts = []
        until = time.monotonic() + PLAY_SECONDS

        def consume(seed: int) -> None:
            own = random.Random(seed)
            while time.monotonic() < until:
                attempt = send(
                    own.choice(machines).front,
                    "/book/x",
                    f"b{next(numbers)}",
                    method="POST",
                    body=b"bay=12",
                    seconds=2.0,
                )
                attempts.append(attempt)

        threads = [threading.Thread(target=consume, args=[n]) for n in range(CONSUMERS)]
        for thread in threads:
            thread.start()
        time.sleep(2.0)
        desk[1].end()
        record.note("desk-1 is lost")
        time.sleep(3.0)
        store.remove("servers", "desk-1")
        for thread in threads:
            thread.join()
        time.sleep(1.0)
        runs = Counter(a.request for s in desk for a in s.arrivals if a.ran)
        sheds = sum(not a.ran for s in desk for a in s.arrivals)
        statuses = Counter(a.status for a in attempts)
        refused = [a for a in attempts if a.status in (429, 503) and runs[a.request]]
        twice = [r for r, count in runs.items() if count > 1]
        record.note(f"{statuses}, sheds {sheds}, doubled {[s.doubled for s in desk]}")
        record.note(f"twice {len(twice)} {twice[:5]}, refused and run {len(refused)}")
        return not twice and not refused


if __name__ == "__main__":
    sys.exit(play(Path(__file__).resolve().parent, case))
