"""The store away, silent, forgetful; configuration and searchers through it."""

import time

from tests.standins.backends import PROOF
from tests.support.platforms import forward_route
from tests.support.processes import wait_for


class TestConfiguration:
    def test_a_newer_version_comes_into_force(self, system):
        system.backend("desk", "i-1")
        system.configure(1, forward_route("desk"))
        instance = system.instance()
        assert instance.ask("/new/x").status == 404
        system.configure(4, forward_route("desk"), forward_route("desk", pathPrefix="/new/"))
        wait_for(lambda: instance.ask("/new/x").status == 200, "the new route is served")

    def test_an_older_version_changes_nothing(self, system):
        system.backend("desk", "i-1")
        system.configure(4, forward_route("desk"))
        instance = system.instance()
        system.configure(3)
        system.configure(5, forward_route("desk"), forward_route("desk", pathPrefix="/new/"))
        wait_for(lambda: instance.ask("/new/x").status == 200, "version 5 is in force")
        assert [event["version"] for event in instance.events(214)] == [4, 5]

    def test_an_unreadable_version_leaves_the_last_one_in_force(self, system):
        system.backend("desk", "i-1")
        system.configure(1, forward_route("desk"))
        instance = system.instance()
        system.store.put("config", "main", {"version": "soon"})
        wait_for(lambda: instance.events(206), "the log says so")
        assert instance.ask("/get/x").status == 200

    def test_before_any_version_is_known_requests_are_refused_for_a_while(self, system):
        system.backend("desk", "i-1")
        instance = system.begin_instance()
        wait_for(lambda: instance.events(213), "the store is read")
        reply = instance.ask("/get/x")
        assert reply.status == 503
        assert float(reply.headers["Retry-After"]) > 0
        assert not instance.is_ready()


class TestOutages:
    def test_requests_are_served_while_the_store_is_away(self, system):
        system.backend("desk", "i-1")
        system.configure(1, forward_route("desk"))
        instance = system.instance()
        system.store.refuses = True
        wait_for(lambda: instance.events(201), "the outage is noticed")
        assert instance.ask("/get/x").status == 200

    def test_a_watch_that_a_silent_store_forgot_is_asked_for_anew(self, system):
        """A searcher that left went on getting requests for ten seconds.

        The store went silent and came back. The watch that was asked for in between was never
        answered, though its connection stayed open, and nothing else looked for changes.
        """
        one = system.backend("desk", "i-1", zone="zone-a")
        system.backend("desk", "i-2", zone="zone-b")
        system.configure(1, forward_route("desk"))
        instance = system.instance()
        system.store.go_silent()
        wait_for(lambda: instance.events(201), "the outage is noticed")
        system.store.come_back()
        system.store.put("servers", "i-1", one.entry(state="draining"))
        returned = time.monotonic()
        wait_for(
            lambda: instance.ask("/get/x").headers[PROOF] == "i-2.r1.200", "the change is known"
        )
        assert time.monotonic() - returned < 8.0

    def test_lost_history_is_made_up_by_a_list(self, system):
        system.backend("desk", "i-1")
        system.configure(1, forward_route("desk"))
        instance = system.instance()
        system.store.forget_history()
        system.configure(2, forward_route("desk"), forward_route("desk", pathPrefix="/new/"))
        wait_for(lambda: instance.ask("/new/x").status == 200, "the new route is served")

    def test_entries_that_lapse_with_the_store_away_stay_in_use(self, system):
        """All requests were refused for two seconds after an outage of the store.

        The entries of living searchers had lapsed meanwhile; the first list after the outage was
        empty, and the instance believed it.
        """
        one = system.backend("desk", "i-1")
        system.configure(1, forward_route("desk"))
        instance = system.instance()
        system.store.take_away("servers", "i-1")
        wait_for(lambda: _states(instance, "i-1")[-1] == "unlisted", "the lapse is seen")
        assert instance.ask("/get/x").status == 200
        system.store.put("servers", "i-1", one.entry())
        time.sleep(3.0)
        assert instance.ask("/get/x").status == 200

    def test_an_entry_that_stays_away_is_gone(self, system):
        system.backend("desk", "i-1")
        system.configure(1, forward_route("desk"))
        instance = system.instance()
        system.store.take_away("servers", "i-1")
        wait_for(lambda: _states(instance, "i-1")[-1] == "gone", "the searcher is forgotten")
        assert instance.ask("/get/x").status == 503


class TestMembership:
    def test_an_instance_joins_although_replies_of_the_store_are_lost(self, system):
        system.backend("desk", "i-1")
        system.configure(1, forward_route("desk"))
        system.store.loses_replies = True
        instance = system.begin_instance("front-1")
        wait_for(lambda: instance.events(201), "a reply is lost")
        system.store.loses_replies = False
        wait_for(lambda: "front-1" in system.store.names("instances"), "it is listed")
        instance.wait_ready()

    def test_an_instance_whose_object_was_removed_writes_it_again(self, system):
        """An instance came back after a long silence and was named to no caller until its restart.

        Another one had removed its object at the moment of its return.
        """
        system.backend("desk", "i-1")
        system.configure(1, forward_route("desk"))
        system.instance("front-1")
        wait_for(lambda: "front-1" in system.store.names("instances"), "it is listed")
        system.store.take_away("instances", "front-1")
        wait_for(lambda: "front-1" in system.store.names("instances"), "it is listed again")


def _states(instance, searcher: str) -> list[str]:
    return [event["state"] for event in instance.events(403) if event["searcher"] == searcher]
