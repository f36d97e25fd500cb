"""Failure domains that the operator evacuates in the store, seen by callers of real processes."""

import threading
from collections.abc import Callable

from tests.standins.backends import PROOF, Hang
from tests.support.platforms import (
    PlatformInstance,
    forward_route,
    search_route,
    two_domains,
)
from tests.support.processes import wait_for


def goes_to(instance: PlatformInstance, searcher: str) -> Callable[[], bool]:
    """Return a check that a request of a caller is answered by a searcher."""
    return lambda: instance.ask("/get/x").headers.get(PROOF) == f"{searcher}.r1.200"


class TestEvacuation:
    def test_its_searchers_get_nothing_until_it_is_restored(self, system):
        one = two_domains(system)
        instance = system.instance()
        assert goes_to(instance, "i-1")()
        system.store.put("evacuations", "zone-a", {})
        wait_for(goes_to(instance, "i-2"), "the other failure domain is used")
        count = len(one.seen)
        for _ in range(5):
            assert goes_to(instance, "i-2")()
        assert len(one.seen) == count
        assert "limpethollow_domains_evacuated 1" in instance.metrics()
        system.store.take_away("evacuations", "zone-a")
        wait_for(goes_to(instance, "i-1"), "the restored failure domain is used")
        assert [e["domain"] for n in (407, 408) for e in instance.events(n)] == ["zone-a"] * 2

    def test_an_instance_that_starts_during_it_sends_nothing_there(self, system):
        one = two_domains(system)
        system.store.put("evacuations", "zone-a", {})
        instance = system.instance()
        for _ in range(3):
            assert goes_to(instance, "i-2")()
        assert not one.seen

    def test_an_instance_that_starts_with_the_store_silent_hears_of_it_from_another(self, system):
        """Guards against a restart during an outage that forgets an evacuation."""
        one = two_domains(system)
        first = system.instance("front-1")
        second = system.instance("front-2")
        wait_for(lambda: first.events(300), "the instances are linked")
        system.store.put("evacuations", "zone-a", {})
        wait_for(lambda: first.events(407) and second.events(407), "both have heard of it")
        system.store.go_silent()
        second.settings["seeds"] = [f"127.0.0.1:{first.settings['internalPortRange'][0]}"]
        second.kill()
        count = len(one.seen)
        second.start()
        second.wait_ready()
        for _ in range(3):
            assert goes_to(second, "i-2")()
        assert len(one.seen) == count

    def test_a_call_that_was_sent_before_is_answered(self, system):
        """Guards against requests that an evacuation cuts while a searcher works on them."""
        one = two_domains(system)
        system.configure(2, forward_route("desk", type="unsafe"))
        instance = system.instance()
        one.work = 1.0
        reply = {}

        def book() -> None:
            reply["got"] = instance.ask("/get/x", method="POST", body=b"book")

        caller = threading.Thread(target=book)
        caller.start()
        wait_for(lambda: one.seen, "the request arrives")
        system.store.put("evacuations", "zone-a", {})
        caller.join()
        assert reply["got"].headers[PROOF] == "i-1.r1.200"

    def test_a_shard_that_is_there_only_is_missing_at_once(self, system):
        system.backend("s-1", "i-1", zone="zone-a")
        system.backend("s-2", "i-2", zone="zone-b")
        system.configure(1, search_route(["s-1", "s-2"]))
        system.store.put("evacuations", "zone-a", {})
        instance = system.instance()
        reply = instance.ask("/find/x")
        assert (reply.status, reply.headers["X-Limpethollow-Missing-Parts"]) == (200, "1")

    def test_a_request_that_no_other_domain_can_serve_is_refused_at_once(self, system):
        hanging = system.backend("desk", "i-1", zone="zone-a", answer=lambda me, seen: Hang())
        system.configure(1, forward_route("desk", type="unsafe"))
        system.store.put("evacuations", "zone-a", {})
        reply = system.instance().ask("/get/x", method="POST", body=b"book")
        assert reply.status == 503
        assert float(reply.headers["Retry-After"]) > 0
        assert not hanging.seen
