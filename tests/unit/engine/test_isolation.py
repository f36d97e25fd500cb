"""An instance that is cut off from peers and searchers says so."""

from limpethollow_policy.process.isolation import Isolation


class TestIsolation:
    def test_it_needs_silent_peers_and_silent_searchers(self):
        """Bookings hung for seconds and ended without a word.

        Their instance was cut off from the searchers and from its peers, but not from its callers,
        and went on taking requests.
        """
        isolation = Isolation()
        isolation.called(1.0)
        assert not isolation.look(others=7, heard=3, now=3.0)
        assert not isolation.look(others=0, heard=0, now=3.0)
        assert isolation.look(others=7, heard=0, now=3.0)
        assert isolation.is_isolated
        assert not isolation.look(others=7, heard=0, now=3.5)
        assert isolation.is_isolated

    def test_answers_keep_it_away(self):
        isolation = Isolation()
        isolation.called(1.0)
        isolation.answered()
        isolation.called(2.9)
        assert not isolation.look(others=7, heard=0, now=3.0)

    def test_a_peer_or_a_searcher_ends_it(self):
        for sign in (lambda i: i.answered(), lambda i: i.look(7, 1, 4.0)):
            isolation = Isolation()
            isolation.called(1.0)
            isolation.look(others=7, heard=0, now=3.0)
            sign(isolation)
            assert not isolation.is_isolated
