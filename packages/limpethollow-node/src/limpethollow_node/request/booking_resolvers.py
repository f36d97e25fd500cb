"""Asks searchers what became of booking tokens."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor, wait

from limpethollow_node.connection.searchers import CallFailed, SearcherClient
from limpethollow_node.process import events
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.request.booking_events import LookUp, LookUpAnswered, LookUpFailed
from limpethollow_policy.request.booking_resolutions import Resolution
from limpethollow_policy.request.events import Failure
from limpethollow_wire.bookings import BookingOutcome, BookingToken
from limpethollow_wire.services import SearcherSpec

_WORKERS = 16
_WAIT_SECONDS = 0.75


class BookingResolver:
    """Looks tokens up at searchers, within the instance's budget of connections.

    The connections of a group may be taken or silent just when an outcome is lost on them. A
    look-up does not depend on these: one connection of the budget is kept for control calls, and
    siblings of a silent connection that were not proved to work are closed with it.

    Args:
        client: Returns a client of a searcher.
        metrics: Where look-ups are counted.
    """

    def __init__(self, client: Callable[[SearcherSpec], SearcherClient], metrics: Metrics) -> None:
        self._client = client
        self._metrics = metrics
        self._workers = ThreadPoolExecutor(_WORKERS, thread_name_prefix="booking-look-up")

    def __enter__(self) -> "BookingResolver":
        return self

    def __exit__(self, *_: object) -> None:
        self._workers.shutdown(wait=False, cancel_futures=True)

    def ask(
        self, searcher: SearcherSpec, look_up: LookUp, token: str
    ) -> LookUpAnswered | LookUpFailed:
        """Ask one searcher."""
        self._metrics.count("searcher_calls", "booking_look_up")
        try:
            with self._client(searcher) as client:
                reply = client.look_up(token, void=look_up.void)
        except CallFailed as error:
            return LookUpFailed(searcher.id, error.failure)
        except Exception as error:
            events.UNEXPECTED_ERROR.log(where="booking look-up", error=repr(error), exc_info=True)
            return LookUpFailed(searcher.id, Failure.BROKEN)
        return LookUpAnswered(searcher.id, reply)

    def resolve(self, token: BookingToken, holders: tuple[SearcherSpec, ...]) -> BookingOutcome:
        """Conclude from all searchers that could run a token, without its executor."""
        searchers = {searcher.id: searcher for searcher in holders}
        resolution = Resolution(token, searchers)
        answers = [
            self._workers.submit(self.ask, searchers[look_up.searcher_id], look_up, str(token))
            for look_up in resolution.start()
        ]
        for answer in wait(answers, _WAIT_SECONDS).done:
            event = answer.result()
            if isinstance(event, LookUpAnswered):
                resolution.handle(event)
        outcome = resolution.outcome
        self._metrics.count("booking_resolutions", outcome.reason or outcome.state)
        events.BOOKING_RESOLVED.log(token=str(token), state=outcome.state, reason=outcome.reason)
        return outcome
