"""Another writer's large entries stand among those of the searchers."""

import asyncio
import itertools
import os
import sys
import tempfile
import time
import traceback
from collections import Counter
from contextlib import ExitStack
from pathlib import Path

from standins2.http import Request, ask
from standins2.machines import Machine
from standins2.searchers import ID, Searcher
from standins2.store import Store

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["zone-a", "zone-b", "zone-c"]
HOST = "shop.example"
HISTORY_SECONDS = 20.0
# Below `valueBytes`, which is 1,048,576.
ENTRY_BYTES = 1_000_000
ENTRIES = 16
MEMORY_BYTES = 300 * 1024 * 1024
RESTART_SECONDS = 0.5
# The rule counts processes that end this often, on this many machines.
ENDS, MACHINES = 3, 2
WATCHED_SECONDS = 70.0

CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "get",
            "host": HOST,
            "pathPrefix": "/get/",
            "type": "safe",
            "timeoutMs": 3000,
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


def dump(size: int) -> str:
    """Return what a job dumps under a name of its own: JSON text with rows that have no values."""
    return '{"rows":[' + ",".join(["{}"] * ((size - 12) // 3)) + "]}"


class Case:
    """What was sent, run and answered, and which processes ended."""

    def __init__(self) -> None:
        self.record: list[str] = []
        self.begun = time.monotonic()
        self.runs: dict[str, tuple[float, str]] = {}
        self.answers: dict[str, tuple[float, str, int]] = {}
        self.ends: Counter[str] = Counter()
        self.peaks: Counter[str] = Counter()

    def now(self) -> float:
        return time.monotonic() - self.begun

    def note(self, text: str) -> None:
        self.record.append(f"{self.now():8.3f} {text}")

    def on_run(self, searcher: Searcher, request: Request) -> None:
        self.runs[request.headers[ID]] = self.now(), searcher.name

    def note_requests(self) -> None:
        """Note what was sent, run and answered, a line for each request."""
        for found, (sent, target, status) in self.answers.items():
            run = (
                "ran at {1}, {0:.3f}".format(*self.runs[found]) if found in self.runs else "no run"
            )
            answer = f"answered {status or 'with nothing'}"
            self.record.append(f"{sent:8.3f} {found} sent to {target}; {run}; {answer}")

    async def send(self, machines: list[Machine]) -> None:
        """Send 10 requests a second to the machines in turn."""
        waiting = set()
        for number in itertools.count():
            task = asyncio.create_task(self._ask(machines[number % len(machines)], number))
            waiting.add(task)
            task.add_done_callback(waiting.discard)
            await asyncio.sleep(1 / 10)

    async def _ask(self, machine: Machine, number: int) -> None:
        request_id = f"r{number:05d}"
        headers = {
            "Host": HOST,
            "X-Limpethollow-Request-Id": request_id,
            "X-Limpethollow-Deadline-Ms": "3000",
        }
        sent, status = self.now(), 0
        try:
            async with asyncio.timeout(3.0):
                status = (await ask(machine.front, "GET", f"/get/card-{number}", headers)).status
        except (OSError, TimeoutError):
            pass
        self.answers[request_id] = sent, machine.name, status

    async def limit_memory(self, machine: Machine) -> None:
        """Kill the process when it exceeds its memory, and start it again, as the platform does."""
        while True:
            await asyncio.sleep(0.02)
            used = machine.resident_bytes()
            self.peaks[machine.name] = max(self.peaks[machine.name], used)
            if used > MEMORY_BYTES:
                machine.end()
                self.note(f"{machine.name} has {used >> 20} MB and is killed")
            if not machine.runs:
                self.ends[machine.name] += 1
                await asyncio.sleep(RESTART_SECONDS)
                machine.start()


async def keep_history(store: Store) -> None:
    """Discard the store's history after its time."""
    kept = []
    while True:
        kept.append((time.monotonic(), store.revision))
        while kept[0][0] < time.monotonic() - HISTORY_SECONDS:
            store.forget(kept.pop(0)[1])
        await asyncio.sleep(0.5)


async def play(folder: Path, stack: ExitStack) -> int:
    store = Store()
    await store.server.start()
    case = Case()
    await store.put("config", "main", CONFIGURATION)
    searchers = [
        await Searcher(store, "desk", f"i-{number}", zone, on_run=case.on_run).start()
        for number, zone in enumerate(ZONES * 2, 1)
    ]
    machines = [
        Machine(number, zone, ZONES, store.server.address, folder)
        for number, zone in enumerate(ZONES, 1)
    ]
    for machine in machines:
        stack.callback(machine.end)
        machine.start()
    history = asyncio.create_task(keep_history(store))
    for machine in machines:
        await machine.wait_ready()
    await asyncio.sleep(8.0)
    sending = asyncio.create_task(case.send(machines))
    limits = [asyncio.create_task(case.limit_memory(machine)) for machine in machines]
    await asyncio.sleep(5.0)
    written = case.now()
    if TROUBLE:
        text = dump(ENTRY_BYTES)
        for number in range(ENTRIES):
            await store.put_text("servers", f"dump-{number:02d}", text)
        case.note(f"another writer has written {ENTRIES} entries of {len(text)} bytes")
    await asyncio.sleep(WATCHED_SECONDS)
    for task in (sending, history, *limits):
        task.cancel()
    before = [status for sent, _, status in case.answers.values() if sent < written - 3.0]
    last = [
        status
        for sent, _, status in case.answers.values()
        if sent > written + WATCHED_SECONDS - 20.0
    ]
    case.note(f"before: {len(before)} requests, {before.count(200)} served")
    case.note(f"in the last 20 s: {len(last)} requests, {last.count(200)} served")
    for machine in machines:
        peak = case.peaks[machine.name] >> 20
        case.note(f"{machine.name}: {case.ends[machine.name]} ends, {peak} MB at its peak")
    is_broken = sum(ends >= ENDS for ends in case.ends.values()) >= MACHINES
    case.note(f"Fault {'is there' if is_broken else 'is not there'}")
    case.note_requests()
    Path("record.txt").write_text("\n".join(case.record) + "\n")
    if not before.count(200):
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
