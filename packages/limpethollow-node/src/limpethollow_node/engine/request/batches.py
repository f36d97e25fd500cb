"""Calls of a search that an instance near the searchers makes and merges.

Most of a search's bytes are its parts. Asked from another failure domain one by one, each crosses
with its headers; an instance there sends back one frame with the greatest records of all of them.
"""

import itertools
from collections.abc import Callable, Iterable
from typing import Protocol

from limpethollow_node.engine.connection.peerlinks import PeerLink
from limpethollow_node.engine.frames import (
    AnyFrame,
    Batch,
    BatchEnd,
    BatchFailure,
    BatchParts,
)
from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.engine.request.batchworks import WorkedBatch
from limpethollow_policy.request.verdicts import Verdict

# Fewer calls than this to one failure domain are made directly: a frame there and back costs about
# as much as one call.
LEAST_CALLS = 2
# An instance that let a batch wait until the hedges get no batches for this long. Its heartbeats
# stop within that time if it is frozen or cut off.
SUSPECT_SECONDS = 1.5
# A batch that came this much later than others on its link is not worked on: searchers shall get
# nothing more half a second after a caller has left.
MOST_LAG = 0.3

OnParts = Callable[[BatchParts], None]
OnFailure = Callable[[str, Verdict, int, str], None]


class Links(Protocol):
    """The links to other instances, as far as batches need them.

    Attributes:
        on_batch_frame: Called with link and frame for each frame of a batch.
        on_link_lost: Called with each link that was lost.
    """

    on_batch_frame: Callable[[PeerLink, AnyFrame], None]
    on_link_lost: Callable[[PeerLink], None]

    def near(self, failure_domain: str, count: int, now: float) -> list[PeerLink]:
        """Return links to up to `count` live instances in a failure domain."""

    def suspect(self, link: PeerLink, until: float) -> None:
        """Give an instance no batches for a while."""


class SentBatch:
    """A batch that another instance works on for this one.

    Args:
        link: Link to that instance.
        frame: What it was asked.
        on_parts: Called with merged parts.
        on_failure: Called with shard, verdict, status and reason of a call that gave no part.
        forget: Called with the batch's number once nothing more will come.
    """

    __slots__ = ("_forget", "_frame", "_on_failure", "_on_parts", "_open", "link")

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
        self._open = {call.shard for call in frame.calls}

    @property
    def silent(self) -> bool:
        """Return whether nothing has come of the batch yet."""
        return len(self._open) == len(self._frame.calls)

    def drop(self, shard: str) -> None:
        """Want nothing more of one shard; the last one ends the batch."""
        if shard not in self._open:
            return
        self._open.discard(shard)
        if not self._open:
            self._forget(self._frame.number)
            self.link.send(BatchEnd(self._frame.number))

    def parts(self, frame: BatchParts) -> None:
        """Take in merged parts."""
        self._settle(frame.proofs)
        self._on_parts(frame)

    def failure(self, frame: BatchFailure) -> None:
        """Take in a failed call."""
        if frame.shard in self._open:
            self._settle([frame.shard])
            verdict = Verdict(frame.verdict)
            self._on_failure(frame.shard, verdict, frame.status, frame.reason)

    def lost(self) -> None:
        """Take in that the link is gone: the open calls may have run."""
        shards, self._open = self._open, set()
        self._forget(self._frame.number)
        for shard in shards:
            self._on_failure(shard, Verdict.UNKNOWN, 0, "link_lost")

    def _settle(self, shards: Iterable[str]) -> None:
        self._open.difference_update(shards)
        if not self._open:
            self._forget(self._frame.number)


class BatchDesk:
    """Sends batches to peers, and works on those that peers send.

    Args:
        dispatch: What the process shares.
        links: The links to other instances.
    """

    __slots__ = ("_dispatch", "_links", "_numbers", "_sent", "_worked")

    def __init__(self, dispatch: Dispatch, links: Links) -> None:
        self._dispatch = dispatch
        self._links = links
        self._numbers = itertools.count(1)
        self._sent: dict[int, SentBatch] = {}
        self._worked: dict[tuple[int, int], WorkedBatch] = {}
        links.on_batch_frame = self._on_frame
        links.on_link_lost = self._on_link_lost

    def links_near(self, failure_domain: str, count: int) -> list[PeerLink]:
        """Return links to up to `count` instances in a failure domain, none where there is none."""
        return self._links.near(failure_domain, count, self._dispatch.loop.time())

    def send(
        self,
        link: PeerLink,
        batch: Callable[[int], Batch],
        on_parts: OnParts,
        on_failure: OnFailure,
    ) -> SentBatch:
        """Ask an instance to work on a batch.

        Args:
            link: Link to it.
            batch: Returns the frame for a number.
            on_parts: As for `SentBatch`.
            on_failure: As for `SentBatch`.
        """
        frame = batch(next(self._numbers))
        sent = SentBatch(link, frame, on_parts, on_failure, self._forget)
        self._sent[frame.number] = sent
        link.send(frame)
        self._dispatch.metrics.count("batches_sent")
        return sent

    def suspect(self, sent: SentBatch) -> None:
        """Give the instance of a batch no more for a while: it was silent until the hedges."""
        self._dispatch.metrics.count("batches_silent")
        self._links.suspect(sent.link, self._dispatch.loop.time() + SUSPECT_SECONDS)

    def _forget(self, number: int) -> None:
        self._sent.pop(number, None)

    def _on_frame(self, link: PeerLink, frame: AnyFrame) -> None:
        if isinstance(frame, Batch):
            self._work(link, frame)
        elif isinstance(frame, BatchEnd):
            worked = self._worked.pop((id(link), frame.number), None)
            if worked is not None:
                worked.end()
        elif isinstance(frame, BatchParts | BatchFailure):
            self._on_result(frame)

    def _work(self, link: PeerLink, frame: Batch) -> None:
        if link.lag(frame.sent_at) > MOST_LAG:
            # It was held up on the way. Its caller may have left, and the word of that is behind it
            # on the same link; the search's hedges have replaced it.
            self._dispatch.metrics.count("batches_late")
            for call in frame.calls:
                verdict = Verdict.NOT_SENT.value
                failure = BatchFailure(frame.number, call.shard, verdict, 0, "came_too_late")
                link.send(failure)
            return
        key = (id(link), frame.number)
        worked = WorkedBatch(self._dispatch, link, frame, lambda: self._worked.pop(key, None))
        self._worked[key] = worked
        worked.start()

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
        for key in [key for key in self._worked if key[0] == id(link)]:
            self._worked.pop(key).end()
