"""Plays one search against searchers that answer when a test says so."""

from collections import defaultdict
from collections.abc import Callable

from limpethollow_node.engine.messages import Reply, Request
from limpethollow_node.engine.process.admissioncontrol import AdmissionControl
from limpethollow_node.engine.process.pools import Call
from limpethollow_node.engine.request.outcomes import Outcome
from limpethollow_node.engine.request.outgoing import Outgoing
from limpethollow_node.engine.request.searches import Search
from limpethollow_policy.process.searchers import Replica
from limpethollow_policy.request.permits import UNRESTRICTED, Permit
from tests.support.virtual import VirtualDispatch, reply_of, request, route


class VirtualExchange:
    """Stands for a caller's request; `replies` has what the caller got, `on_reply` is told."""

    def __init__(self, taken: Request, arrived_at: float) -> None:
        self.request = taken
        self.arrived_at = arrived_at
        self.on_disconnect = None
        self.is_first = False
        self.round_trip: float | None = None
        self.caller_host = "10.9.0.1"
        self.replies: list[Reply] = []
        self.on_reply: Callable[[Reply], None] = lambda reply: None

    def respond(self, reply: Reply) -> None:
        self.on_disconnect = None
        self.replies.append(reply)
        self.on_reply(reply)


class NoDesk:
    """Stands for a desk of batches without a link to anybody."""

    def links_in_domain(self, failure_domain: str, count: int) -> list:
        return []


class SearchPlay:
    """One search over `shards` shards with two searchers each, all in its own failure domain.

    Args:
        shards: How many shards.
        slack: Slack of the budget of repeated sends.
        prepare: Called with the dispatch before the search starts.
        permit: What the search is allowed to do.
        **fields: Fields of the route.
    """

    def __init__(
        self,
        shards: int = 4,
        slack: float = 56.0,
        prepare: Callable[[VirtualDispatch], None] = lambda dispatch: None,
        permit: Permit = UNRESTRICTED,
        **fields,
    ) -> None:
        self.dispatch = VirtualDispatch(slack)
        names = tuple(f"s-{number}" for number in range(shards))
        for name in names:
            for replica in (1, 2):
                self.dispatch.add(name, f"{name}-{replica}")
        prepare(self.dispatch)
        self.calls: dict[str, list[Call]] = defaultdict(list)
        self.dispatch.on_send = self._sent
        taken = request()
        self.exchange = VirtualExchange(taken, self.now)
        self.outcomes: list[Outcome] = []
        found = route(shards=names, top=5, floor=0.25, **fields)
        outgoing = Outgoing.of(self.exchange, found, self.dispatch, permit)
        self.hedge_delay = outgoing.timings.hedge_delay
        self.guard = outgoing.guard
        admission = AdmissionControl(self.dispatch).admit_search(outgoing)
        self.search = Search(
            self.dispatch, self.exchange, outgoing, NoDesk(), admission, self._ended
        )
        self.search.start()

    @property
    def now(self) -> float:
        return self.dispatch.loop.time()

    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.dispatch.loop.run(self.now + seconds)

    def answer(self, shard: int, send: int = 0) -> None:
        """Let one send to a shard get its answer."""
        reply_of(self.calls[f"s-{shard}"][send], proof=b"proof-%d" % shard)

    def _ended(self, outcome: Outcome) -> None:
        self.outcomes.append(outcome)
        self.dispatch.quarantines.ended(self.guard)

    def _sent(self, replica: Replica, call: Call) -> None:
        call.sent = True
        self.calls[replica.searcher.service].append(call)
