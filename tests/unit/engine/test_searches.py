"""What one search sends, and when it answers."""

from tests.support.searches import SearchPlay


class TestSecondSends:
    def test_late_shards_are_asked_at_another_searcher(self):
        play = SearchPlay()
        for shard in (0, 1, 2):
            play.answer(shard)
        play.run(play.hedge_delay)
        assert [len(play.calls[f"s-{shard}"]) for shard in range(4)] == [1, 1, 1, 2]

    def test_one_that_was_withheld_is_made_once_most_shards_have_answered(self):
        """A search lacked one shard's part, although its other searcher was idle.

        At the hedge delay most shards had not answered, since the frame with their parts was late
        by a moment, and second sends were withheld. All but one came right after. Nobody looked
        again, and the part of that one was missing at the objective.
        """
        play = SearchPlay()
        play.run(play.hedge_delay)
        assert all(len(calls) == 1 for calls in play.calls.values())
        for shard in (0, 1, 2):
            play.answer(shard)
        play.run(play.hedge_delay / 2)
        assert len(play.calls["s-3"]) == 2
        play.answer(3, send=1)
        assert play.outcomes[0].parts == 4

    def test_none_is_made_while_most_shards_are_late(self):
        play = SearchPlay()
        play.run(10.0)
        assert all(len(calls) == 1 for calls in play.calls.values())
        assert [reply.status for reply in play.exchange.replies] == [504]


class TestDeadline:
    def test_what_is_there_is_answered_at_a_deadline_before_the_objective(self):
        """Guards against an error for a caller with little time left whose floor was met."""
        play = SearchPlay(timeout=0.06, objective=0.1)
        for shard in (0, 1, 2):
            play.answer(shard)
        play.run(1.0)
        (reply,) = play.exchange.replies
        assert (reply.status, play.outcomes[0].parts) == (200, 3)
