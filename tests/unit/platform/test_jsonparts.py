"""JSON text is split as a decoder would read it, and anything else is refused."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limpethollow_wire.jsonparts import split_array, split_object

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
