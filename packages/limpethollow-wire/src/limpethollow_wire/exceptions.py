"""The exception hierarchy of limpethollow.

Every error that can cross a process boundary is registered here under a stable code. The receiver
recreates the class from that code, so that a caller several hops away catches the same exception
class that the owner raised.
"""

from collections.abc import Callable
from typing import Any

_ERRORS_BY_CODE: dict[str, type["LimpethollowError"]] = {}


def register_error(
    code: str, status: int
) -> Callable[[type["LimpethollowError"]], type["LimpethollowError"]]:
    """Register an exception class with its wire code and HTTP status.

    Args:
        code: Stable identifier of the error in JSON and CBOR bodies.
        status: HTTP status of responses with this error.

    Returns:
        A class decorator.
    """

    def register(error_class: type["LimpethollowError"]) -> type["LimpethollowError"]:
        error_class.code = code
        error_class.status = status
        _ERRORS_BY_CODE[code] = error_class
        return error_class

    return register


class LimpethollowError(Exception):
    """Base class of all limpethollow errors.

    Args:
        message: What went wrong.
        remedy: What the user can do about it; defaults to the remedy of the class.
        retry_after: Seconds after which to retry, None if a retry is pointless.
        details: Additional machine-readable data, such as the coverage reached.
    """

    code = "internal"
    status = 500
    remedy = "Search the instance's log for the id of this request."

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
        """Return the error as the dictionary used in JSON and CBOR bodies."""
        return {
            "code": self.code,
            "message": self.message,
            "remedy": self.remedy,
            "retry_after": self.retry_after,
            "details": self.details,
        }


def error_from_body(body: Any) -> LimpethollowError:
    """Recreate an exception from the error body of another process.

    Args:
        body: The result of `LimpethollowError.to_body`; any other type gives a base error.

    Returns:
        An instance of the registered class, or of the base class if the code is unknown.
    """
    if not isinstance(body, dict):
        return LimpethollowError("Another process returned an error that can't be decoded.")
    error_class = _ERRORS_BY_CODE.get(str(body.get("code")), LimpethollowError)
    retry_after = body.get("retry_after")
    details = body.get("details")
    return error_class(
        str(body.get("message", "No error message was given.")),
        remedy=str(body["remedy"]) if body.get("remedy") else None,
        retry_after=float(retry_after) if isinstance(retry_after, int | float) else None,
        details=details if isinstance(details, dict) else None,
    )


@register_error("internal", 500)
class InternalError(LimpethollowError, RuntimeError):
    """An internal error caused by a bug in limpethollow."""


@register_error("bad_request", 400)
class BadRequest(LimpethollowError, ValueError):
    """The request is invalid; it was not run."""

    remedy = "Correct the request as described and send it again."


@register_error("too_large", 413)
class TooLarge(BadRequest):
    """A body, list or frame exceeds its limit; the request was not run."""

    remedy = "Send less in one request."


@register_error("headers_too_large", 431)
class HeadersTooLarge(BadRequest):
    """The request line and headers exceed their limit; the request was not run."""

    remedy = "Send fewer or shorter headers."


@register_error("bad_framing", 400)
class BadFraming(BadRequest):
    """The length of the body can't be determined; the request was not run."""

    remedy = "Send the body with a decimal Content-Length."


@register_error("slow_sender", 408)
class SlowSender(BadRequest, TimeoutError):
    """The request arrived too slowly; it was not run."""

    remedy = "Send the whole request within a few seconds."


@register_error("unauthorized", 401)
class Unauthorized(LimpethollowError, PermissionError):
    """The key is missing or wrong; the request was not run."""

    remedy = "Send a key that is valid for this listener as 'Authorization: Bearer <key>'."


@register_error("key_rejected", 401)
class KeyRejected(Unauthorized):
    """No team holds the key; the request was not run."""

    remedy = "Send a valid key as 'Authorization: Token <key>', or ask the operator for one."


@register_error("unknown_service", 404)
class UnknownService(LimpethollowError, LookupError):
    """This instance has no active configuration for a service of this name."""

    remedy = "Check the name with 'limpethollow services'."


@register_error("not_found", 404)
class NotFound(LimpethollowError, LookupError):
    """The path, plan or token is unknown to this instance."""

    remedy = "Check the name and the path."


@register_error("method_not_allowed", 405)
class MethodNotAllowed(BadRequest):
    """The path does not support this method; the request was not run."""


@register_error("deadline_passed", 408)
class DeadlinePassed(LimpethollowError, TimeoutError):
    """The deadline passed before the request could be run; it was not run."""

    remedy = "Send the request again with a longer deadline."


@register_error("overloaded", 429)
class Overloaded(LimpethollowError, ConnectionError):
    """The service has no capacity for the request at present; it was not run."""

    remedy = "Retry after retry_after seconds."


@register_error("instance_busy", 503)
class InstanceBusy(LimpethollowError, ConnectionError):
    """This instance has no capacity; the request was not run, and others may accept it."""

    remedy = "Send it to another instance, or retry after retry_after seconds."


@register_error("unavailable", 503)
class Unavailable(LimpethollowError, ConnectionError):
    """No server for the request can be reached; it was not run."""

    remedy = "Retry after retry_after seconds."


@register_error("quota_exceeded", 429)
class QuotaExceeded(Overloaded):
    """The team's requests exceed its quota; the request was not run."""

    remedy = "Send fewer requests, or ask the operator for a higher quota."


@register_error("quota_unknown", 503)
class QuotaUnknown(Unavailable):
    """The instance could not learn in time whether the quota allows the request; it was not run."""


@register_error("lease_lapsed", 503)
class LeaseLapsed(Unavailable):
    """The instance can't rule out that the key was revoked; the request was not run."""

    remedy = "Retry on another instance, or after retry_after seconds."


@register_error("no_home", 503)
class NoHome(Unavailable):
    """No searcher in a region that may process the request is available; it was not run."""


@register_error("quarantined", 503)
class Quarantined(Unavailable):
    """Earlier attempts of the same request crashed searchers; this one was not run."""

    remedy = "Change the request, or ask the operator to release it after fixing the searchers."


@register_error("coverage_too_low", 503)
class CoverageTooLow(LimpethollowError, TimeoutError):
    """Fewer shards answered in time than the service's coverage floor requires."""

    remedy = "Retry after retry_after seconds, or use a longer deadline."


@register_error("no_usable_reply", 502)
class NoUsableReply(LimpethollowError, ConnectionError):
    """Searchers were called but gave no usable reply; the request may have run."""

    remedy = "Repeat an idempotent request after retry_after seconds; look up any other first."


@register_error("answer_late", 504)
class AnswerLate(LimpethollowError, TimeoutError):
    """The request was not answered in time; it may have run."""

    remedy = "Repeat an idempotent request; look up any other first."


@register_error("no_route", 404)
class NoRoute(NotFound):
    """No route of the active configuration matches this host and path."""

    remedy = "Check the host and path with the operator."


@register_error("version_gone", 409)
class VersionGone(LimpethollowError, LookupError):
    """No usable set of replicas serves the requested snapshot, either no longer or not yet."""

    remedy = "Send the search again without a pinned version."


@register_error("not_run", 409)
class NotRun(LimpethollowError):
    """The booking provably was not run and never will be under its token."""

    remedy = "Book again with a new token."


@register_error("token_reused", 409)
class TokenReused(LimpethollowError, ValueError):
    """The token was used for a different booking; this request was not run."""

    remedy = "Create a new token for each booking."


@register_error("outcome_unknown", 504)
class OutcomeUnknown(LimpethollowError, TimeoutError):
    """The booking may or may not have been run."""

    remedy = "Look the token up after retry_after seconds before booking again."


@register_error("conflict", 409)
class Conflict(LimpethollowError):
    """The plan's base version is no longer the active version; nothing was changed."""

    remedy = "Plan again and confirm the new plan."


@register_error("settings", 400)
class SettingsError(LimpethollowError, ValueError):
    """A settings file is missing or invalid."""

    remedy = "Correct the setting named in the message."
