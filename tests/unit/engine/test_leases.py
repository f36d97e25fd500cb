"""The lease of the keys: generated faults, the order of asks, and calls that wait too long."""

import asyncio

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from limpethollow_node.engine.connection.clients import ClientConnection
from limpethollow_node.engine.frames import Batch, BatchCall, BatchFailure
from limpethollow_node.engine.process.access import KeyBounds
from limpethollow_node.engine.process.engine import Engine
from limpethollow_node.engine.process.pools import Call, ConnectionAge, Pool, SendWithheld
from limpethollow_node.engine.request.batchexecutions import BatchExecution
from limpethollow_node.platform.headers import HEADERS
from limpethollow_policy.process.leases import KeyLease
from limpethollow_policy.request.verdicts import Verdict
from limpethollow_policy.version.routes import (
    CallerLimits,
    CurrentVersion,
    RoutingVersion,
    WeightedService,
)
from limpethollow_policy.version.tenants import Tenant, key_digest
from tests.support.searches import NoDesk, VirtualExchange
from tests.support.virtual import VirtualDispatch, lose, request, route

REVOKE = 5.0
NODES = 3
nodes = st.integers(0, NODES - 1)


class Node:
    """One process: its version, its lease, and whether it is suspended."""

    def __init__(self, lease: KeyLease, version: int) -> None:
        self.lease = lease
        self.version = version
        self.suspended = False


class LeaseMachine(RuleBasedStateMachine):
    """Instances, a store and a network that delays, loses, doubles and reorders all messages.

    Each version revokes a key. No instance may send with the keys of an older version later than
    `REVOKE` after the store accepted the newer one. A message that is never delivered stands for a
    partition.
    """

    lease_type = KeyLease

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.accepted = [self.now]
        self.nodes = [Node(self.lease_type(REVOKE), 0) for _ in range(NODES)]
        # Each message is a node whose restart cuts it off, and what its delivery does.
        self.messages: list[tuple[Node, object]] = []

    def _post(self, node: Node, deliver) -> None:
        self.messages.append((node, deliver))

    @rule(seconds=st.sampled_from([0.05, 0.3, 0.9, 2.0, 4.0]))
    def time_passes(self, seconds):
        self.now += seconds

    @rule()
    def operator_revokes(self):
        self.accepted.append(self.now)

    @rule(at=nodes)
    def node_reads_the_store(self, at):
        node, started = self.nodes[at], self.now

        def at_store() -> None:
            found = len(self.accepted) - 1
            self._post(node, lambda: arrives(found))

        def arrives(found: int) -> None:
            node.version = max(node.version, found)
            node.lease.store_answered(started)

        if not node.suspended:
            self._post(node, at_store)

    @rule(at=nodes, order=st.permutations(range(NODES)), reads=st.booleans())
    def node_asks(self, at, order, reads):
        node = self.nodes[at]
        if node.suspended:
            return
        names = [str(other) for other in order if other != at]
        for ask in node.lease.asks(names, self.now, reads_store=reads):
            peer = self.nodes[int(ask.peer)]
            self._post(peer, lambda peer=peer, ask=ask: self._answer(peer, node, ask))

    def _answer(self, peer: Node, node: Node, ask) -> None:
        version, age = peer.version, peer.lease.stated_age(self.now)

        def arrives() -> None:
            same = version == node.version
            node.lease.granted(ask.peer, ask.number, same_version=same, age=age)

        self._post(node, arrives)

    @precondition(lambda self: self.messages)
    @rule(data=st.data(), doubled=st.booleans())
    def a_message_arrives(self, data, doubled):
        index = data.draw(st.integers(0, len(self.messages) - 1))
        node, deliver = self.messages[index]
        if node.suspended:
            return
        if not doubled:
            del self.messages[index]
        deliver()

    @rule(at=nodes, other=nodes)
    def a_version_spreads(self, at, other):
        if not self.nodes[at].suspended:
            self.nodes[at].version = max(self.nodes[at].version, self.nodes[other].version)

    @rule(at=nodes)
    def suspend_or_resume(self, at):
        self.nodes[at].suspended = not self.nodes[at].suspended

    @rule(at=nodes, other=nodes)
    def node_restarts_from_a_copy(self, at, other):
        old = self.nodes[at]
        self.nodes[at] = Node(self.lease_type(REVOKE), self.nodes[other].version)
        self.messages = [(node, deliver) for node, deliver in self.messages if node is not old]

    @invariant()
    def no_revoked_key_is_sent(self):
        for node in self.nodes:
            if node.version + 1 < len(self.accepted) and node.lease.holds(self.now):
                assert self.now - self.accepted[node.version + 1] <= REVOKE


class AgelessLease(KeyLease):
    """Faulty: takes a peer's confirmation for as old as the ask."""

    def granted(self, peer, number, *, same_version, age):
        super().granted(peer, number, same_version=same_version, age=0.0)


class EarlyLease(KeyLease):
    """Faulty: takes a read of the store for up to five seconds newer than its start."""

    def store_answered(self, started_at):
        super().store_answered(started_at + 5.0)


def check(lease: type[KeyLease], examples: int, *phases: Phase) -> None:
    machine = type("Machine", (LeaseMachine,), {"lease_type": lease})
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=40,
            deadline=None,
            derandomize=True,
            database=None,
            phases=phases or tuple(Phase),
        ),
    )


class TestGenerated:
    def test_no_key_outlives_its_revocation(self):
        """Guards against a revoked key that works at a cut-off, suspended or restarted instance."""
        check(KeyLease, 400)

    @pytest.mark.parametrize("faulty", [AgelessLease, EarlyLease])
    def test_the_generator_finds_deliberate_faults(self, faulty):
        """Guards against generated orders in which a wrong lease passes."""
        with pytest.raises(AssertionError):
            check(faulty, 3000, Phase.generate)


class TestAge:
    def pair(self, kind: type[KeyLease]) -> KeyLease:
        """Return the lease of an instance that asks, at 104, a peer that read the store at 100."""
        peer, own = kind(REVOKE), kind(REVOKE)
        peer.store_answered(100.0)
        (ask,) = own.asks(["p"], 104.0, reads_store=False)
        own.granted("p", ask.number, same_version=True, age=peer.stated_age(104.0))
        return own

    def test_a_lease_from_a_peer_ends_with_that_of_the_peer(self):
        """Guards against two cut-off instances that confirm each other's version forever."""
        lease = self.pair(KeyLease)
        assert lease.holds(104.6)
        assert not lease.holds(104.7)

    def test_without_the_age_of_the_confirmation_it_outlives_the_bound(self):
        """Shows that the age is needed: a key revoked at 100.1 would be sent at 108."""
        assert self.pair(AgelessLease).holds(108.0)

    def test_a_late_or_repeated_answer_counts_once_and_not_for_the_next_round(self):
        """Guards against a lease that is renewed by frames which waited on a link."""
        lease = KeyLease(REVOKE)
        (first,) = lease.asks(["p"], 100.0, reads_store=False)
        (second,) = lease.asks(["p"], 101.0, reads_store=False)
        lease.granted("p", first.number, same_version=True, age=0.0)
        assert not lease.holds(101.0)
        lease.granted("q", second.number, same_version=True, age=0.0)
        lease.granted("p", second.number, same_version=False, age=0.0)
        lease.granted("p", second.number, same_version=True, age=0.0)
        assert not lease.holds(101.0)


class TestAsks:
    def names(self, lease: KeyLease, now: float, peers="abcdef", *, reads=False) -> str:
        return "".join(ask.peer for ask in lease.asks(peers, now, reads_store=reads))

    def test_the_first_peer_is_asked_once_a_second_while_it_answers(self):
        """Guards against a load that grows with the number of links."""
        lease = KeyLease(REVOKE)
        for second in (100.0, 101.0, 102.0):
            (ask,) = lease.asks("abc", second, reads_store=False)
            lease.granted("a", ask.number, same_version=True, age=1.0)
            assert self.names(lease, second + 0.5) == ""

    def test_the_others_are_asked_when_it_does_not_answer(self):
        """Guards against a relay that hangs and takes the leases of its failure domain along."""
        lease = KeyLease(REVOKE)
        assert self.names(lease, 100.0) == "a"
        assert self.names(lease, 100.2) == ""
        assert self.names(lease, 100.35) == "bcd"
        assert self.names(lease, 100.5) == ""
        assert self.names(lease, 100.7) == "ef"
        assert self.names(lease, 101.0) == "a"

    def test_the_others_are_asked_at_once_when_its_link_is_lost_or_its_age_is_high(self):
        """Guards against a wait where it is known that the first peer is of no use."""
        lease = KeyLease(REVOKE)
        assert self.names(lease, 100.0) == "a"
        assert self.names(lease, 100.1, "bcdef") == "bcd"
        lease = KeyLease(REVOKE)
        (ask,) = lease.asks("ab", 100.0, reads_store=False)
        lease.granted("a", ask.number, same_version=True, age=2.6)
        assert self.names(lease, 100.1) == "bcd"

    def test_a_reader_asks_only_while_its_reads_fail(self):
        """Guards against frames that a reader of the store does not need."""
        lease = KeyLease(REVOKE)
        lease.store_answered(100.0)
        assert self.names(lease, 101.5, reads=True) == ""
        assert self.names(lease, 101.7, reads=True) == "a"


class Keyed:
    """An engine with strict revocation, one team, and one searcher of the service `one`."""

    def __init__(self, **fields) -> None:
        self.dispatch = VirtualDispatch()
        self.dispatch.add("one", "one-1")
        self.dispatch.add("one", "one-2")
        self.engine = Engine(self.dispatch, CurrentVersion())
        self.engine.desk = NoDesk()
        self.access = self.engine.access
        self.access.bounds = KeyBounds(5.0, strict_revoke=True)
        self.uptime = 100.0
        self.access.uptime = lambda: self.uptime
        self.access.lease.store_answered(100.0)
        self._fields = {"targets": (WeightedService("one"),), **fields}
        self.use(1, Tenant("blue", (key_digest(b"k"),)))

    def use(self, number: int, *tenants: Tenant) -> None:
        found = RoutingVersion(number, (route(**self._fields),), {}, CallerLimits(), tenants)
        self.engine.use_version(found)

    def ask(self) -> VirtualExchange:
        asked = request()
        asked.headers.append((HEADERS.key, b"Token k"))
        exchange = VirtualExchange(asked, self.dispatch.loop.time())
        self.engine.handle(exchange)
        return exchange

    def lapse(self) -> None:
        self.uptime += 4.7
        self.engine.end_forbidden()


def codes(exchange: VirtualExchange) -> list[tuple[int, bool]]:
    return [(reply.status, b"lease_lapsed" in reply.body) for reply in exchange.replies]


class TestRequests:
    def test_without_a_lease_a_key_is_refused_and_public_routes_go_on(self):
        """Guards against a revoked key that runs, and against an outage of public routes."""
        keyed, public = Keyed(), Keyed(public=True)
        for system in (keyed, public):
            system.lapse()
        exchange = keyed.ask()
        assert codes(exchange) == [(503, True)]
        assert 0.25 <= float(exchange.replies[0].header(b"retry-after")) <= 0.5
        assert keyed.dispatch.played == []
        assert codes(public.ask()) == []
        assert len(public.dispatch.played) == 1

    def test_one_that_waits_for_a_connection_ends_at_once(self):
        """Guards against a caller that waits for a request that can no longer be sent."""
        system = Keyed(idempotent=False)
        exchange = system.ask()
        system.lapse()
        assert codes(exchange) == [(503, True)]

    def test_one_that_may_have_run_gets_no_503(self):
        """Guards against a caller that repeats an unsafe request which has run."""
        system = Keyed(idempotent=False)
        exchange = system.ask()
        _, call = system.dispatch.played[0]
        call.sent = True
        system.lapse()
        assert codes(exchange) == []
        lose(call)
        assert [status for status, _ in codes(exchange)] == [502]

    def test_neither_a_retry_nor_a_hedge_is_sent(self):
        """Guards against a second send that outlives the lease of the first."""
        system = Keyed()
        exchange = system.ask()
        _, call = system.dispatch.played[0]
        call.sent = True
        system.uptime += 4.7
        system.dispatch.loop.run(system.dispatch.loop.time() + 0.3)
        lose(call)
        assert len(system.dispatch.played) == 1
        assert [status for status, _ in codes(exchange)] == [502]

    def test_one_whose_key_is_revoked_while_it_waits_is_rejected(self):
        """Guards against a queued request that outlives its key although the lease holds."""
        system = Keyed()
        exchange = system.ask()
        system.use(2, Tenant("red", (key_digest(b"other"),)))
        assert [status for status, _ in codes(exchange)] == [401]

    def test_an_unknown_key_is_rejected_only_while_the_confirmation_is_recent(self):
        """Guards against a wrong 401 after a suspension, which the monotonic clock leaves out."""
        system = Keyed()
        system.use(2, Tenant("red", (key_digest(b"other"),)))
        assert [status for status, _ in codes(system.ask())] == [401]
        system.uptime += 5.1
        assert [status for status, _ in codes(system.ask())] == [503]


class TestCarrier:
    def run_batch(self, system: Keyed, *fields) -> list:
        sent = []
        link = type("Link", (), {"send": staticmethod(sent.append)})()
        head = b"GET / HTTP/1.1\r\n"
        batch = Batch(
            1, head, b"", b"r1", [BatchCall("one", "one-1")], 5, 1.0, 0.02, 100.0, *fields
        )
        BatchExecution(system.dispatch, link, batch, lambda: None).start()
        return [f.verdict for f in sent if isinstance(f, BatchFailure)]

    def test_it_checks_its_own_lease_and_version(self):
        """Guards against a carrier that sends for a key which its own version has revoked."""
        known = (key_digest(b"k"), "blue", 1)
        refused = [Verdict.NOT_SENT.value]
        assert self.run_batch(Keyed(), *known) == []
        assert self.run_batch(Keyed(), b"", "", 1) == []
        assert self.run_batch(Keyed(), key_digest(b"x"), "blue", 1) == refused
        assert self.run_batch(Keyed(), key_digest(b"k"), "red", 1) == refused
        # A version without teams forwards the caller's headers, which may contain a key.
        assert self.run_batch(Keyed()) == refused
        system = Keyed()
        system.lapse()
        assert self.run_batch(system, *known) == refused
        assert system.dispatch.played == []

    def test_a_call_that_waits_there_is_checked_again(self):
        """Guards against a delegated call that is written after the carrier's lease lapsed."""
        system = Keyed()
        self.run_batch(system, key_digest(b"k"), "blue", 1)
        ((_, call),) = system.dispatch.played
        assert call.may_send()
        system.lapse()
        assert not call.may_send()


class TestConnections:
    def test_a_call_that_waited_too_long_fails_without_a_byte(self):
        """Guards against a write to a connection that became free after the lease lapsed."""

        async def play() -> tuple[Exception, bool, int, bytes]:
            received, allowed = bytearray(), True

            async def serve(reader, writer):
                while data := await reader.read(65536):
                    received.extend(data)
                    await asyncio.sleep(0.1)
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            pool = Pool(f"{host}:{port}", 1.0, lambda error: None)
            loop = asyncio.get_running_loop()
            first, second, third = (loop.create_future() for _ in range(3))
            calls = [
                Call(
                    lambda number=number: b"GET /%d HTTP/1.1\r\n\r\n" % number,
                    waiter.set_result,
                    waiter.set_exception,
                    age=ConnectionAge.ANY,
                    head=False,
                    may_send=(lambda: allowed) if number == 2 else (lambda: True),
                )
                for number, waiter in enumerate((first, second, third), 1)
            ]
            async with server:
                for call in calls:
                    pool.send(call)
                await asyncio.sleep(0.05)
                allowed = False
                await asyncio.wait_for(asyncio.gather(first, third), 5)
                error = second.exception()
                pool.close()
            return error, calls[1].sent, len(received.split(b"GET")) - 1, bytes(received)

        error, sent, requests, received = asyncio.run(play())
        assert isinstance(error, SendWithheld)
        assert not sent
        assert requests == 2
        assert b"/2" not in received

    def test_the_end_of_a_long_request_is_not_written_without_a_lease(self):
        """Guards against a buffer that is flushed to a searcher after a suspension."""

        async def play(allowed: bool) -> int:
            received, go_on = bytearray(), asyncio.Event()

            async def serve(reader, writer):
                await go_on.wait()
                while data := await reader.read(1 << 20):
                    received.extend(data)
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1024)
            host, port = server.sockets[0].getsockname()
            loop = asyncio.get_running_loop()
            _, connection = await loop.create_connection(
                lambda: ClientConnection(lambda _: None, lambda _: None), host, port
            )
            failed = []
            connection.send(
                b"x" * (32 << 20),
                lambda _: None,
                failed.append,
                head=False,
                may_send=lambda: allowed,
            )
            await asyncio.sleep(0.05)
            assert failed == []
            go_on.set()
            async with server:
                for _ in range(100):
                    await asyncio.sleep(0.02)
                    if failed or len(received) == 32 << 20:
                        break
                connection.close()
                await asyncio.sleep(0.02)
            assert bool(failed) is not allowed
            return len(received)

        assert asyncio.run(play(allowed=True)) == 32 << 20
        assert asyncio.run(play(allowed=False)) < 32 << 20
