"""What a searcher's reply proves about the request that it answers."""

from enum import Enum

_MISDIRECTED = 421
# Callers take these for a promise that the request has not run, and send it again.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Verdict(Enum):
    """What is known after a send has ended.

    Attributes:
        ANSWERED: The searcher ran the request and this is its success.
        FAILED: The searcher says that the request failed; it may have run.
        NOT_RUN: The searcher says that the request has not run and will not.
        NOT_SENT: No byte of the request reached the searcher.
        LOST: The connection ended after the request was sent and before any byte of a reply: the
            searcher may have run the request, and may have ended under it.
        UNKNOWN: The request may have run; nothing usable came back.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not_run"
    NOT_SENT = "not_sent"
    LOST = "lost"
    UNKNOWN = "unknown"


def judge_reply(
    status: int, *, own_id: bool, proved: bool, not_run: bool, encoded: bool
) -> Verdict:
    """Return what a complete reply proves.

    A connection may carry a second, late reply to an earlier request where the next one is due.
    Taken for the current one it gives a caller somebody else's answer, or a false "not run"; only
    the echoed id tells them apart, so without it nothing in the reply counts.

    Args:
        status: The reply's status.
        own_id: Whether it echoes this request's id.
        proved: Whether it carries the searcher's signature.
        not_run: Whether it says that the request was not run.
        encoded: Whether its body has a content encoding, which nobody asked for.
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


def may_pass_on(status: int, *, idempotent: bool) -> bool:
    """Return whether a failure that doesn't say "not run" may go to the caller as it is.

    Args:
        status: The searcher's status.
        idempotent: Whether the request may run more than once.
    """
    return idempotent or status not in _NOT_RUN_STATUSES
