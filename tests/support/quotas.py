"""Instances that share quotas, without a network: lists, loans, faults, and what ran when."""

import heapq
import itertools
from collections import Counter, deque
from random import Random

from limpethollow_policy.process.placements import Instance
from limpethollow_policy.process.quotaholders import HolderRole
from limpethollow_policy.process.quotas import QuotaBounds, Quotas
from limpethollow_policy.process.topology import holders_among
from limpethollow_policy.version.tenants import Tenant

TEAM = "t"
STEP = 0.05
LOOK_SECONDS = 0.5
# A change of the list is here within this time, a change of the limits within the other.
LATEST_NEWS, LATEST_LIMIT = 3.0, 5.0
REMOVED_AFTER = 30.0
RELISTED_AFTER = 3.0
# Seconds for which a request waits for a token.
MAX_WAIT = 0.1


class Process:
    """One run of an instance: its tokens, and what it has heard of the list and the limits.

    Args:
        world: The world.
        name: Name of its instance.
        first_start: Whether no instance ran before.
    """

    role_type = HolderRole
    quotas_type = Quotas

    def __init__(self, world: "World", name: str, *, first_start: bool) -> None:
        self._world = world
        self.name = name
        self.began = world.now
        self.lag = 0.0 if first_start else world.rng.uniform(0.0, LATEST_NEWS)
        self.role = world.role_type(
            name, world.bounds.window, first_start=first_start, now=world.now
        )
        number = next(world.numbers) * 1_000_000
        self.quotas = world.quotas_type(name, self.role, world.bounds, number)
        self.frozen_until = 0.0
        self.inbox: list[tuple] = []
        self.list_at = float("-inf")
        self.limit_at = float("-inf")
        self.entries: dict[str, float] = {}
        self.heard: tuple[list[str], list[str], int] = ([], [], 0)
        # The revision that a process reports for its list: that of the last change that it saw, or
        # that of its first list, which is later than the last change.
        self.changed_at = float("-inf")
        self.waiting: dict[str, deque[float]] = {}

    def put_limit(self, changed_at: float, rate: float, burst: float) -> None:
        self.limit_at = changed_at
        self.limit = rate, burst
        limits = {TEAM: (rate, burst), **self._world.other_teams}
        teams = [Tenant(name, (), rate=r, burst=b) for name, (r, b) in limits.items()]
        self.quotas.use(teams, self._world.bounds, self._world.now)

    def put_list(self, changed_at: float, entries: dict[str, float]) -> None:
        """Apply a list: seconds of entry by name."""
        now = self._world.now
        self.list_at, self.changed_at, self.entries = changed_at, changed_at, entries
        age = self._world.bounds.window + 0.5 + LATEST_NEWS
        established = all(self.began - at >= age for at in entries.values())
        holders = self._world.holders_of(entries)
        self.role.listed(holders, entries.keys(), now, established=established)
        self.quotas.look(now)

    def look(self) -> None:
        """Take in the news that have come, and who is heard."""
        world = self._world
        self.quotas.look(world.now)
        if world.has_store(self.name):
            due = world.now - self.lag
            newest = next((c for c in reversed(world.lists) if c[0] <= due), None)
            if self.list_at == float("-inf"):
                self.put_list(*world.lists[-1])
                self.changed_at = world.now
            elif newest is not None and newest[0] > self.list_at:
                self.put_list(*newest)
            limit = next((c for c in reversed(world.limits) if c[0] <= due), None)
            if limit is not None and limit[0] > self.limit_at:
                self.put_limit(*limit)
            if self.list_at == world.lists[-1][0]:
                self.role.confirmed(world.now)
        elif self.list_at == float("-inf"):
            peers = [p for p in world.heard_by(self.name) if p.list_at > float("-inf")]
            if peers:
                source = world.rng.choice(peers)
                self.put_list(source.list_at, source.entries)
        if self.limit_at == float("-inf"):
            self.put_limit(*world.limits[-1])
        if self.name in self.role.holders:
            heard = world.heard_by(self.name)
            self.heard = (
                [p.name for p in heard if p.list_at <= self.list_at],
                [p.name for p in heard if p.changed_at >= self.changed_at],
                len(self.entries.keys() - {p.name for p in heard} - {self.name}),
            )
            self.role.heard(*self.heard, world.now)
        self.quotas.look(world.now)

    def request(self, team: str = TEAM) -> None:
        """Take a token for a request, or wait for one."""
        now = self._world.now
        if self.quotas.take(team, now):
            self._world.ran(team)
            return
        self.quotas.arrived(team, now)
        self.waiting.setdefault(team, deque()).append(now)
        self.pursue(team)

    def pursue(self, team: str) -> None:
        """Grant, ask and refuse as the engine does."""
        now, waiting = self._world.now, self.waiting.get(team)
        while waiting and self.quotas.take(team, now):
            waiting.popleft()
            self._world.ran(team)
        while waiting and (ask := self.quotas.ask(team, len(waiting), now)):
            self._world.asks += 1
            self._world.send(self.name, ask.holder, ("ask", ask.number, team, ask.tokens))
        while waiting and (waiting[0] < now - MAX_WAIT or not self.quotas.is_pending(team, now)):
            waiting.popleft()
            self._world.refused[team] += 1

    def read(self, sender: str, frame: tuple) -> None:
        kind, number, *rest = frame
        if kind == "ask":
            loan = self.quotas.lend(*rest, self._world.now)
            self._world.send(self.name, sender, ("grant", number, loan))
            return
        team = self.quotas.granted(number, *rest, self._world.now)
        if team is not None:
            self.pursue(team)


class World:
    """All instances, the store's list and limits, and the network between them.

    Args:
        count: Instances at the first start.
        domains: Number of failure domains.
        seed: Seed of delays and losses.
        bounds: How many requests may run.
        limit: Rate and burst at the start.
        is_faulty: Whether frames are lost, late and doubled.
        other_teams: Rate and burst of further teams.
        role_type: Class of the processes' roles.
        quotas_type: Class of their tokens.
    """

    def __init__(
        self,
        count: int,
        domains: int,
        seed: int,
        bounds: QuotaBounds,
        limit: tuple[float, float],
        *,
        is_faulty: bool = True,
        other_teams: dict[str, tuple[float, float]] | None = None,
        role_type: type[HolderRole] = HolderRole,
        quotas_type: type[Quotas] = Quotas,
    ) -> None:
        self.rng = Random(seed)
        self.now = 1000.0
        self.bounds = bounds
        self.role_type, self.quotas_type = role_type, quotas_type
        self._domains = domains
        self._is_faulty = is_faulty
        self._frames: list[tuple] = []
        self.numbers = itertools.count(1)
        self._order = itertools.count()
        self._holders: dict[frozenset[str], frozenset[str]] = {}
        self._silent_since: dict[tuple[bool, str], float] = {}
        self._missing_since: dict[str, float] = {}
        self.sides: dict[str, bool] = {}
        self.cut_from_store = False
        self.asks = 0
        self.refused: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        self.other_teams = other_teams or {}
        self.runs: deque[float] = deque()
        self.names = [f"i-{number:03}" for number in range(count)]
        self.lists = [(self.now, dict.fromkeys(self.names, self.now - 100.0))]
        self.limits = [(self.now, *limit)]
        self.processes = {n: Process(self, n, first_start=True) for n in self.names}
        self._look_at = self.now
        self._look()

    def holders_of(self, entries: dict[str, float]) -> frozenset[str]:
        key = frozenset(entries)
        if key not in self._holders:
            known = [Instance(n, n, n, f"d-{int(n[2:]) % self._domains}") for n in sorted(key)]
            self._holders[key] = holders_among(known)
        return self._holders[key]

    def has_store(self, name: str) -> bool:
        return not (self.cut_from_store and self.sides.get(name, False))

    def heard_by(self, name: str) -> list[Process]:
        side = self.sides.get(name, False)
        return [
            p
            for p in self.processes.values()
            if p.name != name
            and self.sides.get(p.name, False) == side
            and p.frozen_until <= self.now
        ]

    def send(self, sender: str, receiver: str, frame: tuple) -> None:
        if self.sides.get(sender, False) != self.sides.get(receiver, False):
            return
        delays = [self.rng.uniform(0.001, 0.03 if self._is_faulty else 0.006)]
        if self._is_faulty:
            fate = self.rng.random()
            if fate < 0.05:
                return
            if fate < 0.1:
                delays = [self.rng.uniform(0.1, 2.0)]
            elif fate < 0.15:
                delays.append(self.rng.uniform(0.0, 1.0))
        for delay in delays:
            entry = (self.now + delay, next(self._order), sender, receiver, frame)
            heapq.heappush(self._frames, entry)

    def ran(self, team: str) -> None:
        """Count a request; for the first team, compare the window that ends now with the bound."""
        self.served[team] += 1
        if team != TEAM:
            return
        self.runs.append(self.now)
        while self.runs[0] <= self.now - self.bounds.window:
            self.runs.popleft()
        assert len(self.runs) <= self.allowed(), (len(self.runs), self.allowed())

    def allowed(self) -> float:
        """Return the bound by the highest limit that may be in force in the window.

        A holder that is cut off from the store does not hear of a lower limit.
        """
        since = self.now - self.bounds.window - LATEST_LIMIT - 0.5
        found = [p.limit for p in self.processes.values() if hasattr(p, "limit")]
        ends = [*(at for at, *_ in self.limits[1:]), self.now]
        found += [limit for (_, *limit), end in zip(self.limits, ends, strict=True) if end >= since]
        w, e, s = self.bounds.window, self.bounds.excess, self.bounds.slack
        return max((rate * w + burst) * (1 + e) + s for rate, burst in found)

    def run(self, seconds: float, load: dict[str, float], team: str = TEAM) -> None:
        """Pass time while instances get requests: requests a second by name."""
        self.run_teams(seconds, {team: load})

    def run_teams(self, seconds: float, loads: dict[str, dict[str, float]]) -> None:
        """Pass time while instances get requests: requests a second by team and name."""
        until = self.now + seconds
        while self.now < until - 1e-9:
            end = self.now + STEP
            for team, load in loads.items():
                self._send_requests(team, load)
            self._deliver(end)
            self.now = end
            for process in self.processes.values():
                if process.frozen_until <= self.now:
                    for team in process.waiting:
                        process.pursue(team)
            if self.now >= self._look_at:
                self._look()

    def _send_requests(self, team: str, load: dict[str, float]) -> None:
        for name, rate in load.items():
            expected = rate * STEP
            count = int(expected) + (self.rng.random() < expected % 1)
            process = self.processes.get(name)
            if process is not None and process.frozen_until <= self.now:
                for _ in range(count):
                    process.request(team)

    def _deliver(self, end: float) -> None:
        while self._frames and self._frames[0][0] <= end:
            at, _, sender, receiver, frame = heapq.heappop(self._frames)
            self.now = max(self.now, at)
            process = self.processes.get(receiver)
            if process is None:
                continue
            if process.frozen_until > self.now:
                process.inbox.append((sender, frame))
            else:
                process.read(sender, frame)

    def _look(self) -> None:
        self._look_at = self.now + LOOK_SECONDS
        self._keep_list()
        for process in list(self.processes.values()):
            if process.frozen_until > self.now:
                continue
            if process.frozen_until:
                self._resume(process)
            process.look()

    def _resume(self, process: Process) -> None:
        """Let a process read what its sockets held: old frames, and old heartbeats."""
        process.frozen_until = 0.0
        process.quotas.look(self.now)
        process.role.heard(*process.heard, self.now)
        process.role.confirmed(self.now)
        inbox, process.inbox = process.inbox, []
        for sender, frame in inbox:
            process.read(sender, frame)

    def _keep_list(self) -> None:
        """Remove instances that were silent for long; those that run write their entry again."""
        entries = dict(self.lists[-1][1])
        for side in {self.sides.get(name, False) for name in self.processes}:
            present = {
                p.name
                for p in self.processes.values()
                if self.sides.get(p.name, False) == side and p.frozen_until <= self.now
            }
            followers = [name for name in present if self.has_store(name)]
            for name in list(entries):
                if name in present:
                    self._silent_since.pop((side, name), None)
                    continue
                since = self._silent_since.setdefault((side, name), self.now)
                if self.now - since >= REMOVED_AFTER and len(followers) > 1:
                    del entries[name]
                    self._silent_since.pop((side, name), None)
        for process in self.processes.values():
            name = process.name
            if name in entries or not self.has_store(name) or process.frozen_until > self.now:
                self._missing_since.pop(name, None)
            elif self.now - self._missing_since.setdefault(name, self.now) >= RELISTED_AFTER:
                entries[name] = process.began
        self.put_list(entries)

    def put_list(self, entries: dict[str, float]) -> None:
        if entries != self.lists[-1][1]:
            self.lists.append((self.now, entries))

    def kill(self, name: str) -> None:
        self.processes.pop(name, None)

    def start(self, name: str) -> None:
        """Start a process of an instance, which joins if it was not listed."""
        self.processes.pop(name, None)
        if name not in self.names:
            self.names.append(name)
        process = self.processes[name] = Process(self, name, first_start=False)
        process.look()
        if self.has_store(name) and name not in self.lists[-1][1]:
            self.put_list({**self.lists[-1][1], name: self.now})

    def set_limit(self, rate: float, burst: float) -> None:
        self.limits.append((self.now, rate, burst))
