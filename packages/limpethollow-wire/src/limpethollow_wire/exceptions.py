"""The exception tree of limpethollow.

Every error that can cross a process boundary is a kind registered here under a stable code. A
receiver rebuilds the same kind from that code, so a caller three hops away catches the class that
the owner raised.
"""

from collections.abc import Callable
from typing import Any

_KINDS: dict[str, type["LimpethollowError"]] = {}


def error_kind(
    code: str, status: int
) -> Callable[[type["LimpethollowError"]], type["LimpethollowError"]]:
    """Register an exception class under its wire code and HTTP status.

    Args:
        code: Stable name of the kind in JSON and CBOR bodies.
        status: HTTP status that carries the kind.

    Returns:
        A class decorator.
    """

    def register(kind: type["LimpethollowError"]) -> type["LimpethollowError"]:
        kind.code = code
        kind.status = status
        _KINDS[code] = kind
        return kind

    return register


class LimpethollowError(Exception):
    """Base of every error that limpethollow raises.

    Args:
        message: What went wrong.
        remedy: What the reader can do about it; the kind's own remedy where left out.
        retry_after: Seconds after which another try makes sense, None where none does.
        details: Further facts for programs, such as the coverage that was reached.
    """

    code = "internal"
    status = 500
    remedy = "Look for the event with this request's id in the instance's log."

    def __init__(
        self,
        message: str,
        *,
        remedy: str | None = None,
        retry_after: float | None = None,
        details: dict[str, Any] | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.remedy = remedy or type(self).remedy
        self.retry_after = retry_after
        self.details = details or {}

    def __str__(self) -> str:
        return f"{self.message} {self.remedy}"

    def to_body(self) -> dict[str, Any]:
        """Return the error as the plain map that JSON and CBOR bodies carry."""
        return {
            "code": self.code,
            "message": self.message,
            "remedy": self.remedy,
            "retry_after": self.retry_after,
            "details": self.details,
        }


def error_from_body(body: Any) -> LimpethollowError:
    """Rebuild the typed error that another process described.

    Args:
        body: The map made by `LimpethollowError.to_body`; anything else gives a plain error.

    Returns:
        An instance of the registered kind, or of the base where the code is not known.
    """
    if not isinstance(body, dict):
        return LimpethollowError("Another process answered with an error that can't be read.")
    kind = _KINDS.get(str(body.get("code")), LimpethollowError)
    retry_after = body.get("retry_after")
    details = body.get("details")
    return kind(
        str(body.get("message", "No message was given.")),
        remedy=str(body["remedy"]) if body.get("remedy") else None,
        retry_after=float(retry_after) if isinstance(retry_after, int | float) else None,
        details=details if isinstance(details, dict) else None,
    )


@error_kind("internal", 500)
class InternalError(LimpethollowError, RuntimeError):
    """A defect of limpethollow itself."""


@error_kind("bad_request", 400)
class BadRequest(LimpethollowError, ValueError):
    """The request can't be understood; it was not run."""

    remedy = "Correct the request as the message says and send it again."


@error_kind("too_large", 413)
class TooLarge(BadRequest):
    """A body, list or frame is over its bound; the request was not run."""

    remedy = "Send less in one request."


@error_kind("headers_too_large", 431)
class HeadersTooLarge(BadRequest):
    """The request line and headers are over their bound; the request was not run."""

    remedy = "Send fewer or shorter headers."


@error_kind("bad_framing", 400)
class BadFraming(BadRequest):
    """The length of the body can't be told; the request was not run."""

    remedy = "Send the body with a Content-Length in digits."


@error_kind("slow_sender", 408)
class SlowSender(BadRequest, TimeoutError):
    """The request's bytes came too slowly; it was not run."""

    remedy = "Send the whole request within a few seconds."


@error_kind("unauthorized", 401)
class Unauthorized(LimpethollowError, PermissionError):
    """The key is missing or wrong; the request was not run."""

    remedy = "Send a key of this listener as 'Authorization: Bearer <key>'."


@error_kind("unknown_service", 404)
class UnknownService(LimpethollowError, LookupError):
    """No service of this name is in force here."""

    remedy = "Check the name with 'limpethollow services'."


@error_kind("not_found", 404)
class NotFound(LimpethollowError, LookupError):
    """The path, plan or token is not known here."""

    remedy = "Check the name and the path."


@error_kind("method_not_allowed", 405)
class MethodNotAllowed(BadRequest):
    """The path can't be used with this method; the request was not run."""


@error_kind("deadline_passed", 408)
class DeadlinePassed(LimpethollowError, TimeoutError):
    """The deadline passed before the request could be run; it was not run."""

    remedy = "Send the request again with a longer deadline."


@error_kind("overloaded", 429)
class Overloaded(LimpethollowError, ConnectionError):
    """The service has no room for the request now; it was not run."""

    remedy = "Come back after retry_after seconds."


@error_kind("instance_busy", 503)
class InstanceBusy(LimpethollowError, ConnectionError):
    """This one instance has no room; the request was not run, and another instance may take it."""

    remedy = "Send it to another instance, or come back after retry_after seconds."


@error_kind("unavailable", 503)
class Unavailable(LimpethollowError, ConnectionError):
    """Nothing that could serve the request can be reached; it was not run."""

    remedy = "Come back after retry_after seconds."


@error_kind("quarantined", 503)
class Quarantined(Unavailable):
    """Searchers ended under earlier tries of this very request; this one was not run."""

    remedy = "Change the request, or ask the operator to release it once the searchers are mended."


@error_kind("coverage_too_low", 503)
class CoverageTooLow(LimpethollowError, TimeoutError):
    """Fewer shards answered in time than the service's coverage floor allows."""

    remedy = "Come back after retry_after seconds, or allow a longer deadline."


@error_kind("no_usable_reply", 502)
class NoUsableReply(LimpethollowError, ConnectionError):
    """Searchers were asked and gave no usable reply; the request may have run."""

    remedy = "Repeat an idempotent request after retry_after seconds; look up any other first."


@error_kind("answer_late", 504)
class AnswerLate(LimpethollowError, TimeoutError):
    """The time for an answer is over; the request may have run."""

    remedy = "Repeat an idempotent request; look up any other first."


@error_kind("no_route", 404)
class NoRoute(NotFound):
    """No route of the configuration in force takes this host and path."""

    remedy = "Check the host and the path with the operator."


@error_kind("version_gone", 409)
class VersionGone(LimpethollowError, LookupError):
    """No usable set of replicas serves the wanted snapshot any more, or yet."""

    remedy = "Send the search again without a pinned version."


@error_kind("not_run", 409)
class NotRun(LimpethollowError):
    """Proof exists that the booking was not run and will not be run under its token."""

    remedy = "Book again with a new token."


@error_kind("token_reused", 409)
class TokenReused(LimpethollowError, ValueError):
    """The token belongs to another booking; this request was not run."""

    remedy = "Make a new token for each booking."


@error_kind("outcome_unknown", 504)
class OutcomeUnknown(LimpethollowError, TimeoutError):
    """The booking may or may not have been run."""

    remedy = "Look the token up after retry_after seconds; don't book again before."


@error_kind("conflict", 409)
class Conflict(LimpethollowError):
    """The plan's base is no longer the version in force; nothing was changed."""

    remedy = "Plan again and confirm the new plan."


@error_kind("settings", 400)
class SettingsError(LimpethollowError, ValueError):
    """A settings file has a mistake."""

    remedy = "Correct the key that the message names."
