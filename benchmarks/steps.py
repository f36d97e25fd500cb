"""Processor time of one wide search by step, without a network.

The engine's own code runs on a virtual clock; its searchers and the instances near them answer at
once. What the sockets, the parser and the event loop cost comes on top (`engines`).
"""

import os
import statistics
import time
from collections.abc import Callable, Sequence
from typing import Any

from benchmarks.registry import benchmark
from limpethollow_node.engine.frames import (
    Batch,
    BatchParts,
    Frame,
    decode_frame,
    encode_frame,
)
from limpethollow_node.engine.messages import Reply
from limpethollow_node.engine.process.admissioncontrol import AdmissionControl
from limpethollow_node.engine.process.pools import Call
from limpethollow_node.engine.request.batches import BatchManager
from limpethollow_node.engine.request.outgoing import Outgoing
from limpethollow_node.engine.request.searches import Search
from limpethollow_node.platform.headers import HEADERS
from limpethollow_policy.process.searchers import Replica
from limpethollow_policy.request.records import RECORD_BYTES, merge_records
from tests.support.searches import VirtualExchange
from tests.support.virtual import VirtualDispatch, request, route

SHARDS = 87
DOMAINS = "abcdef"
# Records of one shard's part: the users' parts have a kilobyte.
RECORDS = 62
TOP = 50
ROUNDS = 300


@benchmark("search-steps")
def search_steps() -> Sequence[dict[str, Any]]:
    """Measure each step of one search over 87 shards in six failure domains."""
    plays = [_Play() for _ in range(2)]
    for play in plays:
        play.round()
    rounds = [plays[turn % 2].round() for turn in range(ROUNDS)]
    rows = [
        {"step": step, "ms a search, median": statistics.median(r[step] for r in rounds)}
        for step in rounds[0]
    ]
    total = sum(row["ms a search, median"] for row in rows)
    return [*rows, {"step": "all", "ms a search, median": total}]


class _Link:
    """A link to an instance in another failure domain, which keeps what it is sent."""

    name = "peer"

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def send(self, frame: Frame) -> None:
        self.sent.append(encode_frame(frame))


class _Links:
    """One link to each failure domain."""

    def __init__(self) -> None:
        self.by_domain = {domain: _Link() for domain in DOMAINS[1:]}
        self.on_batch_frame: Callable = lambda link, frame: None
        self.on_link_lost: Callable = lambda link: None

    def near(self, failure_domain: str, count: int, now: float) -> list[_Link]:
        return [self.by_domain[failure_domain]]


class _Play:
    """Plays searches over the same searchers."""

    def __init__(self) -> None:
        self._dispatch = VirtualDispatch()
        shards = tuple(f"s-{number}" for number in range(SHARDS))
        for number, shard in enumerate(shards):
            for turn in range(2):
                domain = DOMAINS[(number + turn) % len(DOMAINS)]
                self._dispatch.add(shard, f"{shard}-{turn}", domain)
        self._dispatch.on_send = self._sent
        self._links = _Links()
        self._desk = BatchManager(self._dispatch, self._links)
        self._route = route(shards=shards, top=TOP, floor=0.9, objective=1.0)
        self._admission_control = AdmissionControl(self._dispatch)
        self._direct: list[tuple[Replica, Call]] = []
        self._records = [os.urandom(RECORD_BYTES * RECORDS) for _ in range(SHARDS)]
        self._merged = merge_records(self._records, TOP)

    def _sent(self, replica: Replica, call: Call) -> None:
        call.sent = True
        call.render()
        self._direct.append((replica, call))

    def round(self) -> dict[str, float]:
        """Play one search; return milliseconds of processor time by step."""
        exchange = VirtualExchange(request(), self._dispatch.loop.time())
        outgoing = Outgoing.of(exchange, self._route, self._dispatch)
        admission = self._admission_control.admit(self._route, in_time=True)
        search = Search(
            self._dispatch, exchange, outgoing, self._desk, admission, lambda outcome: None
        )
        self._direct.clear()
        steps = {"choose and send": _timed(search.start)}
        self._dispatch.loop.run(self._dispatch.loop.time() + 0.02)
        steps["parts from searchers"] = _timed(self._answer_direct)
        groups = [self._group(link) for link in self._links.by_domain.values()]
        steps["merged parts from instances, and the answer"] = _timed(
            lambda: self._answer_groups([group for group in groups if group is not None])
        )
        if [reply.status for reply in exchange.replies] != [200]:
            raise RuntimeError(f"A search got {exchange.replies}.")
        self._dispatch.loop.run(self._dispatch.loop.time() + 2.0)
        return steps

    def _answer_direct(self) -> None:
        for number, (replica, call) in enumerate(self._direct):
            proof = replica.searcher.id.encode()
            headers = [(HEADERS.request_id, b"r1"), (HEADERS.proof, proof)]
            call.on_reply(Reply(200, headers, self._records[number]))

    def _group(self, link: _Link) -> bytes | None:
        """Return what the instance behind a link sends back."""
        frames = [decode_frame(data) for data in link.sent]
        link.sent.clear()
        for frame in frames:
            if isinstance(frame, Batch):
                proofs = {call.shard: call.searcher.encode() for call in frame.calls}
                return encode_frame(
                    BatchParts(frame.number, proofs, [20] * len(proofs), self._merged)
                )
        return None

    def _answer_groups(self, groups: list[bytes]) -> None:
        for data in groups:
            self._links.on_batch_frame(None, decode_frame(data))


def _timed(step: Callable[[], None]) -> float:
    begun = time.process_time()
    step()
    return (time.process_time() - begun) * 1000
