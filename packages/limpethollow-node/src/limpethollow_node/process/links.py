"""The links to all peers, opened when first needed."""

import threading
import time
from collections.abc import Callable
from random import Random
from typing import Any, TypeVar

from limpethollow_node.connection.peers import PeerLink, PeerLost, PeerUnreachable
from limpethollow_node.process import events
from limpethollow_node.process.members import MemberKeeper
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.connection.links import DialBackoff
from limpethollow_wire.codecs import convert
from limpethollow_wire.exceptions import BadRequest
from limpethollow_wire.peers import Hello

T = TypeVar("T")

_RETRY_AFTER = 0.1


class NotDialled(PeerUnreachable):
    """The peer failed to answer a moment ago and was not tried again: this is no new evidence."""


class PeerLinks:
    """Sends requests to peers by their id.

    Args:
        members: Where peers' addresses come from.
        key: The peers' shared key.
        hello: Returns who we are.
        rng: Source for jitter.
        metrics: Where lost requests are counted.
    """

    def __init__(
        self,
        members: MemberKeeper,
        key: str,
        hello: Callable[[], Hello],
        rng: Random,
        metrics: Metrics,
    ) -> None:
        self._members = members
        self._key = key
        self._hello = hello
        self._lock = threading.Lock()
        self._closed = False
        self._rng = rng
        self._metrics = metrics
        self._lines: dict[str, _Line] = {}

    def __enter__(self) -> "PeerLinks":
        return self

    def __exit__(self, *_: object) -> None:
        self.give_up()

    def give_up(self) -> None:
        """Close all links and open none any more; requests that still wait on them fail typed."""
        with self._lock:
            self._closed = True
            links = tuple(line.link for line in self._lines.values())
        for link in links:
            if link is not None:
                link.close()

    def request(self, peer_id: str, kind: str, body: Any, reply: type[T], timeout: float) -> T:
        """Send a request to a peer and wait for its typed reply.

        Raises:
            PeerUnreachable: Nothing was sent.
            PeerLost: The peer may have handled the request.
            LimpethollowError: The peer answered with a typed error.
        """
        deadline = time.monotonic() + timeout
        try:
            link = self._link(peer_id, deadline)
        except NotDialled:
            self._metrics.count("peer_requests_lost", "not_dialled")
            raise
        except PeerUnreachable:
            self._failed(peer_id, "unreachable")
            raise
        try:
            answer = link.request(kind, body, max(deadline - time.monotonic(), 0.0))
        except PeerLost as error:
            if error.is_slow:
                self._metrics.count("peer_requests_lost", "slow")
                raise
            self._failed(peer_id, "lost")
            self._drop(peer_id, link)
            raise
        except PeerUnreachable:
            self._failed(peer_id, "closed")
            self._drop(peer_id, link)
            raise
        return self._typed(peer_id, answer, reply)

    def _typed(self, peer_id: str, answer: Any, reply: type[T]) -> T:
        """Read a reply; one that can't be read says nothing of what the peer did."""
        try:
            return convert(answer, reply)
        except BadRequest as error:
            self._metrics.count("peer_requests_lost", "bad_reply")
            raise PeerLost(f"The reply of '{peer_id}' can't be read: {error.message}") from None

    def _failed(self, peer_id: str, reason: str) -> None:
        self._metrics.count("peer_requests_lost", reason)
        self._members.unreachable(peer_id)

    def _link(self, peer_id: str, deadline: float) -> PeerLink:
        with self._lock:
            line = self._lines.setdefault(peer_id, _Line(self._rng))
        if not line.lock.acquire(timeout=max(deadline - time.monotonic(), 0.0)):
            raise NotDialled("The peer is being dialled.", retry_after=_RETRY_AFTER)
        try:
            if line.link is None or not line.link.is_open:
                line.link = self._dial(peer_id, line.dialling)
            return line.link
        finally:
            line.lock.release()

    def _dial(self, peer_id: str, dialling: DialBackoff) -> PeerLink:
        wait = dialling.wait(time.monotonic())
        if wait > 0:
            raise NotDialled("The peer did not answer just now.", retry_after=wait)
        info = self._members.get(peer_id)
        if self._closed or info is None:
            raise PeerUnreachable(f"No instance '{peer_id}' is listed, or this one is leaving.")
        try:
            link = PeerLink(info.peer_address, self._key, self._hello(), self._dialled, peer_id)
        except PeerUnreachable:
            dialling.failed(time.monotonic())
            raise
        dialling.succeeded()
        return link

    def greeted(self, hello: Hello) -> None:
        """Take in a peer's word on itself."""
        self._members.greeted(hello)

    def _dialled(self, hello: Hello) -> None:
        """Take in the word of whoever answers at a peer's address: its current run."""
        self._members.greeted(hello, dialled=True)

    def _drop(self, peer_id: str, link: PeerLink) -> None:
        """Use a link no more: it may be silent for good while a new one works.

        It is closed once nothing is open on it, so that what still waits there keeps its chance.
        """
        with self._lock:
            line = self._lines.get(peer_id)
            if line is not None and line.link is link:
                line.link = None
                events.PEER_LOST.log(peer=peer_id)
        link.retire()


class _Line:
    """The link to one peer and the history of dialling it."""

    def __init__(self, rng: Random) -> None:
        self.lock = threading.Lock()
        self.dialling = DialBackoff(rng)
        self.link: PeerLink | None = None
