"""Frames and configuration messages between instances."""

from typing import Any

import msgspec

from limpethollow_wire.services import ServiceRecord


class Hello(msgspec.Struct, frozen=True):
    """First frame on a link, both ways: who speaks.

    Attributes:
        instance: Id of the instance.
        incarnation: Its current run.
        failure_domain: Where it runs.
        state: What it does with requests.
        age: Seconds since this run began, from which others know its issue period of tokens.
    """

    instance: str
    incarnation: str
    failure_domain: str
    state: str = "serving"
    age: float = 0.0


class Leaving(msgspec.Struct, frozen=True):
    """The sender is leaving: name it in no further route answer."""

    instance: str
    incarnation: str


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


class Digest(msgspec.Struct, frozen=True):
    """The versions that the sender has in force, for finding gaps."""

    versions: dict[str, int]


class Acknowledgement(msgspec.Struct, frozen=True):
    """The receiver took the message in."""

    accepted: int = 0
