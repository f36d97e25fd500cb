"""Gathers the first sends of a search by failure domain, for instances there to make."""

import math
from collections.abc import Callable

from limpethollow_node.engine.connection.peerlinks import PeerLink
from limpethollow_node.engine.frames import Batch, BatchCall, BatchParts
from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.engine.request.batches import LEAST_CALLS, BatchDesk, SentBatch
from limpethollow_node.engine.request.outgoing import Outgoing
from limpethollow_node.engine.request.sends import Send
from limpethollow_policy.request.verdicts import Verdict

# An instance that makes fewer calls than a search has shards in this part of the objective hands
# all of them on, and to more than one other in a failure domain where one would take as long. The
# rest of the objective is for the searchers, their pauses and the way.
_CALLING_SHARE = 0.1
# Part of the time until the hedges that an instance may collect results. The rest is for its frame
# to come back, so that only shards that are late there are hedged here.
_MERGE_SHARE = 0.85

OnGroup = Callable[[dict[str, bytes], bytes], None]


class ShardCarrier:
    """Takes over first sends to other failure domains and hands them on in batches.

    An instance with little processor hands on those in its own failure domain as well. On 0.12 of a
    core, 29 of 87 calls that it made itself took some 17 of 120 ms, and two frames there and back 4
    (clocks put into the code for a play).

    Args:
        dispatch: What the process shares.
        desk: Sends batches.
        outgoing: The request.
        on_group: Called with signatures by shard and their merged records, before the sends of
            these shards are told.
    """

    __slots__ = (
        "_by_domain",
        "_calls_at_once",
        "_desk",
        "_dispatch",
        "_keeps_near_ones",
        "_on_group",
        "_outgoing",
        "_sends",
        "_sent",
    )

    def __init__(
        self, dispatch: Dispatch, desk: BatchDesk, outgoing: Outgoing, on_group: OnGroup
    ) -> None:
        self._dispatch = dispatch
        self._desk = desk
        self._outgoing = outgoing
        self._on_group = on_group
        self._by_domain: dict[str, list[Send]] = {}
        self._sends: dict[str, Send] = {}
        self._sent: list[SentBatch] = []
        route = outgoing.route
        self._calls_at_once = dispatch.own_pace.calls_within(_CALLING_SHARE * route.objective)
        self._keeps_near_ones = len(route.shards) <= self._calls_at_once

    def offer(self, send: Send) -> bool:
        """Take over a send to another failure domain, or one that would take too long here."""
        domain = send.replica.searcher.failure_domain
        if domain == self._dispatch.fleet.own_domain and self._keeps_near_ones:
            return False
        self._by_domain.setdefault(domain, []).append(send)
        return True

    def flush(self) -> None:
        """Hand the sends on; where too few go to a failure domain, make them here."""
        for domain, sends in self._by_domain.items():
            sends = [send for send in sends if send.is_open]
            links = self._links_for(domain, len(sends))
            for number, link in enumerate(links):
                self._send_batch(link, sends[number :: len(links)])
            if not links:
                for send in sends:
                    send.go()
        self._by_domain.clear()

    def _links_for(self, domain: str, calls: int) -> list[PeerLink]:
        """Return links to the instances that share the calls to a failure domain."""
        if calls < LEAST_CALLS:
            return []
        wanted = min(math.ceil(calls / self._calls_at_once), calls // LEAST_CALLS)
        return self._desk.links_near(domain, max(wanted, 1))

    def suspect_silent(self) -> None:
        """Tell the desk which instances have not said anything until the hedges."""
        for sent in self._sent:
            if sent.silent:
                self._desk.suspect(sent)

    def _send_batch(self, link: PeerLink, sends: list[Send]) -> None:
        outgoing = self._outgoing
        now = self._dispatch.loop.time()
        calls = [BatchCall(send.service, send.replica.searcher.id) for send in sends]

        def frame(number: int) -> Batch:
            return Batch(
                number,
                outgoing.head,
                outgoing.body,
                outgoing.request_id,
                calls,
                outgoing.route.top,
                outgoing.deadline - now,
                outgoing.timings.hedge_delay * _MERGE_SHARE,
                now,
            )

        sent = self._desk.send(link, frame, self._parts_came, self._call_failed)
        self._sent.append(sent)
        for send in sends:
            self._sends[send.service] = send
            send.call = CarriedCall(sent, send.service)

    def _parts_came(self, parts: BatchParts) -> None:
        self._on_group(parts.proofs, parts.records)
        for shard, seconds, load in parts.calls:
            self._sends[shard].carried(seconds, load)

    def _call_failed(self, shard: str, verdict: Verdict, status: int, reason: str) -> None:
        self._sends[shard].carried_failed(verdict, status, reason)


class CarriedCall:
    """Stands for a call that another instance makes.

    Args:
        sent: The batch that the call is part of.
        shard: The call's shard.
    """

    __slots__ = ("_sent", "_shard", "sent")

    def __init__(self, sent: SentBatch, shard: str) -> None:
        self._sent = sent
        self._shard = shard
        self.sent = True

    def cancel(self) -> None:
        """Want no reply any more."""
        self._sent.drop(self._shard)
