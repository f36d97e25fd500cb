"""Synchronizes configuration and the list of instances between instances."""

import threading
import time
from collections.abc import Callable, Iterable
from concurrent.futures import Future, ThreadPoolExecutor, wait
from random import Random
from typing import Any

from limpethollow_node.connection.peers import PeerLink
from limpethollow_node.process import events
from limpethollow_node.process.configs import ConfigManager
from limpethollow_node.process.links import PeerLinks
from limpethollow_node.process.members import MembershipTracker
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.relays import GossipPartnerSelector
from limpethollow_wire.codecs import convert
from limpethollow_wire.exceptions import LimpethollowError
from limpethollow_wire.peers import (
    Acknowledgement,
    BucketHashes,
    Hello,
    InstanceListRequest,
    InstanceListUpdate,
    ServiceNames,
    ServiceRecords,
    SpreadReply,
    SpreadRequest,
    SyncState,
    VersionDigest,
)
from limpethollow_wire.services import ServiceRecord

_HEARTBEAT_SECONDS = 1.0
_PEER_TIMEOUT_SECONDS = 0.5
_SPREAD_TIMEOUT_SECONDS = 0.6
_RELAY_REPLY_MARGIN_SECONDS = 0.3
_RECORDS_PER_FRAME = 32
_POOL_THREADS = 8


class PeerSync:
    """Updates followers, gossips with random peers and spreads confirmed changes.

    A relay sends changes to its followers, the other instances of its failure domain. In addition,
    each instance regularly compares its state with that of a random peer.

    Args:
        configs: The configuration in force on this instance.
        members: The known instances.
        links: Links to the peers.
        metrics: Counts failed spreads and comparisons.
        seeds: Addresses of peers that provide the list while the platform is unavailable.
        key: Key shared by all peers.
        hello: Returns the hello message of this instance.
        rng: Random source for jitter and the choice of partners.
    """

    def __init__(
        self,
        configs: ConfigManager,
        members: MembershipTracker,
        links: PeerLinks,
        metrics: Metrics,
        seeds: tuple[str, ...],
        key: str,
        hello: Callable[[], Hello],
        rng: Random,
    ) -> None:
        self._configs = configs
        self._members = members
        self._links = links
        self._metrics = metrics
        self._seeds = seeds
        self._key = key
        self._hello = hello
        self._gossip = GossipPartnerSelector(members.own_id, rng)
        self._next_heartbeat_at = 0.0
        self._next_gossip_at = 0.0
        self._has_partner = False
        self._was_refusing = False
        self._running_subjects: set[str] = set()
        self._lock = threading.Lock()
        self._wakeup = threading.Event()
        self._stopped = False
        # Spread tasks wait for peer tasks and never the reverse, so the two pools can't deadlock.
        self._peer_pool = ThreadPoolExecutor(_POOL_THREADS, thread_name_prefix="feed")
        self._spread_pool = ThreadPoolExecutor(_POOL_THREADS, thread_name_prefix="spread")
        self._thread = threading.Thread(target=self._run, name="peer-sync", daemon=True)
        configs.listen(self._offer_to_followers)
        members.listen(self._members_changed)

    def __enter__(self) -> "PeerSync":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped = True
        self._wakeup.set()
        self._peer_pool.shutdown(wait=False, cancel_futures=True)
        self._spread_pool.shutdown(wait=False, cancel_futures=True)

    def handle_comparison(self, peer_state: SyncState) -> SyncState:
        """Handle a peer's comparison; the peer then exchanges the missing records of both sides."""
        self._members.asked(peer_state.instance, peer_state.relay)
        return self._configs.state()

    def handle_offer(self, digest: VersionDigest) -> ServiceNames:
        """Handle a peer's offer; return the names of offered records newer than the local ones."""
        return ServiceNames(self._configs.lacking(digest.versions))

    def spread_in_domain(self, record: ServiceRecord) -> SpreadReply:
        """As a relay, send a record to this failure domain; return the instances that have it."""
        self._configs.merge((record,))
        followers = self._members.followers()
        offers_by_follower = {
            i: self._peer_pool.submit(self._offer_records, i, (record,)) for i in followers
        }
        wait(offers_by_follower.values(), timeout=_SPREAD_TIMEOUT_SECONDS)
        taken = [
            instance for instance, future in offers_by_follower.items() if _has_succeeded(future)
        ]
        return SpreadReply((self._members.own_id, *taken))

    def spread(self, record: ServiceRecord) -> set[str]:
        """Send a record to every failure domain through its relays.

        Returns:
            The instances that have this record, or a newer one, in force.
        """
        domains = {i.failure_domain for i in self._members.all_instances()}
        spreads = [
            self._spread_pool.submit(self._spread_to_domain, domain, record) for domain in domains
        ]
        wait(spreads, timeout=2 * _SPREAD_TIMEOUT_SECONDS)
        done = [each.result() for each in spreads if each.done() and not each.exception()]
        return set().union(*done) | {self._members.own_id}

    def offer_directly(self, instance_ids: Iterable[str], record: ServiceRecord) -> set[str]:
        """Send a record directly to some instances; return those that have it in force."""
        offers = {
            i: self._spread_pool.submit(self._offer_records, i, (record,)) for i in instance_ids
        }
        wait(offers.values(), timeout=_SPREAD_TIMEOUT_SECONDS)
        return {instance for instance, offer in offers.items() if _has_succeeded(offer)}

    def _spread_to_domain(self, domain: str, record: ServiceRecord) -> tuple[str, ...]:
        for relay in self._members.relays(domain):
            if relay == self._members.own_id:
                return self.spread_in_domain(record).in_force
            try:
                body = SpreadRequest(record)
                return self._links.request(
                    relay,
                    "relay.spread",
                    body,
                    SpreadReply,
                    _SPREAD_TIMEOUT_SECONDS + _RELAY_REPLY_MARGIN_SECONDS,
                ).in_force
            except LimpethollowError as error:
                self._metrics.count("spreads_failed", error.code)
        return ()

    def _run(self) -> None:
        while not self._stopped:
            now = time.monotonic()
            if now >= self._next_heartbeat_at:
                self._next_heartbeat_at = now + _HEARTBEAT_SECONDS
                self._start_heartbeats()
            if now >= self._next_gossip_at:
                self._next_gossip_at = now + self._gossip.pause(self._configs.is_refusing)
                self._start_gossip()
            self._log_refusal_change()
            self._wakeup.wait(min(self._next_heartbeat_at, self._next_gossip_at) - time.monotonic())
            self._wakeup.clear()

    def _members_changed(self) -> None:
        self._next_heartbeat_at = 0.0
        if not self._has_partner:
            self._next_gossip_at = 0.0
        self._wakeup.set()

    def _start_heartbeats(self) -> None:
        for follower in self._members.followers():
            self._submit_unless_running(follower, self._compare, follower, True)
        if self._configs.wants_probe:
            self._submit_unless_running("platform", self._configs.probe)

    def _start_gossip(self) -> None:
        partner = self._gossip.partner(self._members.routable())
        self._has_partner = partner is not None
        if partner is not None:
            self._submit_unless_running(partner, self._gossip_with, partner)
        elif not self._configs.is_loaded:
            for seed in self._seeds:
                self._submit_unless_running(seed, self._fetch_list_from_seed, seed)

    def _submit_unless_running(
        self, subject: str, task: Callable[..., None], *arguments: Any
    ) -> None:
        """Run a task unless the previous one for the same subject is still running."""
        with self._lock:
            if self._stopped or subject in self._running_subjects:
                return
            self._running_subjects.add(subject)
        self._peer_pool.submit(self._run_task, subject, task, *arguments)

    def _run_task(self, subject: str, task: Callable[..., None], *arguments: Any) -> None:
        try:
            task(*arguments)
        except LimpethollowError as error:
            self._metrics.count("comparisons_failed", error.code)
        except Exception as error:
            events.UNEXPECTED_ERROR.log(where="peer sync", error=repr(error), exc_info=True)
        finally:
            with self._lock:
                self._running_subjects.discard(subject)

    def _gossip_with(self, partner: str) -> None:
        """Compare with a partner; if that fails, try another partner soon.

        If half of all partners are unreachable, a few failures in a row at the normal interval
        would make a healthy instance refuse work as if it were isolated.
        """
        try:
            self._compare(partner, relay=False)
        except LimpethollowError:
            self._next_gossip_at = time.monotonic() + self._gossip.pause(hurried=True)
            self._wakeup.set()
            raise

    def _compare(self, peer: str, relay: bool) -> None:
        """Compare states with a peer and exchange what either side is missing."""
        started_at = time.monotonic()
        own_state = self._configs.state(relay)
        peer_state = self._request(peer, "sync.compare", own_state, SyncState)
        self._members.answered(peer)
        if peer_state.fingerprint != own_state.fingerprint:
            self._exchange_missing_records(peer)
        if peer_state.loaded:
            self._configs.confirmed(started_at, peer_state.revision)
        if peer_state.members > own_state.members:
            query = InstanceListRequest(own_state.members)
            self._members.listed(self._request(peer, "members.pull", query, InstanceListUpdate))
        elif peer_state.members < own_state.members:
            change = self._members.changes_since(peer_state.members)
            self._request(peer, "members.push", change, Acknowledgement)

    def _exchange_missing_records(self, peer: str) -> None:
        self._metrics.count("comparisons", "differ")
        buckets = BucketHashes(self._configs.bucket_hashes)
        digest = self._request(peer, "sync.digest", buckets, VersionDigest)
        for names in _split_into_frames(self._configs.lacking(digest.versions)):
            self._configs.merge(
                self._request(peer, "sync.fetch", ServiceNames(names), ServiceRecords).records
            )
        for names in _split_into_frames(self._configs.newer_than(digest)):
            self._push_records(peer, self._configs.named(names))

    def _offer_to_followers(self, records: tuple[ServiceRecord, ...]) -> None:
        if self._stopped:
            return
        for follower in self._members.followers():
            self._peer_pool.submit(self._offer_records, follower, records)

    def _offer_records(self, peer: str, records: tuple[ServiceRecord, ...]) -> bool:
        """Offer records to a peer and send those it asks for, as records may be large."""
        offer = VersionDigest({record.name: record.version for record in records})
        missing = self._request(peer, "sync.offer", offer, ServiceNames)
        for names in _split_into_frames(missing.names):
            self._push_records(peer, [record for record in records if record.name in names])
        return True

    def _push_records(self, peer: str, records: Iterable[ServiceRecord]) -> None:
        self._request(peer, "config.push", ServiceRecords(tuple(records)), Acknowledgement)

    def _request(self, peer: str, kind: str, body: Any, reply: type) -> Any:
        return self._links.request(peer, kind, body, reply, _PEER_TIMEOUT_SECONDS)

    def _fetch_list_from_seed(self, address: str) -> None:
        """Fetch the list from a seed address, whose instance id is not known yet."""
        link = None
        try:
            link = PeerLink(address, self._key, self._hello(), self._members.hello_received)
            body = link.request("members.pull", InstanceListRequest(-1), _PEER_TIMEOUT_SECONDS)
            self._members.listed(convert(body, InstanceListUpdate))
        except LimpethollowError as error:
            events.SEED_FAILED.log(address=address, error=str(error))
        finally:
            if link is not None:
                link.close()

    def _log_refusal_change(self) -> None:
        refusing = self._configs.is_refusing
        if refusing != self._was_refusing:
            (events.WORK_REFUSED if refusing else events.WORK_RESUMED).log()
        self._was_refusing = refusing


def _has_succeeded(offer: Future[bool]) -> bool:
    return offer.done() and not offer.cancelled() and offer.exception() is None


def _split_into_frames(names: tuple[str, ...]) -> Iterable[tuple[str, ...]]:
    for start in range(0, len(names), _RECORDS_PER_FRAME):
        yield names[start : start + _RECORDS_PER_FRAME]
