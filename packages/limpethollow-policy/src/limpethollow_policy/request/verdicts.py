"""Classification of searchers' replies: whether the request was run."""

from enum import Enum

_MISDIRECTED = 421
# Callers interpret these as a guarantee that the request was not run, and send it again.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Verdict(Enum):
    """Result of a send.

    Attributes:
        ANSWERED: The searcher ran the request and replied with success.
        FAILED: The searcher reported a failure; the request may have run.
        NOT_RUN: The searcher reported that the request did not run and will not.
        NOT_SENT: No byte of the request reached the searcher.
        LOST: The connection was lost after the request was sent and before any byte of a reply:
            the request may have run, and may have crashed the searcher.
        UNKNOWN: The request may have run; no usable reply was received.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not_run"
    NOT_SENT = "not_sent"
    LOST = "lost"
    UNKNOWN = "unknown"


def classify_reply(
    status: int, *, own_id: bool, proved: bool, not_run: bool, encoded: bool
) -> Verdict:
    """Classify a complete reply.

    A connection may deliver a second, late reply to an earlier request in place of the expected
    one. Used for the current request, it would give a caller another caller's answer or a false
    "not run". Only the echoed id distinguishes them, so a reply without it is ignored.

    Args:
        status: HTTP status of the reply.
        own_id: Whether it echoes this request's id.
        proved: Whether it carries the searcher's signature.
        not_run: Whether it states that the request was not run.
        encoded: Whether its body has a content encoding, which was not requested.
    """
    if not own_id:
        return Verdict.UNKNOWN
    if not_run or status == _MISDIRECTED:
        return Verdict.NOT_RUN
    if not proved or encoded:
        return Verdict.UNKNOWN
    if 200 <= status < 300:
        return Verdict.ANSWERED
    return Verdict.FAILED


def may_return_failure(status: int, *, idempotent: bool) -> bool:
    """Return whether a failure without proof of "not run" may be passed to the caller unchanged.

    Args:
        status: HTTP status of the searcher's reply.
        idempotent: Whether the request may run more than once.
    """
    return idempotent or status not in _NOT_RUN_STATUSES
