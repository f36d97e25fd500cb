"""Keys of callers: who is admitted, what searchers are told, and what is logged."""

import logging

import pytest

from limpethollow_node.engine.messages import Request
from limpethollow_node.engine.process.access import AccessControl
from limpethollow_node.engine.process.engine import Engine
from limpethollow_node.engine.request.outgoing import Outgoing
from limpethollow_node.platform.headers import HEADERS
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.version.routes import CallerLimits, CurrentVersion, RoutingVersion
from limpethollow_policy.version.tenants import Tenant, key_digest
from limpethollow_wire.exceptions import BadRequest, KeyRejected, Unavailable
from tests.support.searches import NoDesk, VirtualExchange
from tests.support.virtual import VirtualDispatch, route

KEY = b"k-5f2a91"


def tenant(name: str = "blue", key: bytes = KEY, **fields) -> Tenant:
    return Tenant(name, (key_digest(key),), **fields)


def version(number: int, *tenants: Tenant, **fields) -> RoutingVersion:
    return RoutingVersion(number, (route(**fields),), {}, CallerLimits(), tenants)


def keyed(*values: bytes, name: bytes = b"Authorization", extra=()) -> Request:
    headers = [(b"Host", b"h"), (HEADERS.request_id, b"r1"), *((name, v) for v in values), *extra]
    return Request(b"GET", b"/x", headers)


class Admission:
    """An access control whose version was confirmed at second 0; `now` is the clock."""

    def __init__(self, *tenants: Tenant) -> None:
        self.now = 0.0
        self.versions = CurrentVersion()
        self.versions.offer(version(1, *tenants))
        self.versions.confirm(0.0)
        self.access = AccessControl(self.versions, HEADERS, lambda: self.now, Metrics())

    def admit(self, request: Request, **fields):
        return self.access.admit(request, route(**fields))


class TestPermit:
    def test_the_key_names_its_team(self):
        """Guards against a request that runs without its team or with a wrong priority."""
        admission = Admission(tenant("red", b"other"), tenant(priority=3, homes=("n", "s")))
        permit = admission.admit(keyed(b"Token " + KEY), priority=7, homes=("s", "w"))
        assert (permit.tenant_name, permit.priority, permit.version) == ("blue", 3, 1)
        assert permit.digest == key_digest(KEY)
        assert permit.homes == frozenset({"s"})
        assert permit.may_send()

    def test_a_team_without_a_priority_or_homes_has_those_of_the_route(self):
        """Guards against a restricted route that a key opens to all regions."""
        admission = Admission(tenant())
        permit = admission.admit(keyed(b"Token " + KEY), priority=7, homes=("s",))
        assert (permit.priority, permit.homes) == (7, frozenset({"s"}))
        assert admission.admit(keyed(b"Token " + KEY)).homes is None

    def test_disjoint_homes_leave_no_region(self):
        """Guards against reading an empty intersection as no restriction."""
        admission = Admission(tenant(homes=("n",)))
        assert admission.admit(keyed(b"Token " + KEY), homes=("s",)).homes == frozenset()

    def test_a_key_that_moves_to_another_team_stops_its_requests(self):
        """Guards against a queued request that runs for a team that lost its key."""
        admission = Admission(tenant())
        permit = admission.admit(keyed(b"Token " + KEY))
        admission.versions.offer(version(2, tenant("red")))
        assert not permit.may_send()
        assert isinstance(permit.refusal(), Unavailable)
        admission.versions.offer(version(3))
        admission.versions.offer(version(4, tenant("red", b"other")))
        assert not permit.may_send()
        assert isinstance(permit.refusal(), KeyRejected)

    def test_a_request_from_before_the_first_teams_does_not_send_its_headers(self):
        """Guards against a key that reaches a searcher with a request that waited meanwhile."""
        admission = Admission()
        permit = admission.admit(keyed(b"Token " + KEY))
        assert permit.may_send()
        admission.versions.offer(version(2, tenant()))
        assert not permit.may_send()
        assert isinstance(permit.refusal(), Unavailable)


class TestBadInput:
    @pytest.mark.parametrize(
        "values",
        [
            (),
            (b"",),
            (b"Token",),
            (b"Token ",),
            (b"Bearer " + KEY,),
            (KEY,),
            (b"Token " + KEY + b"\xff",),
            (b"Token \xc3\xa9",),
            (b"Token " + KEY * 1000,),
            (b"Token unknown",),
        ],
    )
    def test_all_that_is_no_known_key_is_rejected(self, values):
        """Guards against bad input that runs, or that has an answer of its own."""
        admission = Admission(tenant(), tenant("accent", "é".encode()), tenant("empty", b""))
        with pytest.raises(KeyRejected):
            admission.admit(keyed(*values))
        assert admission.admit(keyed(*values), public=True).tenant is None

    @pytest.mark.parametrize("public", [False, True])
    def test_two_keys_are_a_bad_request(self, public):
        """Guards against a choice between two keys, which a proxy may make differently."""
        with pytest.raises(BadRequest) as raised:
            Admission(tenant()).admit(keyed(b"Token " + KEY, b"Token x"), public=public)
        assert raised.value.status == 400

    @pytest.mark.parametrize("value", [b"token " + KEY, b"TOKEN  " + KEY, b" Token " + KEY + b" "])
    def test_the_scheme_has_no_case_and_spaces_do_not_count(self, value):
        """Guards against a wrong 401 for a valid key."""
        assert Admission(tenant()).admit(keyed(value, name=b"AUTHORIZATION")).tenant_name == "blue"

    def test_an_unknown_key_is_rejected_only_while_the_version_is_known_to_be_the_newest(self):
        """Guards against a wrong 401 for a key of a version that is not here yet."""
        admission = Admission(tenant())
        admission.now = 4.9
        with pytest.raises(KeyRejected):
            admission.admit(keyed(b"Token new"))
        admission.now = 5.1
        with pytest.raises(Unavailable) as raised:
            admission.admit(keyed(b"Token new"))
        assert (raised.value.status, raised.value.retry_after) == (503, 0.25)
        assert admission.admit(keyed(b"Token " + KEY)).may_send()


class TestHeaders:
    def sent(self, admission: Admission, request: Request, **fields) -> bytes:
        found = route(**fields)
        permit = admission.access.admit(request, found)
        return Outgoing.of(VirtualExchange(request, 0.0), found, VirtualDispatch(), permit).head

    def test_the_searcher_sees_the_team_and_not_the_key(self):
        """Guards against a forwarded key, and against a team that the caller claims."""
        forged = [(b"X-LIMPETHOLLOW-tenant", b"forged"), (b"x-limpethollow-tenant", b"forged")]
        for public in (False, True):
            request = keyed(b"Token " + KEY, extra=forged)
            head = self.sent(Admission(tenant()), request, public=public).lower()
            assert head.count(b"x-limpethollow-tenant: blue\r\n") == 1
            assert b"forged" not in head
            assert b"authorization" not in head
            assert KEY not in head

    def test_an_unknown_key_on_a_public_route_is_ignored_and_removed(self):
        """Guards against a forwarded key on a route that needs none."""
        request = keyed(b"Token x-1", extra=[(b"X-Limpethollow-Tenant", b"forged")])
        head = self.sent(Admission(tenant()), request, public=True).lower()
        assert b"tenant" not in head
        assert b"authorization" not in head

    def test_without_teams_the_header_passes_unchanged(self):
        """Guards against a change for deployments without teams."""
        head = self.sent(Admission(), keyed(b"Basic abc"))
        assert b"Authorization: Basic abc\r\n" in head


class TestFingerprint:
    def test_teams_differ_and_keys_do_not_count(self):
        """Guards against one team's crashing request that blocks the same one of another team."""
        second = b"k-second"
        blue = Tenant("blue", (key_digest(KEY), key_digest(second)))
        admission = Admission(blue, tenant("red", b"k-red"))
        found = []
        for key in (KEY, second, b"k-red"):
            request = keyed(b"Token " + key)
            before = request.fingerprint
            admission.admit(request)
            assert request.fingerprint != before
            found.append(request.fingerprint)
        assert found[0] == found[1] != found[2]

    def test_a_rejected_request_has_one_that_does_not_depend_on_its_key(self):
        """Guards against a logged digest by which guesses of a key can be checked."""
        found = set()
        for key in (b"guess-1", b"guess-2"):
            request = keyed(b"Token " + key)
            admission = Admission(tenant())
            with pytest.raises(KeyRejected):
                admission.admit(request)
            admission.access.hide_key(request)
            found.add(request.fingerprint)
        assert len(found) == 1


class TestLogs:
    def test_no_log_line_or_reply_contains_the_key(self, caplog):
        """Guards against a key in a log, an error or a representation."""
        caplog.set_level(logging.DEBUG)
        engine = Engine(VirtualDispatch(), CurrentVersion())
        engine.desk = NoDesk()
        replies = []
        for first in (KEY, b"guess"):
            exchanges = [keyed(b"Token " + first), keyed(b"Token " + first, b"Token " + KEY)]
            for request in exchanges:
                exchange = VirtualExchange(request, 100.0)
                engine.handle(exchange)
                replies += exchange.replies
                engine.use_version(version(1, tenant(), shards=("a",), top=1))
                engine.versions.confirm(100.0)
                exchange = VirtualExchange(request, 100.0)
                engine.handle(exchange)
                replies += exchange.replies
                assert KEY.decode() not in repr(request)
        assert {reply.status for reply in replies} == {400, 401, 503}
        texts = [str(vars(record)) for record in caplog.records] + [str(r) for r in replies]
        assert texts
        assert not any(KEY.decode() in text or "guess" in text for text in texts)
