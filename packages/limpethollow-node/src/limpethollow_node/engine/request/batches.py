"""Batches: search calls delegated to an instance in the searchers' failure domain.

Most bytes of a search are the parts in the shards' replies. With direct calls to another failure
domain, each part and its headers cross the link between the domains. An instance there merges them
and returns one frame with the top records.
"""

import itertools
from collections.abc import Callable, Iterable
from typing import Protocol

from limpethollow_node.engine.connection.peerlinks import PeerLink
from limpethollow_node.engine.frames import (
    AnyFrame,
    Batch,
    BatchCancel,
    BatchFailure,
    BatchParts,
)
from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.engine.request.batchexecutions import BatchExecution
from limpethollow_policy.process.memorypools import MemoryPool
from limpethollow_policy.request.verdicts import Verdict
from limpethollow_wire.limits import MAX_FRAME_BYTES

# Fewer calls than this to a failure domain are made directly, since a pair of frames costs about as
# much as one call.
MIN_BATCH_CALLS = 2
# If an instance has returned nothing for a batch when the hedge delay has passed, it gets no
# batches for this long. If it is frozen or unreachable, its missing heartbeats are detected within
# that time.
SUSPECT_SECONDS = 1.5
# A batch that was delayed on its link by more than this is rejected: searchers must receive no more
# calls half a second after the caller has disconnected.
MAX_BATCH_DELAY = 0.3

_MEGABYTE = 1024 * 1024
_DEFAULT_MEMORY_MB = 256
# Share of the memory for the batches of other instances that are being executed.
_MEMORY_SHARE = 1 / 16
# Memory of a call, without its connection and its reply.
_CALL_BYTES = 1024

OnParts = Callable[[BatchParts], None]
OnFailure = Callable[[str, Verdict, int, str, int | None], None]


class Links(Protocol):
    """The operations on links to other instances that batches need.

    Attributes:
        on_batch_frame: Called with the link and the frame for each frame about a batch.
        on_link_lost: Called with each link that was closed.
    """

    on_batch_frame: Callable[[PeerLink, AnyFrame], None]
    on_link_lost: Callable[[PeerLink], None]

    def near(self, failure_domain: str, count: int, now: float) -> list[PeerLink]:
        """Return links to up to `count` live instances in a failure domain."""

    def suspect(self, link: PeerLink, until: float) -> None:
        """Send no batches to an instance until a given time."""


class SentBatch:
    """A batch that was sent to another instance.

    Args:
        link: Link to that instance.
        frame: The frame that was sent.
        on_parts: Called with each frame of merged parts.
        on_failure: Called with the shard, verdict, status, reason and `cold_ms` of each failed
            call; see `BatchFailure`.
        forget: Called with the batch's number once no more results are expected.
    """

    __slots__ = ("_forget", "_frame", "_on_failure", "_on_parts", "_pending", "link")

    def __init__(
        self,
        link: PeerLink,
        frame: Batch,
        on_parts: OnParts,
        on_failure: OnFailure,
        forget: Callable[[int], None],
    ) -> None:
        self.link = link
        self._frame = frame
        self._on_parts = on_parts
        self._on_failure = on_failure
        self._forget = forget
        self._pending = {call.shard for call in frame.calls}

    @property
    def silent(self) -> bool:
        """Return whether no result has arrived yet."""
        return len(self._pending) == len(self._frame.calls)

    def drop(self, shard: str) -> None:
        """Cancel the call to one shard; cancels the batch once no call is left."""
        if shard not in self._pending:
            return
        self._pending.discard(shard)
        if not self._pending:
            self._forget(self._frame.number)
            self.link.send(BatchCancel(self._frame.number))

    def parts(self, frame: BatchParts) -> None:
        """Handle merged parts."""
        self._complete(frame.proofs)
        self._on_parts(frame)

    def failure(self, frame: BatchFailure) -> None:
        """Handle a failed call."""
        if frame.shard in self._pending:
            self._complete([frame.shard])
            verdict = Verdict(frame.verdict)
            self._on_failure(frame.shard, verdict, frame.status, frame.reason, frame.cold_ms)

    def lost(self) -> None:
        """Handle the loss of the link: the pending calls may have run."""
        shards, self._pending = self._pending, set()
        self._forget(self._frame.number)
        for shard in shards:
            self._on_failure(shard, Verdict.UNKNOWN, 0, "link_lost", None)

    def _complete(self, shards: Iterable[str]) -> None:
        self._pending.difference_update(shards)
        if not self._pending:
            self._forget(self._frame.number)


class BatchManager:
    """Sends batches to peers, and executes those that peers send.

    Args:
        dispatch: State shared by the process.
        links: The links to other instances.
        memory_mb: Memory of the process in megabytes.
    """

    __slots__ = ("_batch_numbers", "_dispatch", "_executing", "_links", "_memory", "_sent")

    def __init__(
        self, dispatch: Dispatch, links: Links, memory_mb: float = _DEFAULT_MEMORY_MB
    ) -> None:
        limit = max(int(memory_mb * _MEMORY_SHARE * _MEGABYTE), 2 * MAX_FRAME_BYTES)
        self._memory: MemoryPool[tuple[int, int]] = MemoryPool(limit, 0)
        self._dispatch = dispatch
        self._links = links
        self._batch_numbers = itertools.count(1)
        self._sent: dict[int, SentBatch] = {}
        self._executing: dict[tuple[int, int], BatchExecution] = {}
        links.on_batch_frame = self._on_frame
        links.on_link_lost = self._on_link_lost

    def links_in_domain(self, failure_domain: str, count: int) -> list[PeerLink]:
        """Return links to up to `count` instances in a failure domain, possibly none."""
        return self._links.near(failure_domain, count, self._dispatch.loop.time())

    def send(
        self,
        link: PeerLink,
        batch: Callable[[int], Batch],
        on_parts: OnParts,
        on_failure: OnFailure,
    ) -> SentBatch:
        """Send a batch to an instance.

        Args:
            link: Link to the instance.
            batch: Returns the frame for a batch number.
            on_parts: See `SentBatch`.
            on_failure: See `SentBatch`.
        """
        frame = batch(next(self._batch_numbers))
        sent = SentBatch(link, frame, on_parts, on_failure, self._forget)
        self._sent[frame.number] = sent
        link.send(frame)
        self._dispatch.metrics.count("batches_sent")
        return sent

    def suspect(self, sent: SentBatch) -> None:
        """Pause batches to an instance that returned nothing until the hedge delay."""
        self._dispatch.metrics.count("batches_silent")
        self._links.suspect(sent.link, self._dispatch.loop.time() + SUSPECT_SECONDS)

    def _forget(self, number: int) -> None:
        self._sent.pop(number, None)

    def _on_frame(self, link: PeerLink, frame: AnyFrame) -> None:
        if isinstance(frame, Batch):
            self._execute(link, frame)
        elif isinstance(frame, BatchCancel):
            self._end((id(link), frame.number))
        elif isinstance(frame, BatchParts | BatchFailure):
            self._on_result(frame)

    def _execute(self, link: PeerLink, frame: Batch) -> None:
        if link.lag(frame.sent_at) > MAX_BATCH_DELAY:
            # The batch was delayed in transit. The search has hedged these calls by now, and its
            # caller may have disconnected: the frame that cancels the batch would be behind it on
            # the same link.
            self._dispatch.metrics.count("batches_late")
            _refuse(link, frame, "came_too_late")
            return
        key = (id(link), frame.number)
        # A number that is used again would leave the earlier execution without an end.
        self._end(key)
        size = len(frame.head) + len(frame.body) + _CALL_BYTES * len(frame.calls)
        if self._memory.resize(key, size, self._dispatch.loop.time(), evictable=False):
            self._dispatch.metrics.count("batches_refused")
            _refuse(link, frame, "too_many_batches_there")
            return
        worked = BatchExecution(self._dispatch, link, frame, lambda: self._forget_executing(key))
        self._executing[key] = worked
        worked.start()

    def _end(self, key: tuple[int, int]) -> None:
        worked = self._executing.get(key)
        if worked is not None:
            worked.end()
            self._forget_executing(key)

    def _forget_executing(self, key: tuple[int, int]) -> None:
        self._executing.pop(key, None)
        self._memory.release(key)

    def _on_result(self, frame: BatchParts | BatchFailure) -> None:
        sent = self._sent.get(frame.number)
        if sent is None:
            return
        if isinstance(frame, BatchParts):
            sent.parts(frame)
        else:
            sent.failure(frame)

    def _on_link_lost(self, link: PeerLink) -> None:
        for sent in [sent for sent in self._sent.values() if sent.link is link]:
            sent.lost()
        for key in [key for key in self._executing if key[0] == id(link)]:
            self._end(key)


def _refuse(link: PeerLink, frame: Batch, reason: str) -> None:
    """Report all calls of a batch as not sent."""
    for call in frame.calls:
        link.send(BatchFailure(frame.number, call.shard, Verdict.NOT_SENT.value, 0, reason))
