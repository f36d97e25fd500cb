"""Every error the client raises; `LimpethollowError` is the base of all."""

from limpethollow_wire.exceptions import (
    BadRequest,
    Conflict,
    CoverageTooLow,
    DeadlinePassed,
    InstanceBusy,
    LimpethollowError,
    NotFound,
    NotRun,
    OutcomeUnknown,
    Overloaded,
    SettingsError,
    TokenReused,
    TooLarge,
    Unauthorized,
    Unavailable,
    UnknownService,
    VersionGone,
)

__all__ = [
    "BadRequest",
    "Conflict",
    "CoverageTooLow",
    "DeadlinePassed",
    "InstanceBusy",
    "LimpethollowError",
    "NoReply",
    "NotConnected",
    "NotFound",
    "NotRun",
    "OutcomeUnknown",
    "Overloaded",
    "SettingsError",
    "TokenReused",
    "TooLarge",
    "Unauthorized",
    "Unavailable",
    "UnknownService",
    "VersionGone",
]


class NotConnected(Unavailable):
    """No connection could be made, so the request was not run."""


class NoReply(Unavailable):
    """The connection broke or stayed silent; the request may have been run."""
