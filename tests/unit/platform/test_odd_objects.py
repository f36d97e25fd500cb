"""Objects of another writer that can't be read, among those of the searchers."""

import asyncio
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limpethollow_node.engine.messages import Reply
from limpethollow_node.platform.store import Store
from limpethollow_node.process.metrics import Metrics
from limpethollow_wire.exceptions import Unavailable

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
        store = Store("127.0.0.1:1", Metrics())
        store._client = Answers(answer if callable(answer) else lambda path, query: answer)
        return await getattr(store, call)(*arguments)

    return asyncio.run(run())


def pages(size: int, *objects: tuple[str, bytes]) -> Callable[[str, dict[str, str]], bytes]:
    """Return the answers of a store that lists its objects in pages."""

    def answer(path: str, query: dict[str, str]) -> bytes:
        left = [item for item in sorted(objects) if item[0] > query.get("after", "")]
        return page(*(body for _, body in left[:size]), more=len(left) > size)

    return answer


def specs(objects: list) -> dict[str, Any]:
    return {stored.name: stored.spec for stored in objects}


class TestLists:
    """Guards against a list that is lost, and asked for again without end, for one odd object."""

    @pytest.mark.parametrize("odd", ODD_VALUES)
    @pytest.mark.parametrize("field", ["spec", "status"])
    def test_the_others_are_read(self, odd, field):
        more = b', "status": %b' % ODD_VALUES[odd] if field == "status" else b""
        spec = ODD_VALUES[odd] if field == "spec" else b'"fine"'
        found = ask(page(encoded("a"), encoded("b", spec, more), encoded("c")), "list", "servers")
        assert found.revision == (1, 9)
        assert {name: spec for name, spec in specs(found.objects).items() if name != "b"} == {
            "a": "fine",
            "c": "fine",
        }

    @pytest.mark.parametrize("odd", ODD_VALUES)
    def test_pages_go_on_behind_one_that_fills_a_page(self, odd):
        """Guards against a list that ends early, as if all searchers behind it were gone."""
        names = [("a", encoded("a")), ("b", encoded("b", ODD_VALUES[odd])), ("c", encoded("c"))]
        found = ask(pages(1, *names), "list", "servers")
        assert {"a", "c"} <= specs(found.objects).keys()

    @pytest.mark.parametrize("meta", [b"7", b'{"name": 7}', b'{"name": "%b"}' % (b"b" * 10_000)])
    def test_pages_go_on_behind_one_without_a_usable_name(self, meta):
        names = [("a", encoded("a")), ("b", b'{"meta": %b}' % meta), ("c", encoded("c"))]
        found = ask(pages(2, *names), "list", "servers")
        assert specs(found.objects) == {"a": "fine", "c": "fine"}

    def test_a_page_without_any_usable_name_is_no_end_of_the_list(self):
        with pytest.raises(Unavailable):
            ask(page(b'{"meta": 7}', more=True), "list", "servers")

    def test_a_name_is_quoted_in_the_next_call(self):
        """Guards against a name that changes the call, or adds one behind it."""
        odd = "b&allowStale=1 HTTP/1.1\r\nHost: x\r\n\r\nü"
        names = [("a", encoded("a")), (odd, encoded(odd)), ("c", encoded("c"))]
        assert specs(ask(pages(1, *names), "list", "servers").objects).keys() == {"a", odd, "c"}

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
            ask(answer, "list", "servers")

    def test_a_page_that_comes_again_and_again_is_given_up(self):
        with pytest.raises(Unavailable):
            ask(page(encoded("a"), encoded("b"), more=True), "list", "servers")

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        st.lists(st.sampled_from([*ODD_VALUES, *READABLE]), min_size=1, max_size=8),
        st.integers(1, 4),
    )
    def test_all_readable_ones_are_read_whatever_is_beside_them(self, kinds, size):
        values = {**ODD_VALUES, **READABLE}
        objects = [(f"i-{n}", encoded(f"i-{n}", values[kind])) for n, kind in enumerate(kinds)]
        found = specs(ask(pages(size, *objects), "list", "servers").objects)
        for number, kind in enumerate(kinds):
            if kind in READABLE:
                assert found[f"i-{number}"] == json.loads(READABLE[kind])


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
        assert [(e.object.name, e.object.spec, e.deleted) for e in found.events] == [
            ("b", None, deleted)
        ]


class TestReads:
    @pytest.mark.parametrize("odd", ODD_VALUES)
    def test_an_odd_one_has_no_content(self, odd):
        """Guards against an error that ends what reads it, as the lease of the keys is renewed."""
        assert ask(encoded("main", ODD_VALUES[odd]), "read", "config", "main", 1.0).spec is None

    @pytest.mark.parametrize("answer", [b"", DEEP, b"[" * 100_000, b'{"spec": "', b'"main"', b"{}"])
    def test_what_is_no_object_is_no_answer(self, answer):
        for call, arguments in [
            ("read", ("config", "main", 1.0)),
            ("list", ("config",)),
            ("watch", ("config", 5, 1.0)),
        ]:
            with pytest.raises(Unavailable):
                ask(answer, call, *arguments)
