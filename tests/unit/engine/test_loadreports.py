"""What searchers say of their load: how it is read, how long it counts, what is admitted by it."""

import logging
from random import Random

import pytest

from limpethollow_node.engine.frames import BatchParts, decode_frame, encode_frame
from limpethollow_node.engine.messages import Reply
from limpethollow_node.engine.request.replychecks import load_report_of
from limpethollow_node.platform.codec import decode_load
from limpethollow_node.platform.headers import HEADERS
from limpethollow_policy.process.fleets import Fleet
from limpethollow_policy.process.loadreports import LoadReport, QueueTarget
from limpethollow_policy.process.searchers import Searcher
from limpethollow_wire.exceptions import BadRequest
from tests.support.overload import Load, Tally, World


@pytest.fixture(autouse=True)
def quiet_logs():
    """Thousands of requests a play would each write a line."""
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


class TestHeader:
    def test_three_numbers_and_a_fourth_where_there_is_one(self):
        assert decode_load(b"3,1,8") == LoadReport(3, 1, 8, 100)
        assert decode_load(b"3, 1, 8, 400") == LoadReport(3, 1, 8, 400)

    @pytest.mark.parametrize("value", [b"", b"3,1", b"a,1,8", b"3,-1,8", b"3,1,0", b"1,2,3,4,5"])
    def test_anything_else_is_refused_and_spoils_no_reply(self, value):
        with pytest.raises(BadRequest):
            decode_load(value)
        assert load_report_of(Reply(200, [(HEADERS.load, value)]), HEADERS) is None

    @pytest.mark.parametrize("digits", [10, 400, 5000])
    def test_a_number_out_of_range_is_refused_and_spoils_no_reply(self, digits):
        """Guards against a conversion error that ends the handling of the reply."""
        value = b"1," + b"9" * digits + b",2"
        with pytest.raises(BadRequest):
            decode_load(value)
        assert load_report_of(Reply(200, [(HEADERS.load, value)]), HEADERS) is None

    def test_a_searcher_may_say_nothing(self):
        assert load_report_of(Reply(200, []), HEADERS) is None


class TestFrames:
    def test_loads_of_a_batch_reach_the_instance_that_asked(self):
        parts = BatchParts(1, {"s": b"p", "t": b"q"}, [5, 7], b"", [LoadReport(1, 2, 2), None])
        found = decode_frame(encode_frame(parts))
        assert list(found.calls) == [("s", 0.005, LoadReport(1, 2, 2)), ("t", 0.007, None)]

    def test_a_frame_that_lacks_one_is_refused(self):
        """Guards against a shard whose call never ends since its time or load is missing."""
        with pytest.raises(
            ValueError, match="numbers of signatures, durations and loads in a parts frame differ"
        ):
            BatchParts(1, {"s": b"p", "t": b"q"}, [5], b"", [None, None])


class TestQueueDepth:
    def fleet(self, *waiting: int | None) -> Fleet:
        """Return a fleet with one service a figure, whose searcher said so at second 10."""
        fleet = Fleet("a", Random(1))
        for number, calls in enumerate(waiting):
            fleet.put(Searcher(f"i-{number}", f"s-{number}", "10.0.0.1:80", "a", 2), 0.0)
            if calls is not None:
                fleet.get(f"i-{number}").reported(LoadReport(2, calls, 2), 10.0)
        return fleet

    def test_it_is_the_mean_over_services(self):
        assert self.fleet(0, 4).queue_depth(["s-0", "s-1"], 1.0, 10.5) == 1.0

    def test_old_reports_do_not_count(self):
        assert self.fleet(0, 4).queue_depth(["s-0", "s-1"], 0.4, 10.5) is None

    def test_too_few_reports_say_nothing(self):
        fleet = self.fleet(4, None, None)
        assert fleet.queue_depth(["s-0", "s-1", "s-2"], 1.0, 10.5) is None


class TestQueueTarget:
    def test_late_answers_lower_it_and_those_in_time_raise_it(self):
        target = QueueTarget()
        first = target.depth
        target.answered(first, late=True)
        assert target.depth < first
        lowered = target.depth
        target.answered(first, late=False)
        assert lowered < target.depth < first

    def test_answers_of_calm_times_change_nothing(self):
        """Guards against calm searches, late for other reasons, that get the next burst refused."""
        target = QueueTarget()
        first = target.depth
        for late in (True, False):
            target.answered(0.1 * first, late=late)
        assert target.depth == first

    def test_it_stays_within_bounds(self):
        target = QueueTarget()
        for _ in range(1000):
            target.answered(10.0, late=True)
        assert target.depth > 0
        assert target.admitted_share(10.0) > 0


def bursts(times: float, **fields) -> Tally:
    """Play one load with two seeds; return the sums of its burst."""
    total = Tally()
    for seed in (1, 2):
        world = World(replicas=3, rate=67.5, tells_load=True, **fields)
        burst = Load(world, times, calm=4.0, seed=seed).play()["burst"]
        for name in ("asked", "in_time", "late", "refused"):
            setattr(total, name, getattr(total, name) + getattr(burst, name))
    return total


class TestBursts:
    """Guards against the collapse of bursts where many instances each see few of the searches."""

    @pytest.mark.parametrize("instances", [8, 65])
    def test_the_searchers_capacity_is_used_for_answers_in_time(self, instances):
        burst = bursts(5, instances=instances)
        assert burst.in_time > 0.55 * burst.asked
        assert burst.late < 0.25 * burst.in_time

    def test_as_much_is_in_time_whether_few_or_many_instances_share_the_load(self):
        few, many = bursts(5, instances=8), bursts(5, instances=65)
        assert many.in_time / many.asked > few.in_time / few.asked - 0.1

    @pytest.mark.parametrize("times", [1, 2])
    def test_nothing_is_refused_that_can_be_served(self, times):
        burst = bursts(times, instances=8)
        assert burst.refused == 0
        assert burst.in_time > 0.95 * burst.asked

    def test_calm_traffic_is_served_as_before_within_a_second(self):
        world = World(replicas=3, rate=67.5, tells_load=True, instances=8)
        after = Load(world, 6, calm=4.0).play()["after"]
        assert after.in_time > 0.97 * after.asked
