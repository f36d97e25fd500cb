"""Frames exchanged between instances: CBOR arrays over websockets."""

import zlib
from collections.abc import Iterator
from typing import get_args

import msgspec

from limpethollow_policy.process.catchups import KnownState
from limpethollow_policy.process.crashes import CrashReport
from limpethollow_policy.process.evacuations import Evacuation
from limpethollow_policy.process.loadreports import LoadReport
from limpethollow_policy.process.placements import Instance
from limpethollow_policy.process.searchers import Searcher
from limpethollow_policy.version.routes import RoutingVersion
from limpethollow_wire.codecs import convert, from_cbor, to_cbor
from limpethollow_wire.exceptions import BadRequest
from limpethollow_wire.limits import MAX_FRAME_BYTES

# Frames above this size are mostly lists of searchers, instances or routes, whose repetitive fields
# compress well at the fastest level. Result records don't compress.
_COMPRESSION_THRESHOLD = 2048
_COMPRESSION_LEVEL = 1
# First byte of zlib data. An uncompressed frame is a CBOR array, which starts with 0x80 to 0x9f.
_ZLIB_FIRST_BYTE = b"\x78"


class Frame(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of all frames."""


class Hello(Frame, frozen=True, tag="hello"):
    """First frame on a link, in both directions.

    Attributes:
        name: Name of the sending instance.
        incarnation: Number that identifies the start of its process.
        failure_domain: Failure domain that it runs in.
        known: Versions of the state that it has.
    """

    name: str
    incarnation: int
    failure_domain: str
    known: KnownState


class Heartbeat(Frame, frozen=True, tag="beat"):
    """Sent at regular intervals to show that the sender is alive.

    Attributes:
        ready: Whether the instance accepts callers.
        follows: Whether it watches the store itself, and successfully.
        known: Versions of the state that it has; a peer with older ones requests the difference.
        sent_at: The sender's monotonic time in seconds; only differences between frames are
            meaningful.
        interval: Seconds until the next heartbeat on this link.
    """

    ready: bool
    follows: bool
    known: KnownState
    sent_at: float
    interval: float


class UnheardInstances(Frame, frozen=True, tag="silent"):
    """Instances from which a relay receives no heartbeats or that aren't ready; sent on changes.

    Relays are linked to all instances, so this list is short; a list of the instances that do
    send heartbeats would be long.

    Attributes:
        names: Names of these instances; None if the sender is no longer a relay.
    """

    names: list[str] | None


class Leaving(Frame, frozen=True, tag="leaving"):
    """Announces that the sender accepts no new callers."""


class VersionUpdate(Frame, frozen=True, tag="version"):
    """A complete configuration version."""

    version: RoutingVersion


class SearcherUpdate(Frame, frozen=True, tag="searchers"):
    """Searchers that changed between two revisions.

    Attributes:
        base: Revision that the changes apply to; None if the frame lists all searchers.
        revision: Revision after the changes.
        put: Searchers that were added or changed.
        gone: Ids of searchers that were removed.
        era: The store's era of both revisions; 0 from releases that don't send it.
    """

    base: int | None
    revision: int
    put: list[Searcher]
    gone: list[str]
    era: int = 0


class InstanceUpdate(Frame, frozen=True, tag="instances"):
    """Instances that changed; see `SearcherUpdate`."""

    base: int | None
    revision: int
    put: list[Instance]
    gone: list[str]
    era: int = 0


class EvacuationUpdate(Frame, frozen=True, tag="evacuations"):
    """Failure domains that were evacuated or restored; see `SearcherUpdate`."""

    base: int | None
    revision: int
    put: list[Evacuation]
    gone: list[str]
    era: int = 0


class CrashUpdate(Frame, frozen=True, tag="crashes"):
    """Evidence of requests that crash searchers; sent to all, and forwarded where it is new."""

    reports: list[CrashReport]


class Ask(Frame, frozen=True, tag="ask"):
    """Requests all state that is newer than the sender's.

    Attributes:
        known: Versions of the state that the sender has.
    """

    known: KnownState


class BatchCall(Frame, frozen=True, tag="call"):
    """One call of a batch.

    Attributes:
        shard: Service that serves the shard.
        searcher: Id of the searcher to call.
    """

    shard: str
    searcher: str


class Batch(Frame, frozen=True, tag="batch"):
    """Asks the receiver to call searchers in its failure domain, each exactly once.

    Attributes:
        number: Number that the sender assigned to the batch.
        head: Request line and headers, without the headers that differ between calls.
        body: The request's body.
        request_id: The caller's id for the request.
        calls: The calls to make.
        top: Maximum number of records to return.
        left: Seconds until the sender stops waiting.
        merge_window: Seconds for which results are collected into one frame; later ones are sent
            separately.
        sent_at: See `Heartbeat`.
        digest: Digest of the key by which the request was admitted; empty if it needs none.
        tenant: Name of the team that holds the key; empty without a key.
        version: Number of the version by which the request was admitted; -1 if that version has
            no teams, and from releases that don't send it.
        homes: Regions that may process the request; None for all.
    """

    number: int
    head: bytes
    body: bytes
    request_id: bytes
    calls: list[BatchCall]
    top: int
    left: float
    merge_window: float
    sent_at: float
    digest: bytes = b""
    tenant: str = ""
    version: int = -1
    homes: list[str] | None = None


class BatchParts(Frame, frozen=True, tag="parts"):
    """Merged results of several calls of a batch.

    Attributes:
        number: Number of the batch.
        proofs: Signatures of the parts by shard.
        milliseconds: Duration of each call, in the order of `proofs`.
        records: The top records of all these parts, encoded as one body.
        loads: Load reports of the searchers, in the order of `proofs`; None for a searcher that
            sent none.
        cold_ms: Milliseconds for which searchers stay cold, by shard, if their replies state it.
    """

    number: int
    proofs: dict[str, bytes]
    milliseconds: list[int]
    records: bytes
    loads: list[LoadReport | None]
    cold_ms: dict[str, int] = {}

    def __post_init__(self) -> None:
        """Reject lists of different lengths, with which a shard would be dropped silently."""
        if not len(self.proofs) == len(self.milliseconds) == len(self.loads):
            raise ValueError(
                "The numbers of signatures, durations and loads in a parts frame differ."
            )

    @property
    def calls(self) -> Iterator[tuple[str, float, LoadReport | None]]:
        """Yield each shard, the duration of its call in seconds, and its searcher's load."""
        for shard, taken, load in zip(self.proofs, self.milliseconds, self.loads, strict=True):
            yield shard, taken / 1000, load


class BatchFailure(Frame, frozen=True, tag="failure"):
    """A failed call of a batch.

    Attributes:
        number: Number of the batch.
        shard: Shard of the call.
        verdict: Value of the call's `Verdict`.
        status: Status of the searcher's reply; 0 if there was none.
        reason: Cause of the failure.
        cold_ms: Milliseconds for which the searcher stays cold; None if its reply does not state
            them.
    """

    number: int
    shard: str
    verdict: str
    status: int
    reason: str
    cold_ms: int | None = None


class LeaseAsk(Frame, frozen=True, tag="lease_ask"):
    """Asks how recently the receiver knew that its version is the store's newest.

    Attributes:
        number: Number that the answer repeats.
    """

    number: int


class LeaseGrant(Frame, frozen=True, tag="lease_grant"):
    """Answers a `LeaseAsk`.

    Attributes:
        number: Number of the ask.
        version: Number of the version in force at the sender.
        age: Seconds since the store had no newer version, when the answer was sent.
    """

    number: int
    version: int
    age: float


class BatchCancel(Frame, frozen=True, tag="end"):
    """Cancels the remaining calls of a batch.

    Attributes:
        number: Number of the batch.
    """

    number: int


class QuotaAsk(Frame, frozen=True, tag="quota"):
    """Asks a holder for tokens of a team's quota.

    Attributes:
        number: Number that the sender assigned to the request.
        tenant: Name of the team.
        tokens: Tokens wanted.
    """

    number: int
    tenant: str
    tokens: float


class QuotaGrant(Frame, frozen=True, tag="lent"):
    """Tokens that the sender took out of its bucket for the receiver.

    Attributes:
        number: Number of the `QuotaAsk`.
        tokens: Tokens lent, possibly none.
        wait: Seconds until the sender has the next one, if it lent fewer than wanted.
        left: Tokens that it still has.
    """

    number: int
    tokens: float
    wait: float
    left: float = 0.0


AnyFrame = (
    Hello
    | Heartbeat
    | UnheardInstances
    | Leaving
    | VersionUpdate
    | SearcherUpdate
    | InstanceUpdate
    | EvacuationUpdate
    | CrashUpdate
    | Ask
    | Batch
    | BatchParts
    | BatchFailure
    | BatchCancel
    | LeaseAsk
    | LeaseGrant
    | QuotaAsk
    | QuotaGrant
)


# Frame types by tag, which is the first element of each frame. Decoding a frame as the union type
# instead would resolve the union's member types on every call.
_FRAME_TYPES: dict[str, type[Frame]] = {
    kind.__struct_config__.tag: kind for kind in get_args(AnyFrame)
}


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame, and compress it if it is large."""
    data = to_cbor(frame)
    return zlib.compress(data, _COMPRESSION_LEVEL) if len(data) > _COMPRESSION_THRESHOLD else data


def decode_frame(data: bytes) -> AnyFrame:
    """Decode a frame.

    Raises:
        BadRequest: The data is not a valid frame, or is too large when decompressed.
    """
    value = from_cbor(_decompress(data) if data[:1] == _ZLIB_FIRST_BYTE else data)
    tag = value[0] if isinstance(value, list) and value else None
    kind = _FRAME_TYPES.get(tag) if isinstance(tag, str) else None
    if kind is None:
        raise BadRequest("The frame has an unknown type.")
    return convert(value, kind)


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        # The size is limited because a small frame could otherwise expand to exhaust the memory.
        plain = decompressor.decompress(data, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise BadRequest(f"The frame can't be decompressed: {error}.") from None
    if not decompressor.eof:
        raise BadRequest(f"The frame is truncated or decompresses to over {MAX_FRAME_BYTES} bytes.")
    return plain
