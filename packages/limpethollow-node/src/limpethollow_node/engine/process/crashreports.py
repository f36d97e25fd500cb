"""Distributes crash reports, the evidence about requests that crash searchers, to all instances."""

from collections.abc import Mapping, Sequence

from limpethollow_node.engine.connection.peerlinks import PeerLink
from limpethollow_node.engine.frames import CrashUpdate, encode_frame
from limpethollow_node.engine.process.quarantines import Quarantines
from limpethollow_policy.process.crashes import CrashReport


class CrashReportExchange:
    """Sends new crash reports to linked instances, and forwards those received that were new.

    Not every pair of instances is linked. Forwarding only new reports delivers them to all
    instances, crosses each link once, and terminates.

    Args:
        quarantines: The evidence.
        links: The links to other instances, by name.
    """

    __slots__ = ("_links", "_quarantines")

    def __init__(self, quarantines: Quarantines, links: Mapping[str, PeerLink]) -> None:
        self._links = links
        self._quarantines = quarantines
        quarantines.on_reports = self.tell

    def tell(self, reports: Sequence[CrashReport], source: PeerLink | None = None) -> None:
        """Send reports to all linked instances except the one that they came from."""
        frame = CrashUpdate(list(reports))
        data = encode_frame(frame)
        for link in self._links.values():
            if link is not source:
                link.send_encoded(data, frame)

    def greet(self, link: PeerLink) -> None:
        """Send all reports to an instance that was just linked."""
        reports = self._quarantines.reports()
        if reports:
            link.send(CrashUpdate(reports))

    def take(self, link: PeerLink, news: CrashUpdate) -> None:
        """Apply reports from an instance, and forward those that were new."""
        fresh = self._quarantines.take(news.reports, link.name or link.host)
        if fresh:
            self.tell(fresh, link)
