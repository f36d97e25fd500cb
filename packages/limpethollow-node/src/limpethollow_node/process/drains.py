"""Notifies other owners of a group about draining searchers."""

import time
from concurrent.futures import ThreadPoolExecutor

from limpethollow_node.process import events
from limpethollow_node.process.configs import ConfigManager
from limpethollow_node.process.groups import LocalGroups
from limpethollow_node.process.links import PeerLinks
from limpethollow_node.process.members import MembershipTracker
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.connection.connection_limits import MAX_CONCURRENT_OWNERS
from limpethollow_policy.process.owners import group_key, owner_order
from limpethollow_policy.version.groups import partition_service
from limpethollow_wire.exceptions import LimpethollowError
from limpethollow_wire.instances import SearcherListing
from limpethollow_wire.peers import Acknowledgement, DrainNotice

_MAX_WORKERS = 2
_NOTICE_TIMEOUT = 0.5
_LEAVING = "leaving"


class DrainNotifier:
    """Sends drain notices to the first owners of a group.

    Further owners learn that a searcher is draining from its replies to their own calls.

    Args:
        members: Known instances.
        configs: Configuration of the services.
        links: Links to the other instances.
        groups: Groups served by this instance.
        metrics: Registry for counters.
    """

    def __init__(
        self,
        members: MembershipTracker,
        configs: ConfigManager,
        links: PeerLinks,
        groups: LocalGroups,
        metrics: Metrics,
    ) -> None:
        self._members = members
        self._configs = configs
        self._links = links
        self._groups = groups
        self._metrics = metrics
        self._listed: frozenset[str] = frozenset()
        self._executor = ThreadPoolExecutor(_MAX_WORKERS, thread_name_prefix="drain-notice")

    def __enter__(self) -> "DrainNotifier":
        return self

    def __exit__(self, *_: object) -> None:
        self._executor.shutdown(wait=False, cancel_futures=True)

    def heard(self, notice: DrainNotice) -> None:
        """Forward a report that a searcher made to a group of this instance."""
        events.SEARCHER_DRAINING.log(searcher=notice.searcher, draining=notice.draining)
        self._executor.submit(self._notify_owners, notice, time.monotonic())

    def listed(self, searchers: tuple[SearcherListing, ...]) -> None:
        """Apply and forward state changes in the platform's list of searchers."""
        leaving = frozenset(s.address for s in searchers if s.state == _LEAVING)
        changed, self._listed = leaving ^ self._listed, leaving
        for notice in self._make_notices(changed):
            self._groups.drain_reported(notice)
            self._executor.submit(self._notify_owners, notice, time.monotonic())

    def _make_notices(self, addresses: frozenset[str]) -> list[DrainNotice]:
        return [
            DrainNotice(
                record.name,
                group.index,
                searcher.id,
                draining=searcher.address in self._listed,
                age=0.0,
                listed=True,
            )
            for record in self._configs.records
            if record.spec is not None and addresses
            for group in partition_service(record.spec)
            for searcher in group.searchers
            if searcher.address in addresses
        ]

    def _notify_owners(self, notice: DrainNotice, reported_at: float) -> None:
        key = group_key(notice.service, notice.group)
        for owner in owner_order(key, self._members.routable())[:MAX_CONCURRENT_OWNERS]:
            if owner.id != self._members.own_id:
                self._send_notice(owner.id, notice, reported_at)

    def _send_notice(self, peer_id: str, notice: DrainNotice, reported_at: float) -> None:
        aged = DrainNotice(
            notice.service,
            notice.group,
            notice.searcher,
            notice.draining,
            age=time.monotonic() - reported_at,
            listed=notice.listed,
        )
        try:
            self._links.request(peer_id, "searcher.drain", aged, Acknowledgement, _NOTICE_TIMEOUT)
            self._metrics.count("drain_notices", "sent")
        except LimpethollowError as error:
            self._metrics.count("drain_notices", error.code)
