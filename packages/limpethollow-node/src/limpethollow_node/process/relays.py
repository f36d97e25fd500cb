"""Carries configuration and list between instances: relays, comparisons, spreading a change."""

import threading
import time
from collections.abc import Callable, Iterable
from concurrent.futures import Future, ThreadPoolExecutor, wait
from random import Random
from typing import Any

from limpethollow_node.connection.peers import PeerLink
from limpethollow_node.process import events
from limpethollow_node.process.configs import ConfigKeeper
from limpethollow_node.process.links import PeerLinks
from limpethollow_node.process.members import MemberKeeper
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.relays import GossipPartnerSelector
from limpethollow_wire.codecs import convert
from limpethollow_wire.exceptions import LimpethollowError
from limpethollow_wire.peers import (
    Acknowledgement,
    Buckets,
    Digest,
    Hello,
    ListChange,
    ListQuestion,
    Names,
    Records,
    SpreadReply,
    SpreadRequest,
    SyncState,
)
from limpethollow_wire.services import ServiceRecord

_BEAT_SECONDS = 1.0
_PEER_TIMEOUT = 0.5
_SPREAD_SECONDS = 0.6
_GRACE_SECONDS = 0.3
_RECORDS_PER_FRAME = 32
_FEEDERS = 8


class PeerSync:
    """Feeds followers, compares with random peers, and spreads confirmed changes.

    Args:
        configs: The configuration in force here.
        members: The other instances.
        links: Links to them.
        metrics: Where refusals and comparisons are counted.
        seeds: Addresses to learn the list from while the platform does not answer.
        key: The peers' shared key.
        hello: Returns who we are.
        rng: Source for jitter and choice.
    """

    def __init__(
        self,
        configs: ConfigKeeper,
        members: MemberKeeper,
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
        self._beat_at = 0.0
        self._gossip_at = 0.0
        self._has_partner = False
        self._was_refusing = False
        self._busy: set[str] = set()
        self._lock = threading.Lock()
        self._kick = threading.Event()
        self._stopped = False
        # Rounds wait for feeds and never the other way round, so the two pools can't block.
        self._feeds = ThreadPoolExecutor(_FEEDERS, thread_name_prefix="feed")
        self._rounds = ThreadPoolExecutor(_FEEDERS, thread_name_prefix="spread")
        self._thread = threading.Thread(target=self._run, name="peer-sync", daemon=True)
        configs.listen(self._offer_to_followers)
        members.listen(self._beat_now)

    def __enter__(self) -> "PeerSync":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped = True
        self._kick.set()
        self._feeds.shutdown(wait=False, cancel_futures=True)
        self._rounds.shutdown(wait=False, cancel_futures=True)

    def compared(self, theirs: SyncState) -> SyncState:
        """Answer a peer's comparison; the peer closes the gaps of both sides."""
        self._members.asked(theirs.instance, theirs.relay)
        return self._configs.state()

    def offered(self, digest: Digest) -> Names:
        """Answer a peer's offer with the names of the records that are newer than ours."""
        return Names(self._configs.lacking(digest.versions))

    def spread_here(self, record: ServiceRecord) -> SpreadReply:
        """As a relay, bring a record to the own failure domain and say who has it."""
        self._configs.merge((record,))
        followers = self._members.followers()
        feeds = {i: self._feeds.submit(self._offer, i, (record,)) for i in followers}
        wait(feeds.values(), timeout=_SPREAD_SECONDS)
        taken = [instance for instance, feed in feeds.items() if _is_done(feed)]
        return SpreadReply((self._members.own_id, *taken))

    def spread(self, record: ServiceRecord) -> set[str]:
        """Bring a record to every failure domain through its relays.

        Returns:
            The instances that have it, or a newer one, in force.
        """
        domains = {i.failure_domain for i in self._members.everyone()}
        rounds = [self._rounds.submit(self._spread_to, domain, record) for domain in domains]
        wait(rounds, timeout=2 * _SPREAD_SECONDS)
        done = [each.result() for each in rounds if each.done() and not each.exception()]
        return set().union(*done) | {self._members.own_id}

    def offer_each(self, instance_ids: Iterable[str], record: ServiceRecord) -> set[str]:
        """Bring a record to some instances directly; return those that have it in force."""
        offers = {i: self._rounds.submit(self._offer, i, (record,)) for i in instance_ids}
        wait(offers.values(), timeout=_SPREAD_SECONDS)
        return {instance for instance, offer in offers.items() if _is_done(offer)}

    def _spread_to(self, domain: str, record: ServiceRecord) -> tuple[str, ...]:
        for relay in self._members.relays(domain):
            if relay == self._members.own_id:
                return self.spread_here(record).in_force
            try:
                body = SpreadRequest(record)
                return self._links.request(
                    relay, "relay.spread", body, SpreadReply, _SPREAD_SECONDS + _GRACE_SECONDS
                ).in_force
            except LimpethollowError as error:
                self._metrics.count("spreads_failed", error.code)
        return ()

    def _run(self) -> None:
        while not self._stopped:
            now = time.monotonic()
            if now >= self._beat_at:
                self._beat_at = now + _BEAT_SECONDS
                self._start_beats()
            if now >= self._gossip_at:
                self._gossip_at = now + self._gossip.pause(self._configs.is_refusing)
                self._start_gossip()
            self._note_refusal()
            self._kick.wait(min(self._beat_at, self._gossip_at) - time.monotonic())
            self._kick.clear()

    def _beat_now(self) -> None:
        self._beat_at = 0.0
        if not self._has_partner:
            self._gossip_at = 0.0
        self._kick.set()

    def _start_beats(self) -> None:
        for follower in self._members.followers():
            self._start(follower, self._compare, follower, True)
        if self._configs.wants_probe:
            self._start("platform", self._configs.probe)

    def _start_gossip(self) -> None:
        partner = self._gossip.partner(self._members.routable())
        self._has_partner = partner is not None
        if partner is not None:
            self._start(partner, self._gossip_with, partner)
        elif not self._configs.is_loaded:
            for seed in self._seeds:
                self._start(seed, self._ask_seed, seed)

    def _start(self, subject: str, task: Callable[..., None], *arguments: Any) -> None:
        """Run a task unless the last one about the same subject still runs."""
        with self._lock:
            if self._stopped or subject in self._busy:
                return
            self._busy.add(subject)
        self._feeds.submit(self._guarded, subject, task, *arguments)

    def _guarded(self, subject: str, task: Callable[..., None], *arguments: Any) -> None:
        try:
            task(*arguments)
        except LimpethollowError as error:
            self._metrics.count("comparisons_failed", error.code)
        except Exception as error:
            events.DEFECT.log(where="peer sync", error=repr(error), exc_info=True)
        finally:
            with self._lock:
                self._busy.discard(subject)

    def _gossip_with(self, partner: str) -> None:
        """Compare with a partner; where it can't be reached, try another one soon.

        When half of all partners are cut off, a few bad choices in a row at the usual pace would
        make a healthy instance refuse work as if it were isolated.
        """
        try:
            self._compare(partner, relay=False)
        except LimpethollowError:
            self._gossip_at = time.monotonic() + self._gossip.pause(hurried=True)
            self._kick.set()
            raise

    def _compare(self, peer: str, relay: bool) -> None:
        """Compare with a peer and close the gaps of both sides."""
        begun_at = time.monotonic()
        mine = self._configs.state(relay)
        theirs = self._ask(peer, "sync.compare", mine, SyncState)
        self._members.answered(peer)
        if theirs.fingerprint != mine.fingerprint:
            self._close_gaps(peer)
        if theirs.loaded:
            self._configs.confirmed(begun_at, theirs.revision)
        if theirs.members > mine.members:
            question = ListQuestion(mine.members)
            self._members.listed(self._ask(peer, "members.pull", question, ListChange))
        elif theirs.members < mine.members:
            change = self._members.changes_since(theirs.members)
            self._ask(peer, "members.push", change, Acknowledgement)

    def _close_gaps(self, peer: str) -> None:
        self._metrics.count("comparisons", "differ")
        buckets = Buckets(self._configs.bucket_hashes)
        digest = self._ask(peer, "sync.digest", buckets, Digest)
        for names in _chunks(self._configs.lacking(digest.versions)):
            self._configs.merge(self._ask(peer, "sync.fetch", Names(names), Records).records)
        for names in _chunks(self._configs.newer_than(digest)):
            self._push(peer, self._configs.named(names))

    def _offer_to_followers(self, records: tuple[ServiceRecord, ...]) -> None:
        if self._stopped:
            return
        for follower in self._members.followers():
            self._feeds.submit(self._offer, follower, records)

    def _offer(self, peer: str, records: tuple[ServiceRecord, ...]) -> bool:
        """Bring records to a peer, which names those it lacks first; they may be large."""
        offer = Digest({record.name: record.version for record in records})
        wanted = self._ask(peer, "sync.offer", offer, Names)
        for names in _chunks(wanted.names):
            self._push(peer, [record for record in records if record.name in names])
        return True

    def _push(self, peer: str, records: Iterable[ServiceRecord]) -> None:
        self._ask(peer, "config.push", Records(tuple(records)), Acknowledgement)

    def _ask(self, peer: str, kind: str, body: Any, reply: type) -> Any:
        return self._links.request(peer, kind, body, reply, _PEER_TIMEOUT)

    def _ask_seed(self, address: str) -> None:
        """Learn the list from an instance whose id is not known yet."""
        link = None
        try:
            link = PeerLink(address, self._key, self._hello(), self._members.greeted)
            body = link.request("members.pull", ListQuestion(-1), _PEER_TIMEOUT)
            self._members.listed(convert(body, ListChange))
        except LimpethollowError as error:
            events.SEED_FAILED.log(address=address, error=str(error))
        finally:
            if link is not None:
                link.close()

    def _note_refusal(self) -> None:
        refusing = self._configs.is_refusing
        if refusing != self._was_refusing:
            (events.WORK_REFUSED if refusing else events.WORK_RESUMED).log()
        self._was_refusing = refusing


def _is_done(offer: Future[bool]) -> bool:
    return offer.done() and not offer.cancelled() and offer.exception() is None


def _chunks(names: tuple[str, ...]) -> Iterable[tuple[str, ...]]:
    for start in range(0, len(names), _RECORDS_PER_FRAME):
        yield names[start : start + _RECORDS_PER_FRAME]
