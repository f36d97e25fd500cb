"""Splits JSON text into its parts, whatever these contain and however deep they are nested."""

import re
from collections.abc import Iterator
from itertools import accumulate
from operator import indexOf
from typing import Any, TypeVar

import msgspec

T = TypeVar("T", bound=msgspec.Struct)

# Every quantifier is possessive, so that no text is matched more than twice.
_STRING_START = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+'
_STRING = _STRING_START + rb'"'
# Strings; one that is not closed extends to the end of the text.
_STRINGS = re.compile(_STRING_START + rb'"?', re.DOTALL)
_KEY = re.compile(rb"(" + _STRING + rb")\s*+:\s*+", re.DOTALL)
# Arrays and objects that contain no others.
_FLAT = rb'[\[{](?:[^\[\]{}"]++|' + _STRING + rb")*+[\]}]"
# What precedes the next comma, the end of the surrounding array or object, or a deeper part.
_ELEMENT = re.compile(rb'(?:[^\[\]{}",]++|' + _STRING + rb"|" + _FLAT + rb")*+", re.DOTALL)
# Translates each byte into the signed change of the nesting depth at it.
_DEPTH_CHANGES = bytes(1 if c in b"[{" else 0xFF if c in b"]}" else 0 for c in range(256))


def decode_parts(text: bytes | msgspec.Raw, kind: type[T]) -> T:
    """Decode a JSON object, of which some parts are not decoded.

    Args:
        text: The JSON text.
        kind: The message class. Its fields of the types `Raw` and `list[Raw]` take any text, also
            text that no decoder accepts. If the text as a whole can't be decoded, the first member
            of a name counts, and what follows the last one that is needed is not read.

    Raises:
        ValueError: Another field is missing or invalid.
    """
    try:
        return msgspec.json.decode(text, type=kind)
    except (msgspec.MsgspecError, RecursionError):
        pass
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    found: dict[str, Any] = {}
    try:
        for name, member in _iterate_members(bytes(text)):
            field = fields.pop(name, None)
            if field is not None:
                found[field.name] = _decode_field(member, field.type)
            if not fields:
                break
        return kind(**found)
    except RecursionError:
        raise ValueError("A field of the JSON object is nested too deeply.") from None
    except TypeError as error:
        raise ValueError(f"The JSON object lacks a field: {error}.") from None


def split_array(text: bytes) -> list[bytes]:
    """Return the elements of a JSON array as they are written.

    Raises:
        ValueError: The text is not an array, or a string or bracket in it is not closed.
    """
    return list(_iterate_parts(text, b"["))


def split_object(text: bytes) -> dict[str, bytes]:
    """Return the members of a JSON object as they are written; the last one of a key counts.

    Raises:
        ValueError: The text is not an object, or a string or bracket in it is not closed.
    """
    return dict(_iterate_members(text))


def _decode_field(text: bytes, kind: Any) -> Any:
    if kind is msgspec.Raw:
        return msgspec.Raw(text)
    if kind == list[msgspec.Raw]:
        return [msgspec.Raw(part) for part in split_array(text)]
    return msgspec.json.decode(text, type=kind)


def _iterate_members(text: bytes) -> Iterator[tuple[str, bytes]]:
    """Yield the name and the value of each member of a JSON object."""
    for member in _iterate_parts(text, b"{"):
        key = _KEY.match(member)
        if key is None:
            raise ValueError("A member of the JSON object has no key.")
        yield msgspec.json.decode(key[1], type=str), member[key.end() :]


def _iterate_parts(text: bytes, opening: bytes) -> Iterator[bytes]:
    """Yield the elements of a JSON array, or the members of a JSON object.

    The work is proportional to the length of the text, whatever it contains, since it may be
    another writer's.
    """
    text = text.strip()
    if text[:1] != opening:
        raise ValueError(f"The JSON text does not begin with {opening.decode()}.")
    start = position = 1
    has_parts = False
    nesting: _Nesting | None = None
    while True:
        position = _ELEMENT.match(text, position).end()
        symbol = text[position : position + 1]
        if symbol in (b"[", b"{"):
            nesting = nesting or _Nesting(text)
            position = nesting.end_of(position)
        elif symbol == b",":
            has_parts = True
            yield text[start:position].strip()
            start = position = position + 1
        elif symbol == b'"':
            raise ValueError("A string in the JSON text is not closed.")
        elif position != len(text) - 1:
            raise ValueError("The brackets of the JSON text don't match.")
        else:
            break
    last = text[start:-1].strip()
    if has_parts or last:
        yield last


class _Nesting:
    """Finds the ends of nested arrays and objects in a JSON text.

    A loop over the brackets would take over ten times as long: a text may consist of them.

    Args:
        text: The JSON text.
    """

    __slots__ = ("_changes",)

    def __init__(self, text: bytes) -> None:
        outside = _STRINGS.sub(lambda string: bytes(len(string[0])), text)
        self._changes = memoryview(outside.translate(_DEPTH_CHANGES)).cast("b")

    def end_of(self, start: int) -> int:
        """Return the position behind the array or object that begins at a position.

        Raises:
            ValueError: It is not closed.
        """
        try:
            return start + indexOf(accumulate(self._changes[start:]), 0) + 1
        except ValueError:
            raise ValueError("A string or bracket in the JSON text is not closed.") from None
