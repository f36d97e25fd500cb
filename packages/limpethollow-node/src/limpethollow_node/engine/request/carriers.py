"""Groups the first sends of a search into batches by failure domain."""

import math
from collections.abc import Callable

from limpethollow_node.engine.connection.peerlinks import PeerLink
from limpethollow_node.engine.frames import Batch, BatchCall, BatchParts
from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.engine.request.batches import MIN_BATCH_CALLS, BatchManager, SentBatch
from limpethollow_node.engine.request.outgoing import Outgoing
from limpethollow_node.engine.request.sends import Send
from limpethollow_policy.request.verdicts import Verdict

# Fraction of the objective in which an instance should be able to make all calls of a search. An
# instance that can't delegates all of them, and spreads them over several instances of a failure
# domain where one would take too long as well. The rest of the objective is for the searchers,
# their pauses and the network.
_CALLING_FRACTION = 0.1
# Fraction of the hedge delay for which an instance collects the results of a batch. The rest is for
# its frame to arrive, so that only shards that are late there are hedged here.
_MERGE_FRACTION = 0.85

OnGroup = Callable[[dict[str, bytes], bytes], None]


class BatchingCarrier:
    """Takes over first sends to other failure domains and delegates them in batches.

    An instance with little CPU also delegates the sends to its own failure domain. On 0.12 of a
    core, making 29 of 87 calls itself took about 17 of 120 ms, and two pairs of frames took 4 ms
    (measured with timers added to the code).

    Args:
        dispatch: State shared by the process.
        desk: Sends the batches.
        outgoing: The request.
        on_group: Called with signatures by shard and their merged records, before the sends of
            these shards are completed.
    """

    __slots__ = (
        "_by_domain",
        "_max_calls",
        "_desk",
        "_dispatch",
        "_makes_local_calls",
        "_on_group",
        "_outgoing",
        "_sends",
        "_sent",
    )

    def __init__(
        self, dispatch: Dispatch, desk: BatchManager, outgoing: Outgoing, on_group: OnGroup
    ) -> None:
        self._dispatch = dispatch
        self._desk = desk
        self._outgoing = outgoing
        self._on_group = on_group
        self._by_domain: dict[str, list[Send]] = {}
        self._sends: dict[str, Send] = {}
        self._sent: list[SentBatch] = []
        route = outgoing.route
        self._max_calls = dispatch.own_pace.calls_within(_CALLING_FRACTION * route.objective)
        self._makes_local_calls = len(route.shards) <= self._max_calls

    def offer(self, send: Send) -> bool:
        """Take over a send to another failure domain, or any send if this instance is too slow."""
        domain = send.replica.searcher.failure_domain
        if domain == self._dispatch.fleet.own_domain and self._makes_local_calls:
            return False
        self._by_domain.setdefault(domain, []).append(send)
        return True

    def flush(self) -> None:
        """Delegate the sends in batches; make them directly where a failure domain has too few."""
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
        """Return links to the instances over which the calls to a failure domain are spread."""
        allowed = self._outgoing.domains
        if calls < MIN_BATCH_CALLS or (allowed is not None and domain not in allowed):
            return []
        wanted = min(math.ceil(calls / self._max_calls), calls // MIN_BATCH_CALLS)
        links = self._desk.links_in_domain(domain, max(wanted, 1))
        if allowed is None:
            return links
        # The store's entry of an instance that was restarted elsewhere may still name its previous
        # failure domain, whereas the process itself states its own one on the link.
        return [link for link in links if link.failure_domain == domain]

    def report_silent_instances(self) -> None:
        """Report the instances that returned nothing until the hedge delay."""
        for sent in self._sent:
            if sent.silent:
                self._desk.suspect(sent)

    def _send_batch(self, link: PeerLink, sends: list[Send]) -> None:
        outgoing, permit = self._outgoing, self._outgoing.permit
        now = self._dispatch.loop.time()
        homes = outgoing.permit.homes
        stated_homes = None if homes is None else sorted(homes)
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
                outgoing.timings.hedge_delay * _MERGE_FRACTION,
                now,
                b"" if outgoing.route.public else permit.digest,
                "" if outgoing.route.public else permit.tenant_name or "",
                permit.version if permit.drops_key else -1,
                homes=stated_homes,
            )

        sent = self._desk.send(link, frame, self._on_parts, self._on_call_failed)
        self._sent.append(sent)
        for send in sends:
            self._sends[send.service] = send
            send.call = DelegatedCall(sent, send.service)

    def _on_parts(self, parts: BatchParts) -> None:
        self._on_group(parts.proofs, parts.records)
        for shard, cold_ms in parts.cold_ms.items():
            self._sends[shard].delegated_call_cold(cold_ms)
        for shard, seconds, load in parts.calls:
            self._sends[shard].delegated_call_answered(seconds, load)

    def _on_call_failed(
        self, shard: str, verdict: Verdict, status: int, reason: str, cold_ms: int | None
    ) -> None:
        if cold_ms is not None:
            self._sends[shard].delegated_call_cold(cold_ms)
        self._sends[shard].delegated_call_failed(verdict, status, reason)


class DelegatedCall:
    """A call that was delegated to another instance.

    Args:
        sent: The batch that the call is part of.
        shard: Shard of the call.
    """

    __slots__ = ("_sent", "_shard", "sent")

    # The other instance receives the reply.
    is_in_reply = False

    def __init__(self, sent: SentBatch, shard: str) -> None:
        self._sent = sent
        self._shard = shard
        self.sent = True

    def cancel(self) -> None:
        """Cancel the call."""
        self._sent.drop(self._shard)
