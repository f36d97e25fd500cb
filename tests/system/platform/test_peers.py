"""Instances among themselves: who lives, what is new, calls made near the searchers."""

import pytest

from tests.standins.backends import Hang
from tests.support.platforms import forward_route, search_route
from tests.support.processes import wait_for


def record(value: int) -> bytes:
    return bytes([value]) * 16


def address(instance) -> str:
    return f"127.0.0.1:{instance.front}"


@pytest.fixture
def pair(system):
    """Two linked instances in two failure domains."""
    system.backend("desk", "i-1", zone="zone-a")
    system.backend("desk", "i-2", zone="zone-b")
    system.configure(1, forward_route("desk"))
    one, two = system.instance("front-1"), system.instance("front-2", zone="zone-b")
    linked(one, two)
    for each in (one, two):
        wait_for(lambda i=each: len(i.addresses()) == 2, "both are named")
    return one, two


def linked(*instances) -> None:
    for instance in instances:
        wait_for(
            lambda i=instance: len({e["peer"] for e in i.events(300)}) >= len(instances) - 1,
            f"{instance.name} is linked",
        )


class TestLiveness:
    def test_a_dead_instance_leaves_the_directory(self, pair):
        one, two = pair
        two.kill()
        wait_for(lambda: one.addresses() == [address(one)], "only the live one is named")

    def test_a_frozen_instance_leaves_the_directory_and_comes_back(self, system, pair):
        import signal

        one, two = pair
        linked(one, two, system.instance("front-3"))
        wait_for(lambda: len(one.addresses()) == 3, "all are named")
        two.signal(signal.SIGSTOP)
        wait_for(lambda: address(two) not in one.addresses(), "the frozen one is not named")
        two.signal(signal.SIGCONT)
        wait_for(lambda: len(one.addresses()) == 3, "all are named")

    def test_a_restarted_instance_is_named_again(self, pair):
        one, two = pair
        two.kill()
        wait_for(lambda: one.addresses() == [address(one)], "only the live one is named")
        two.start()
        wait_for(lambda: len(one.addresses()) == 2, "both are named")


class TestNews:
    def test_an_instance_that_was_restarted_with_the_store_away_learns_all_from_peers(
        self, system, pair
    ):
        """Callers got 503 for as long as the store was away.

        An instance was restarted during the outage; it knew no configuration and no searcher, and
        the others refused its links, since it had removed itself from their list when it left.
        """
        one, two = pair
        system.store.refuses = True
        two.settings["seeds"] = [f"127.0.0.1:{one.settings['internalPortRange'][0]}"]
        two.terminate()
        two.child.wait(10)
        two.start()
        two.wait_ready()
        assert two.ask("/get/x").status == 200

    def test_only_the_relays_watch_the_store(self, system):
        system.backend("desk", "i-1")
        system.configure(1, forward_route("desk"))
        instances = [system.instance(f"front-{number}") for number in range(1, 4)]
        linked(*instances)
        wait_for(
            lambda: system.store.waiting()
            == {"config": 1, "evacuations": 1, "servers": 1, "instances": 1},
            "one watch a kind is left",
        )
        system.configure(2, forward_route("desk"), forward_route("desk", pathPrefix="/new/"))
        for instance in instances:
            wait_for(lambda i=instance: i.ask("/new/x").status == 200, "the version is in force")
        sources = {instance.events(214)[-1]["source"] for instance in instances}
        assert "store" in sources
        assert len(sources) > 1

    def test_when_the_relay_dies_another_watches(self, system):
        system.backend("desk", "i-1")
        system.configure(1, forward_route("desk"))
        instances = [system.instance(f"front-{number}") for number in range(1, 4)]
        linked(*instances)
        system.configure(2, forward_route("desk"))
        for instance in instances:
            wait_for(lambda i=instance: i.events(214)[-1]["version"] == 2, "it is in force")
        relay = next(i for i in instances if i.events(214)[-1]["source"] == "store")
        relay.kill()
        system.configure(3, forward_route("desk"), forward_route("desk", pathPrefix="/new/"))
        for instance in instances:
            if instance is not relay:
                wait_for(lambda i=instance: i.ask("/new/x").status == 200, "it is in force")


class TestBatches:
    def shards(self, system, **fields) -> None:
        for number in range(4):
            system.backend(
                f"s{number}", f"i-{number}", zone="zone-b", records=[record(number + 1)], **fields
            )
        system.configure(1, search_route([f"s{number}" for number in range(4)], topK=3))

    def test_shards_elsewhere_are_asked_by_an_instance_there(self, system):
        self.shards(system)
        one, two = system.instance("front-1"), system.instance("front-2", zone="zone-b")
        linked(one, two)
        reply = one.ask("/find/x")
        assert reply.status == 200
        assert reply.data == record(4) + record(3) + record(2)
        stamps = reply.headers["X-Limpethollow-Part-Stamps"].split(", ")
        assert sorted(stamps) == [f"i-{number}.r1.200" for number in range(4)]
        assert "limpethollow_batches_sent_total 1" in one.metrics()

    def test_a_frozen_instance_there_costs_no_shard(self, system):
        """A search lost all shards of a failure domain for a second.

        The instance that asked them was frozen; its link was open, and nothing came back.
        """
        import signal

        self.shards(system)
        for number in range(4):
            system.backend(f"s{number}", f"j-{number}", records=[record(number + 1)], work=0.02)
        one, two = system.instance("front-1"), system.instance("front-2", zone="zone-b")
        linked(one, two)
        two.signal(signal.SIGSTOP)
        for number in range(3):
            reply = one.ask("/find/x", request_id=f"r{number}")
            assert reply.status == 200
            assert reply.headers["X-Limpethollow-Missing-Parts"] == "0"

    def test_a_shard_that_hangs_there_is_left_out_and_the_others_count(self, system):
        self.shards(system)
        system.backend("s9", "i-9", zone="zone-b", answer=lambda me, seen: Hang())
        system.configure(2, search_route([f"s{n}" for n in (0, 1, 2, 3, 9)], topK=3))
        one, two = system.instance("front-1"), system.instance("front-2", zone="zone-b")
        linked(one, two)
        reply = one.ask("/find/x")
        assert reply.status == 200
        assert reply.headers["X-Limpethollow-Missing-Parts"] == "1"
        assert reply.data == record(4) + record(3) + record(2)
