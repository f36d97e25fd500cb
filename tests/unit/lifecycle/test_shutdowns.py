"""The graceful shutdown as a state machine."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limpethollow_policy.process.shutdowns import (
    ABORT_RESERVE_SECONDS,
    NOTIFY_SECONDS,
    QUIET_PERIOD_SECONDS,
    REFUSE_SHARE,
    TRANSIT_SECONDS,
    Exit,
    ExitReason,
    GiveUp,
    InstanceState,
    NotifyPeer,
    OpenWork,
    RefuseTokens,
    RouteHoldTracker,
    Shutdown,
)

BOUND = 30.0
IDLE = OpenWork(requests=0, last_arrival=0.0)
BUSY = OpenWork(requests=1, last_arrival=0.0)


def leaving(held: float = 0.0, peers: tuple[str, ...] = (), ttl: float = 5.0) -> Shutdown:
    shutdown = Shutdown(linger=0.0, bound=BOUND)
    shutdown.started(0.0)
    shutdown.asked(0.0, held=held, peers=peers, longest_ttl=ttl)
    return shutdown


def exit_time(shutdown: Shutdown, work: OpenWork = IDLE) -> float:
    """Tick every tenth of a second until the exit, and return when it came."""
    for tenth in range(1000):
        if any(isinstance(action, Exit) for action in shutdown.tick(work, tenth / 10)):
            return tenth / 10
    raise AssertionError("no exit")


class TestLeaving:
    def test_first_signal_refuses_tokens_and_tells_every_peer(self):
        shutdown = Shutdown(linger=0.0, bound=BOUND)
        shutdown.started(0.0)
        actions = shutdown.asked(1.0, held=0.0, peers=("n1", "n2"), longest_ttl=5.0)
        assert actions == [RefuseTokens(), NotifyPeer("n1"), NotifyPeer("n2")]
        assert shutdown.state is InstanceState.LEAVING
        assert not shutdown.asks_to_close

    @pytest.mark.parametrize(
        ("own", "peer", "until"),
        [
            (0.0, 0.0, 0.0),
            (3.0, 0.0, 3.0 + TRANSIT_SECONDS),
            (0.0, 4.0, 4.0 + TRANSIT_SECONDS),
            (3.0, 4.0, 4.0 + TRANSIT_SECONDS),
            (4.0, 3.0, 4.0 + TRANSIT_SECONDS),
        ],
    )
    def test_it_stays_until_the_last_route_answer_that_names_it_has_expired(self, own, peer, until):
        """A caller connects to an address from its route and finds the instance gone.

        A peer gave that answer a moment before it heard of the leaving; the instance waited for its
        own answers only.
        """
        shutdown = leaving(held=own, peers=("n1",))
        shutdown.peer_notified("n1", peer, 0.0)
        assert shutdown.held_until == until
        if until:
            shutdown.tick(IDLE, until - 0.01)
            assert shutdown.state is InstanceState.LEAVING
        shutdown.tick(IDLE, until)
        assert shutdown.state is InstanceState.CLOSING
        assert shutdown.asks_to_close

    def test_it_does_not_close_before_every_peer_was_told(self):
        """A caller gets the address from a peer that was never told, and finds it gone."""
        shutdown = leaving(peers=("n1",))
        shutdown.tick(IDLE, NOTIFY_SECONDS)
        assert shutdown.state is InstanceState.LEAVING
        assert shutdown.peer_not_notified("n1", 0.5) == [NotifyPeer("n1")]

    def test_peer_that_cannot_be_told_counts_as_naming_it_for_a_while_only(self):
        """A dead peer is still listed; a shutdown that waits for its word would never end."""
        shutdown = leaving(peers=("n1",), ttl=3.0)
        assert shutdown.peer_not_notified("n1", NOTIFY_SECONDS) == []
        assert shutdown.held_until == NOTIFY_SECONDS + 3.0 + TRANSIT_SECONDS

    def test_peer_that_the_lagging_list_shows_later_is_told_too(self):
        shutdown = leaving(peers=("n1",))
        assert shutdown.peers_listed(("n1", "n2")) == [NotifyPeer("n2")]
        assert shutdown.peers_listed(("n1", "n2")) == []

    def test_signal_during_the_start_is_kept(self):
        """A rolling replacement stops an instance that has just been started.

        The end of the start must not bring it back to serving.
        """
        shutdown = Shutdown(linger=0.0, bound=BOUND)
        shutdown.asked(0.0, held=0.0, peers=(), longest_ttl=0.0)
        shutdown.started(0.1)
        assert shutdown.state is InstanceState.LEAVING
        assert exit_time(shutdown) <= QUIET_PERIOD_SECONDS + 0.2


class TestClosing:
    def test_open_request_holds_the_exit(self):
        shutdown = leaving()
        assert shutdown.tick(BUSY, 1.0) == shutdown.tick(BUSY, 5.0) == []
        assert shutdown.tick(IDLE, 5.1) == [Exit(ExitReason.DRAINED)]

    def test_request_on_a_kept_connection_starts_the_quiet_time_anew(self):
        """A booking arrives just as the server closes its kept connection as idle.

        The caller sees a reset and does not know whether the booking ran.
        """
        shutdown = leaving()
        shutdown.tick(IDLE, 1.0)
        arrived = OpenWork(requests=0, last_arrival=1.4)
        assert shutdown.tick(arrived, 1.4 + QUIET_PERIOD_SECONDS - 0.01) == []
        assert shutdown.tick(arrived, 1.4 + QUIET_PERIOD_SECONDS) == [Exit(ExitReason.DRAINED)]


class TestGivingUp:
    def test_bound_ends_the_waiting_and_leaves_time_for_typed_answers(self):
        shutdown = leaving()
        shutdown.tick(BUSY, 0.0)
        assert shutdown.tick(BUSY, BOUND - ABORT_RESERVE_SECONDS) == [GiveUp(ExitReason.BOUND)]
        assert shutdown.tick(BUSY, BOUND - 0.1) == []
        assert shutdown.tick(BUSY, BOUND) == [Exit(ExitReason.BOUND)]

    def test_bound_holds_also_where_addresses_have_not_expired(self):
        shutdown = leaving(held=10 * BOUND)
        assert exit_time(shutdown) <= BOUND

    def test_second_signal_ends_the_waiting_at_once(self):
        shutdown = leaving(held=20.0)
        actions = shutdown.asked(1.0, held=20.0, peers=(), longest_ttl=0.0)
        assert actions == [GiveUp(ExitReason.SECOND_SIGNAL)]
        assert shutdown.tick(IDLE, 1.0) == [Exit(ExitReason.SECOND_SIGNAL)]

    def test_third_signal_changes_nothing(self):
        shutdown = leaving()
        shutdown.asked(1.0, held=0.0, peers=(), longest_ttl=0.0)
        assert shutdown.asked(1.1, held=0.0, peers=(), longest_ttl=0.0) == []


class TestEveryOrder:
    EVENTS = st.sampled_from(["told", "not_told", "busy", "idle", "arrival", "listed", "signal"])

    @settings(derandomize=True, max_examples=500)
    @given(st.lists(st.tuples(EVENTS, st.floats(0.0, 3.0)), max_size=30), st.floats(0.0, 40.0))
    def test_exit_comes_once_within_the_bound_and_never_early(self, steps, held):
        """No order of events leaves callers early or holds the exit past the bound.

        A caller that holds the address finds the instance there, unless the bound or a second
        signal ended the waiting.
        """
        shutdown = leaving(held=held, peers=("n1", "n2"))
        now, work, exits, gave_up = 0.0, IDLE, [], False
        for event, pause in steps:
            now += pause
            actions = []
            match event:
                case "told":
                    shutdown.peer_notified("n1", pause, now)
                case "not_told":
                    actions += shutdown.peer_not_notified("n2", now)
                case "busy":
                    work = BUSY
                case "idle":
                    work = OpenWork(0, work.last_arrival)
                case "arrival":
                    work = OpenWork(work.requests, now)
                case "listed":
                    actions += shutdown.peers_listed(("n1", "n2", "n3"))
                case "signal":
                    actions += shutdown.asked(now, held=0.0, peers=(), longest_ttl=1.0)
            actions += shutdown.tick(work, now)
            gave_up |= any(isinstance(action, GiveUp) for action in actions)
            for action in actions:
                if isinstance(action, Exit):
                    exits.append(now)
                    assert gave_up or (now >= held and not work.requests)
        shutdown.tick(work, max(now, BOUND))
        shutdown.tick(work, max(now, BOUND) + ABORT_RESERVE_SECONDS)
        assert len(exits) <= 1
        assert shutdown.state is InstanceState.EXITED


class TestRoutesGiven:
    def test_longest_answer_counts(self):
        given_here = RouteHoldTracker()
        given_here.answered(("n0", "n1"), 5.0, 10.0)
        given_here.answered(("n0",), 1.0, 11.0)
        assert given_here.held("n0", 12.0) == 3.0
        assert given_here.held("n2", 12.0) == 0.0

    def test_expired_answers_leave_nothing_behind(self):
        given_here = RouteHoldTracker()
        given_here.answered(("n0",), 5.0, 0.0)
        given_here.forget_expired(5.0)
        assert given_here.held("n0", 0.0) == 0.0


class TestLateWork:
    """Guards against requests that are passed on with less time left than they may take."""

    def test_work_is_refused_in_the_last_part_of_the_grace(self):
        shutdown = leaving(held=BOUND)
        assert not shutdown.refuses_work(REFUSE_SHARE * BOUND - 0.1)
        assert shutdown.refuses_work(REFUSE_SHARE * BOUND)

    def test_work_is_refused_after_giving_up(self):
        shutdown = leaving()
        shutdown.asked(1.0, held=0.0, peers=(), longest_ttl=0.0)
        assert shutdown.refuses_work(1.0)

    def test_instance_that_serves_refuses_none(self):
        shutdown = Shutdown(linger=0.0, bound=BOUND)
        shutdown.started(0.0)
        assert not shutdown.refuses_work(10 * BOUND)
