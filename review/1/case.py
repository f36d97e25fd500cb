"""A booking runs twice: a late second refusal is taken for the answer to the booking's next send.

Two machines send bookings to two services, of each of which one searcher is left. These shed part
of their requests and follow some of their answers with a second one, which comes late. After a
refusal the booking goes to the same searcher again, on the same connection; there the second
refusal is due, and it has the booking's id. The machine believes that this send has not run
either, and makes another one.
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
from review.support.machines import Machine
from review.support.searchers import Received, Searcher
from review.support.store import MetadataStore

ZONES = ("zone-a", "zone-b")
SERVICES = ("desk", "league")
REQUESTS_A_SECOND = 40
CALM_SECONDS, PLAY_SECONDS = 2.0, 90.0
# Doses of the site's troubles: the share of requests that a grey searcher sheds, and the share of
# its answers after which a searcher that garbles sends a second one.
SHED_SHARE, DOUBLE_SHARE = 0.45, 0.04
SLOTS, WORK_SECONDS = 3, 0.02
CONSUMER_SECONDS = 4.0
_PROMISES = (408, 421, 429, 503)


class Bookings:
    """Consumers that book at a steady rate at machines at random.

    Args:
        machines: The machines.
    """

    def __init__(self, machines: list[Machine]) -> None:
        self._machines = machines
        self._rng = random.Random(1)
        self._threads: list[threading.Thread] = []
        self.attempts: list[Attempt] = []

    def send_for(self, seconds: float) -> None:
        """Send bookings for some seconds."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            address = self._rng.choice(self._machines).front
            number = len(self._threads) + 1
            booking = threading.Thread(target=self._book, args=[address, number], daemon=True)
            booking.start()
            self._threads.append(booking)
            time.sleep(1 / REQUESTS_A_SECOND)

    def wait(self) -> None:
        """Wait until all have their answers."""
        for thread in self._threads:
            thread.join()

    def _book(self, address: str, number: int) -> None:
        path = f"/{SERVICES[number % len(SERVICES)]}/bay"
        body = f"bay={number}".encode()
        self.attempts.append(
            send(
                address,
                path,
                f"b{number}",
                method="POST",
                body=body,
                seconds=CONSUMER_SECONDS,
            )
        )


def case(record: Record, folder: Path) -> bool:
    """Play the case; return whether the rule held."""
    rng = random.Random(2)
    trouble = threading.Event()

    def sheds(request: Received) -> bool:
        return trouble.is_set() and rng.random() < SHED_SHARE

    def doubles(request: Received) -> bool:
        return trouble.is_set() and rng.random() < DOUBLE_SHARE

    with ExitStack() as stack:
        store = stack.enter_context(MetadataStore())
        searchers = [
            stack.enter_context(
                Searcher(
                    service,
                    f"{service}-{n}",
                    zone,
                    slots=SLOTS,
                    work=lambda: WORK_SECONDS,
                    sheds=sheds,
                    doubles=doubles,
                )
            )
            for service in SERVICES
            for n, zone in enumerate(ZONES)
        ]
        for searcher in searchers:
            store.put("servers", searcher.id, searcher.entry())
        routes = [route(service, f"/{service}/", service, type="unsafe") for service in SERVICES]
        store.put("config", "main", configuration(7, routes, dict.fromkeys(SERVICES, 26)))
        machines = [
            stack.enter_context(Machine(f"front-{zone}", zone, store.address, folder))
            for zone in ZONES
        ]
        for machine in machines:
            machine.wait_ready()
        record.note("all machines are ready")
        bookings = Bookings(machines)
        bookings.send_for(CALM_SECONDS)
        if has_trouble():
            for lost in searchers[1 :: len(ZONES)]:
                record.note(f"{lost.id} is lost for good; the other one sheds and doubles answers")
                lost.end()
                store.remove("servers", lost.id)
            trouble.set()
        bookings.send_for(PLAY_SECONDS)
        bookings.wait()
        time.sleep(1.0)
        return judge(record, bookings.attempts, searchers)


def judge(record: Record, attempts: list[Attempt], searchers: list[Searcher]) -> bool:
    """Write the record; return whether no booking ran twice, or ran and was refused."""
    arrivals = [arrival for searcher in searchers for arrival in searcher.arrivals]
    for each in arrivals:
        record.note(
            f"{each.request} {'runs' if each.ran else 'is shed'} at {each.searcher}", each.at
        )
    for each in attempts:
        said = each.error if each.status is None else each.status
        record.note(f"{each.request} got {said} {each.stamp or ''}", each.ended)
    runs = Counter(arrival.request for arrival in arrivals if arrival.ran)
    twice = [request for request, count in runs.items() if count > 1]
    refused = [a.request for a in attempts if a.status in _PROMISES and runs[a.request]]
    statuses = Counter(str(attempt.status) for attempt in attempts)
    record.note(f"{len(attempts)} bookings got {dict(statuses)}")
    record.note(f"second answers: {sum(searcher.doubled for searcher in searchers)}")
    record.note(f"TWICE: {len(twice)} bookings ran more than once: {twice}")
    record.note(f"REFUSED: {len(refused)} bookings ran and were refused: {refused}")
    return not twice


if __name__ == "__main__":
    sys.exit(play(Path(__file__).resolve().parent, case))
