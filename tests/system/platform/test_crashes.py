"""Requests that end each searcher that runs them, and come again."""

from tests.support.crashes import CrashingSearchers, send_crashing, wait_served
from tests.support.platforms import forward_route, search_route

# Repeats of such a request that may still reach searchers after it has ended the third.
MOST_RETRIES = 3
SHARDS = ["s-1", "s-2", "s-3", "s-4"]


class TestRepeats:
    def test_a_search_that_crashes_its_searchers_does_not_crash_them_each_time_it_comes(
        self, system
    ):
        """Guards against crashing requests that are sent on like any other at each repeat."""
        searchers = CrashingSearchers(system, SHARDS)
        system.configure(1, search_route(SHARDS))
        instances = [system.instance("front-1"), system.instance("front-2", zone="zone-b")]
        wait_served(instances, "/find/before")
        send_crashing(searchers, instances, "/find/", times=8)
        assert len(searchers.reached_by("/find/crash")) <= 1 + MOST_RETRIES

    def test_a_single_request_that_crashes_its_searcher_does_not_go_from_one_to_the_next(
        self, system
    ):
        """Guards against crashing requests that every instance tries out by itself."""
        searchers = CrashingSearchers(system, ["desk"])
        system.configure(1, forward_route("desk"))
        instances = [system.instance("front-1"), system.instance("front-2", zone="zone-b")]
        wait_served(instances, "/get/before")
        send_crashing(searchers, instances, "/get/", times=8)
        # It ends two searchers at a time, so one repeat may come before it has ended the third.
        assert len(searchers.reached_by("/get/crash")) <= 2 + MOST_RETRIES


class TestRestart:
    def test_a_crashing_request_is_still_known_after_all_instances_have_ended(self, system):
        """Guards against instances that forget crashing requests when all are killed at once."""
        searchers = CrashingSearchers(system, SHARDS)
        system.configure(1, search_route(SHARDS))
        instances = [system.instance("front-1"), system.instance("front-2", zone="zone-b")]
        for _ in range(3):
            wait_served(instances, "/find/before")
            send_crashing(searchers, instances, "/find/", times=2)
            for instance in instances:
                instance.kill()
            for instance in instances:
                instance.start()
            for instance in instances:
                instance.wait_ready()
        assert len(searchers.reached_by("/find/crash")) <= 1 + MOST_RETRIES
