"""JSON text is split as a decoder would read it, and anything else is refused."""

import contextlib
import json
import time

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limpethollow_wire.jsonparts import decode_parts, split_array, split_object


class Named(msgspec.Struct):
    meta: dict[str, str]


VALUES = st.recursive(
    st.none() | st.integers() | st.text('ab"\\[]{},: \n', max_size=6),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text('a"]}', max_size=3), inner),
    max_leaves=30,
)
PROPERTY = settings(derandomize=True, deadline=None, max_examples=400)


class TestSplit:
    """Guards against parts that belong to another object."""

    @PROPERTY
    @given(st.lists(VALUES, max_size=5), st.sampled_from([None, 0, 2]))
    def test_an_array(self, values, indent):
        parts = split_array(json.dumps(values, indent=indent).encode())
        assert [json.loads(part) for part in parts] == values

    @PROPERTY
    @given(st.dictionaries(st.text('a"]}', max_size=4), VALUES), st.sampled_from([None, 0, 2]))
    def test_an_object(self, value, indent):
        members = split_object(json.dumps(value, indent=indent).encode())
        assert {key: json.loads(part) for key, part in members.items()} == value

    @PROPERTY
    @given(st.text('ab"\\[]{},: 1', max_size=40).map(str.encode))
    def test_any_text_is_split_or_refused(self, text):
        for split in (split_array, split_object):
            try:
                parts = split(text)
            except ValueError:
                continue
            assert all(part in text for part in (parts if split is split_array else parts.values()))

    @pytest.mark.parametrize("depth", [10, 100_000])
    @pytest.mark.parametrize(
        ("start", "end"), [(b"[", b"]"), (b'{"a":', b"}"), (b"[\n1, [], ", b" ]")]
    )
    def test_a_deep_part(self, start, end, depth):
        deep = start * depth + b"1" + end * depth
        assert split_array(b"[1, " + deep + b', "x"]') == [b"1", deep, b'"x"']
        assert split_object(b'{"a": ' + deep + b', "b": 2}') == {"a": deep, "b": b"2"}

    @pytest.mark.parametrize("text", [b"", b"7", b"[", b"[[1]", b"[1]]", b'["a]', b"[" * 100_000])
    def test_what_is_not_closed_is_refused(self, text):
        with pytest.raises(ValueError):
            split_array(text)


LOG_LINE = b"2026-12-07 [info] request {id: 17} done [ok]\n"
# Each is repeated: what is nested deeper or less deep, strings, and what is not closed.
REPEATED = {
    "a log": LOG_LINE,
    "flat": b"[}",
    "nested": b"[[}}",
    "nested deeper": b"[[[[[[}}}}}}",
    "texts between": b"[a[b[c]]]",
    "strings": b'["x"]',
    "empty strings": b'""',
    "brackets in strings": b'"["',
    "opened only": b"[",
    "opened in objects": b'{"a":',
    "quoted quotes": b'\\"',
}


SIZES = (8_000, 64_000)


class TestWork:
    """Guards against text of another writer that keeps the event loop busy."""

    @pytest.mark.parametrize("name", REPEATED)
    def test_it_grows_with_the_length_of_the_text(self, name):
        small, large = (self.seconds(REPEATED[name] * (n // len(REPEATED[name]))) for n in SIZES)
        assert large < 3 * SIZES[1] / SIZES[0] * small

    def seconds(self, spec: bytes) -> float:
        """Return the processor time for an object with this content, alone and in a list."""
        stored = b'{"meta": {}, "spec": %b}' % spec
        taken = []
        for _ in range(5):
            began = time.process_time()
            for split, text in ((split_object, stored), (split_array, b"[%b]" % stored)):
                with contextlib.suppress(ValueError):
                    split(text)
            taken.append(time.process_time() - began)
        return min(taken)

    def test_only_what_is_needed_is_read(self):
        """Guards against a name that is lost with the content behind it."""
        text = b'{"meta": {"name": "a"}, "spec": a, {b, }]'
        assert decode_parts(text, Named).meta == {"name": "a"}
