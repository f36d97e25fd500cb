"""JSON and CBOR codecs for typed messages, with limits on size and nesting depth."""

import io
from typing import Any, TypeVar

import cbor2
import msgspec

from limpethollow_wire.exceptions import BadRequest, TooLarge
from limpethollow_wire.limits import MAX_BODY_BYTES, MAX_FRAME_BYTES, MAX_NESTING

T = TypeVar("T")


def to_json(value: Any) -> bytes:
    """Encode a message or a plain value as JSON."""
    return msgspec.json.encode(value)


def from_json(
    data: bytes | bytearray | memoryview, message_type: type[T], limit: int = MAX_BODY_BYTES
) -> T:
    """Decode JSON into a typed message.

    Args:
        data: The encoded body.
        message_type: The message class to decode into.
        limit: Maximum size in bytes.

    Raises:
        TooLarge: The body exceeds the limit.
        BadRequest: The body is not valid JSON or a field has the wrong type; the message says
            where.
    """
    if len(data) > limit:
        raise TooLarge(f"The body has {len(data)} bytes; at most {limit} are allowed.")
    try:
        return msgspec.json.decode(data, type=message_type)
    except RecursionError:
        raise BadRequest("The body is nested too deeply.") from None
    except msgspec.ValidationError as error:
        raise BadRequest(f"The body has an invalid field: {error}.") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BadRequest(f"The body is not valid JSON: {error}.") from None


def to_cbor(value: Any) -> bytes:
    """Encode a message or a plain value as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(value, builtin_types=(bytes,)))


def from_cbor(data: bytes, limit: int = MAX_FRAME_BYTES) -> Any:
    """Decode CBOR into plain values.

    Args:
        data: The encoded frame.
        limit: Maximum size in bytes.

    Raises:
        TooLarge: The frame exceeds the limit.
        BadRequest: The frame is not valid CBOR, or is nested deeper than `MAX_NESTING`.
    """
    if len(data) > limit:
        raise TooLarge(f"The frame has {len(data)} bytes; at most {limit} are allowed.")
    stream = io.BytesIO(data)
    try:
        value = cbor2.CBORDecoder(stream, max_depth=MAX_NESTING).decode()
    except Exception as error:
        # Malformed input makes the decoder raise many exception types; all mean an invalid frame.
        raise BadRequest(f"The frame is not valid CBOR: {error}.") from None
    return value


def convert(value: Any, message_type: type[T]) -> T:
    """Convert plain values to a typed message.

    Raises:
        BadRequest: A field is missing or has the wrong type; the message names it.
    """
    try:
        return msgspec.convert(value, message_type)
    except msgspec.ValidationError as error:
        raise BadRequest(f"The message has an invalid field: {error}.") from None


def to_plain(value: Any) -> Any:
    """Convert a typed message to plain dictionaries, lists and scalars."""
    return msgspec.to_builtins(value)
