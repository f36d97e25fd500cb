"""The links to all peers, opened when first needed."""

import threading
from collections.abc import Callable
from typing import Any, TypeVar

from limpethollow_node.connection.peers import PeerLink, PeerLost, PeerUnreachable
from limpethollow_node.process import events
from limpethollow_node.process.members import MemberKeeper
from limpethollow_wire.codecs import convert
from limpethollow_wire.peers import Hello

T = TypeVar("T")


class PeerLinks:
    """Sends requests to peers by their id.

    Args:
        members: Where peers' addresses come from.
        key: The peers' shared key.
        hello: Returns who we are.
    """

    def __init__(self, members: MemberKeeper, key: str, hello: Callable[[], Hello]) -> None:
        self._members = members
        self._key = key
        self._hello = hello
        self._lock = threading.Lock()
        self._closed = False
        self._links: dict[str, PeerLink] = {}
        self._opening: dict[str, threading.Lock] = {}

    def __enter__(self) -> "PeerLinks":
        return self

    def __exit__(self, *_: object) -> None:
        self.give_up()

    def give_up(self) -> None:
        """Close all links and open none any more; requests that still wait on them fail typed."""
        with self._lock:
            self._closed = True
            links = tuple(self._links.values())
        for link in links:
            link.close()

    def request(self, peer_id: str, kind: str, body: Any, reply: type[T], timeout: float) -> T:
        """Send a request to a peer and wait for its typed reply.

        Raises:
            PeerUnreachable: Nothing was sent.
            PeerLost: The peer may have handled the request.
            LimpethollowError: The peer answered with a typed error.
        """
        try:
            return convert(self._link(peer_id).request(kind, body, timeout), reply)
        except (PeerUnreachable, PeerLost):
            self._members.unreachable(peer_id)
            self._drop(peer_id)
            raise

    def _link(self, peer_id: str) -> PeerLink:
        with self._lock:
            opening = self._opening.setdefault(peer_id, threading.Lock())
        with opening:
            link = self._links.get(peer_id)
            if link is None or not link.is_open:
                link = self._open(peer_id)
                self._links[peer_id] = link
            return link

    def _open(self, peer_id: str) -> PeerLink:
        if self._closed:
            raise PeerUnreachable("This instance is leaving.")
        info = self._members.get(peer_id)
        if info is None:
            raise PeerUnreachable(f"No instance '{peer_id}' is listed.")
        return PeerLink(info.peer_address, self._key, self._hello(), self._dialled)

    def greeted(self, hello: Hello) -> None:
        """Take in a peer's word on itself."""
        self._members.greeted(hello)

    def _dialled(self, hello: Hello) -> None:
        """Take in the word of whoever answers at a peer's address: its current run."""
        self._members.greeted(hello, dialled=True)

    def _drop(self, peer_id: str) -> None:
        """Close a link that gave no reply: it may be silent for good while a new one works."""
        with self._lock:
            link = self._links.pop(peer_id, None)
        if link is not None:
            events.PEER_LOST.log(peer=peer_id)
            link.close()
