"""Generated orders of events against one scheduler."""

from hypothesis import given, settings
from hypothesis import strategies as st

from limpethollow_policy.request.events import Failure
from limpethollow_wire.services import Objective
from tests.unit.search.drivers import Driver, make_spec

_LAYOUTS = (
    ((0, 1, 2), (0, 1, 2)),
    ((0, 1), (1, 2), (2, 0)),
    ((0,), (1,), (2,), (0, 1, 2)),
)
_STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ("search", "same", "answer", "answer", "answer", "late", "short", "crossed", "doubled")
            + ("fail", "pass", "pass", "turn", "drop", "epoch", "abandon", "config", "book")
            + ("release", "versions", "wrong_epoch")
        ),
        st.integers(0, 1000),
    ),
    max_size=80,
)
_FAILURES = (Failure.REFUSED, Failure.SHED, Failure.TIMEOUT, Failure.BROKEN, Failure.MISMATCHED)


class Walk:
    """Turns generated steps into events; what is not possible at a moment is left out."""

    def __init__(self, layout: int, mode: str, owners: int) -> None:
        objective = Objective(mode=mode, latency=0.1, deadline=0.5, coverage_floor=0.5)
        self.spec = make_spec(*_LAYOUTS[layout], objective=objective, owners=owners)
        self.driver = Driver(self.spec)
        self.version = 1
        self.number = 0
        self.ended: list[str] = []
        self.abandoned: set[str] = set()
        self.released: set[str] = set()

    def step(self, name: str, pick: int) -> None:
        getattr(self, f"do_{name}")(pick)

    def do_search(self, pick: int) -> None:
        self.number += 1
        shards = [s for s in range(self.spec.shards) if pick >> s & 1] or [0]
        minimum = self.version if pick % 7 == 0 else 0
        pinned = self.version if pick % 11 == 0 else None
        epoch = self.epoch_of_caller(pick)
        self.driver.search(
            f"q{self.number}", shards=shards, min_version=minimum, pinned=pinned, epoch=epoch
        )

    def do_same(self, pick: int) -> None:
        self.number += 1
        self.driver.search(f"q{self.number}", {"same": pick % 2})

    def do_versions(self, pick: int) -> None:
        self.number += 1
        self.driver.search(f"q{self.number}", versions_only=True)

    def do_answer(self, pick: int) -> None:
        self.reply_to(pick, after=(pick % 10) / 1000)

    def do_late(self, pick: int) -> None:
        """Let a call answer that has ended before."""
        if self.ended:
            self.driver.answer(self.ended[pick % len(self.ended)])

    def do_short(self, pick: int) -> None:
        call_id = self.pick_call(pick)
        if call_id:
            parts = self.driver.reply(call_id).parts
            self.reply_to(pick, parts=parts[: len(parts) // 2], errors=())

    def do_crossed(self, pick: int) -> None:
        """Let a reply carry what belongs to another call."""
        if self.driver.started:
            other = self.driver.started[pick % len(self.driver.started)]
            reply = self.driver.reply(other.call_id)
            self.reply_to(pick + 1, parts=reply.parts, errors=reply.errors, epoch=reply.epoch)

    def do_doubled(self, pick: int) -> None:
        call_id = self.pick_call(pick)
        if call_id:
            self.reply_to(pick, parts=self.driver.reply(call_id).parts * 2)

    def do_wrong_epoch(self, pick: int) -> None:
        self.reply_to(pick, epoch=99)

    def do_fail(self, pick: int) -> None:
        call_id = self.pick_call(pick)
        if call_id:
            self.ended.append(call_id)
            retry_after = 0.01 if pick % 3 == 0 else None
            failure = _FAILURES[pick % len(_FAILURES)]
            self.driver.fail(call_id, failure, retry_after=retry_after)

    def do_pass(self, pick: int) -> None:
        self.driver.advance((pick % 100) / 1000)

    def do_turn(self, pick: int) -> None:
        """Let one searcher get the next version."""
        self.version += 1
        searcher = self.pick_searcher(pick)
        for versions in self.driver.versions[searcher].values():
            versions.add(self.version)

    def do_drop(self, pick: int) -> None:
        """Let one searcher drop its oldest version."""
        for versions in self.driver.versions[self.pick_searcher(pick)].values():
            if len(versions) > 1:
                versions.remove(min(versions))

    def do_epoch(self, pick: int) -> None:
        self.driver.epochs[self.pick_searcher(pick)] += 1

    def do_abandon(self, pick: int) -> None:
        if self.number:
            search_id = f"q{1 + pick % self.number}"
            if search_id in self.driver.searches and search_id not in self.driver.finals:
                self.abandoned.add(search_id)
            self.driver.abandon(search_id)

    def do_config(self, pick: int) -> None:
        epoch = max(self.driver.epochs.values()) if pick % 2 else self.spec.epoch
        held = _LAYOUTS[pick % len(_LAYOUTS)]
        self.spec = make_spec(*held, objective=self.spec.objective, epoch=epoch)
        self.driver.reconfigure(self.spec)

    def do_book(self, pick: int) -> None:
        self.number += 1
        self.driver.book(f"b{self.number}", pick % self.spec.shards, 0.1)

    def do_release(self, pick: int) -> None:
        for request_id in self.driver.slots:
            if request_id not in self.released:
                self.released.add(request_id)
                return self.driver.release(request_id)
        return None

    def epoch_of_caller(self, pick: int) -> int:
        """Return the epoch that a caller knows, now and then the one before the group's."""
        return self.spec.epoch - 1 if pick % 5 == 0 else self.spec.epoch

    def reply_to(self, pick: int, after: float = 0.0, **changes: object) -> None:
        call_id = self.pick_call(pick)
        if call_id:
            self.ended.append(call_id)
            self.driver.answer(call_id, after, **changes)

    def pick_call(self, pick: int) -> str | None:
        calls = sorted(self.driver.calls, key=int)
        return calls[pick % len(calls)] if calls else None

    def pick_searcher(self, pick: int) -> str:
        return self.spec.searchers[pick % len(self.spec.searchers)].id

    def finish(self) -> None:
        """End every call and let every deadline pass."""
        for _ in range(200):
            for call_id in tuple(self.driver.calls):
                self.driver.answer(call_id)
            self.driver.advance(0.05)
            for request_id in tuple(self.driver.slots):
                self.driver.release(request_id)
            if self.driver.scheduler.is_idle:
                return
        raise AssertionError("Something stays open for ever.")


class TestGeneratedOrders:
    @settings(max_examples=400, derandomize=True, deadline=None, database=None)
    @given(
        st.integers(0, len(_LAYOUTS) - 1),
        st.sampled_from(("latency", "coverage")),
        st.integers(1, 3),
        _STEPS,
    )
    def test_every_search_gets_one_true_answer_in_any_order_of_events(
        self, layout, mode, owners, steps
    ):
        """A caller would see two answers, none, or rows of two snapshots under one label.

        Searches, late, short, crossed and doubled replies, failures, new versions, repartitions,
        new configurations, bookings and callers that leave come in any order. After each step the
        driver checks labels and slots; at the end everything must have ended and been answered.
        """
        walk = Walk(layout, mode, owners)
        for name, pick in steps:
            walk.step(name, pick)
        walk.finish()
        driver = walk.driver
        assert set(driver.finals) | walk.abandoned == set(driver.searches)
        assert not set(driver.finals) & walk.abandoned
        assert not driver.calls
