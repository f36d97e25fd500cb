"""Requests with homes: which searchers and carriers they reach, and when they are refused."""

import json
from random import Random

import pytest

from limpethollow_node.engine.frames import (
    Batch,
    BatchCall,
    BatchFailure,
    decode_frame,
    encode_frame,
)
from limpethollow_node.engine.process.engine import Engine
from limpethollow_node.engine.request.attempts import Attempts
from limpethollow_node.engine.request.batches import BatchManager
from limpethollow_node.engine.request.batchexecutions import BatchExecution
from limpethollow_node.engine.request.carriers import BatchingCarrier
from limpethollow_node.engine.request.outgoing import Outgoing
from limpethollow_node.engine.request.sends import Send
from limpethollow_node.platform.headers import HEADERS
from limpethollow_policy.process.fleets import Fleet
from limpethollow_policy.process.homes import Regions
from limpethollow_policy.process.loadreports import LoadReport
from limpethollow_policy.process.searchers import Searcher
from limpethollow_policy.process.shedding import LoadShedder
from limpethollow_policy.request.permits import Permit
from limpethollow_policy.request.verdicts import Verdict
from limpethollow_policy.version.routes import (
    CallerLimits,
    CurrentVersion,
    Route,
    RoutingVersion,
    WeightedService,
)
from tests.support.searches import NoDesk, SearchPlay, VirtualExchange
from tests.support.virtual import VirtualDispatch, break_of, reply_of, request, route
from tests.unit.engine.test_batchworks import RecordingLink
from tests.unit.engine.test_carriers import FakeLink, Owner

USUAL = 0.02
# `a` and `b` are in one region, `c` in another one, and `x` is not listed.
ZONES = {"a": "north", "b": "north", "c": "south"}
NORTH, SOUTH = frozenset({"north"}), frozenset({"south"})


def dispatch_with(service: str, *domains: str) -> VirtualDispatch:
    """Return a dispatch with one searcher of a service in each failure domain."""
    dispatch = VirtualDispatch()
    dispatch.regions.set_zones(ZONES)
    for domain in domains:
        dispatch.add(service, f"{service}-{domain}", domain)
    return dispatch


class TestRegions:
    def test_homes_mean_the_failure_domains_in_them(self):
        regions = Regions(ZONES)
        assert regions.domains_in(NORTH) == {"a", "b"}
        assert regions.domains_in(NORTH | SOUTH) == {"a", "b", "c"}
        assert regions.domains_in(None) is None

    def test_an_empty_intersection_of_route_and_team_permits_nothing(self):
        """Guards against an empty set of homes that is taken for no restriction."""
        assert Regions(ZONES).domains_in(frozenset()) == frozenset()

    def test_a_domain_with_an_empty_region_counts_as_not_listed(self):
        """Guards against a home with an empty name that admits every unlisted domain."""
        regions = Regions({"a": "", "b": "north"})
        assert regions.domains_in(frozenset({"", "north"})) == {"b"}

    def test_the_domains_are_resolved_once_for_the_same_homes(self):
        """Guards against a set that is built for each request."""
        regions = Regions(ZONES)
        assert regions.domains_in(NORTH) is regions.domains_in(frozenset({"north"}))

    def test_a_new_table_takes_effect_at_once(self):
        """Guards against a cached domain that has moved to another region."""
        regions = Regions(ZONES)
        regions.domains_in(NORTH)
        regions.set_zones({"a": "south"})
        assert regions.domains_in(NORTH) == frozenset()

    def test_many_sets_of_homes_do_not_fill_the_memory(self):
        regions = Regions(ZONES)
        for number in range(2000):
            regions.domains_in(frozenset({f"r-{number}"}))
        assert len(regions._domains_by_homes) <= 256


class TestChoice:
    @pytest.mark.parametrize("seed", range(20))
    def test_it_is_that_of_a_fleet_without_the_other_searchers(self, seed):
        """Guards against a searcher elsewhere that is chosen, or that changes the choice."""
        rng = Random(seed)
        whole, permitted = Fleet("a", Random(1)), Fleet("a", Random(1))
        for number in range(12):
            searcher = Searcher(f"i-{number}", "s", "10.0.0.1:80", rng.choice("abcx"), 2)
            slowness, blocked, load = rng.uniform(0.5, 3), rng.choice([0, 5]), rng.randrange(9)
            for fleet in (whole, permitted):
                if fleet is whole or searcher.failure_domain in "ab":
                    fleet.put(searcher, 0.0)
                    replica = fleet.get(searcher.id)
                    replica.slowness, replica.blocked_until = slowness, blocked
                    replica.reported(LoadReport(1, load, 2), 1.0)
        allowed = frozenset("ab")
        avoided: list[str] = []
        for _ in range(14):
            found = whole.choose("s", 1.0, USUAL, avoided, allowed)
            expected = permitted.choose("s", 1.0, USUAL, avoided)
            assert (found and found.searcher.id) == (expected and expected.searcher.id)
            avoided += [found.searcher.id] if found else []
        assert whole.wait("s", 1.0, allowed) == permitted.wait("s", 1.0)
        depth = whole.queue_depth(["s"], 1.0, 1.5, allowed)
        assert depth == permitted.queue_depth(["s"], 1.0, 1.5)

    def test_an_unlisted_domain_is_no_home(self):
        dispatch = dispatch_with("s", "x")
        allowed = dispatch.regions.domains_in(NORTH)
        assert dispatch.fleet.choose("s", 100.0, USUAL, (), allowed) is None
        assert dispatch.fleet.choose("s", 100.0, USUAL).searcher.id == "s-x"


class TestSends:
    def play(self, *domains: str, homes: frozenset[str] = NORTH):
        dispatch = dispatch_with("s", *domains)
        ended: list[Attempts] = []
        exchange = VirtualExchange(request(), dispatch.loop.time())
        outgoing = Outgoing.of(exchange, route(attempts=4), dispatch, Permit(homes=homes))
        tries = Attempts(dispatch, outgoing, "s", ended.append)
        tries.start()
        return dispatch, tries, ended

    def test_the_first_send_goes_to_a_home_although_the_own_domain_is_cheaper(self):
        dispatch, _, _ = self.play("a", "c", homes=SOUTH)
        assert [replica.searcher.id for replica, _ in dispatch.played] == ["s-c"]

    def test_a_hedge_stays_in_the_homes(self):
        """Guards against a late home whose hedge goes to another region."""
        dispatch, tries, _ = self.play("a", "c", "x")
        dispatch.played[0][1].sent = True
        assert not tries.hedge()
        assert [replica.searcher.id for replica, _ in dispatch.played] == ["s-a"]

    def test_retries_stay_in_the_homes_until_they_are_used_up(self):
        """Guards against a retry elsewhere after every searcher at home has failed."""
        dispatch, _, ended = self.play("a", "b", "c", "x")
        for number in range(6):
            if not ended:
                break_of(dispatch.played[number][1], sent=True)
        assert ended
        assert {replica.searcher.id for replica, _ in dispatch.played} == {"s-a", "s-b"}

    def test_a_search_counts_only_its_homes(self):
        """Guards against a search that starts since searchers elsewhere could reach its floor."""

        def block(dispatch: VirtualDispatch) -> None:
            dispatch.regions.set_zones(ZONES)
            for number in range(4):
                dispatch.add(f"s-{number}", f"s-{number}-far", "c")
                for replica in (1, 2):
                    dispatch.fleet.get(f"s-{number}-{replica}").blocked_until = 100.2

        play = SearchPlay(shards=4, prepare=block, permit=Permit(homes=NORTH))
        (reply,) = play.exchange.replies
        assert json.loads(reply.body)["code"] == "unavailable"
        assert abs(float(reply.header(b"retry-after")) - 0.2) < 0.01
        assert not play.calls


class HomesPlay:
    """Requests at an engine whose only route has homes.

    Args:
        found: The route.
        dispatch: Knows the searchers.
    """

    def __init__(self, found: Route, dispatch: VirtualDispatch) -> None:
        self.dispatch = dispatch
        self.engine = Engine(dispatch, CurrentVersion())
        self.engine.desk = NoDesk()
        self.engine.use_version(RoutingVersion(1, (found,), {}, CallerLimits()))

    def ask(self) -> tuple[int, str, VirtualExchange]:
        """Return status and error code of the reply; 0 while there is none."""
        exchange = VirtualExchange(request(), self.dispatch.loop.time())
        self.engine.handle(exchange)
        if not exchange.replies:
            return 0, "", exchange
        reply = exchange.replies[0]
        return reply.status, json.loads(reply.body)["code"], exchange


def forward(*homes: str) -> Route:
    return route(targets=(WeightedService("s"),), homes=homes)


class TestRefusals:
    def test_a_forward_without_a_searcher_at_home_is_refused_at_once(self):
        """Guards against a late 504, and against a silent use of another region."""
        dispatch = dispatch_with("s", "c", "x")
        status, code, exchange = HomesPlay(forward("north"), dispatch).ask()
        assert (status, code) == (503, "no_home")
        assert float(exchange.replies[0].header(b"retry-after")) > 0
        assert not dispatch.played
        assert dispatch.metrics.value("requests_without_home", "r") == 1

    def test_a_search_below_its_floor_is_refused_at_once(self):
        dispatch = dispatch_with("s-0", "a", "c")
        for shard in ("s-1", "s-2", "s-3"):
            dispatch.add(shard, f"{shard}-c", "c")
        shards = ("s-0", "s-1", "s-2", "s-3")
        found = route(shards=shards, top=5, floor=0.5, homes=("north",))
        assert HomesPlay(found, dispatch).ask()[:2] == (503, "no_home")
        assert not dispatch.played

    def test_a_search_that_reaches_its_floor_at_home_runs_there(self):
        """Guards against a refusal although enough shards are at home."""
        dispatch = dispatch_with("s-0", "a", "c")
        dispatch.add("s-1", "s-1-c", "c")
        found = route(shards=("s-0", "s-1"), top=5, floor=0.5, homes=("north",))
        assert HomesPlay(found, dispatch).ask()[0] == 0
        assert [replica.searcher.id for replica, _ in dispatch.played] == ["s-0-a"]

    def test_no_common_home_of_route_and_team_refuses(self, monkeypatch):
        play = HomesPlay(forward("north"), dispatch_with("s", "a", "c"))
        permit = Permit(homes=frozenset())
        monkeypatch.setattr(type(play.engine.access), "admit", lambda *_: permit)
        assert play.ask()[:2] == (503, "no_home")
        assert not play.dispatch.played

    @pytest.mark.parametrize("left", ["draining", "evacuated"])
    def test_searchers_that_get_no_new_calls_are_none(self, left):
        dispatch = dispatch_with("s", "c")
        if left == "draining":
            gone = Searcher("s-a", "s", "10.0.0.1:80", "a", 2, draining=True)
            dispatch.fleet.put(gone, 100.0)
        else:
            dispatch.add("s", "s-a", "a")
            dispatch.fleet.evacuate("a")
        assert HomesPlay(forward("north"), dispatch).ask()[:2] == (503, "no_home")

    def test_a_home_that_is_down_gives_the_error_of_a_route_without_homes(self):
        """Guards against a claim that there is no searcher where there is one."""
        dispatch = dispatch_with("s", "a")
        dispatch.fleet.get("s-a").blocked_until = 101.0
        assert HomesPlay(forward("north"), dispatch).ask()[:2] == (503, "unavailable")

    def test_without_homes_nothing_changes(self):
        dispatch = dispatch_with("s", "x")
        assert HomesPlay(forward(), dispatch).ask()[0] == 0
        assert len(dispatch.played) == 1

    def test_admission_looks_at_the_queues_at_home_only(self, monkeypatch):
        """Guards against a request that is refused, or admitted, for the load of other regions."""
        depths: list[float | None] = []
        monkeypatch.setattr(
            LoadShedder,
            "wait",
            lambda self, now, *, in_time, queue_depth: depths.append(queue_depth) or 0.0,
        )
        dispatch = dispatch_with("s", "a", "c")
        dispatch.fleet.get("s-a").reported(LoadReport(1, 2, 2), dispatch.loop.time())
        dispatch.fleet.get("s-c").reported(LoadReport(2, 80, 2), dispatch.loop.time())
        HomesPlay(forward("north"), dispatch).ask()
        assert depths == [dispatch.fleet.get("s-a").load.queue_depth]

    def test_each_of_several_homes_will_do(self):
        dispatch = dispatch_with("s", "c")
        assert HomesPlay(forward("north", "south"), dispatch).ask()[0] == 0


class StatingLink(FakeLink):
    """A link whose other end states its failure domain."""

    def __init__(self, failure_domain: str) -> None:
        super().__init__()
        self.failure_domain = failure_domain


class StatingLinks:
    """One listed instance in each failure domain.

    Args:
        **moved: Failure domains that listed instances state instead.
    """

    def __init__(self, **moved: str) -> None:
        self.links = {domain: StatingLink(moved.get(domain, domain)) for domain in "abc"}

    def near(self, failure_domain: str, count: int, now: float) -> list[StatingLink]:
        return [self.links[failure_domain]][:count]


class TestCarriers:
    def play(self, homes: frozenset[str] | None, **moved: str):
        """Offer four sends in each of `b` and `c`, whether or not these are homes."""
        dispatch, links = dispatch_with("unused"), StatingLinks(**moved)
        shards = tuple(f"s-{number}" for number in range(8))
        exchange = VirtualExchange(request(), dispatch.loop.time())
        found = route(shards=shards, top=5, floor=0.5)
        outgoing = Outgoing.of(exchange, found, dispatch, Permit(homes=homes))
        desk = BatchManager(dispatch, links)
        carrier = BatchingCarrier(dispatch, desk, outgoing, lambda proofs, body: None)
        for number, shard in enumerate(shards):
            dispatch.add(shard, f"{shard}-1", "bc"[number % 2])
            replica = dispatch.fleet.get(f"{shard}-1")
            assert carrier.offer(Send(Owner(dispatch, outgoing, shard), replica, 100.0))
        carrier.flush()
        batches = {domain: link.sent for domain, link in links.links.items() if link.sent}
        return dispatch, batches

    def test_no_batch_goes_to_an_instance_outside_of_the_homes(self):
        """Guards against a body that reaches an instance in another region."""
        _, batches = self.play(NORTH)
        assert list(batches) == ["b"]

    def test_the_batch_states_the_homes(self):
        _, batches = self.play(NORTH)
        (batch,) = batches["b"]
        assert decode_frame(encode_frame(batch)).homes == ["north"]

    def test_an_instance_that_has_moved_gets_no_batch(self):
        """Guards against a carrier whose entry in the store still names its previous domain."""
        dispatch, batches = self.play(NORTH, b="c")
        assert not batches
        assert {r.searcher.failure_domain for r, _ in dispatch.played} >= {"b"}

    def test_without_homes_batches_go_anywhere(self):
        _, batches = self.play(None, b="c")
        assert list(batches) == ["b", "c"]
        assert batches["b"][0].homes is None


class TestBatchExecution:
    @pytest.mark.parametrize(("homes", "sent"), [(["north"], 1), (None, 2), ([], 0)])
    def test_a_carrier_calls_no_searcher_that_is_elsewhere_by_its_own_list(self, homes, sent):
        """Guards against a searcher that has moved, of which the sender does not know yet."""
        dispatch, link = dispatch_with("s", "a", "c"), RecordingLink()
        calls = [BatchCall("s", "s-a"), BatchCall("t", "s-c")]
        now = dispatch.loop.time()
        frame = Batch(1, b"GET / HTTP/1.1\r\n", b"", b"r1", calls, 5, 1.0, 0.1, now, homes=homes)
        BatchExecution(dispatch, link, frame, lambda: None).start()
        assert len(dispatch.played) == sent
        refused = [f for f in link.sent if isinstance(f, BatchFailure)]
        assert len(refused) == 2 - sent
        assert {(f.verdict, f.reason) for f in refused} <= {
            (Verdict.NOT_SENT.value, "searcher_not_in_homes")
        }


class TestHostsWithHomes:
    def test_the_homes_of_a_host_are_those_of_each_of_its_routes(self):
        routes = (
            route(name="one", prefix="/1/", homes=("north",)),
            route(name="two", prefix="/2/", homes=("south",)),
            route(name="three", prefix="/3/"),
            route(name="four", host="other"),
        )
        versions = CurrentVersion()
        assert versions.homes_of("h") == frozenset()
        versions.offer(RoutingVersion(1, routes, {}, CallerLimits()))
        assert versions.homes_of("H:8080") == {NORTH, SOUTH}
        assert versions.homes_of("other") == versions.homes_of("") == frozenset()


class TestReply:
    def test_a_home_answers_as_any_searcher(self):
        dispatch = dispatch_with("s", "a")
        _, _, exchange = HomesPlay(forward("north"), dispatch).ask()
        reply_of(dispatch.played[0][1])
        assert exchange.replies[0].status == 200
        assert exchange.replies[0].header(HEADERS.proof) == b"proof"
