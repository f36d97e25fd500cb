"""Lists and watches that the store has forgotten."""

import asyncio
from collections.abc import Callable
from random import Random

from limpethollow_node.platform import feeds, pauses
from limpethollow_node.platform.codec import StoredObject
from limpethollow_node.platform.feeds import Feed
from limpethollow_node.platform.store import Changes, ChangesTooLarge, Listing
from limpethollow_policy.process.revisions import Revision
from limpethollow_wire.exceptions import Unavailable

READ = Revision(1, 7)


class ForgetfulStore:
    """Never answers the first list."""

    era = 1

    def __init__(self) -> None:
        self.lists = 0

    async def list(self, kind: str, decode: Callable) -> Listing:
        self.lists += 1
        if self.lists == 1:
            await asyncio.Event().wait()
        return Listing({}, READ)

    async def watch(self, kind: str, revision: int, wait: float) -> None:
        await asyncio.Event().wait()


class KeepingSink:
    revision: Revision | None = None

    def read(self, stored: StoredObject) -> None:
        return None

    def listed(self, items: dict, revision: Revision) -> None:
        self.revision = revision

    def changed(self, changes: list, revision: Revision) -> None:
        self.revision = revision


class TestForgottenList:
    """All instances restarted while the store was silent, and it came back half a second later.

    The lists that they had asked for in the silence were never answered. Each instance refused its
    callers until the call's own timeout of a second, though the store answered again.
    """

    def test_it_is_asked_for_again_when_the_store_is_back(self):
        assert asyncio.run(self.play(feeds._LIST_LOST_SECONDS + 0.05)) == (2, READ)

    def test_a_list_that_was_just_asked_for_is_waited_for(self):
        """A store that is merely slow would otherwise never get to answer one."""
        assert asyncio.run(self.play(0.0)) == (1, None)

    def test_one_that_was_asked_for_while_the_store_was_away_is_not(self):
        """Guards against a start that waits a second for a list that nobody will answer."""
        assert asyncio.run(self.play(0.0, away=True)) == (2, READ)

    async def play(self, silent_for: float, *, away: bool = False) -> tuple[int, Revision | None]:
        store, sink = ForgetfulStore(), KeepingSink()
        feed = Feed(store, "kind", sink, Random(1), store_is_away=lambda: away)
        feed.set_active(True)
        task = asyncio.create_task(feed.run())
        while not store.lists:
            await asyncio.sleep(0)
        await asyncio.sleep(silent_for)
        feed.restart()
        await asyncio.sleep(0.02)
        task.cancel()
        return store.lists, sink.revision


class RefusingStore(ForgetfulStore):
    """Refuses the first list."""

    async def list(self, kind: str, decode: Callable) -> Listing:
        self.lists += 1
        if self.lists == 1:
            raise Unavailable("away")
        return Listing({}, READ)


class TestPauses:
    def test_a_pause_ends_when_the_store_is_back(self, monkeypatch):
        monkeypatch.setattr(pauses, "FIRST_PAUSE", 60.0)
        monkeypatch.setattr(pauses, "LONGEST_PAUSE", 60.0)
        assert asyncio.run(self.play()) == (2, READ)

    async def play(self) -> tuple[int, Revision | None]:
        store, sink = RefusingStore(), KeepingSink()
        feed = Feed(store, "kind", sink, Random(1))
        feed.set_active(True)
        task = asyncio.create_task(feed.run())
        while not store.lists:
            await asyncio.sleep(0)
        await asyncio.sleep(0.01)
        feed.restart()
        await asyncio.sleep(0.02)
        task.cancel()
        return store.lists, sink.revision


class TestConnected:
    """Whenever a relay was replaced, all 65 instances followed the store for up to ten seconds.

    The new one had begun to watch, but counted as connected only with the watch's first answer,
    which comes with a change, or when its ten seconds are over.
    """

    def test_a_watch_that_the_store_has_taken_counts(self):
        assert asyncio.run(self.play()) == [True, False, True]

    async def play(self) -> list[bool]:
        store, sink = ForgetfulStore(), KeepingSink()
        store.lists = 1
        feed = Feed(store, "kind", sink, Random(1))
        feed.set_active(True)
        task = asyncio.create_task(feed.run())
        await asyncio.sleep(0.02)
        found = [feed.connected]
        feed.set_active(False)
        await asyncio.sleep(0.02)
        found.append(feed.connected)
        feed.set_active(True)
        await asyncio.sleep(0.02)
        found.append(feed.connected)
        task.cancel()
        return found

    def test_after_a_failure_a_new_watch_counts_only_once_it_is_taken(self):
        assert asyncio.run(self.fail()) == [False, False, True]

    async def fail(self) -> list[bool]:
        store, sink = RefusingStore(), KeepingSink()
        sink.revision = READ
        feed = Feed(store, "kind", sink, Random(1))
        feed.set_active(True)
        found = [feed.connected]
        task = asyncio.create_task(feed.run())
        await asyncio.sleep(0.02)
        found.append(feed.connected)
        await asyncio.sleep(feeds._WATCH_ACCEPTED_SECONDS + 0.05)
        found.append(feed.connected)
        task.cancel()
        return found


class TestAfterTheFirstList:
    """18 instances started together, and each watched all three kinds for a moment.

    Whether to watch was decided a few times a second, and a feed that had listed went on by itself.
    """

    def test_nothing_is_watched_before_that_is_decided(self):
        assert asyncio.run(self.play()) == (1, 0)

    async def play(self) -> tuple[int, int]:
        store = CountingStore()
        feed = Feed(store, "kind", KeepingSink(), Random(1), lambda: feed.set_active(False))
        feed.set_active(True)
        task = asyncio.create_task(feed.run())
        await asyncio.sleep(0.02)
        task.cancel()
        return store.lists, store.watches


class CountingStore:
    """Answers lists, and counts watches."""

    era = 1

    def __init__(self) -> None:
        self.lists = self.watches = 0

    async def list(self, kind: str, decode: Callable) -> Listing:
        self.lists += 1
        return Listing({}, READ)

    async def watch(self, kind: str, revision: int, wait: float) -> None:
        self.watches += 1
        await asyncio.Event().wait()


class TestStoppedFeed:
    def test_the_list_under_way_is_given_up(self):
        """Guards against a feed that is told to read again and still waits for its old list."""
        assert asyncio.run(self.play()) == (2, READ)

    async def play(self) -> tuple[int, Revision | None]:
        store, sink = ForgetfulStore(), KeepingSink()
        feed = Feed(store, "kind", sink, Random(1))
        feed.set_active(True)
        task = asyncio.create_task(feed.run())
        while not store.lists:
            await asyncio.sleep(0)
        feed.set_active(False)
        await asyncio.sleep(0.02)
        feed.set_active(True)
        await asyncio.sleep(0.02)
        task.cancel()
        return store.lists, sink.revision


class ReturningStore(ForgetfulStore):
    """Comes back from an older copy after its first list."""

    def __init__(self, watched: Revision) -> None:
        super().__init__()
        self.watched = watched

    async def list(self, kind: str, decode: Callable) -> Listing:
        self.lists += 1
        return Listing({}, Revision(self.era, 7 if self.lists == 1 else 5))

    async def watch(self, kind: str, revision: int, wait: float) -> Changes:
        if self.lists > 1:
            await asyncio.Event().wait()
        await asyncio.sleep(0.02)
        return Changes([], self.watched)


class OverflowingStore(CountingStore):
    """Has more changes than one answer may hold."""

    async def watch(self, kind: str, revision: int, wait: float) -> None:
        self.watches += 1
        if self.watches == 1:
            raise ChangesTooLarge("8 MB")
        await asyncio.Event().wait()


class TestLargeChanges:
    def test_changes_that_fit_into_no_answer_are_listed(self, monkeypatch):
        """Guards against the same watch again and again until the store forgets its history."""
        monkeypatch.setattr(feeds, "FIRST_PAUSE", 0.0)
        assert asyncio.run(self.play()) == (2, 2)

    async def play(self) -> tuple[int, int]:
        store = OverflowingStore()
        feed = Feed(store, "kind", KeepingSink(), Random(1))
        feed.set_active(True)
        task = asyncio.create_task(feed.run())
        await asyncio.sleep(0.05)
        task.cancel()
        return store.lists, store.watches


class TestReturn:
    """Guards against changes of a new era taken for those after a revision of an older one."""

    def test_a_watch_that_is_answered_in_a_new_era_makes_way_for_a_list(self):
        store = ReturningStore(Revision(2, 9))
        assert asyncio.run(self.play(store, era=2)) == (2, Revision(2, 5))

    def test_so_does_one_before_it_is_answered(self):
        """Guards against a watch that waits ten seconds for changes after a revision to come."""
        assert asyncio.run(self.play(ForgetfulWatches(), era=2, restart=True)) == (2, READ_AGAIN)

    def test_an_answer_without_an_era_is_of_the_newest_known(self):
        """Guards against a list that is asked for again and again, as it names no era."""
        store = ReturningStore(Revision(0, 9))
        assert asyncio.run(self.play(store, era=1)) == (1, Revision(1, 9))

    async def play(
        self, store: ForgetfulStore, *, era: int, restart: bool = False
    ) -> tuple[int, Revision]:
        sink = KeepingSink()
        feed = Feed(store, "kind", sink, Random(1))
        feed.set_active(True)
        task = asyncio.create_task(feed.run())
        while sink.revision is None:
            await asyncio.sleep(0)
        await asyncio.sleep(0.01)
        store.era = era
        if restart:
            feed.restart()
        await asyncio.sleep(0.3)
        task.cancel()
        return store.lists, sink.revision


READ_AGAIN = Revision(2, 5)


class ForgetfulWatches(ReturningStore):
    """Never answers a watch."""

    def __init__(self) -> None:
        super().__init__(READ)

    async def watch(self, kind: str, revision: int, wait: float) -> Changes:
        await asyncio.Event().wait()
