"""Splits JSON text into its parts, whatever these contain and however deep they are nested."""

import re
from typing import Any, TypeVar

import msgspec

T = TypeVar("T", bound=msgspec.Struct)

_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
_PLAIN = rb'(?:[^\[\]{}"]++|' + _STRING + rb")"
# Text without brackets, and arrays and objects that contain no others.
_FILLING = rb"(?:" + _PLAIN + rb"|[\[{]" + _PLAIN + rb"*+[\]}])*+"
_STRINGS = re.compile(_STRING, re.DOTALL)
_KEY = re.compile(rb"(" + _STRING + rb")\s*+:\s*+", re.DOTALL)
# What may stand in an array or object besides the text between: a string, a bracket, a comma.
_TOKENS = re.compile(_STRING + rb'|[\[\]{},"]', re.DOTALL)
# Brackets are skipped in runs, since an object of the store may consist of a million of them.
_OPENING = re.compile(rb"(?:[\[{]" + _FILLING + rb")++", re.DOTALL)
_CLOSING = re.compile(rb"(?:[\]}]" + _FILLING + rb")++", re.DOTALL)
_CLOSING_BLOCK = re.compile(rb"([\]}]++)" + _FILLING, re.DOTALL)


def decode_parts(text: bytes | msgspec.Raw, kind: type[T]) -> T:
    """Decode a JSON object, of which some parts are not decoded.

    Args:
        text: The JSON text.
        kind: The message class. Its fields of the types `Raw` and `list[Raw]` take any text, also
            text that no decoder accepts.

    Raises:
        ValueError: Another field is missing or invalid.
    """
    try:
        return msgspec.json.decode(text, type=kind)
    except (msgspec.MsgspecError, RecursionError):
        members = split_object(bytes(text))
    try:
        return kind(
            **{
                field.name: _decode_field(members[field.encode_name], field.type)
                for field in msgspec.structs.fields(kind)
                if field.encode_name in members
            }
        )
    except RecursionError:
        raise ValueError("A field of the JSON object is nested too deeply.") from None
    except TypeError as error:
        raise ValueError(f"The JSON object lacks a field: {error}.") from None


def split_array(text: bytes) -> list[bytes]:
    """Return the elements of a JSON array as they are written.

    Raises:
        ValueError: The text is not an array, or a string or bracket in it is not closed.
    """
    return _split(text, b"[")


def split_object(text: bytes) -> dict[str, bytes]:
    """Return the members of a JSON object as they are written; the last one of a key counts.

    Raises:
        ValueError: The text is not an object, or a string or bracket in it is not closed.
    """
    found = {}
    for member in _split(text, b"{"):
        key = _KEY.match(member)
        if key is None:
            raise ValueError("A member of the JSON object has no key.")
        found[msgspec.json.decode(key[1], type=str)] = member[key.end() :]
    return found


def _decode_field(text: bytes, kind: Any) -> Any:
    if kind is msgspec.Raw:
        return msgspec.Raw(text)
    if kind == list[msgspec.Raw]:
        return [msgspec.Raw(part) for part in split_array(text)]
    return msgspec.json.decode(text, type=kind)


def _split(text: bytes, opening: bytes) -> list[bytes]:
    text = text.strip()
    if text[:1] != opening:
        raise ValueError(f"The JSON text does not begin with {opening.decode()}.")
    parts, start, position = [], 1, 1
    while (token := _TOKENS.search(text, position)) is not None:
        position = token.end()
        symbol = token[0]
        if symbol in (b"[", b"{"):
            position = _skip(text, token.start())
        elif symbol == b",":
            parts.append(text[start : token.start()].strip())
            start = position
        elif symbol in (b"]", b"}"):
            break
        elif symbol == b'"':
            raise ValueError("A string in the JSON text is not closed.")
    if token is None or position != len(text):
        raise ValueError("The brackets of the JSON text don't match.")
    last = text[start:-1].strip()
    return [*parts, last] if parts or last else []


def _skip(text: bytes, position: int) -> int:
    """Return the position behind an array or object that begins at a position.

    Raises:
        ValueError: It is not closed.
    """
    depth = 0
    while True:
        opening = _OPENING.match(text, position)
        if opening is not None:
            depth += _opened(opening[0])
            position = opening.end()
        closing = _CLOSING.match(text, position)
        if closing is None:
            raise ValueError("A string or bracket in the JSON text is not closed.")
        closed = -_opened(closing[0])
        if closed >= depth:
            return _end_of(text, position, depth)
        depth -= closed
        position = closing.end()


def _opened(run: bytes) -> int:
    """Return how many more brackets a text opens than it closes."""
    if b'"' in run:
        run = _STRINGS.sub(b"", run)
    return run.count(b"[") + run.count(b"{") - run.count(b"]") - run.count(b"}")


def _end_of(text: bytes, position: int, depth: int) -> int:
    """Return the position behind the bracket that closes the outermost of some open ones."""
    while (block := _CLOSING_BLOCK.match(text, position)) is not None:
        closed = len(block[1])
        if closed >= depth:
            return position + depth
        depth -= closed
        position = block.end()
    raise ValueError("A bracket in the JSON text is not closed.")
