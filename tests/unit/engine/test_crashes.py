"""Requests that end their searchers: the evidence, the trials, and what other requests keep."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limpethollow_node.engine.frames import CrashUpdate, decode_frame, encode_frame
from limpethollow_node.engine.process.crashreports import CrashReportExchange
from limpethollow_node.engine.process.quarantines import Quarantines
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.crashes import (
    QUARANTINE_SECONDS,
    RETRIAL_SECONDS,
    CrashEvidence,
    CrashRecords,
    CrashReport,
    Standing,
)
from limpethollow_policy.process.searchers import Searcher
from limpethollow_wire.exceptions import Quarantined
from tests.support.searches import SearchPlay
from tests.support.virtual import VirtualDispatch, lose, reply_of, request

SHARDS = 20
FINGERPRINT = "f"

ids = st.frozensets(st.sampled_from([f"i-{number}" for number in range(12)]))
evidences = st.builds(
    lambda searchers, trials, epoch: CrashEvidence(searchers | trials, trials, epoch),
    ids,
    ids,
    st.integers(0, 2),
)


def evidence(lost: int, trials: int) -> CrashEvidence:
    names = [f"i-{number}" for number in range(lost)]
    return CrashEvidence(frozenset(names), frozenset(names[:trials]))


def quarantine(quarantines: Quarantines, fingerprint: str) -> None:
    quarantines.take([CrashReport(fingerprint, evidence(4, 2))], "test")


def lose_every_searcher(dispatch: VirtualDispatch) -> None:
    """Let the connections to all searchers end under other requests."""
    for number in range(SHARDS):
        for replica in dispatch.fleet.of(f"s-{number}"):
            replica.lost(dispatch.loop.time())


def quarantine_long_ago(dispatch: VirtualDispatch, report: CrashReport) -> None:
    dispatch.quarantines.take([report], "test")
    dispatch.loop.run(dispatch.loop.time() + RETRIAL_SECONDS + 1.0)


class Play(SearchPlay):
    """A search over twenty shards; `ended` has the searchers that it ended."""

    def __init__(self, **fields) -> None:
        self.ended: set[str] = set()
        super().__init__(SHARDS, **fields)

    def crash_all(self) -> None:
        """Let each searcher end that runs the request, as long as it is sent to others."""
        while self.open_calls:
            for name, call in list(self.open_calls.items()):
                del self.open_calls[name]
                self.ended.add(name)
                lose(call)

    def answer_all(self) -> None:
        """Let each searcher that runs the request answer."""
        while self.open_calls:
            for name, call in list(self.open_calls.items()):
                del self.open_calls[name]
                reply_of(call, proof=b"proof-" + name.encode())

    def _sent(self, replica, call) -> None:
        super()._sent(replica, call)
        self.open_calls[replica.searcher.id] = call

    @property
    def open_calls(self) -> dict:
        return self.__dict__.setdefault("_open_calls", {})


class TestEvidence:
    @pytest.mark.parametrize(
        ("lost", "trials", "expected"),
        [
            (2, 2, Standing.TRUSTED),
            (3, 0, Standing.SUSPECT),
            (8, 1, Standing.SUSPECT),
            (3, 2, Standing.QUARANTINED),
        ],
    )
    def test_many_ends_make_a_suspect_and_trials_a_quarantine(self, lost, trials, expected):
        assert evidence(lost, trials).standing is expected

    @given(st.lists(evidences, min_size=1, max_size=5), st.randoms())
    def test_instances_that_hear_the_same_in_any_order_come_to_the_same_standing(
        self, told, random
    ):
        other = list(told) * 2
        random.shuffle(other)
        standings = set()
        for order in (told, other):
            ledger = CrashRecords()
            for each in order:
                ledger.add(CrashReport(FINGERPRINT, each), 1.0)
            standings.add(ledger.evidence(FINGERPRINT).standing)
        assert len(standings) == 1

    def test_old_evidence_does_not_undo_a_release(self):
        """Guards against a release that ends with the next link to an instance that missed it."""
        ledger, old = CrashRecords(), CrashReport(FINGERPRINT, evidence(4, 2))
        ledger.add(old, 1.0)
        ledger.release(FINGERPRINT, 2.0)
        ledger.add(old, 3.0)
        assert ledger.evidence(FINGERPRINT).standing is Standing.TRUSTED

    def test_a_quarantine_ends_by_itself_after_a_day(self):
        ledger = CrashRecords()
        ledger.add(CrashReport(FINGERPRINT, evidence(4, 2)), 1.0)
        assert not ledger.expire(QUARANTINE_SECONDS)
        assert ledger.expire(QUARANTINE_SECONDS + 2.0) == [FINGERPRINT]

    def test_a_quarantined_request_gets_one_more_trial_and_only_one(self):
        """Guards against requests that stay refused because their searchers ended by chance."""
        ledger = CrashRecords()
        ledger.add(CrashReport(FINGERPRINT, evidence(4, 2)), 1.0)
        assert not ledger.grant_retrial(FINGERPRINT, RETRIAL_SECONDS)
        assert ledger.grant_retrial(FINGERPRINT, RETRIAL_SECONDS + 2.0)
        assert not ledger.grant_retrial(FINGERPRINT, RETRIAL_SECONDS + 3.0)
        ledger.add(CrashReport(FINGERPRINT, evidence(4, 3)), RETRIAL_SECONDS + 4.0)
        assert not ledger.grant_retrial(FINGERPRINT, 9 * RETRIAL_SECONDS)

    def test_many_suspects_do_not_push_out_a_quarantine(self):
        """Guards against callers that make room for a crashing request by sending many others."""
        ledger = CrashRecords()
        ledger.add(CrashReport(FINGERPRINT, evidence(4, 2)), 1.0)
        for number in range(1000):
            ledger.add(CrashReport(f"other-{number}", evidence(1, 0)), 2.0)
        assert ledger.quarantined() == [FINGERPRINT]
        assert len(ledger.reports()) <= 256


class TestOneSearch:
    def test_it_ends_two_more_searchers_and_not_the_second_one_of_each_shard(self):
        """Guards against second sends that carry a crashing search to all other searchers."""
        play = Play()
        play.crash_all()
        assert len(play.ended) <= SHARDS + 3
        assert [reply.status for reply in play.exchange.replies] == [502]

    def test_its_repeat_is_refused_at_once(self):
        play = Play()
        play.crash_all()
        with pytest.raises(Quarantined):
            play.dispatch.quarantines.guard(request().fingerprint)

    @pytest.mark.parametrize("lost", [1, 3])
    def test_a_repeat_runs_at_one_searcher_first(self, lost):
        """Guards against repeats that end a searcher of each shard before they stop."""
        report = CrashReport(request().fingerprint, evidence(lost, 0))
        play = Play(prepare=lambda dispatch: dispatch.quarantines.take([report], "peer"))
        assert len(play.open_calls) == 1
        play.crash_all()
        assert len(play.ended) == max(2, 3 - lost)


class TestOthers:
    def test_a_search_whose_searchers_crashed_by_themselves_is_served_whole(self):
        """Guards against searches that fail because other requests ended their searchers."""
        play = Play()
        first = list(play.open_calls.items())
        play.open_calls.clear()
        for _, call in first:
            lose(call)
        assert len(play.open_calls) <= 3
        play.answer_all()
        assert [reply.status for reply in play.exchange.replies] == [200]
        assert not play.dispatch.quarantines.reports()

    def test_a_trial_at_a_searcher_that_was_lost_before_proves_nothing(self):
        """Guards against quarantines by searchers that had ended under another request."""
        play = Play(prepare=lose_every_searcher)
        play.crash_all()
        assert play.guard.standing is Standing.SUSPECT

    def test_one_answer_lets_a_suspect_run_as_usual(self):
        report = CrashReport(request().fingerprint, evidence(3, 1))
        play = Play(prepare=lambda dispatch: dispatch.quarantines.take([report], "peer"))
        play.answer_all()
        assert [reply.status for reply in play.exchange.replies] == [200]
        (released,) = play.dispatch.quarantines.reports()
        assert not released.evidence

    def test_an_answer_ends_the_suspicion_at_all_instances(self):
        """Guards against requests that come often and are suspected where no answer is seen."""
        here, there = (Quarantines(Metrics(), lambda: 0.0) for _ in range(2))
        told = CrashReport(FINGERPRINT, evidence(3, 1))
        link = FakeLink("there")
        CrashReportExchange(here, {"there": link})
        for each in (here, there):
            each.take([told], "third")
        guard = here.guard(FINGERPRINT)
        guard.answered()
        here.ended(guard)
        there.take(link.sent[0].reports, "here")
        there.take([told], "third")
        assert there.guard(FINGERPRINT).standing is Standing.TRUSTED

    def test_a_retrial_that_is_answered_releases_the_request(self):
        report = CrashReport(request().fingerprint, evidence(4, 2))
        play = Play(prepare=lambda dispatch: quarantine_long_ago(dispatch, report))
        assert len(play.open_calls) == 1
        play.answer_all()
        assert [reply.status for reply in play.exchange.replies] == [200]
        assert not play.dispatch.quarantines.count

    def test_a_retrial_that_ends_its_searcher_goes_to_no_other(self):
        report = CrashReport(request().fingerprint, evidence(4, 2))
        play = Play(prepare=lambda dispatch: quarantine_long_ago(dispatch, report))
        lose_every_searcher(play.dispatch)
        play.crash_all()
        assert len(play.ended) == 1
        (told,) = play.dispatch.quarantines.reports()
        assert len(told.evidence.on_trial) == 3

    def test_lost_connections_among_answers_are_no_evidence(self):
        """Guards against suspicion by connections that a searcher or the network resets."""
        play = Play()
        (name, call), *_ = play.open_calls.items()
        del play.open_calls[name]
        lose(call)
        play.answer_all()
        assert not play.dispatch.quarantines.reports()


class TestExplainedEnds:
    """Guards against a quarantine of requests that ran beside a crashing one."""

    CRASHING = CrashReport("crashing", evidence(6, 2))
    INNOCENT = CrashReport(
        "innocent", CrashEvidence(frozenset({"i-1", "i-2", "i-3"}), frozenset({"i-2", "i-3"}))
    )

    @pytest.mark.parametrize("first", [CRASHING, INNOCENT])
    def test_one_end_is_blamed_on_one_request(self, first):
        quarantines = Quarantines(Metrics(), lambda: 0.0)
        released: list[str] = []
        quarantines.on_released = released.append
        second = self.INNOCENT if first is self.CRASHING else self.CRASHING
        quarantines.take([first], "peer")
        quarantines.take([second], "peer")
        assert released == ["innocent"]
        assert quarantines.is_quarantined("crashing")
        assert quarantines.guard("innocent").standing is Standing.SUSPECT

    def test_ends_of_its_own_quarantine_a_request_all_the_same(self):
        quarantines = Quarantines(Metrics(), lambda: 0.0)
        own = frozenset({"j-1", "j-2", "j-3"})
        quarantines.take([self.CRASHING], "peer")
        quarantines.take([CrashReport("other", CrashEvidence(own | {"i-1"}, own))], "peer")
        assert quarantines.is_quarantined("other")

    def test_instances_that_hear_of_it_in_another_order_agree(self):
        one, two = (Quarantines(Metrics(), lambda: 0.0) for _ in range(2))
        told: list[CrashReport] = []
        one.on_reports = two.on_reports = told.extend
        one.take([self.CRASHING, self.INNOCENT], "peer")
        two.take([self.INNOCENT, self.CRASHING], "peer")
        for each in (one, two):
            each.take(told, "peer")
        assert set(one.reports()) == set(two.reports())

    def test_of_two_alike_the_one_that_was_never_answered_is_blamed(self):
        quarantines = Quarantines(Metrics(), lambda: 0.0)
        answered = CrashEvidence(evidence(6, 2).searchers, evidence(6, 2).on_trial, epoch=1)
        quarantines.take([CrashReport("answered", answered), self.CRASHING], "peer")
        assert quarantines.is_quarantined("crashing")
        assert not quarantines.is_quarantined("answered")

    def test_a_searcher_that_started_again_under_its_id_ends_anew(self):
        before, after = (Searcher("i", "s", "h:1", "a", 2, incarnation=n) for n in (1, 2))
        assert before.run != after.run


class FakeLink:
    """Keeps what it is given to send."""

    def __init__(self, name: str) -> None:
        self.name = self.host = name
        self.sent: list[CrashUpdate] = []

    def send_encoded(self, data: bytes, frame: CrashUpdate) -> None:
        self.sent.append(decode_frame(data))

    def send(self, frame: CrashUpdate) -> None:
        self.send_encoded(encode_frame(frame), frame)


class TestNews:
    def test_it_is_told_on_once_to_all_but_who_told_it(self):
        """Guards against instances without a link to the one that found a crashing request."""
        quarantines = Quarantines(Metrics(), lambda: 0.0)
        links = {name: FakeLink(name) for name in ("a", "b", "c")}
        exchange = CrashReportExchange(quarantines, links)
        news = CrashUpdate([CrashReport(FINGERPRINT, evidence(4, 2))])
        exchange.take(links["a"], news)
        exchange.take(links["b"], news)
        assert [len(link.sent) for link in links.values()] == [0, 1, 1]
        assert links["c"].sent == [news]

    def test_an_instance_that_comes_later_is_told_all(self):
        quarantines = Quarantines(Metrics(), lambda: 0.0)
        quarantine(quarantines, FINGERPRINT)
        link = FakeLink("late")
        CrashReportExchange(quarantines, {}).greet(link)
        assert link.sent[0].reports[0].evidence.standing is Standing.QUARANTINED

    def test_a_release_reaches_the_other_instances(self):
        here, there = (Quarantines(Metrics(), lambda: 0.0) for _ in range(2))
        for each in (here, there):
            quarantine(each, FINGERPRINT)
        link = FakeLink("there")
        CrashReportExchange(here, {"there": link})
        here.release(FINGERPRINT, "operator")
        there.take(link.sent[0].reports, "here")
        assert there.guard(FINGERPRINT).standing is Standing.TRUSTED
