"""What instances say to each other: CBOR frames over websockets."""

import zlib
from collections.abc import Iterator
from typing import get_args

import msgspec

from limpethollow_policy.process.catchups import Known
from limpethollow_policy.process.crashes import CrashReport
from limpethollow_policy.process.evacuations import Evacuation
from limpethollow_policy.process.loadreports import LoadReport
from limpethollow_policy.process.placements import Instance
from limpethollow_policy.process.searchers import Searcher
from limpethollow_policy.version.routes import RoutingVersion
from limpethollow_wire.codecs import convert, from_cbor, to_cbor
from limpethollow_wire.exceptions import BadRequest
from limpethollow_wire.limits import MAX_FRAME_BYTES

# Frames over this size are lists of searchers, instances or routes, whose fields repeat, so they
# shrink well at the fastest level. Records of parts do not shrink.
_SMALL_BYTES = 2048
_LEVEL = 1
# First byte of compressed data. A frame is a CBOR array, whose first byte is 0x80 to 0x9f.
_COMPRESSED = b"\x78"


class Frame(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all frames."""


class Hello(Frame, frozen=True, tag="hello"):
    """First frame on a link, both ways.

    Attributes:
        name: Name of the instance.
        incarnation: Start of its process.
        failure_domain: Where it runs.
        known: How much it knows.
    """

    name: str
    incarnation: int
    failure_domain: str
    known: Known


class Heartbeat(Frame, frozen=True, tag="beat"):
    """Said at regular intervals.

    Attributes:
        ready: Whether callers may use the instance.
        follows: Whether it watches the store itself and nothing stands in the way.
        known: How much it knows; a peer that knows less asks for the rest.
        sent_at: The sender's monotonic second; only differences between two frames mean something.
        interval: Seconds until the next one on this link.
    """

    ready: bool
    follows: bool
    known: Known
    sent_at: float
    interval: float


class Silent(Frame, frozen=True, tag="silent"):
    """The instances that a relay knows and doesn't hear, or that aren't ready; said on changes.

    Relays link to all instances, so there are few such names, and a list of all that are heard
    would be long.

    Attributes:
        names: Their names; None where the sender is no relay any more.
    """

    names: list[str] | None


class Leaving(Frame, frozen=True, tag="leaving"):
    """The sender takes no new callers."""


class VersionNews(Frame, frozen=True, tag="version"):
    """A configuration version, whole."""

    version: RoutingVersion


class SearcherNews(Frame, frozen=True, tag="searchers"):
    """Searchers that changed after one revision, up to another.

    Attributes:
        base: Revision after which the changes happened; None where all searchers are told.
        revision: Revision up to which they are told.
        put: Searchers that came or changed.
        gone: Ids of searchers that went.
        era: The store's era of both revisions; 0 from a release that didn't say.
    """

    base: int | None
    revision: int
    put: list[Searcher]
    gone: list[str]
    era: int = 0


class InstanceNews(Frame, frozen=True, tag="instances"):
    """Instances that changed; as `SearcherNews`."""

    base: int | None
    revision: int
    put: list[Instance]
    gone: list[str]
    era: int = 0


class EvacuationNews(Frame, frozen=True, tag="evacuations"):
    """Failure domains that were evacuated or restored; as `SearcherNews`."""

    base: int | None
    revision: int
    put: list[Evacuation]
    gone: list[str]
    era: int = 0


class CrashNews(Frame, frozen=True, tag="crashes"):
    """Evidence on requests under which searchers end; told to all, and told on where it is new."""

    reports: list[CrashReport]


class Ask(Frame, frozen=True, tag="ask"):
    """Asks for all that is newer than what the sender knows.

    Attributes:
        known: How much it knows.
    """

    known: Known


class BatchCall(Frame, frozen=True, tag="call"):
    """One call of a batch.

    Attributes:
        shard: Service that holds the shard.
        searcher: Id of the searcher to ask.
    """

    shard: str
    searcher: str


class Batch(Frame, frozen=True, tag="batch"):
    """Asks the receiver to make calls to searchers near it, each once.

    Attributes:
        number: The sender's number for the batch.
        head: Request line and headers, without those that differ between calls.
        body: The request's body.
        request_id: The caller's id for the request.
        calls: The calls.
        top: Records wanted.
        left: Seconds until nobody waits for the answer.
        merge_for: Seconds for which results are collected; later ones are told one by one.
        sent_at: As in `Heartbeat`.
    """

    number: int
    head: bytes
    body: bytes
    request_id: bytes
    calls: list[BatchCall]
    top: int
    left: float
    merge_for: float
    sent_at: float


class BatchParts(Frame, frozen=True, tag="parts"):
    """Parts of a batch, merged.

    Attributes:
        number: The batch.
        proofs: Signatures by shard.
        milliseconds: How long each call took, in the order of `proofs`.
        records: The greatest records of these parts together, as one body.
        loads: What the searchers said of their load, in the order of `proofs`; None where a
            searcher said nothing.
    """

    number: int
    proofs: dict[str, bytes]
    milliseconds: list[int]
    records: bytes
    loads: list[LoadReport | None]

    def __post_init__(self) -> None:
        """Refuse a frame whose lists don't go together: a shard would be lost without a word."""
        if not len(self.proofs) == len(self.milliseconds) == len(self.loads):
            raise ValueError("A frame of parts has not one time and load for each proof.")

    @property
    def calls(self) -> Iterator[tuple[str, float, LoadReport | None]]:
        """Return each shard, the seconds that its call took, and its searcher's load."""
        for shard, taken, load in zip(self.proofs, self.milliseconds, self.loads, strict=True):
            yield shard, taken / 1000, load


class BatchFailure(Frame, frozen=True, tag="failure"):
    """One call of a batch that gave no part.

    Attributes:
        number: The batch.
        shard: The call's shard.
        verdict: Value of the verdict on it.
        status: Status of the searcher's reply; 0 where there was none.
        reason: What happened.
    """

    number: int
    shard: str
    verdict: str
    status: int
    reason: str


class BatchEnd(Frame, frozen=True, tag="end"):
    """Nobody waits for the rest of a batch.

    Attributes:
        number: The batch.
    """

    number: int


AnyFrame = (
    Hello
    | Heartbeat
    | Silent
    | Leaving
    | VersionNews
    | SearcherNews
    | InstanceNews
    | EvacuationNews
    | CrashNews
    | Ask
    | Batch
    | BatchParts
    | BatchFailure
    | BatchEnd
)


# Frames by the tag that stands first in each. Converting to the union of all kinds would work its
# types out anew each time.
_KINDS: dict[str, type[Frame]] = {kind.__struct_config__.tag: kind for kind in get_args(AnyFrame)}


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame; large ones are compressed."""
    data = to_cbor(frame)
    return zlib.compress(data, _LEVEL) if len(data) > _SMALL_BYTES else data


def decode_frame(data: bytes) -> AnyFrame:
    """Decode a frame.

    Raises:
        BadRequest: The bytes are no frame, or a compressed one that is too large.
    """
    value = from_cbor(_unpack(data) if data[:1] == _COMPRESSED else data)
    tag = value[0] if isinstance(value, list) and value else None
    kind = _KINDS.get(tag) if isinstance(tag, str) else None
    if kind is None:
        raise BadRequest("The frame is of no known kind.")
    return convert(value, kind)


def _unpack(data: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    try:
        # Bounded: a few bytes could otherwise unpack to all of the memory.
        plain = unpacker.decompress(data, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise BadRequest(f"The frame can't be unpacked: {error}.") from None
    if not unpacker.eof:
        raise BadRequest(f"The frame is cut off or unpacks to over {MAX_FRAME_BYTES} bytes.")
    return plain
