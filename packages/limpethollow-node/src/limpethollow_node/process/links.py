"""Connections to peers, opened on first use."""

import threading
import time
from collections.abc import Callable
from random import Random
from typing import Any, TypeVar

from limpethollow_node.connection.peers import PeerLink, PeerLost, PeerUnreachable
from limpethollow_node.process import events
from limpethollow_node.process.members import MembershipTracker
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.connection.links import DialBackoff
from limpethollow_wire.codecs import convert
from limpethollow_wire.exceptions import BadRequest
from limpethollow_wire.peers import Hello

T = TypeVar("T")

_RETRY_AFTER_SECONDS = 0.1


class NotDialled(PeerUnreachable):
    """No connection was attempted: the last one failed recently or another one is in progress.

    This says nothing new about whether the peer is alive.
    """


class PeerLinks:
    """Sends requests to peers by id.

    Args:
        members: Provides the addresses of peers.
        key: Key shared by all peers.
        hello: Returns the hello message of this instance.
        rng: Random source for the jitter of connection retries.
        metrics: Counts the lost requests.
    """

    def __init__(
        self,
        members: MembershipTracker,
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
        self._entries: dict[str, _LinkEntry] = {}

    def __enter__(self) -> "PeerLinks":
        return self

    def __exit__(self, *_: object) -> None:
        self.give_up()

    def give_up(self) -> None:
        """Close all links for good; requests still waiting on them fail with a typed error."""
        with self._lock:
            self._closed = True
            links = tuple(entry.link for entry in self._entries.values())
        for link in links:
            if link is not None:
                link.close()

    def request(self, peer_id: str, kind: str, body: Any, reply: type[T], timeout: float) -> T:
        """Send a request to a peer and return its decoded reply.

        Raises:
            PeerUnreachable: The request was not sent.
            PeerLost: The request may have been handled by the peer.
            LimpethollowError: The peer replied with a typed error.
        """
        deadline = time.monotonic() + timeout
        try:
            link = self._get_link(peer_id, deadline)
        except NotDialled:
            self._metrics.count("peer_requests_lost", "not_dialled")
            raise
        except PeerUnreachable:
            self._record_failure(peer_id, "unreachable")
            raise
        try:
            response = link.request(kind, body, max(deadline - time.monotonic(), 0.0))
        except PeerLost as error:
            if error.is_slow:
                self._metrics.count("peer_requests_lost", "slow")
                raise
            self._record_failure(peer_id, "lost")
            self._discard_link(peer_id, link)
            raise
        except PeerUnreachable:
            self._record_failure(peer_id, "closed")
            self._discard_link(peer_id, link)
            raise
        return self._decode_reply(peer_id, response, reply)

    def _decode_reply(self, peer_id: str, response: Any, reply: type[T]) -> T:
        """Decode a reply; if that fails, it is unknown whether the peer handled the request."""
        try:
            return convert(response, reply)
        except BadRequest as error:
            self._metrics.count("peer_requests_lost", "bad_reply")
            raise PeerLost(
                f"Reply from '{peer_id}' could not be decoded: {error.message}"
            ) from None

    def _record_failure(self, peer_id: str, reason: str) -> None:
        self._metrics.count("peer_requests_lost", reason)
        self._members.unreachable(peer_id)

    def _get_link(self, peer_id: str, deadline: float) -> PeerLink:
        with self._lock:
            entry = self._entries.setdefault(peer_id, _LinkEntry(self._rng))
        if not entry.lock.acquire(timeout=max(deadline - time.monotonic(), 0.0)):
            raise NotDialled(
                "Another thread is already connecting to the peer.",
                retry_after=_RETRY_AFTER_SECONDS,
            )
        try:
            if entry.link is None or not entry.link.is_open:
                entry.link = self._dial(peer_id, entry.backoff)
            return entry.link
        finally:
            entry.lock.release()

    def _dial(self, peer_id: str, backoff: DialBackoff) -> PeerLink:
        wait = backoff.wait(time.monotonic())
        if wait > 0:
            raise NotDialled("A recent connection attempt to the peer failed.", retry_after=wait)
        info = self._members.get(peer_id)
        if self._closed or info is None:
            raise PeerUnreachable(
                f"Instance '{peer_id}' is not known, or this instance is shutting down."
            )
        try:
            link = PeerLink(
                info.peer_address, self._key, self._hello(), self._dialled_hello_received, peer_id
            )
        except PeerUnreachable:
            backoff.failed(time.monotonic())
            raise
        backoff.succeeded()
        return link

    def hello_received(self, hello: Hello) -> None:
        """Record the hello of a peer that opened a link to this instance."""
        self._members.hello_received(hello)

    def _dialled_hello_received(self, hello: Hello) -> None:
        """Record the hello of the process at a dialled address, which is the peer's current run."""
        self._members.hello_received(hello, dialled=True)

    def _discard_link(self, peer_id: str, link: PeerLink) -> None:
        """Stop using a link, as it may stay unresponsive while a new one would work.

        It is closed only when no request is open on it, so that pending replies can still arrive.
        """
        with self._lock:
            entry = self._entries.get(peer_id)
            if entry is not None and entry.link is link:
                entry.link = None
                events.PEER_LOST.log(peer=peer_id)
        link.retire()


class _LinkEntry:
    """The link to one peer, and the backoff of attempts to open it."""

    def __init__(self, rng: Random) -> None:
        self.lock = threading.Lock()
        self.backoff = DialBackoff(rng)
        self.link: PeerLink | None = None
