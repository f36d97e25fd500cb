"""Bookings that wait for a connection reach a searcher long after it has said that it drains.

Three machines send bookings to three searchers, two connections to each. The searchers leave part
of their requests without an answer, so that connections are held until the requests' time is over.
A searcher drains; bookings that wait for a connection to it are sent there once one is free.
"""

import random
import sys
import threading
import time
from collections import Counter
from contextlib import ExitStack
from pathlib import Path

from review.support.cases import Record, configuration, has_trouble, play, route
from review.support.consumers import Attempt, send
from review.support.machines import BOUNDS, Machine
from review.support.searchers import Received, Searcher
from review.support.store import MetadataStore

DESK = "desk"
MACHINES, SEARCHERS = 3, 3
REQUESTS_A_SECOND = 12
CONSUMER_SECONDS = 6.0
# As many connections to a searcher for each machine as eight machines have of the site's 26.
CONNECTIONS = 8
HANG_SHARE = 0.45
CALM_SECONDS, HANG_SECONDS, DRAINING_SECONDS = 4.0, 4.0, 8.0
DRAIN_SECONDS = BOUNDS["drainMs"] / 1000


def case(record: Record, folder: Path) -> bool:
    """Play the case; return whether the rule held."""
    rng = random.Random(4)
    trouble, over = threading.Event(), threading.Event()
    attempts: list[Attempt] = []
    booked: list[threading.Thread] = []

    def hangs(request: Received) -> bool:
        return trouble.is_set() and rng.random() < HANG_SHARE

    def book(address: str, number: int) -> None:
        request = f"b{number}"
        attempts.append(
            send(address, "/book/x", request, method="POST", body=b"x", seconds=CONSUMER_SECONDS)
        )

    with ExitStack() as stack:
        store = stack.enter_context(MetadataStore())
        desk = [
            stack.enter_context(
                Searcher(DESK, f"desk-{n}", f"zone-{n}", work=lambda: 0.16, hangs=hangs)
            )
            for n in range(SEARCHERS)
        ]
        for searcher in desk:
            store.put("servers", searcher.id, searcher.entry())
        routes = [route("book", "/book/", DESK, type="unsafe", timeoutMs=6000)]
        store.put("config", "main", configuration(7, routes, {DESK: CONNECTIONS}))
        machines = [
            stack.enter_context(Machine(f"front-{n}", f"zone-{n}", store.address, folder))
            for n in range(MACHINES)
        ]
        for machine in machines:
            machine.wait_ready()

        def press() -> None:
            while not over.wait(1 / REQUESTS_A_SECOND):
                address = rng.choice(machines).front
                thread = threading.Thread(target=book, args=[address, len(booked)], daemon=True)
                thread.start()
                booked.append(thread)

        pressing = threading.Thread(target=press, daemon=True)
        pressing.start()
        time.sleep(CALM_SECONDS)
        if has_trouble():
            trouble.set()
        time.sleep(HANG_SECONDS)
        store.put("servers", desk[0].id, desk[0].entry(state="draining"))
        drained_at = time.monotonic()
        record.note(f"{desk[0].id} drains")
        time.sleep(DRAINING_SECONDS)
        over.set()
        pressing.join()
        for thread in booked:
            thread.join()
    for searcher in desk:
        for each in searcher.arrivals:
            record.note(f"{each.request} runs at {searcher.id}", each.at)
    after = [each.at - drained_at for each in desk[0].arrivals if each.at > drained_at]
    late = [round(seconds, 2) for seconds in after if seconds > DRAIN_SECONDS]
    record.note(f"bookings got {dict(Counter(str(attempt.status) for attempt in attempts))}")
    record.note(f"{desk[0].id}: {len(after)} requests after it drains; later than 3 s: {late}")
    return not late


if __name__ == "__main__":
    sys.exit(play(Path(__file__).resolve().parent, case))
