"""Evaluates what a searcher's reply, or its absence, proves about a request."""

from limpethollow_node.engine.connection.clients import LostConnection
from limpethollow_node.engine.messages import HeaderNames, Reply
from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.process import events
from limpethollow_policy.process.loadreports import LoadReport
from limpethollow_policy.process.searchers import Replica
from limpethollow_policy.request.verdicts import Verdict, classify_reply
from limpethollow_wire.exceptions import BadRequest

# A warm-up takes seconds; a longer number, of over 11 days, is an error of the searcher.
_MAX_COLD_DIGITS = 9


def judge(reply: Reply, names: HeaderNames, request_id: bytes) -> Verdict:
    """Classify a send by its complete reply: answered, failed, not run, and so on.

    Args:
        reply: The reply.
        names: The deployment's header names.
        request_id: Id of the request.
    """
    return classify_reply(
        reply.status,
        own_id=reply.header(names.request_id) == request_id,
        proved=reply.header(names.proof) is not None,
        not_run=reply.header(names.not_run) is not None,
        encoded=reply.header(b"content-encoding") is not None,
    )


def verdict_on_failure(error: Exception, *, sent: bool) -> Verdict:
    """Classify a send without a complete reply: not sent, lost or unknown.

    Args:
        error: The error that occurred instead.
        sent: Whether bytes of the request were sent.
    """
    if not sent:
        return Verdict.NOT_SENT
    return Verdict.LOST if isinstance(error, LostConnection) else Verdict.UNKNOWN


def load_report_of(reply: Reply, names: HeaderNames) -> LoadReport | None:
    """Return the load report in a reply; None if it is missing or can't be decoded."""
    value = reply.header(names.load)
    if value is None:
        return None
    try:
        return names.decode_load(value)
    except BadRequest as error:
        events.LOAD_UNREADABLE.log(error=str(error))
        return None


def take_cold_statement(reply: Reply, replica: Replica, dispatch: Dispatch) -> int | None:
    """Record for how long a searcher stays cold if its reply states it.

    Args:
        reply: The reply.
        replica: The searcher that sent it.
        dispatch: State shared by the process.

    Returns:
        The milliseconds; None if the reply does not state them or they can't be decoded.
    """
    value = reply.header(dispatch.names.cold_left)
    if value is None:
        return None
    if not value.isdigit() or len(value) > _MAX_COLD_DIGITS:
        dispatch.metrics.count("cold_statements_unreadable")
        events.COLD_UNREADABLE.log(searcher=replica.searcher.id, value=repr(value[:40]))
        return None
    milliseconds = int(value)
    record_cold_statement(milliseconds, replica, dispatch)
    return milliseconds


def record_cold_statement(milliseconds: int, replica: Replica, dispatch: Dispatch) -> None:
    """Record for how many milliseconds a searcher stays cold; 0 if it is warm."""
    if dispatch.fleet.cold_stated(replica, milliseconds / 1000, dispatch.loop.time()):
        dispatch.metrics.count("searchers_stated_cold")
        events.SEARCHER_STATED_COLD.log(searcher=replica.searcher.id, cold_ms=milliseconds)


def render_head(head: bytes, names: HeaderNames, searcher: str, left: float) -> bytes:
    """Return the request line and headers to a searcher.

    Args:
        head: Request line and headers, without the headers that differ between calls.
        names: The deployment's header names.
        searcher: Id of the searcher, the only one that may run the request.
        left: Seconds until the reply is no longer awaited.
    """
    return b"%b%b: %b\r\n%b: %d\r\n\r\n" % (
        head,
        names.expected_searcher,
        searcher.encode(),
        names.time_left,
        max(1, int(left * 1000)),
    )
