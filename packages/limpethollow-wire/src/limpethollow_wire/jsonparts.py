"""Splits JSON text into its parts, whatever these contain and however deep they are nested."""

import re
from typing import Any, TypeVar

import msgspec

T = TypeVar("T", bound=msgspec.Struct)

# Brackets in a row are one token, as a million of them is a valid object of the store.
_TOKENS = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"|[\[{]++|[\]}]++|[,"]', re.DOTALL)
_KEY = re.compile(rb'("[^"\\]*+(?:\\.[^"\\]*+)*+")\s*+:\s*+', re.DOTALL)


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
    parts, depth, start = [], 0, 1
    for token in _TOKENS.finditer(text):
        first = text[token.start()]
        if first in b"[{":
            depth += token.end() - token.start()
        elif first in b"]}":
            depth -= token.end() - token.start()
            if depth <= 0:
                break
        elif first == b","[0] and depth == 1:
            parts.append(text[start : token.start()].strip())
            start = token.end()
        elif token[0] == b'"':
            raise ValueError("A string in the JSON text is not closed.")
    if depth != 0 or token.end() != len(text):
        raise ValueError("The brackets of the JSON text don't match.")
    last = text[start:-1].strip()
    return [*parts, last] if parts or last else []
