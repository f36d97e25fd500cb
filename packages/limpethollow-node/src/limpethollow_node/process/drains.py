"""Tells other owners of a group what is known of leaving searchers."""

import time
from concurrent.futures import ThreadPoolExecutor

from limpethollow_node.process import events
from limpethollow_node.process.configs import ConfigKeeper
from limpethollow_node.process.groups import LocalGroups
from limpethollow_node.process.links import PeerLinks
from limpethollow_node.process.members import MemberKeeper
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.connection.connection_limits import MAX_CONCURRENT_OWNERS
from limpethollow_policy.process.owners import group_key, owner_order
from limpethollow_policy.version.groups import partition_service
from limpethollow_wire.exceptions import LimpethollowError
from limpethollow_wire.instances import SearcherListing
from limpethollow_wire.peers import Acknowledgement, DrainNotice

_WORKERS = 2
_TIMEOUT = 0.5
_LEAVING = "leaving"


class DrainTeller:
    """Sends notices to the first owners of a group; further ones learn from their own replies.

    Args:
        members: The instances.
        configs: The services.
        links: Links to the instances.
        groups: The groups served here.
        metrics: Where notices are counted.
    """

    def __init__(
        self,
        members: MemberKeeper,
        configs: ConfigKeeper,
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
        self._workers = ThreadPoolExecutor(_WORKERS, thread_name_prefix="drain-notice")

    def __enter__(self) -> "DrainTeller":
        return self

    def __exit__(self, *_: object) -> None:
        self._workers.shutdown(wait=False, cancel_futures=True)

    def heard(self, notice: DrainNotice) -> None:
        """Pass on what a searcher said to a group here."""
        events.SEARCHER_DRAINS.log(searcher=notice.searcher, draining=notice.draining)
        self._workers.submit(self._tell_owners, notice, time.monotonic())

    def listed(self, searchers: tuple[SearcherListing, ...]) -> None:
        """Pass on what changed in the platform's list."""
        leaving = frozenset(s.address for s in searchers if s.state == _LEAVING)
        changed, self._listed = leaving ^ self._listed, leaving
        for notice in self._notices_of(changed):
            self._groups.drain_reported(notice)
            self._workers.submit(self._tell_owners, notice, time.monotonic())

    def _notices_of(self, addresses: frozenset[str]) -> list[DrainNotice]:
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

    def _tell_owners(self, notice: DrainNotice, reported_at: float) -> None:
        key = group_key(notice.service, notice.group)
        for owner in owner_order(key, self._members.routable())[:MAX_CONCURRENT_OWNERS]:
            if owner.id != self._members.own_id:
                self._tell(owner.id, notice, reported_at)

    def _tell(self, peer_id: str, notice: DrainNotice, reported_at: float) -> None:
        aged = DrainNotice(
            notice.service,
            notice.group,
            notice.searcher,
            notice.draining,
            age=time.monotonic() - reported_at,
            listed=notice.listed,
        )
        try:
            self._links.request(peer_id, "searcher.drain", aged, Acknowledgement, _TIMEOUT)
            self._metrics.count("drain_notices", "sent")
        except LimpethollowError as error:
            self._metrics.count("drain_notices", error.code)
