"""Who links to whom, who watches the store, and parts merged elsewhere."""

from dataclasses import replace
from random import Random

from limpethollow_policy.process.placements import Instance
from limpethollow_policy.process.topology import (
    FULL_MESH_SIZE,
    RELAY_HEARTBEAT_TIMEOUT,
    START_RELAY_WAIT_SECONDS,
    WatchRole,
    link_targets,
    relays_among,
)
from limpethollow_policy.request.parts import PartSet


def instances(count: int, domains: int = 4) -> list[Instance]:
    return [Instance(f"i-{n}", f"{n}:1", f"{n}:2", f"zone-{n % domains}") for n in range(count)]


class TestRelays:
    def test_each_failure_domain_has_one(self):
        found = relays_among(instances(12))
        assert len(found) == 4

    def test_the_loss_of_others_moves_no_relay(self):
        all_instances = instances(12)
        relays = relays_among(all_instances)
        some = [i for i in all_instances if i.name in relays or i.name in ("i-1", "i-2")]
        assert relays_among(some) == relays


class TestWeakInstances:
    """Calls reached searchers 1.1 s after their caller had left.

    A relay with a link of 7 Mbit/s sent the list of searchers to instances that had just started.
    A batch of calls for another instance waited behind it, and so did the word that it was over.
    """

    def test_they_relay_only_where_no_stronger_one_is_left(self):
        weak = [replace(instance, strength=0.2) for instance in instances(8, domains=1)]
        strong = Instance("strong", "1:1", "1:2", "zone-0", strength=1.0)
        assert relays_among([*weak, strong]) == {"strong"}
        assert len(relays_among(weak)) == 1

    def test_links_for_calls_go_to_strong_ones(self):
        all_instances = [
            replace(i, strength=0.2 if n % 2 else 1.0) for n, i in enumerate(instances(64))
        ]
        weak = {instance.name for instance in all_instances if instance.strength < 0.5}
        domains = {i.failure_domain for i in all_instances if i.name not in weak}
        for own in all_instances:
            far = link_targets(own, all_instances) & weak
            assert all(i.failure_domain not in domains for i in all_instances if i.name in far)


class TestLinks:
    def test_few_instances_link_to_all(self):
        all_instances = instances(FULL_MESH_SIZE)
        assert len(link_targets(all_instances[0], all_instances)) == FULL_MESH_SIZE - 1

    def test_many_link_to_relays_and_a_few_in_each_failure_domain(self):
        all_instances = instances(400)
        for own in all_instances[:20]:
            links = link_targets(own, all_instances)
            assert relays_among(all_instances) - {own.name} <= links
            domains = {i.failure_domain for i in all_instances if i.name in links}
            assert len(domains) == 4
            assert len(links) <= 12


class TestWatchRole:
    def test_a_relay_watches_and_others_only_without_a_relay(self):
        all_instances = instances(4, domains=1)
        relay = next(iter(relays_among(all_instances)))
        other = next(i.name for i in all_instances if i.name != relay)
        assert WatchRole(relay, Random(1)).should_watch(all_instances, 0.0)
        role = WatchRole(other, Random(1))
        assert not role.should_watch(all_instances, 0.0)
        assert role.should_watch(all_instances, 0.31 + START_RELAY_WAIT_SECONDS)
        role.relay_message_received(relay, 10.0)
        assert not role.should_watch(all_instances, 10.0 + RELAY_HEARTBEAT_TIMEOUT)
        role.should_watch(all_instances, 10.01 + RELAY_HEARTBEAT_TIMEOUT)
        assert role.should_watch(all_instances, 10.5 + RELAY_HEARTBEAT_TIMEOUT)

    def test_a_start_of_all_is_followed_by_the_relays_alone(self):
        """195 instances started, and the store got 14 calls from each within a second.

        Nobody had heard a relay yet, so all watched the store, and each instance that registered
        woke all of these watches.
        """
        all_instances = instances(195, domains=6)
        roles = [WatchRole(instance.name, Random(n)) for n, instance in enumerate(all_instances)]
        relays = relays_among(all_instances)
        watching = 0
        for tick in range(6):
            now = 0.25 * tick
            watching = sum(role.should_watch(all_instances, now) for role in roles)
            assert watching == len(relays)
        for role in roles:
            role.relay_message_received(next(iter(relays)), 1.5)
        assert sum(role.should_watch(all_instances, 2.5) for role in roles) == len(relays)

    def test_a_start_with_all_relays_gone_is_followed_by_others_within_the_bound(self):
        """A new route was missing: the instances named as relays had not come back after a start.

        A change must be in force everywhere 3 s after the store has it.
        """
        all_instances = instances(8, domains=2)
        other = next(i.name for i in all_instances if i.name not in relays_among(all_instances))
        role = WatchRole(other, Random(1))
        role.should_watch(all_instances, 5.0)
        assert role.should_watch(all_instances, 5.0 + 2.5)

    def test_relays_that_say_they_lost_the_store_are_replaced_in_half_a_second(self):
        """A new route was not in force after 3 s.

        The store turned away just the instances that watched it for the others. They said so, but
        the others went on waiting for them to fall silent.
        """
        all_instances = instances(8, domains=2)
        relays = relays_among(all_instances)
        other = next(i.name for i in all_instances if i.name not in relays)
        role = WatchRole(other, Random(1))
        for relay in relays:
            role.relay_message_received(relay, 10.0)
        first, second = sorted(relays)
        role.relay_stopped(first, 10.1)
        assert not role.should_watch(all_instances, 10.6)
        role.relay_stopped(second, 10.6)
        assert role.should_watch(all_instances, 11.0)


class TestParts:
    def test_a_group_replaces_the_part_of_a_hedge(self):
        """A search's answer held a shard's records twice.

        A hedge answered for the shard, and then the group came in which the same shard's records
        were merged with others.
        """
        hedge, group = b"h" * 16, b"g" * 16
        parts = PartSet(5)
        assert parts.add("x", b"p1", hedge)
        assert parts.add_group({"x": b"p2", "y": b"p3"}, group)
        assert len(parts) == 2
        assert sorted(parts.proofs()) == [b"p2", b"p3"]
        assert parts.merged() == group

    def test_parts_and_groups_are_merged_greatest_first(self):
        parts = PartSet(3)
        parts.add("x", b"p1", b"1" * 16 + b"4" * 16)
        parts.add_group({"y": b"p2", "z": b"p3"}, b"3" * 16 + b"2" * 16)
        assert parts.merged() == b"4" * 16 + b"3" * 16 + b"2" * 16

    def test_a_part_far_longer_than_what_is_wanted_is_cut_when_it_comes(self):
        """An instance ran out of memory: one search kept 87 parts of a megabyte each."""
        parts = PartSet(1)
        parts.add("x", b"p1", b"".join(bytes([n % 250]) * 16 for n in range(1000)))
        assert parts.merged() == bytes([249]) * 16
        assert parts.held_bytes <= 16

    def test_a_shard_of_a_group_counts_once(self):
        parts = PartSet(5)
        parts.add_group({"x": b"p2"}, b"group")
        assert not parts.add("x", b"p1", b"late")
        assert not parts.add_group({"x": b"p2", "y": b"p3"}, b"again")
        assert len(parts) == 1

    def test_the_same_signature_for_two_shards_does_not_count(self):
        parts = PartSet(5)
        assert parts.add("x", b"p", b"")
        assert not parts.add("y", b"p", b"")
