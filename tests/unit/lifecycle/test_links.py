"""Decisions on links between instances."""

from random import Random

from limpethollow_policy.connection.links import DialBackoff, LinkHealth, PeerRequestLimiter


class TestLinkHealth:
    def test_link_is_silent_where_nothing_came_since_the_request(self):
        health = LinkHealth()
        health.heard(1.0)
        assert health.is_silent(sent_at=2.0)

    def test_link_over_which_another_reply_came_is_only_slow(self):
        health = LinkHealth()
        health.heard(2.5)
        assert not health.is_silent(sent_at=2.0)


class TestDialling:
    def test_failed_peer_is_not_dialled_again_at_once(self):
        dialling = DialBackoff(Random(1))
        assert dialling.wait(0.0) == 0.0
        dialling.failed(0.0)
        assert dialling.wait(0.0) > 0.0

    def test_pauses_grow_to_a_bound_and_end_with_a_link(self):
        dialling = DialBackoff(Random(1))
        waits = []
        for _ in range(20):
            dialling.failed(0.0)
            waits.append(dialling.wait(0.0))
        assert waits[0] <= 0.05 < max(waits) <= 1.0
        dialling.succeeded()
        assert dialling.wait(0.0) == 0.0

    def test_instances_that_lost_a_peer_together_do_not_come_back_together(self):
        waits = set()
        for seed in range(10):
            dialling = DialBackoff(Random(seed))
            dialling.failed(0.0)
            waits.add(dialling.wait(0.0))
        assert len(waits) == 10


class TestOpenRequests:
    def test_one_peer_is_bounded_and_the_others_are_not_touched(self):
        requests = PeerRequestLimiter(limit=2)
        assert requests.begin("n1")
        assert requests.begin("n1")
        assert not requests.begin("n1")
        assert requests.begin("n2")
        requests.end("n1")
        assert requests.begin("n1")
        assert requests.total == 3
