"""JSON and CBOR codecs with bounds on size and nesting, and typed messages on top."""

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


def from_json(data: bytes, kind: type[T], limit: int = MAX_BODY_BYTES) -> T:
    """Decode JSON into a typed message.

    Args:
        data: The encoded body.
        kind: The message class wanted.
        limit: Upper bound in bytes.

    Raises:
        TooLarge: The body is over its bound.
        BadRequest: The body is not JSON or has wrong types; the message names the place.
    """
    if len(data) > limit:
        raise TooLarge(f"The body has {len(data)} bytes; {limit} are allowed.")
    try:
        return msgspec.json.decode(data, type=kind)
    except RecursionError:
        raise BadRequest("The body is nested too deeply.") from None
    except msgspec.ValidationError as error:
        raise BadRequest(f"The body has a wrong field: {error}.") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BadRequest(f"The body is not JSON: {error}.") from None


def to_cbor(value: Any) -> bytes:
    """Encode a message or a plain value as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(value, builtin_types=(bytes,)))


def from_cbor(data: bytes, limit: int = MAX_FRAME_BYTES) -> Any:
    """Decode CBOR into plain values.

    Args:
        data: The encoded frame.
        limit: Upper bound in bytes.

    Raises:
        TooLarge: The frame is over its bound.
        BadRequest: The frame is not CBOR, or nested deeper than `MAX_NESTING`.
    """
    if len(data) > limit:
        raise TooLarge(f"The frame has {len(data)} bytes; {limit} are allowed.")
    stream = io.BytesIO(data)
    try:
        value = cbor2.CBORDecoder(stream, max_depth=MAX_NESTING).decode()
    except Exception as error:
        # A decoder fed by a faulty peer raises many kinds; each means the same: not our frame.
        raise BadRequest(f"The frame is not CBOR: {error}.") from None
    return value


def convert(value: Any, kind: type[T]) -> T:
    """Turn plain values into a typed message.

    Raises:
        BadRequest: A field is missing or has the wrong type; the message names it.
    """
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise BadRequest(f"The message has a wrong field: {error}.") from None


def to_plain(value: Any) -> Any:
    """Turn a typed message into plain maps, lists and scalars."""
    return msgspec.to_builtins(value)
