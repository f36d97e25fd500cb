"""Stand-in for a searcher (backend server).

It holds shards in several index versions, runs `slots` requests at once, lets `backlog` more wait
and sheds the rest, refuses connections over its limit, and pays `connect_cost` seconds for each new
one. Each further query of a call adds `query_cost` of the time that a call with one query takes.
It keeps bookings by token and counts how often each was run. `POST /control` changes any field of
its state; `{"reset": true}` clears its counts and peaks, `GET /control/stats` shows what it
counted. Its health and load endpoints lag.
"""

import argparse
import json
import random
import time
from collections import Counter
from typing import Any

from tests.standins.bookings import BookingStandIn
from tests.standins.https import DropConnection, Reply, Truncate


class SearcherStandIn(BookingStandIn):
    """One searcher of one service.

    Args:
        service: Name of the service.
        shards: Shards held.
        options: Initial values of the fields below.
    """

    def __init__(self, service: str, shards: list[int], options: dict[str, Any]) -> None:
        super().__init__(int(options.pop("port", 0)))
        self.service = service
        self.shards = shards
        self.epoch = 1
        self.versions = [1]
        self.slots = 2
        self.backlog = 2
        self.connection_limit = 25
        self.connect_cost = 0.0
        self.service_time = 0.001
        self.jitter = 0.0
        self.query_cost = 0.0
        self.straggle_share = 0.0
        self.straggle_time = 0.0
        self.cold_start = 0.0
        self.draining = False
        self.shedding = False
        self.drop_replies = 0
        self.truncate_replies = 0
        self.cross_replies = 0
        self.rows_per_shard = 2
        self.health_lag = 5.0
        self.rng = random.Random(options.pop("seed", 1))
        self.__dict__.update(options)
        self.started = time.monotonic()
        self.running = 0
        self.waiting = 0
        self.cancelled: set[str] = set()
        self.open: set[str] = set()
        self.counts: Counter[str] = Counter()
        self.peaks: Counter[str] = Counter()
        self.seen_draining = (self.started, False)
        self.handlers = {
            ("POST", "search"): self.search,
            ("POST", "cancel"): self.cancel,
            **self.booking_handlers(),
            ("GET", "health"): self.health,
            ("GET", "load"): self.load,
            ("POST", "control"): self.control,
            ("GET", "control/stats"): self.stats,
        }

    def connection_opened(self) -> bool:
        with self.lock:
            if self.connections >= self.connection_limit:
                self.counts["connections_refused"] += 1
                return False
            self.connections += 1
            self.counts["connections"] += 1
            self.peaks["connections"] = max(self.peaks["connections"], self.connections)
        time.sleep(self.connect_cost)
        return True

    def connection_closed(self) -> None:
        with self.lock:
            self.connections -= 1

    def search(self, body: dict[str, Any], names: dict[str, str]) -> Reply:
        if not body["queries"]:
            self.counts["inventories"] += 1
            return 200, self.reply(body, [], [])
        self.counts["searches"] += 1
        self.counts["queries"] += len(body["queries"])
        if not self.take_slot(body["request_id"], body["timeout"]):
            return 503, {"code": "shed", "retry_after": 0.01}
        try:
            cancelled = self.work(body["request_id"], body["timeout"], len(body["queries"]))
        finally:
            self.give_slot(body["request_id"])
        if cancelled:
            self.counts["cancelled"] += 1
            return 200, self.reply(body, [], [])
        return self.spoil(self.reply(body, *self.find_rows(body)))

    def find_rows(self, body: dict[str, Any]) -> tuple[list[Any], list[Any]]:
        parts, errors = [], []
        version = body["version"]
        for query in body["queries"]:
            for shard in query["shards"]:
                found = {"id": query["id"], "shard": shard}
                if body["epoch"] != self.epoch or version not in self.versions:
                    errors.append({**found, "code": "version_gone"})
                elif shard not in self.shards:
                    errors.append({**found, "code": "no_such_shard"})
                else:
                    parts.append({**found, "version": version, "rows": self.rows(shard, version)})
        return parts, errors

    def rows(self, shard: int, version: int) -> list[dict[str, Any]]:
        rows = [
            {"shard": shard, "version": version, "epoch": self.epoch, "row": number}
            for number in range(self.rows_per_shard)
        ]
        for token, kept in self.bookings.items():
            booked = kept["state"] == "done" and kept["shard"] == shard
            if booked and kept["visible_version"] <= version:
                rows.append({"shard": shard, "version": version, "token": token})
        return rows

    def reply(self, body: dict[str, Any], parts: list[Any], errors: list[Any]) -> dict[str, Any]:
        return {
            "request_id": body["request_id"],
            "service": self.service,
            "epoch": self.epoch,
            "draining": self.draining,
            "versions": {str(shard): list(self.versions) for shard in self.shards},
            "parts": parts,
            "errors": errors,
        }

    def spoil(self, reply: dict[str, Any]) -> Reply:
        """Act out the faults that are set for the next replies."""
        if self.drop_replies > 0:
            self.drop_replies -= 1
            raise DropConnection
        if self.truncate_replies > 0:
            self.truncate_replies -= 1
            raise Truncate(reply)
        if self.cross_replies > 0:
            self.cross_replies -= 1
            return 200, {**reply, "request_id": "another", "token": "another"}
        return 200, reply

    def take_slot(self, request_id: str, timeout: float) -> bool:
        """Wait for a slot; false where the request is shed."""
        with self.free:
            if self.running >= self.slots:
                self.counts["over_slots"] += 1
            if self.shedding or self.waiting >= self.backlog and self.running >= self.slots:
                self.counts["shed"] += 1
                return False
            self.waiting += 1
            self.peaks["open"] = max(self.peaks["open"], self.running + self.waiting)
            got = self.free.wait_for(lambda: self.running < self.slots, timeout)
            self.waiting -= 1
            if not got:
                self.counts["shed"] += 1
                return False
            self.running += 1
            self.open.add(request_id)
            self.peaks["running"] = max(self.peaks["running"], self.running)
            return True

    def give_slot(self, request_id: str) -> None:
        with self.free:
            self.running -= 1
            self.open.discard(request_id)
            self.cancelled.discard(request_id)
            self.free.notify_all()

    def work(self, request_id: str, timeout: float, queries: int = 1) -> bool:
        """Take as long as a request takes; true where it was cancelled on the way."""
        seconds = self.service_time + self.rng.random() * self.jitter
        seconds *= 1 + self.query_cost * (queries - 1)
        if self.rng.random() < self.straggle_share:
            seconds += self.straggle_time
        if time.monotonic() - self.started < self.cold_start:
            seconds *= 10
        until = time.monotonic() + min(seconds, timeout)
        with self.free:
            while time.monotonic() < until:
                if request_id in self.cancelled:
                    return True
                self.free.wait(max(until - time.monotonic(), 0))
        return False

    def cancel(self, body: dict[str, Any], names: dict[str, str]) -> Reply:
        self.counts["cancels"] += 1
        with self.free:
            running = body["request_id"] in self.open
            if running:
                self.cancelled.add(body["request_id"])
                self.free.notify_all()
        return 200, {"state": "running" if running else "unknown"}

    def health(self, body: dict[str, Any], names: dict[str, str]) -> Reply:
        """Say the state of `health_lag` seconds ago."""
        since, draining = self.seen_draining
        late = time.monotonic() - since < self.health_lag
        return 200, {"healthy": True if late else not draining}

    def load(self, body: dict[str, Any], names: dict[str, str]) -> Reply:
        return 200, {"running": 0, "slots": self.slots}

    def control(self, body: dict[str, Any], names: dict[str, str]) -> Reply:
        with self.free:
            if body.pop("reset", False):
                self.counts.clear()
                self.peaks.clear()
                self.peaks["connections"] = self.connections
            for field, value in body.items():
                setattr(self, field, value)
            if "draining" in body:
                self.seen_draining = (time.monotonic(), self.draining)
            self.free.notify_all()
        return 200, {}

    def stats(self, body: dict[str, Any], names: dict[str, str]) -> Reply:
        with self.free:
            return 200, {
                "counts": dict(self.counts),
                "peaks": dict(self.peaks),
                "executions": dict(self.executions),
                "bookings": {token: kept["state"] for token, kept in self.bookings.items()},
                "running": self.running,
                "connections": self.connections,
            }


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--service", required=True)
    parser.add_argument("--shards", type=json.loads, required=True)
    parser.add_argument("--options", type=json.loads, default={})
    options = parser.parse_args()
    SearcherStandIn(options.service, options.shards, options.options).run()


if __name__ == "__main__":
    main()
