"""Reports calls to searchers that are known to be draining or unregistered."""

from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.process import events
from limpethollow_policy.process.searchers import Replica


def report_if_leaving(
    dispatch: Dispatch, replica: Replica, request_id: bytes, chosen_at: float
) -> None:
    """Log and count a call if its searcher drains, or has no entry, when the call is sent.

    Args:
        dispatch: State shared by the process.
        replica: The searcher.
        request_id: The caller's id for the request.
        chosen_at: Monotonic time in seconds at which the searcher was chosen.
    """
    if replica.leaving_since is None:
        return
    now = dispatch.loop.time()
    dispatch.metrics.count("sends_to_leaving_searchers", replica.state)
    events.CALL_TO_LEAVING_SEARCHER.log(
        request=request_id.decode("latin-1"),
        searcher=replica.searcher.id,
        state=replica.state,
        known_ms=round((now - replica.leaving_since) * 1000),
        queued_ms=round((now - chosen_at) * 1000),
    )
