"""Quotas in the engine: waits, disconnects, timeouts, shutdown, and returned tokens."""

import pytest

from limpethollow_node.engine.frames import QuotaAsk, QuotaGrant, decode_frame, encode_frame
from limpethollow_node.engine.process.engine import Engine
from limpethollow_node.engine.process.quotas import QuotaControl
from limpethollow_node.engine.process.roster import Roster
from limpethollow_policy.process.placements import Instance
from limpethollow_policy.process.quotas import QuotaBounds
from limpethollow_policy.process.shedding import LoadShedder
from limpethollow_policy.process.topology import holders_among, link_targets, relays_among
from limpethollow_policy.request.permits import Permit
from limpethollow_policy.version.routes import (
    CallerLimits,
    CurrentVersion,
    RoutingVersion,
    WeightedService,
)
from limpethollow_policy.version.tenants import Tenant
from tests.support.searches import NoDesk, VirtualExchange
from tests.support.virtual import VirtualDispatch, break_of, reply_of, request, route

INSTANCES = [
    Instance(f"i-{n:02}", f"{n}:1", f"10.0.0.{n}:2", "ab"[n % 2], incarnation=1) for n in range(40)
]
HOLDERS = sorted(holders_among(INSTANCES))
OTHER = next(i.name for i in INSTANCES if i.name not in HOLDERS)
TENANT = Tenant("team", (), rate=10.0, burst=10.0)
ROUTE = route(targets=(WeightedService("s", 1),), objective=0.4)


class FakeLinks:
    """Links to all other instances; `sent` has the frames that went out."""

    def __init__(self) -> None:
        self.links_to_holders = False
        self.on_quota_frame = None
        self.on_holder_lost = None
        self.sent: list[tuple[str, object]] = []
        self.unlinked: set[str] = set()

    def send_to(self, name: str, frame: object, now: float) -> bool:
        if name in self.unlinked:
            return False
        self.sent.append((name, frame))
        return True

    def without_newer_instances(self, now: float) -> list[str]:
        return [instance.name for instance in INSTANCES]

    def with_own_instances(self, now: float) -> list[str]:
        return [instance.name for instance in INSTANCES]

    def hears_store_list(self, now: float) -> bool:
        return True


class FakeLink:
    """A link that keeps the frames sent on it."""

    def __init__(self) -> None:
        self.sent: list[object] = []

    def send(self, frame: object) -> None:
        self.sent.append(frame)


class FakeAccess:
    """Gives every request a permit of the team, which it keeps."""

    def __init__(self, tenant: Tenant | None) -> None:
        self._tenant = tenant
        self.permits: list[Permit] = []

    def hide_key(self, taken) -> None:
        pass

    def admit(self, taken, found) -> Permit:
        self.permits.append(Permit(tenant=self._tenant))
        return self.permits[-1]


class Play:
    """The engine of one instance among 40.

    Args:
        own: Name of the instance.
        tenant: The team of all requests.
        found: The only route.
        searchers: Searchers of its service.
    """

    def __init__(self, own=OTHER, tenant=TENANT, found=ROUTE, searchers: int = 1) -> None:
        self.dispatch = VirtualDispatch()
        self.loop = self.dispatch.loop
        for number in range(searchers):
            self.dispatch.add("s", f"s-{number}")
        self.engine = Engine(self.dispatch, CurrentVersion())
        self.engine.desk = NoDesk()
        self.quotas = self.engine.quotas = QuotaControl(self.dispatch, self.loop.time)
        self.access = self.engine.access = FakeAccess(tenant)
        own_instance = next(i for i in INSTANCES if i.name == own)
        roster = Roster(own_instance, self.quotas.instances_changed)
        for instance in INSTANCES:
            roster.put(instance)
        self.links = FakeLinks()
        bounds = QuotaBounds(5.0, 0.1, 20.0)
        self.quotas.join(roster, self.links, lambda: INSTANCES, bounds, first_start=True)
        tenants = () if tenant is None else (tenant,)
        version = RoutingVersion(1, (found,), {}, CallerLimits(), tenants)
        self.engine.use_version(version)
        self.quotas.tick()

    def request(self) -> VirtualExchange:
        exchange = VirtualExchange(request(), self.loop.time())
        self.engine.handle(exchange)
        return exchange

    def answer(self, tokens: float, wait: float = 0.0, number: int = -1) -> None:
        """Answer an ask that was sent, the last one unless said otherwise."""
        _, ask = self.links.sent[number]
        self.links.on_quota_frame(FakeLink(), QuotaGrant(ask.number, tokens, wait))

    def break_unsent(self, exchange: VirtualExchange) -> None:
        """Let no searcher be reached until the request has its answer."""
        while not exchange.replies:
            break_of(self.calls[-1], sent=False)

    def answer_all_empty(self) -> None:
        answered = 0
        while answered < len(self.links.sent):
            self.answer(0.0, 0.3, answered)
            answered += 1

    @property
    def calls(self) -> list:
        return [call for _, call in self.dispatch.played]


class TestAtAHolder:
    def test_an_own_token_needs_no_frame(self):
        """A request that its own instance can decide must not wait for another one."""
        play = Play(own=HOLDERS[0])
        play.request()
        assert len(play.calls) == 1
        assert play.links.sent == []

    def test_an_ask_takes_the_tokens_from_the_bucket(self):
        play = Play(own=HOLDERS[0])
        link = FakeLink()
        for number in range(40):
            play.links.on_quota_frame(link, QuotaAsk(number, "team", 1.0))
        lent = sum(grant.tokens for grant in link.sent)
        assert 1 <= lent < 12
        assert link.sent[-1].tokens == 0
        assert link.sent[-1].wait >= 0.05

    def test_bad_asks_get_nothing(self):
        play = Play(own=HOLDERS[0])
        link = FakeLink()
        for tokens in (float("nan"), float("inf"), -5.0, 0.0):
            play.links.on_quota_frame(link, QuotaAsk(1, "team", tokens))
        play.links.on_quota_frame(link, QuotaAsk(1, "unknown", 1.0))
        assert [grant.tokens for grant in link.sent] == [0.0] * 5


class TestWithoutLimits:
    """Deployments without teams must not get one more frame or link."""

    def test_nothing_is_sent(self):
        play = Play(tenant=None)
        play.request()
        assert len(play.calls) == 1
        assert play.links.sent == []
        assert not play.links.links_to_holders

    def test_links_stay_as_they_were_and_reach_all_holders_with_limits(self):
        for own in INSTANCES:
            with_limits = link_targets(own, INSTANCES, with_holders=True)
            assert link_targets(own, INSTANCES) >= relays_among(INSTANCES) - {own.name}
            if own.name == OTHER:
                assert set(HOLDERS) <= with_limits
        assert any(not set(HOLDERS) <= link_targets(own, INSTANCES) for own in INSTANCES)


class TestChanges:
    def test_changed_bounds_change_the_bucket(self):
        """The settings may be reloaded while the process runs."""
        play = Play(own=HOLDERS[0])
        play.quotas.set_bounds(QuotaBounds(5.0, 0.1, 2000.0))
        play.loop.now += 2.0
        play.quotas.tick()
        link = FakeLink()
        play.links.on_quota_frame(link, QuotaAsk(1, "team", 1000.0))
        assert link.sent[0].tokens > 100

    def test_a_version_without_limits_ends_them(self):
        play = Play()
        assert play.links.links_to_holders
        play.engine.use_version(RoutingVersion(2, (ROUTE,), {}, CallerLimits()))
        assert not play.links.links_to_holders
        play.request()
        assert len(play.calls) == 1
        assert play.links.sent == []


class TestWaits:
    """Each wait ends with one answer, and frees its place."""

    def test_a_grant_starts_the_request(self):
        play = Play()
        exchange = play.request()
        assert play.calls == []
        assert play.engine.is_busy
        assert play.links.sent[0][0] in HOLDERS
        play.answer(1.0)
        reply_of(play.calls[0])
        assert [reply.status for reply in exchange.replies] == [200]
        assert not play.engine.is_busy

    def test_an_empty_holder_is_followed_by_the_next(self):
        play = Play()
        play.request()
        play.answer(0.0, 0.3)
        assert play.links.sent[0][0] != play.links.sent[1][0]
        play.answer(1.0)
        assert len(play.calls) == 1

    def test_all_empty_is_429_at_once_and_so_are_later_requests_without_a_frame(self):
        play = Play()
        exchange = play.request()
        play.answer_all_empty()
        (reply,) = exchange.replies
        assert reply.status == 429
        assert float(reply.header(b"retry-after")) == pytest.approx(0.3)
        asks = len(play.links.sent)
        assert asks == len(HOLDERS)
        assert [r.status for r in play.request().replies] == [429]
        assert len(play.links.sent) == asks
        assert not play.engine.is_busy

    def test_no_answer_is_503_after_a_quarter_of_the_objective_at_most(self):
        play = Play()
        exchange = play.request()
        play.loop.run(play.loop.now + 0.11)
        (reply,) = exchange.replies
        assert reply.status == 503
        assert b"quota_unknown" in reply.body
        quick = Play(found=route(targets=ROUTE.targets, objective=0.1))
        exchange = quick.request()
        quick.loop.run(quick.loop.now + 0.026)
        assert [reply.status for reply in exchange.replies] == [503]

    def test_a_silent_holder_is_passed_by(self):
        """A frozen holder must not cost each request its whole wait."""
        play = Play()
        play.request()
        play.loop.run(play.loop.now + 0.03)
        assert len({name for name, _ in play.links.sent}) >= 2

    def test_no_link_to_any_holder_is_503_at_once(self):
        play = Play()
        play.links.unlinked.update(HOLDERS)
        assert [reply.status for reply in play.request().replies] == [503]

    def test_a_lost_link_moves_the_request_on(self):
        play = Play()
        play.request()
        play.links.on_holder_lost(play.links.sent[0][0])
        assert len(play.links.sent) == 2

    def test_late_and_repeated_grants_add_nothing(self):
        """A doubled frame that added its tokens twice would let two requests run for one token."""
        play = Play()
        play.request()
        play.answer(1.0, number=0)
        play.answer(1.0, number=0)
        assert len(play.calls) == 1
        play.request()
        assert len(play.calls) == 1
        play.loop.run(play.loop.now + 0.6)
        play.answer(1.0)
        assert len(play.calls) == 1
        play.request()
        assert len(play.calls) == 1

    def test_a_caller_that_leaves_frees_its_place(self):
        play = Play()
        exchange = play.request()
        exchange.on_disconnect()
        assert not play.engine.is_busy
        play.answer(1.0)
        assert play.calls == []
        play.loop.run(play.loop.now + 0.2)
        assert exchange.replies == []
        assert play.dispatch.metrics.value("requests", "0") == 1

    @pytest.mark.parametrize("end", ["end_all", "end_retryable"])
    def test_shutdown_and_isolation_end_the_wait_once(self, end):
        play = Play()
        exchange = play.request()
        getattr(play.engine, end)()
        play.answer(1.0)
        play.loop.run(play.loop.now + 0.2)
        assert [reply.status for reply in exchange.replies] == [503]
        assert play.calls == []
        assert not play.engine.is_busy


class TestGiveBack:
    """A token returns exactly if no searcher can have run its request."""

    @staticmethod
    def returned(play: Play) -> int:
        return play.dispatch.metrics.value("quota_returns", "team")

    def test_a_request_that_admission_control_refused_returns_it(self, monkeypatch):
        monkeypatch.setattr(LoadShedder, "wait", lambda self, now, **_: 0.2)
        play = Play(own=HOLDERS[0])
        assert [reply.status for reply in play.request().replies] == [429]
        assert self.returned(play) == 1
        play.quotas.give_back(play.access.permits[0])
        assert self.returned(play) == 1

    def test_a_request_that_no_searcher_ran_returns_it(self):
        refused = Play(own=HOLDERS[0])
        exchange = refused.request()
        while not exchange.replies:
            reply_of(refused.calls[-1], 503, not_run=True)
        unsent = Play(own=HOLDERS[0])
        unsent.break_unsent(unsent.request())
        nowhere = Play(own=HOLDERS[0], searchers=0)
        nowhere.request()
        waiting = Play(own=HOLDERS[0])
        exchange = waiting.request()
        exchange.on_disconnect()
        for play in (refused, unsent, nowhere, waiting):
            assert self.returned(play) == 1

    def test_a_request_that_may_have_run_keeps_it(self):
        answered = Play(own=HOLDERS[0])
        answered.request()
        reply_of(answered.calls[0])
        broken = Play(own=HOLDERS[0])
        broken.request()
        break_of(broken.calls[0], sent=True)
        left = Play(own=HOLDERS[0])
        exchange = left.request()
        left.calls[0].sent = True
        exchange.on_disconnect()
        stopped = Play(own=HOLDERS[0])
        stopped.request()
        stopped.calls[0].sent = True
        stopped.engine.end_all()
        for play in (answered, broken, left, stopped):
            assert self.returned(play) == 0

    def test_one_shard_that_may_have_run_keeps_the_token_of_a_search(self):
        shards = route(shards=("s", "u"), top=5, floor=1.0)
        ran, refused = Play(own=HOLDERS[0], found=shards), Play(own=HOLDERS[0], found=shards)
        for play in (ran, refused):
            play.dispatch.add("u", "u-0")
            play.request()
            assert len(play.calls) == 2
            reply_of(play.calls[0], 503, not_run=True)
        for play in (ran, refused):
            for call in play.calls[1:]:
                call.sent = play is ran
            play.engine.end_all()
        assert (self.returned(ran), self.returned(refused)) == (0, 1)

    def test_it_can_be_used_again_only_for_the_time_of_a_loan(self):
        play = Play()
        exchange = play.request()
        play.answer(1.0)
        play.break_unsent(exchange)
        asks = len(play.links.sent)
        again = play.request()
        assert len(play.links.sent) == asks
        play.break_unsent(again)
        play.loop.run(play.loop.now + 0.6)
        play.request()
        assert len(play.links.sent) > asks


class TestFrames:
    def test_they_pass_between_instances(self):
        for frame in (QuotaAsk(5, "team", 1.5), QuotaGrant(5, 1.0, 0.25, 0.5)):
            assert decode_frame(encode_frame(frame)) == frame
