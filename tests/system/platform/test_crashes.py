"""Requests that end each searcher that runs them, and come again."""

from tests.support.crashes import (
    SHARDS,
    CrashingSearchers,
    send_crashing,
    start_search,
    start_two,
    wait_served,
)
from tests.support.platforms import PlatformInstance, forward_route, search_route
from tests.support.processes import wait_for

# Repeats of such a request that may still reach searchers after it has ended the third.
MOST_RETRIES = 3


def knows_quarantined(instance: PlatformInstance) -> bool:
    return "limpethollow_quarantined_requests 1" in instance.metrics()


def restart_all(instances: list[PlatformInstance]) -> None:
    """Kill all instances at once, and start them again."""
    for instance in instances:
        instance.kill()
    for instance in instances:
        instance.start()
    for instance in instances:
        instance.wait_ready()


class TestRepeats:
    def test_a_search_that_crashes_its_searchers_does_not_crash_them_each_time_it_comes(
        self, system
    ):
        """Guards against crashing requests that are sent on like any other at each repeat."""
        searchers, instances = start_search(system)
        send_crashing(searchers, instances, "/find/", times=8)
        assert len(searchers.reached_by("/find/crash")) <= 1 + MOST_RETRIES

    def test_a_single_request_that_crashes_its_searcher_does_not_go_from_one_to_the_next(
        self, system
    ):
        """Guards against crashing requests that every instance tries out by itself."""
        searchers = CrashingSearchers(system, ["desk"])
        system.configure(1, forward_route("desk"))
        instances = start_two(system)
        wait_served(instances, "/get/before")
        send_crashing(searchers, instances, "/get/", times=8)
        # It ends two searchers at a time, so one repeat may come before it has ended the third.
        assert len(searchers.reached_by("/get/crash")) <= 2 + MOST_RETRIES


class TestRestart:
    def test_what_the_store_has_of_crashing_requests_holds_after_all_instances_have_ended(
        self, system
    ):
        """Guards against crashing requests that run once more after each start of all instances."""
        searchers, instances = start_search(system)
        send_crashing(searchers, instances, "/find/", times=1)
        wait_for(lambda: system.store.names("quarantines"), "the store has it")
        restart_all(instances)
        for instance in instances:
            wait_for(lambda i=instance: knows_quarantined(i), f"{instance.name} knows of it")
        send_crashing(searchers, instances, "/find/", times=2)
        assert len(searchers.reached_by("/find/crash")) == 1

    def test_a_crashing_request_is_still_known_after_all_instances_have_ended(self, system):
        """Guards against instances that forget crashing requests when all are killed at once."""
        searchers, instances = start_search(system)
        for _ in range(3):
            wait_served(instances, "/find/before")
            send_crashing(searchers, instances, "/find/", times=2)
            restart_all(instances)
        assert len(searchers.reached_by("/find/crash")) <= 1 + MOST_RETRIES


class TestRelease:
    def test_an_operator_lets_a_quarantined_request_run_again(self, system):
        """Guards against requests that stay refused after their searchers were mended."""
        searchers = CrashingSearchers(system, SHARDS)
        system.configure(1, search_route(SHARDS))
        instance = system.instance("front-1")
        wait_served([instance], "/find/before")
        send_crashing(searchers, [instance], "/find/", times=1)
        (name,) = wait_for(lambda: system.store.names("quarantines"), "the store has it")
        refused = instance.ask("/find/crash")
        assert refused.status == 503
        assert float(refused.headers["Retry-After"]) > 3600
        searchers.mend()
        spec = system.store.objects["quarantines", name]["spec"]
        system.store.put("quarantines", name, {**spec, "released": True})
        instance.kill()
        instance.start()
        wait_for(lambda: not system.store.names("quarantines"), "the release is taken in")
        assert instance.ask("/find/crash").status == 200
