"""Frames and configuration messages exchanged between instances."""

from typing import Any

import msgspec

from limpethollow_wire.instances import InstanceInfo
from limpethollow_wire.services import ServiceRecord


class Hello(msgspec.Struct, frozen=True):
    """The first frame in each direction of a link, which identifies the sender.

    Attributes:
        instance: Id of the sender.
        incarnation: Its current run.
        failure_domain: Failure domain in which it runs.
        state: Its service state, such as `serving`.
        age: Seconds since this run began, from which peers compute its issue period of tokens.
        address: `host:port` for callers, so that instances missing from the platform's list can be
            used.
        peer_address: `host:port` for other instances.
        operator_address: `host:port` for operators.
    """

    instance: str
    incarnation: str
    failure_domain: str
    state: str = "serving"
    age: float = 0.0
    address: str = ""
    peer_address: str = ""
    operator_address: str = ""


class Leaving(msgspec.Struct, frozen=True):
    """Announces that the sender is leaving and must be omitted from new route answers."""

    instance: str
    incarnation: str


class DrainNotice(msgspec.Struct, frozen=True):
    """Informs another owner of a group about a leaving or returning searcher.

    Attributes:
        service: Name of the service.
        group: Index of the group.
        searcher: Id of the searcher.
        draining: Whether it is leaving.
        age: Seconds since the observation, so that a late notice doesn't override a newer one.
        listed: Whether this comes from the platform's list instead of the searcher itself.
    """

    service: str
    group: int
    searcher: str
    draining: bool
    age: float
    listed: bool = False


class RouteHoldTime(msgspec.Struct, frozen=True):
    """Seconds for which callers may still cache the address of the leaving instance."""

    seconds: float


class Frame(msgspec.Struct, frozen=True, omit_defaults=True):
    """One frame on a link between instances.

    Attributes:
        id: Number of the request; the reply repeats it.
        kind: Registered name of the request type; empty in replies.
        body: The message.
        error: Error body as made by `LimpethollowError.to_body`, in replies only.
    """

    id: int
    kind: str = ""
    body: Any = None
    error: dict[str, Any] | None = None


class ServiceRecords(msgspec.Struct, frozen=True):
    """Configuration records sent from one instance to another."""

    records: tuple[ServiceRecord, ...]


class SyncState(msgspec.Struct, frozen=True):
    """Summary of an instance's configuration, small enough to be compared every second.

    Attributes:
        instance: Id of the sender.
        fingerprint: Hash of the names and versions of all records, including tombstones.
        revision: Platform revision up to which the records are complete.
        members: Revision of the instance list.
        loaded: Whether the records have been complete at least once.
        relay: Whether the sender acts as a relay for the receiver's failure domain.
    """

    instance: str
    fingerprint: int
    revision: int
    members: int
    loaded: bool
    relay: bool = False


class BucketHashes(msgspec.Struct, frozen=True):
    """Hash of each non-empty bucket of records, used to find where two instances differ."""

    hashes: dict[int, int]


class VersionDigest(msgspec.Struct, frozen=True):
    """Versions by service for a subset of the records, including tombstones.

    Attributes:
        versions: Version by service name.
        buckets: The buckets covered, if this is the reply to bucket hashes.
    """

    versions: dict[str, int]
    buckets: tuple[int, ...] = ()


class ServiceNames(msgspec.Struct, frozen=True):
    """Requests the records of the named services."""

    names: tuple[str, ...]


class InstanceListRequest(msgspec.Struct, frozen=True):
    """Requests the changes to the instance list since a revision."""

    revision: int


class InstanceListUpdate(msgspec.Struct, frozen=True):
    """Changes to the instance list.

    Attributes:
        base: Revision to which the changes apply; -1 if `listed` is the complete list.
        revision: Revision after the changes.
        listed: Added or changed instances.
        dropped: Ids of removed instances.
    """

    base: int
    revision: int
    listed: tuple[InstanceInfo, ...]
    dropped: tuple[str, ...] = ()


class SpreadRequest(msgspec.Struct, frozen=True):
    """Requests that a relay distribute a record in its failure domain and report who has it."""

    record: ServiceRecord


class SpreadReply(msgspec.Struct, frozen=True):
    """The instances of a failure domain in which a record, or a newer one, is active."""

    in_force: tuple[str, ...]


class Acknowledgement(msgspec.Struct, frozen=True):
    """Confirms that the receiver accepted the message."""

    accepted: int = 0
