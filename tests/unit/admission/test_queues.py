"""Admission policies, event by event."""

import itertools

import pytest

from limpethollow_policy.process.admissions import AdmissionLimits, make_queue, policy_names
from limpethollow_policy.process.admissions_waits import DrainRate
from limpethollow_policy.request.events import Search
from limpethollow_policy.request.gathers import Gather
from limpethollow_wire.exceptions import BadRequest
from limpethollow_wire.services import Objective

FAIR = tuple(sorted(set(policy_names()) - {"fifo"}))
_numbers = itertools.count()


def gather(firm, shards=1, now=0.0):
    search = Search(f"{firm}-{next(_numbers)}", firm, {}, frozenset(range(shards)), 100.0, epoch=1)
    return Gather(search, Objective(), now)


def queue_of(policy, max_queue=100, **shares):
    return make_queue(policy, AdmissionLimits(max_queue, shares))


def fill(queue, **counts):
    for firm, count in counts.items():
        for _ in range(count):
            assert queue.offer(gather(firm)) is None


def popped(queue, count, now=0.0):
    """Take out searches as if each ended at once."""
    return [g.search.firm for g in (queue.pop(now) for _ in range(count)) if g]


class TestEveryPolicy:
    @pytest.mark.parametrize("policy", policy_names())
    def test_each_search_comes_out_once_and_firms_keep_their_order(self, policy):
        queue = queue_of(policy, a=1, b=2)
        offered = [gather(firm) for firm in "abbaabab"]
        assert all(queue.offer(one) is None for one in offered)
        taken = [queue.pop(0.0) for _ in offered]
        assert sorted(g.search.id for g in taken) == sorted(g.search.id for g in offered)
        for firm in "ab":
            assert [g for g in taken if g.search.firm == firm] == [
                g for g in offered if g.search.firm == firm
            ]
        assert (len(queue), queue.pop(0.0)) == (0, None)

    @pytest.mark.parametrize("policy", policy_names())
    def test_removed_search_does_not_come_out(self, policy):
        queue = queue_of(policy, a=1, b=1)
        gone, stays = gather("a"), gather("b")
        queue.offer(gone)
        queue.offer(stays)
        queue.remove(gone)
        queue.remove(gone)
        assert list(queue) == [stays]
        assert queue.pop(0.0) is stays

    @pytest.mark.parametrize("policy", policy_names())
    def test_queue_never_grows_over_its_bound(self, policy):
        queue = queue_of(policy, max_queue=6, a=1, b=1, c=1)
        for firm in "aaaaaaabbbbbbbccccccc":
            queue.offer(gather(firm))
            assert len(queue) <= 6

    @pytest.mark.parametrize("policy", policy_names())
    def test_firm_alone_is_refused_its_own_newest_search(self, policy):
        queue = queue_of(policy, max_queue=3, a=1)
        fill(queue, a=3)
        newest = gather("a")
        assert queue.offer(newest) is newest

    def test_unknown_policy_is_refused_with_the_known_names(self):
        with pytest.raises(BadRequest, match="least_usage"):
            queue_of("lottery")


class TestFlood:
    @pytest.mark.parametrize("policy", FAIR)
    def test_firm_under_its_share_starts_within_one_turn_of_each_other_firm(self, policy):
        """A driver's search waits behind hundreds of a rival firm's searches and comes too late.

        The rival floods first, then the driver's firm sends one search. The cause is one order of
        arrival for all firms.
        """
        queue = queue_of(policy, flood=1, calm=1)
        fill(queue, flood=40)
        popped(queue, 2)
        fill(queue, calm=1)
        assert "calm" in popped(queue, 2)

    @pytest.mark.parametrize("policy", FAIR)
    def test_full_queue_refuses_the_flooding_firm_only(self, policy):
        """A driver is refused although his firm sent a single search.

        The rival's searches fill the queue, then the driver's arrives. The cause is a bound that
        does not ask whose searches fill it.
        """
        queue = queue_of(policy, max_queue=8, flood=1, calm=1)
        for _ in range(20):
            queue.offer(gather("flood"))
        refused = [queue.offer(gather("calm")) for _ in range(3)]
        assert {out.search.firm for out in refused if out} <= {"flood"}

    def test_fifo_lets_a_flood_refuse_everyone(self):
        queue = queue_of("fifo", max_queue=8, flood=1, calm=1)
        fill(queue, flood=8)
        calm = gather("calm")
        assert queue.offer(calm) is calm

    @pytest.mark.parametrize("policy", FAIR)
    def test_firm_without_backlog_is_told_no_wait_and_the_flooding_firm_its_own(self, policy):
        queue = queue_of(policy, flood=1, calm=1)
        fill(queue, flood=60)
        for number in range(40):
            queue.pop(number * 0.05)
        assert queue.wait("calm", now=39 * 0.05) == 0.0
        assert queue.wait("flood", now=39 * 0.05) == pytest.approx(20 * 0.05, rel=0.05)

    def test_fifo_tells_everyone_the_wait_of_all(self):
        queue = queue_of("fifo", flood=1, calm=1)
        fill(queue, flood=60)
        for number in range(40):
            queue.pop(number * 0.05)
        assert queue.wait("calm", now=39 * 0.05) == pytest.approx(20 * 0.05, rel=0.05)


class TestLeastUsage:
    @pytest.mark.parametrize(
        ("shares", "expected"),
        [
            ({"a": 1, "b": 1}, {"a": 10, "b": 10}),
            ({"a": 3, "b": 1}, {"a": 15, "b": 5}),
            ({"a": 0.5, "b": 1.5}, {"a": 5, "b": 15}),
        ],
    )
    def test_backlogged_firms_start_by_their_shares(self, shares, expected):
        queue = queue_of("least_usage", **shares)
        fill(queue, a=40, b=40)
        out = popped(queue, 20)
        assert {firm: out.count(firm) for firm in "ab"} == expected

    def test_wide_searches_use_up_more_than_narrow_ones(self):
        queue = queue_of("least_usage", a=1, b=1)
        for _ in range(20):
            queue.offer(gather("a", shards=4))
            queue.offer(gather("b", shards=1))
        out = popped(queue, 20)
        assert (out.count("a"), out.count("b")) == (4, 16)

    def test_burst_of_a_firm_under_its_share_goes_before_a_flood(self):
        """Four drivers of one firm search at once, and the last waits four rounds of a flood.

        The rival has used all slots for seconds; then the four come together. The cause is turns
        that forget what the firm left unused before.
        """
        queue = queue_of("least_usage", flood=1, calm=1)
        fill(queue, flood=60)
        popped(queue, 40)
        fill(queue, calm=4)
        assert popped(queue, 5) == ["calm"] * 4 + ["flood"]

    def test_use_of_long_ago_is_forgotten(self):
        queue = queue_of("least_usage", a=1, b=1)
        fill(queue, a=40)
        popped(queue, 40)
        fill(queue, a=5, b=5)
        assert popped(queue, 10, now=60.0).count("b") == 5
        fill(queue, a=5, b=5)
        assert sorted(popped(queue, 2, now=60.0)) == ["a", "b"]


class TestDrainRate:
    def test_interval_between_starts_gives_the_wait(self):
        drain = DrainRate()
        for number in range(200):
            drain.started(number * 0.05, still_waiting=5)
        assert drain.wait(4, now=199 * 0.05) == pytest.approx(0.2, rel=0.01)

    def test_pause_without_waiting_searches_does_not_count(self):
        drain = DrainRate()
        drain.started(0.0, still_waiting=0)
        before = drain.wait(1, now=0.0)
        drain.started(1000.0, still_waiting=0)
        assert drain.wait(1, now=1000.0) == before

    def test_queue_that_stands_still_counts_with_the_time_it_stood(self):
        drain = DrainRate()
        drain.started(0.0, still_waiting=3)
        assert drain.wait(2, now=1.0) == 1.0

    @pytest.mark.parametrize("policy", policy_names())
    def test_queue_that_emptied_without_a_start_is_not_taken_for_one_that_stands(self, policy):
        """A driver alone is refused because "the wait would be too long", minutes after a rush.

        The last waiting search of the rush expired; nothing was started after it. The cause is an
        idle queue taken for one that stands still.
        """
        queue = queue_of(policy, a=1)
        first, last = gather("a"), gather("a")
        queue.offer(first)
        queue.offer(last)
        queue.pop(0.0)
        queue.remove(last)
        fill(queue, a=1)
        assert queue.wait("a", now=60.0) < 0.1
