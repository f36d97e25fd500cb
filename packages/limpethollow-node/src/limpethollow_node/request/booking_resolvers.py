"""Asks searchers what became of booking tokens."""

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
    """Looks tokens up at searchers, each call on a connection of its own.

    The connections of a group may be taken, silent or closed with it just when an outcome is
    lost on them; one short connection per look-up does not depend on any of these.

    Args:
        metrics: Where look-ups are counted.
    """

    def __init__(self, metrics: Metrics) -> None:
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
            with SearcherClient(searcher) as client:
                reply = client.look_up(token, void=look_up.void)
        except CallFailed as error:
            return LookUpFailed(searcher.id, error.failure)
        except Exception as error:
            events.DEFECT.log(where="booking look-up", error=repr(error), exc_info=True)
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
