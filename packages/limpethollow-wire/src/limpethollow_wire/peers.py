"""Frames and configuration messages between instances."""

from typing import Any

import msgspec

from limpethollow_wire.instances import InstanceInfo
from limpethollow_wire.services import ServiceRecord


class Hello(msgspec.Struct, frozen=True):
    """First frame on a link, both ways: who speaks.

    Attributes:
        instance: Id of the speaker.
        incarnation: Its current run.
        failure_domain: Where it runs.
        state: What it does with requests.
        age: Seconds since this run began, from which others know its issue period of tokens.
        address: `host:port` for callers, so that an instance the list lacks can be used.
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
    """The sender is leaving: name it in no further route answer."""

    instance: str
    incarnation: str


class DrainNotice(msgspec.Struct, frozen=True):
    """Tells another owner of a group what is known of a leaving or returning searcher.

    Attributes:
        service: Name of the service.
        group: Index of the group.
        searcher: Id of the searcher.
        draining: Whether it is leaving.
        age: Seconds since that was said, so that a late notice does not beat newer evidence.
        listed: Whether the platform's list says it, and not the searcher itself.
    """

    service: str
    group: int
    searcher: str
    draining: bool
    age: float
    listed: bool = False


class RouteHeld(msgspec.Struct, frozen=True):
    """For how many seconds callers may still hold the leaving instance's address."""

    seconds: float


class Frame(msgspec.Struct, frozen=True, omit_defaults=True):
    """One frame on a link between instances.

    Attributes:
        id: Number of the request; a reply echoes it.
        kind: Registered name of the request, empty on replies.
        body: The message.
        error: Body of a typed error, on replies only.
    """

    id: int
    kind: str = ""
    body: Any = None
    error: dict[str, Any] | None = None


class Records(msgspec.Struct, frozen=True):
    """Configuration records on their way from one instance to another."""

    records: tuple[ServiceRecord, ...]


class SyncState(msgspec.Struct, frozen=True):
    """What one instance knows, short enough to be compared every second.

    Attributes:
        instance: Id of the sender.
        fingerprint: Hash over name and version of every record, tombstones included.
        revision: Platform revision up to which the records are complete.
        members: Revision of the list of instances.
        loaded: Whether the records were ever complete.
        relay: Whether the sender speaks as a relay of the receiver's failure domain.
    """

    instance: str
    fingerprint: int
    revision: int
    members: int
    loaded: bool
    relay: bool = False


class Buckets(msgspec.Struct, frozen=True):
    """Hash of the records in each bucket that is not empty, for finding where two differ."""

    hashes: dict[int, int]


class Digest(msgspec.Struct, frozen=True):
    """Versions by service, tombstones included, of some records.

    Attributes:
        versions: The versions.
        buckets: The buckets they were taken from, where the digest answers `Buckets`.
    """

    versions: dict[str, int]
    buckets: tuple[int, ...] = ()


class Names(msgspec.Struct, frozen=True):
    """Names of services whose records are wanted."""

    names: tuple[str, ...]


class ListQuestion(msgspec.Struct, frozen=True):
    """Asks for what changed in the list of instances since a revision."""

    revision: int


class ListChange(msgspec.Struct, frozen=True):
    """What changed in the list of instances.

    Attributes:
        base: Revision that the change applies to; -1 where `listed` is the whole list.
        revision: Revision reached.
        listed: Instances that came or changed.
        dropped: Ids of instances that went.
    """

    base: int
    revision: int
    listed: tuple[InstanceInfo, ...]
    dropped: tuple[str, ...] = ()


class SpreadRequest(msgspec.Struct, frozen=True):
    """Asks a relay to bring a record to its failure domain and to say who has it."""

    record: ServiceRecord


class SpreadReply(msgspec.Struct, frozen=True):
    """The instances of a failure domain that have a record, or a newer one, in force."""

    in_force: tuple[str, ...]


class Acknowledgement(msgspec.Struct, frozen=True):
    """The receiver took the message in."""

    accepted: int = 0
