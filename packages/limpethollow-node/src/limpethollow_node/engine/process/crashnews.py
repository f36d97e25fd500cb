"""Evidence on requests that end searchers, spread among all instances."""

from collections.abc import Mapping, Sequence

from limpethollow_node.engine.connection.peerlinks import PeerLink
from limpethollow_node.engine.frames import CrashNews, encode_frame
from limpethollow_node.engine.process.quarantines import Quarantines
from limpethollow_policy.process.crashes import CrashReport


class CrashNewsExchange:
    """Tells linked instances what is new here, and tells on what was new from them.

    Not every two instances are linked. What is told on only where it was new reaches all of them,
    once over each link, and comes to an end.

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
        """Tell reports to all linked instances but the one that told them."""
        frame = CrashNews(list(reports))
        data = encode_frame(frame)
        for link in self._links.values():
            if link is not source:
                link.send_encoded(data, frame)

    def greet(self, link: PeerLink) -> None:
        """Tell all evidence to an instance that was just linked."""
        reports = self._quarantines.reports()
        if reports:
            link.send(CrashNews(reports))

    def take(self, link: PeerLink, news: CrashNews) -> None:
        """Take in what an instance told."""
        fresh = self._quarantines.take(news.reports, link.name or link.host)
        if fresh:
            self.tell(fresh, link)
