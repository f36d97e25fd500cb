"""The bookings of a searcher stand-in: kept by token, with a count of how often each was run.

`{"hold": step}` on the control listener makes bookings wait at a step until it is set to another:
`read` (the request's bytes are here, nothing was looked at), `running` (a slot is taken) or
`executed` (it ran, the reply is not sent). `counts["held_<step>"]` tells how many wait there.
"""

import threading
from abc import abstractmethod
from collections import Counter
from typing import Any

from tests.standins.https import DropConnection, Handler, Reply, StandInServer


class BookingStandIn(StandInServer):
    """Runs bookings in the slots of the searcher that inherits from it."""

    versions: list[int]

    def __init__(self, port: int = 0) -> None:
        super().__init__(port)
        self.drop_bookings_before = 0
        self.drop_bookings_after = 0
        self.hold = ""
        self.free = threading.Condition()
        self.counts: Counter[str] = Counter()
        self.bookings: dict[str, dict[str, Any]] = {}
        self.executions: Counter[str] = Counter()

    @abstractmethod
    def take_slot(self, request_id: str, timeout: float) -> bool:
        """Wait for a slot; false where the request is shed."""

    @abstractmethod
    def give_slot(self, request_id: str) -> None:
        """Give a slot back."""

    @abstractmethod
    def work(self, request_id: str, timeout: float) -> bool:
        """Take as long as a request takes; true where it was cancelled on the way."""

    @abstractmethod
    def spoil(self, reply: dict[str, Any]) -> Reply:
        """Act out the faults that are set for the next replies."""

    def booking_handlers(self) -> dict[tuple[str, str], Handler]:
        return {("POST", "book"): self.book, ("POST", "bookings/look-up"): self.look_up}

    def book(self, body: dict[str, Any], names: dict[str, str]) -> Reply:
        self.counts["bookings"] += 1
        token = body["token"]
        if self.drop_bookings_before > 0:
            self.drop_bookings_before -= 1
            raise DropConnection
        self.wait_at("read")
        with self.free:
            kept = self.bookings.get(token)
            if kept and kept["state"] == "voided":
                return 200, {"token": token, "state": "voided"}
        if not self.take_slot(token, body["timeout"]):
            return 503, {"code": "shed", "retry_after": 0.01}
        try:
            if not self.start_booking(token, body):
                return 200, {"token": token, "state": "voided"}
            self.wait_at("running")
            self.work(token, body["timeout"])
            outcome = self.run_booking(token, body)
            self.wait_at("executed")
        finally:
            self.give_slot(token)
        if self.drop_bookings_after > 0:
            self.drop_bookings_after -= 1
            raise DropConnection
        return self.spoil(outcome)

    def wait_at(self, step: str) -> None:
        """Wait while bookings are held at this step."""
        with self.free:
            self.counts[f"held_{step}"] += 1
            self.free.wait_for(lambda: self.hold != step)
            self.counts[f"held_{step}"] -= 1

    def start_booking(self, token: str, body: dict[str, Any]) -> bool:
        """Mark a booking as running, so that it can't be voided any more."""
        with self.free:
            kept = self.bookings.get(token)
            if kept and kept["state"] == "voided":
                return False
            self.bookings[token] = {"token": token, "state": "running", "shard": body["shard"]}
            return True

    def run_booking(self, token: str, body: dict[str, Any]) -> dict[str, Any]:
        """Run a booking; a second run of one token is counted, not prevented."""
        with self.free:
            self.executions[token] += 1
            self.bookings[token] = {
                "token": token,
                "state": "done",
                "shard": body["shard"],
                "result": {"booked": body["booking"]},
                "visible_version": max(self.versions) + 1,
            }
            return self.said(token)

    def said(self, token: str) -> dict[str, Any]:
        kept = self.bookings.get(token, {"token": token, "state": "unknown"})
        return {field: value for field, value in kept.items() if field != "shard"}

    def look_up(self, body: dict[str, Any], names: dict[str, str]) -> Reply:
        """Say what became of a token, and void it on demand where it never started."""
        token = body["token"]
        with self.free:
            if body.get("void") and token not in self.bookings:
                self.bookings[token] = {"token": token, "state": "voided", "shard": -1}
            return 200, self.said(token)
