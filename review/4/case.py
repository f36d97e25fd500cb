"""Another writer's entry that can't be read stands among those of the searchers."""

import asyncio
import itertools
import os
import sys
import tempfile
import time
import traceback
from contextlib import ExitStack
from pathlib import Path

from standins2.http import Request, ask
from standins2.machines import Machine
from standins2.searchers import ID, Searcher
from standins2.store import Store

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["zone-a", "zone-b", "zone-c"]
HOST = "shop.example"
TIMEOUT_SECONDS = 2.0
AFTER_TIMEOUT = 0.5
# The rule counts from this number of requests on, and from this share of those that last so long.
LEAST, SHARE = 8, 0.25
# Below `valueBytes`, which is 1,048,576.
ENTRY_BYTES = 200_000
CONSUMER_SECONDS = 6.0
WATCHED_SECONDS = 15.0

CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "book",
            "host": HOST,
            "pathPrefix": "/book/",
            "type": "unsafe",
            "timeoutMs": 2000,
            "sloMs": 600,
            "priority": 1,
            "service": "desk",
            "attempts": 2,
        }
    ],
    "services": [{"name": "desk", "healthPath": "/health", "maxConns": 110}],
    "limits": {
        "maxHeaderBytes": 8192,
        "maxBodyBytes": 65536,
        "headerTimeoutMs": 2000,
        "idleTimeoutMs": 10000,
    },
}


def log_text(size: int) -> str:
    """Return lines of a log, which somebody stores in place of a searcher's entry."""
    line = "2026-12-07 [info] request {{id: {}}} done [ok]\n"
    return "".join(line.format(number) for number in range(size // 48))


class Case:
    """What was sent, run and answered."""

    def __init__(self) -> None:
        self.record: list[str] = []
        self.begun = time.monotonic()
        self.sent: dict[str, float] = {}
        self.answered: dict[str, float] = {}
        self.statuses: dict[str, int] = {}
        self.runs: dict[str, tuple[float, str]] = {}
        self.machines: dict[str, str] = {}

    def now(self) -> float:
        return time.monotonic() - self.begun

    def note(self, text: str) -> None:
        self.record.append(f"{self.now():8.3f} {text}")

    def on_run(self, searcher: Searcher, request: Request) -> None:
        self.runs[request.headers[ID]] = self.now(), searcher.name

    def note_requests(self) -> None:
        """Note what was sent, run and answered, a line for each request."""
        for found, sent in self.sent.items():
            run = (
                "ran at {1}, {0:.3f}".format(*self.runs[found]) if found in self.runs else "no run"
            )
            answer = "no answer"
            if found in self.answered:
                answer = f"answered {self.statuses[found]}, {self.answered[found]:.3f}"
            self.record.append(
                f"{sent:8.3f} {found} sent to {self.machines[found]}; {run}; {answer}"
            )

    async def send(self, machines: list[Machine]) -> None:
        """Send 15 requests a second to the machines in turn."""
        waiting = set()
        for number in itertools.count():
            task = asyncio.create_task(self._ask(machines[number % len(machines)], number))
            waiting.add(task)
            task.add_done_callback(waiting.discard)
            await asyncio.sleep(1 / 15)

    async def _ask(self, machine: Machine, number: int) -> None:
        request_id = f"r{number:05d}"
        headers = {
            "Host": HOST,
            "X-Limpethollow-Request-Id": request_id,
            "X-Limpethollow-Deadline-Ms": str(int(CONSUMER_SECONDS * 1000)),
        }
        self.sent[request_id], self.machines[request_id] = self.now(), machine.name
        try:
            async with asyncio.timeout(CONSUMER_SECONDS):
                answer = await ask(machine.front, "POST", f"/book/{number}", headers, b"seat")
        except (OSError, TimeoutError):
            return
        self.answered[request_id] = self.now()
        self.statuses[request_id] = answer.status


async def play(folder: Path, stack: ExitStack) -> int:
    store = Store()
    await store.server.start()
    case = Case()
    await store.put("config", "main", CONFIGURATION)
    for number, zone in enumerate(ZONES * 2, 1):
        await Searcher(store, "desk", f"i-{number}", zone, on_run=case.on_run).start()
    machines = [
        Machine(number, zone, ZONES, store.server.address, folder)
        for number, zone in enumerate(ZONES, 1)
    ]
    for machine in machines:
        stack.callback(machine.end)
        machine.start()
    for machine in machines:
        await machine.wait_ready()
    await asyncio.sleep(8.0)
    sending = asyncio.create_task(case.send(machines))
    await asyncio.sleep(3.0)
    written = case.now()
    if TROUBLE:
        text = log_text(ENTRY_BYTES)
        await store.put_text("servers", "request.log", text)
        case.note(f"another writer has written one entry of {len(text)} bytes")
    await asyncio.sleep(WATCHED_SECONDS)
    ended = case.now()
    sending.cancel()
    before = [found for found, at in case.sent.items() if at < written - TIMEOUT_SECONDS]
    served = sum(case.statuses.get(found) == 200 for found in before)
    case.note(f"before: {len(before)} requests sent, {served} served")
    bound = TIMEOUT_SECONDS + AFTER_TIMEOUT
    judged = [f for f, at in case.sent.items() if at > written and at < ended - bound]
    took = {f: case.answered.get(f, float("inf")) - case.sent[f] for f in judged}
    long = [found for found in judged if took[found] > TIMEOUT_SECONDS]
    late = [found for found in long if took[found] > bound]
    case.note(
        f"after: {len(judged)} requests sent, {sum(case.statuses.get(f) == 200 for f in judged)} "
        f"served, {sum(f in case.runs for f in judged)} reached a searcher"
    )
    is_broken = len(late) >= LEAST and len(late) > SHARE * len(long)
    case.note(f"{len(long)} lasted longer than timeoutMs, {len(late)} of them over 0.5 s longer")
    ready = 0
    for machine in machines:
        try:
            await machine.wait_ready(2.0)
            ready += 1
        except TimeoutError:
            case.note(f"{machine.name} does not answer /ready")
    case.note(f"CONFIG {'is broken' if is_broken else 'holds'}; {ready} machines are ready")
    case.note_requests()
    Path("record.txt").write_text("\n".join(case.record) + "\n")
    if not all(machine.runs for machine in machines) or not served:
        return 2
    return 1 if is_broken else 0


def main() -> int:
    with tempfile.TemporaryDirectory() as folder, ExitStack() as stack:
        try:
            return asyncio.run(play(Path(folder), stack))
        except Exception:
            traceback.print_exc()
            return 2


if __name__ == "__main__":
    sys.exit(main())
