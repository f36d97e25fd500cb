"""What the store's feeds bring, on its way into beliefs and to peers."""

import msgspec

from limpethollow_node.engine.frames import InstanceUpdate
from limpethollow_node.platform.codec import ObjectMeta, StoredObject
from limpethollow_node.platform.sinks import CachedKindSink
from limpethollow_node.platform.store import Change
from limpethollow_policy.process.objectcaches import ObjectCache
from limpethollow_policy.process.placements import Instance
from limpethollow_policy.process.revisions import Revision
from limpethollow_wire.exceptions import BadRequest


def decode(stored: StoredObject) -> Instance:
    if bytes(stored.spec) == b"null":
        raise BadRequest("It can't be read.")
    return Instance(stored.name, "1:1", "1:2", "a")


def change(name: str, *, deleted: bool = False, readable: bool = True) -> Change:
    spec = msgspec.Raw(b"{}" if readable else b"null")
    return Change(StoredObject(ObjectMeta(name), spec), deleted)


class Followed:
    """A sink with its belief, and the frames that it told."""

    def __init__(self, era: int, number: int, *names: str) -> None:
        self.told: list[InstanceUpdate] = []
        self.belief: ObjectCache[Instance] = ObjectCache(lambda item: None, lambda name: None)
        self.sink = CachedKindSink(
            "instances", self.belief, decode, InstanceUpdate, self.told.append
        )
        self.belief.replace(
            {name: decode(change(name).object) for name in names}, Revision(era, number)
        )

    @property
    def names(self) -> set[str]:
        return set(self.belief.items)

    def list(self, *names: str, revision: Revision) -> None:
        items = {name: self.sink.read(change(name).object) for name in names}
        self.sink.listed(items, revision)


class TestChanges:
    def test_news_are_taken_in_and_told(self):
        followed = Followed(2, 10, "n1")
        followed.sink.changed([change("n2"), change("n1", deleted=True)], Revision(2, 12))
        assert followed.names == {"n2"}
        assert [(news.era, news.base, news.revision) for news in followed.told] == [(2, 10, 12)]

    def test_those_of_an_older_era_are_neither_taken_in_nor_told(self):
        """Guards against peers that are told what the store has lost as if it were news."""
        followed = Followed(2, 10, "n1")
        followed.sink.changed([change("n1", deleted=True)], Revision(1, 500))
        assert (followed.names, followed.told) == ({"n1"}, [])

    def test_an_entry_that_can_not_be_read_any_more_is_gone(self):
        followed = Followed(1, 10, "n1")
        followed.sink.changed([change("n1", readable=False)], Revision(1, 11))
        assert followed.names == set()


class TestLists:
    def test_a_list_of_an_older_era_changes_nothing(self):
        """Guards against a list that was held back until after the store's return."""
        followed = Followed(2, 10, "n1")
        followed.list("n2", revision=Revision(1, 500))
        assert followed.names == {"n1"}

    def test_a_list_of_a_newer_era_replaces_one_of_a_higher_revision(self):
        """Guards against beliefs that outlast the store's return."""
        followed = Followed(1, 500, "n1")
        followed.list("n2", revision=Revision(2, 10))
        assert followed.names == {"n2"}
