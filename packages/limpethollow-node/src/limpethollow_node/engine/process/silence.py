"""Which instances are silent, by this one's links and by what the relays miss."""

from collections.abc import Collection, Mapping

from limpethollow_node.engine.connection.peerlinks import PeerLink
from limpethollow_node.engine.frames import Silent
from limpethollow_node.engine.process.roster import Roster
from limpethollow_policy.process.topology import relays_among

# An instance that was just listed has this long to link up before it counts as silent.
_LINK_UP_SECONDS = 2.5
# One that is listed again, and was silent when it was removed, counts as silent this long unless it
# is heard: relays say within that time whether they miss it.
_RELISTED_SECONDS = 3.0
# An instance that serves, and has heard no other one for this long, names only itself: links are up
# within a second, also after a start of all.
ALONE_SECONDS = 4.0


class SilenceJudge:
    """Tells the roster who is silent, and the linked instances whom this one misses as a relay.

    Args:
        roster: The instances.
        links: The links to other instances, by name.
    """

    __slots__ = (
        "_alone_since",
        "_known_since",
        "_links",
        "_missed_by",
        "_relisted_since",
        "_roster",
        "_told",
    )

    def __init__(self, roster: Roster, links: Mapping[str, PeerLink]) -> None:
        self._roster = roster
        self._links = links
        self._known_since: dict[str, float] = {}
        self._relisted_since: dict[str, float] = {}
        self._missed_by: dict[str, frozenset[str]] = {}
        self._told: frozenset[str] | None = None
        self._alone_since: float | None = None

    @property
    def told(self) -> Silent | None:
        """Return what a newly linked instance must hear; None where this one is no relay."""
        return None if self._told is None else Silent(sorted(self._told))

    def linked(self, name: str, now: float) -> None:
        """Note that a link to an instance is up."""
        self._known_since[name] = now

    def take(self, relay: str, silent: Silent) -> None:
        """Take in whom a relay misses."""
        if silent.names is None:
            self._missed_by.pop(relay, None)
        else:
            self._missed_by[relay] = frozenset(silent.names)

    def forget(self, relay: str) -> None:
        """Forget what an instance said, as the link to it is lost."""
        self._missed_by.pop(relay, None)

    def heard(self, now: float) -> frozenset[str]:
        """Return the instances that are linked, ready, and heard."""
        return frozenset(
            name for name, link in self._links.items() if link.ready and not link.is_silent(now)
        )

    def news(self, heard: frozenset[str]) -> Silent | None:
        """Return what the linked instances must hear, None where that is what they heard last."""
        missed = self._missed(heard)
        if missed == self._told:
            return None
        self._told = missed
        return Silent(None if missed is None else sorted(missed))

    def judge(self, heard: frozenset[str], refusing: Collection[str], now: float) -> None:
        """Tell the roster who is silent.

        An instance that hears nobody can't tell whether the others are gone or it is cut off
        itself. It counts all as live for a while, and for longer where it can't serve: callers that
        still reach it shall be told of them. Those whose machines answer that nothing listens there
        are silent at once.

        Args:
            heard: What `heard` returned.
            refusing: Addresses at which nothing listens.
            now: Monotonic second.
        """
        # Whom every relay misses is silent; without a word from any, only own links count.
        missed = frozenset.intersection(*self._missed_by.values()) if self._missed_by else None
        hears_nobody = not self._links and not self._is_alone(now)
        for instance in self._roster.known:
            name = instance.name
            since = self._known_since.setdefault(name, now)
            young = now - since < _LINK_UP_SECONDS
            unknown = hears_nobody and instance.peer_address not in refusing
            reported = name in heard or (missed is not None and name not in missed)
            lives = unknown or reported or (young and name not in self._links)
            if self._is_doubtful(name, now):
                lives = name in heard
            self._roster.set_silent(name, not lives, now)

    def _is_doubtful(self, name: str, now: float) -> bool:
        """Return whether an instance is back on the list, and nobody can say yet that it lives."""
        if not self._roster.is_relisted(name):
            self._relisted_since.pop(name, None)
            return False
        return now - self._relisted_since.setdefault(name, now) < _RELISTED_SECONDS

    def _is_alone(self, now: float) -> bool:
        """Return whether this instance serves and has heard no other one for some time."""
        if self._links or not self._roster.ready:
            self._alone_since = None
            return False
        if self._alone_since is None:
            self._alone_since = now
        return now - self._alone_since > ALONE_SECONDS

    def _missed(self, heard: frozenset[str]) -> frozenset[str] | None:
        """Return the instances that this one misses as a relay; None where it is none."""
        own = self._roster.own.name
        if own not in relays_among(self._roster.live):
            return None
        known = {instance.name for instance in self._roster.known}
        return frozenset(known - heard - {own})
