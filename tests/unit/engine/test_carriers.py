"""Which calls of a search other instances make."""

from limpethollow_node.engine.frames import Batch
from limpethollow_node.engine.request.batches import BatchManager
from limpethollow_node.engine.request.carriers import BatchingCarrier
from limpethollow_node.engine.request.outgoing import Outgoing
from limpethollow_node.engine.request.sends import Send
from limpethollow_policy.process.timings import CallPaceEstimator
from tests.support.searches import VirtualExchange
from tests.support.virtual import VirtualDispatch, request, route

OBJECTIVE = 0.1


class FakeLink:
    name = "peer"

    def __init__(self) -> None:
        self.sent: list[Batch] = []

    def send(self, frame) -> None:
        self.sent.append(frame)


class FakeLinks:
    """Two linked instances in the own failure domain `a`, and three in `b`."""

    def __init__(self) -> None:
        self.links = {"a": [FakeLink(), FakeLink()], "b": [FakeLink() for _ in range(3)]}

    def near(self, failure_domain: str, count: int, now: float) -> list[FakeLink]:
        return self.links[failure_domain][:count]

    def sizes(self, failure_domain: str) -> list[int]:
        """Return how many calls each instance was asked to make."""
        links = self.links[failure_domain]
        return [len(batch.calls) for link in links for batch in link.sent]


class Owner:
    """Makes sends whose outcome nobody looks at."""

    def __init__(self, dispatch: VirtualDispatch, outgoing: Outgoing, service: str) -> None:
        self.dispatch, self.outgoing, self.service = dispatch, outgoing, service

    def ended(self, *args) -> None:
        """Take no notice."""

    def is_in_flight(self, send: Send) -> bool:
        return True


class Play:
    """A search over 12 shards, six of them asked in `a`, at an instance of some pace.

    Args:
        start_seconds: How long it took to start the search before; 0 where there was none.
    """

    def __init__(self, start_seconds: float) -> None:
        self.dispatch = VirtualDispatch()
        self.links = FakeLinks()
        desk = BatchManager(self.dispatch, self.links)
        shards = tuple(f"s-{number}" for number in range(12))
        if start_seconds:
            self.dispatch.own_pace.started(len(shards), start_seconds)
        found = route(shards=shards, top=5, floor=0.5, objective=OBJECTIVE)
        exchange = VirtualExchange(request(), self.dispatch.loop.time())
        self.outgoing = Outgoing.of(exchange, found, self.dispatch)
        carrier = BatchingCarrier(self.dispatch, desk, self.outgoing, lambda proofs, body: None)
        for number, shard in enumerate(shards):
            self.dispatch.add(shard, f"{shard}-1", "ab"[number % 2])
            replica = self.dispatch.fleet.get(f"{shard}-1")
            send = Send(Owner(self.dispatch, self.outgoing, shard), replica, 100.0)
            if not carrier.offer(send):
                send.go()
        carrier.flush()


class TestPace:
    """On instances with 0.12 of a core, one wide search in five was answered in time.

    Each made a third of its 87 calls itself, which took it 20 of 120 ms, and second sends went to
    shards whose parts lay unread.
    """

    def test_a_quick_instance_makes_the_calls_in_its_own_failure_domain(self):
        play = Play(start_seconds=0.0002)
        assert len(play.dispatch.played) == 6
        assert (play.links.sizes("a"), play.links.sizes("b")) == ([], [6])

    def test_so_does_one_that_does_not_know_its_pace_yet(self):
        assert len(Play(start_seconds=0.0).dispatch.played) == 6

    def test_a_slow_one_hands_them_on_and_spreads_them(self):
        play = Play(start_seconds=0.012)
        assert play.dispatch.played == []
        assert play.links.sizes("a") == [3, 3]
        assert play.links.sizes("b") == [2, 2, 2]


class TestOwnPace:
    def test_the_first_search_counts_at_once_and_later_ones_are_averaged(self):
        pace = CallPaceEstimator()
        assert pace.calls_within(0.01) == float("inf")
        pace.started(100, 0.01)
        assert round(pace.calls_within(0.0035)) == 10
        for _ in range(50):
            pace.started(100, 0.001)
        assert 90 < pace.calls_within(0.0035) < 110
