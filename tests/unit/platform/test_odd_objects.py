"""Objects of another writer that can't be read, among those of the searchers."""

import asyncio
import json
import tracemalloc
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limpethollow_node.engine.messages import Reply
from limpethollow_node.platform import store
from limpethollow_node.platform.codec import StoredObject, decode_searcher, decode_version
from limpethollow_node.platform.store import Listing, Store
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.searchers import Searcher
from limpethollow_wire.exceptions import BadRequest, Unavailable

DEEP = b"[" * 100_000 + b"]" * 100_000
MAX_CALLS = 40
ODD_VALUES = {
    "nested too deeply": DEEP,
    "objects nested too deeply": b'{"a":[' * 50_000 + b"]}" * 50_000,
    "a lone surrogate": b'"\\ud800"',
    "not a number": b"NaN",
    "an infinite number": b"[1, -Infinity]",
    "a float out of range": b"1e999",
    "an integer with 5000 digits": b"9" * 5000,
    "invalid UTF-8": b'"\xff"',
}
READABLE = {"text": b'"fine"', "empty": b"{}", "brackets": b'"]}\\"[{,"', "null": b"null"}


def encoded(name: str, spec: bytes = b'"fine"', more: bytes = b"") -> bytes:
    meta = json.dumps({"name": name, "revision": 7}).encode()
    return b'{"meta": %b, "spec": %b%b}' % (meta, spec, more)


def page(*items: bytes, more: bool = False) -> bytes:
    return b'{"items": [%b], "more": %b, "currentRev": 9}' % (
        b", ".join(items),
        b"true" if more else b"false",
    )


def changes(*events: tuple[bytes, bool]) -> bytes:
    found = [
        b'{"object": %b, "deleted": %b}' % (stored, b"true" if gone else b"false")
        for stored, gone in events
    ]
    return b'{"events": [%b], "currentRev": 9}' % b", ".join(found)


class Answers:
    """Stands for the connections to the store."""

    def __init__(self, answer: Callable[[str, dict[str, str]], bytes]) -> None:
        self.answer = answer
        self.targets: list[str] = []

    async def ask(self, method: bytes, target: bytes, **_: Any) -> Reply:
        self.targets.append(target.decode("ascii"))
        assert len(self.targets) <= MAX_CALLS, "The store is asked again and again."
        parts = urlsplit(self.targets[-1])
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        return Reply(200, [(b"store-era", b"1")], self.answer(parts.path, query))


def ask(answer: bytes | Callable[[str, dict[str, str]], bytes], call: str, *arguments: Any) -> Any:
    """Make one call to a store with given answers."""

    async def run() -> Any:
        client = Store("127.0.0.1:1", Metrics())
        client._client = Answers(answer if callable(answer) else lambda path, query: answer)
        return await getattr(client, call)(*arguments)

    return asyncio.run(run())


def pages(size: int, *objects: tuple[str, bytes]) -> Callable[[str, dict[str, str]], bytes]:
    """Return the answers of a store that lists its objects in pages."""

    def answer(path: str, query: dict[str, str]) -> bytes:
        left = [item for item in sorted(objects) if item[0] > query.get("after", "")]
        return page(*(body for _, body in left[:size]), more=len(left) > size)

    return answer


def plain(stored: StoredObject) -> tuple[Any] | None:
    """Return what an object holds, in a tuple; None if that can't be decoded."""
    try:
        return (msgspec.json.decode(stored.spec),)
    except (msgspec.MsgspecError, RecursionError):
        return None


def specs(listing: Listing) -> dict[str, Any]:
    return {name: value for name, (value,) in listing.items.items()}


class TestLists:
    """Guards against a list that is lost, and asked for again without end, for one odd object."""

    @pytest.mark.parametrize("odd", ODD_VALUES)
    @pytest.mark.parametrize("field", ["spec", "status"])
    def test_the_others_are_read(self, odd, field):
        more = b', "status": %b' % ODD_VALUES[odd] if field == "status" else b""
        spec = ODD_VALUES[odd] if field == "spec" else b'"fine"'
        found = ask(
            page(encoded("a"), encoded("b", spec, more), encoded("c")), "list", "servers", plain
        )
        assert found.revision == (1, 9)
        assert {name: spec for name, spec in specs(found).items() if name != "b"} == {
            "a": "fine",
            "c": "fine",
        }

    @pytest.mark.parametrize("odd", ODD_VALUES)
    def test_pages_go_on_behind_one_that_fills_a_page(self, odd):
        """Guards against a list that ends early, as if all searchers behind it were gone."""
        names = [("a", encoded("a")), ("b", encoded("b", ODD_VALUES[odd])), ("c", encoded("c"))]
        found = ask(pages(1, *names), "list", "servers", plain)
        assert {"a", "c"} <= specs(found).keys()

    @pytest.mark.parametrize("meta", [b"7", b'{"name": 7}', b'{"name": "%b"}' % (b"b" * 10_000)])
    def test_pages_go_on_behind_one_without_a_usable_name(self, meta):
        names = [("a", encoded("a")), ("b", b'{"meta": %b}' % meta), ("c", encoded("c"))]
        found = ask(pages(2, *names), "list", "servers", plain)
        assert specs(found) == {"a": "fine", "c": "fine"}

    def test_a_page_without_any_usable_name_is_no_end_of_the_list(self):
        with pytest.raises(Unavailable):
            ask(page(b'{"meta": 7}', more=True), "list", "servers", plain)

    def test_a_name_is_quoted_in_the_next_call(self):
        """Guards against a name that changes the call, or adds one behind it."""
        odd = "b&allowStale=1 HTTP/1.1\r\nHost: x\r\n\r\nü"
        names = [("a", encoded("a")), (odd, encoded(odd)), ("c", encoded("c"))]
        assert specs(ask(pages(1, *names), "list", "servers", plain)).keys() == {"a", odd, "c"}

    @pytest.mark.parametrize("call", ["delete", "replace", "read", "check"])
    def test_a_name_is_quoted_in_the_path(self, call):
        arguments = {"delete": (), "replace": (None,), "read": (1.0,), "check": (1.0,)}[call]
        paths = []

        def answer(path: str, query: dict[str, str]) -> bytes:
            paths.append(path)
            return encoded("b")

        ask(answer, call, "quarantines", "a/b? c", *arguments)
        assert paths == ["/objects/quarantines/a%2Fb%3F%20c"]

    @pytest.mark.parametrize("size", [10, 1_000_000])
    def test_pages_without_an_end_are_given_up(self, size):
        """Guards against a faulty store that fills the memory of all instances."""
        per_page = max(1, 1_000_000 // size)
        spec = b'"%b"' % (b"x" * size)

        def answer(path: str, query: dict[str, str]) -> bytes:
            first = int(query.get("after", "-1")) + 1
            items = [encoded(f"{n:09}", spec) for n in range(first, first + per_page)]
            return page(*items, more=True)

        with pytest.raises(Unavailable):
            ask(answer, "list", "servers", plain)

    def test_a_page_that_comes_again_and_again_is_given_up(self):
        with pytest.raises(Unavailable):
            ask(page(encoded("a"), encoded("b"), more=True), "list", "servers", plain)

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        st.lists(st.sampled_from([*ODD_VALUES, *READABLE]), min_size=1, max_size=8),
        st.integers(1, 4),
    )
    def test_all_readable_ones_are_read_whatever_is_beside_them(self, kinds, size):
        values = {**ODD_VALUES, **READABLE}
        objects = [(f"i-{n}", encoded(f"i-{n}", values[kind])) for n, kind in enumerate(kinds)]
        found = specs(ask(pages(size, *objects), "list", "servers", plain))
        for number, kind in enumerate(kinds):
            if kind in READABLE:
                assert found[f"i-{number}"] == json.loads(READABLE[kind])


class TestMemory:
    """Guards against the memory of objects that nobody needs, which another writer wrote."""

    rows = b'{"rows":[' + b",".join([b"{}"] * 330_000) + b"]}"
    searcher = b'{"service": "s", "addr": "h:1", "zone": "a", "state": "ready"%b}'

    def list(self, *objects: tuple[str, bytes]) -> set[str]:
        """List objects of up to 1 MB in pages; return the searchers' names."""
        found = ask(pages(1, *objects), "list", "servers", self.read)
        return set(found.items)

    def read(self, stored: StoredObject) -> Searcher | None:
        try:
            return decode_searcher(stored)
        except BadRequest:
            return None

    def test_a_list_takes_less_than_two_of_its_pages(self):
        dumps = [(f"dump-{n}", encoded(f"dump-{n}", self.rows)) for n in range(10)]
        good = ("i-1", encoded("i-1", self.searcher % b""))
        tracemalloc.start()
        try:
            assert self.list(*dumps, good) == {"i-1"}
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        assert peak < 3 * len(self.rows)

    @pytest.mark.parametrize("content", ["of no use", "unknown fields"])
    def test_the_limit_is_one_on_what_is_kept(self, content):
        """Guards against a list that is refused as too long, though little of it is needed."""
        more = self.searcher % (b', "more": %b' % self.rows)
        spec = self.rows if content == "of no use" else more
        large = [(f"dump-{n:02}", encoded(f"dump-{n:02}", spec)) for n in range(30)]
        good = ("i-1", encoded("i-1", self.searcher % b""))
        assert "i-1" in self.list(*large, good)

    def test_pages_without_an_end_and_without_use_are_given_up(self, monkeypatch):
        monkeypatch.setattr(store, "_MAX_PAGES", 20)

        def answer(path: str, query: dict[str, str]) -> bytes:
            return page(encoded(query.get("after", "") + "x", self.rows), more=True)

        with pytest.raises(Unavailable):
            ask(answer, "list", "servers", self.read)


class TestWatches:
    """Guards against changes that are lost, or watched for again without end."""

    @pytest.mark.parametrize("odd", ODD_VALUES)
    def test_the_other_changes_are_read(self, odd):
        stored = [
            (encoded("a"), False),
            (encoded("b", ODD_VALUES[odd]), False),
            (encoded("c"), True),
        ]
        found = ask(changes(*stored), "watch", "servers", 5, 1.0)
        assert [(e.object.name, e.deleted) for e in found.events if e.object.name != "b"] == [
            ("a", False),
            ("c", True),
        ]
        assert found.revision == (1, 9)

    @pytest.mark.parametrize("odd", ODD_VALUES)
    @pytest.mark.parametrize("deleted", [False, True])
    def test_the_change_of_an_odd_one_is_seen(self, odd, deleted):
        """Guards against a searcher that is called for ever because its last state was odd."""
        found = ask(changes((encoded("b", ODD_VALUES[odd]), deleted)), "watch", "servers", 5, 1.0)
        [change] = found.events
        assert (change.object.name, change.deleted) == ("b", deleted)
        with pytest.raises(BadRequest):
            decode_searcher(change.object)


class TestReads:
    @pytest.mark.parametrize("odd", ODD_VALUES)
    def test_an_odd_one_has_no_content(self, odd):
        """Guards against an error that ends what reads it, as the lease of the keys is renewed."""
        stored = ask(encoded("main", ODD_VALUES[odd]), "read", "config", "main", 1.0)
        with pytest.raises(BadRequest):
            decode_version(stored)

    @pytest.mark.parametrize("answer", [b"", DEEP, b"[" * 100_000, b'{"spec": "', b'"main"', b"{}"])
    def test_what_is_no_object_is_no_answer(self, answer):
        for call, arguments in [
            ("read", ("config", "main", 1.0)),
            ("list", ("config", plain)),
            ("watch", ("config", 5, 1.0)),
        ]:
            with pytest.raises(Unavailable):
                ask(answer, call, *arguments)
