"""A machine that is stopped takes requests to its last moment and leaves some without an answer.

Three machines are stopped and started in turn, a second apart, a few times over. Consumers go on
sending to the addresses that the directory gives them. A machine that gets SIGTERM takes requests
until it ends itself shortly before `graceS`; those whose searchers are still at work then lose
their connection without an answer, however late they were sent.
"""

import random
import sys
import threading
import time
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path

from review.support.cases import Record, configuration, has_trouble, play, route
from review.support.consumers import Attempt, send
from review.support.machines import BOUNDS, Machine
from review.support.searchers import Searcher
from review.support.store import MetadataStore

ZONES = ("zone-a", "zone-b", "zone-c")
DESK = "desk"
# Each sends its next request when it has its answer: about as many a second as the site's traffic.
CONSUMERS = 9
PAUSE_SECONDS = 0.1
# Some consumers keep the directory's answer three times as long as it says.
PATIENT_SHARE, PATIENCE = 0.33, 3
CALM_SECONDS, REST_SECONDS, ROUNDS = 6.0, 13.0, 4
# The dose of the site's `roll_term`: one machine at a time, the next one after this pause.
GAP_SECONDS = 1.0
RESTART_SECONDS = 0.5
GRACE_SECONDS = BOUNDS["graceS"]
# Requests that were sent this long after the SIGTERM, or sooner, may have an excuse.
EXCUSED_SECONDS = 3.0
CONSUMER_SECONDS = 4.0
MEAN_WORK, MOST_WORK = 0.16, 0.96


@dataclass(slots=True)
class Stop:
    """A SIGTERM of a machine."""

    address: str
    at: float
    ended: float = field(default=float("inf"))


class Consumer:
    """One consumer, which asks the directory where to connect and sends requests there.

    Args:
        name: Its name.
        machines: The machines whose directories it may ask.
        attempts: Gets each of its attempts.
        over: Set when it shall stop.
    """

    def __init__(
        self, name: str, machines: list[Machine], attempts: list[Attempt], over: threading.Event
    ) -> None:
        self._attempts = attempts
        self._machines = machines
        self._name = name
        self._over = over
        self._rng = random.Random(name)
        self._patience = PATIENCE if self._rng.random() < PATIENT_SHARE else 1
        self._addresses: list[str] = []
        self._kept_until = 0.0

    def run(self) -> None:
        """Send requests until it shall stop."""
        number = 0
        while not self._over.is_set():
            number += 1
            self._look_up()
            if not self._addresses or not self._ask(f"{self._name}-{number}"):
                self._over.wait(PAUSE_SECONDS)

    def _ask(self, request: str) -> bool:
        """Send a request to an address at random; return whether it was served."""
        address = self._rng.choice(self._addresses)
        attempt = send(address, "/desk/x", request, seconds=CONSUMER_SECONDS)
        self._attempts.append(attempt)
        if attempt.status is None and len(self._addresses) > 1:
            self._addresses.remove(address)
        return attempt.status == 200

    def _look_up(self) -> None:
        if time.monotonic() < self._kept_until:
            return
        for machine in self._rng.sample(self._machines, len(self._machines)):
            try:
                addresses, seconds = machine.resolve(machine.zone)
            except OSError:
                continue
            self._addresses = addresses
            self._kept_until = time.monotonic() + seconds * self._patience
            return


def case(record: Record, folder: Path) -> bool:
    """Play the case; return whether the rule held."""
    rng = random.Random(3)

    def work() -> float:
        return min(MOST_WORK, rng.lognormvariate(0.0, 0.5) * MEAN_WORK)

    with ExitStack() as stack:
        store = stack.enter_context(MetadataStore())
        desk = [
            stack.enter_context(Searcher(DESK, f"desk-{n}", ZONES[n % 3], slots=4, work=work))
            for n in range(4)
        ]
        for searcher in desk:
            store.put("servers", searcher.id, searcher.entry())
        store.put("config", "main", configuration(7, [route("desk", "/desk/", DESK)], {DESK: 40}))
        machines = [
            stack.enter_context(Machine(f"front-{zone}", zone, store.address, folder))
            for zone in ZONES
        ]
        for machine in machines:
            machine.wait_ready()
        record.note("all machines are ready")
        attempts: list[Attempt] = []
        over = threading.Event()
        threads = [
            threading.Thread(target=Consumer(f"c{n}", machines, attempts, over).run, daemon=True)
            for n in range(CONSUMERS)
        ]
        for thread in threads:
            thread.start()
        time.sleep(CALM_SECONDS)
        stops: list[Stop] = []
        for _ in range(ROUNDS):
            if has_trouble():
                stop_in_turn(machines, stops)
            time.sleep(REST_SECONDS)
        over.set()
        for thread in threads:
            thread.join()
        return judge(record, attempts, stops, desk)


def stop_in_turn(machines: list[Machine], stops: list[Stop]) -> None:
    """Stop the machines, a pause apart; each starts again once it has ended."""
    for machine in machines:
        stop = Stop(machine.front, time.monotonic())
        stops.append(stop)
        threading.Thread(target=stop_and_start, args=[machine, stop], daemon=True).start()
        time.sleep(GAP_SECONDS)


def stop_and_start(machine: Machine, stop: Stop) -> None:
    """Stop a machine as the platform does, and start it again."""
    machine.terminate()
    if not machine.wait_ended(GRACE_SECONDS):
        machine.kill()
    stop.ended = time.monotonic()
    time.sleep(RESTART_SECONDS)
    machine.start()


def judge(record: Record, attempts: list[Attempt], stops: list[Stop], desk: list[Searcher]) -> bool:
    """Write the record; return whether no request was lost."""
    ran = {arrival.request: arrival for each in desk for arrival in each.arrivals if arrival.ran}
    for request, arrival in ran.items():
        record.note(f"{request} runs at {arrival.searcher}", arrival.at)
    for each in attempts:
        said = each.error if each.status is None else each.status
        record.note(f"{each.request} to {each.address} got {said}", each.ended)
    for stop in stops:
        record.note(
            f"SIGTERM to {stop.address}; it ended {stop.ended - stop.at:.2f} s later", stop.at
        )
    lost = []
    for each in attempts:
        cut = each.status is None and each.request in ran
        if not cut or each.ended - each.sent >= CONSUMER_SECONDS:
            continue
        stop = next((s for s in stops if is_lost(each, s)), None)
        if stop is not None:
            lost.append(each)
            record.note(
                f"LOST: {each.request} was sent {each.sent - stop.at:.2f} s after the SIGTERM, ran "
                f"at {ran[each.request].searcher}, and its connection ended "
                f"{each.ended - stop.at:.2f} s after the SIGTERM: {each.error}",
                each.ended,
            )
    statuses = Counter(str(attempt.status) for attempt in attempts)
    record.note(f"{len(attempts)} requests got {dict(statuses)}; {len(lost)} were lost")
    return not lost


def is_lost(attempt: Attempt, stop: Stop) -> bool:
    """Return whether an attempt that got no answer ended by a machine's stop, without excuse."""
    return (
        attempt.address == stop.address
        and attempt.sent > stop.at + EXCUSED_SECONDS
        and attempt.ended <= stop.at + GRACE_SECONDS + 1.0
    )


if __name__ == "__main__":
    sys.exit(play(Path(__file__).resolve().parent, case))
