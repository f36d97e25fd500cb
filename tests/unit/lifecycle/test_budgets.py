"""Which connection a call gets, and how many count at a searcher."""

from hypothesis import given, settings
from hypothesis import strategies as st

from limpethollow_policy.connection.connection_limits import (
    CLOSING_SECONDS,
    ConnectionTracker,
    OpenConnection,
    ReuseConnection,
    WaitForConnection,
    connections_per_searcher,
)
from limpethollow_wire.services import SearcherSpec


def opened(book: ConnectionTracker, count: int, now: float = 0.0) -> list[int]:
    """Open connections that are all idle at the end."""
    numbers = [book.take(now).number for _ in range(count)]
    for number in numbers:
        book.returned(number, now)
    return numbers


class TestReuse:
    def test_the_connection_that_was_good_last_is_reused_first(self):
        book = ConnectionTracker(6)
        first, second = opened(book, 2)
        book.take(1.0)
        book.returned(second, 1.0)
        assert book.take(2.0) == ReuseConnection(second)
        assert book.take(2.0) == ReuseConnection(first)

    def test_idle_connection_is_closed_after_its_bound(self):
        book = ConnectionTracker(6, idle_seconds=10.0)
        (number,) = opened(book, 1)
        assert book.next_expiry() == 10.0
        assert book.expired(9.9) == ()
        assert book.expired(10.0) == (number,)
        book.expired(10.0 + CLOSING_SECONDS)
        assert book.next_expiry() is None
        assert len(book) == 0


class TestSilentConnection:
    def test_siblings_that_were_not_good_since_the_call_began_are_closed_with_it(self):
        """Something between the two ends lost track of all connections that were idle.

        A search times out on the first, its retry on the second, and so on: one fault costs one
        call for each kept connection.
        """
        book = ConnectionTracker(6)
        opened(book, 3)
        silent = book.take(5.0).number
        siblings = book.condemned(silent, started=5.0, now=6.0)
        assert len(siblings) == 2
        assert isinstance(book.take(6.0), OpenConnection)

    def test_sibling_that_was_good_since_is_kept(self):
        book = ConnectionTracker(6)
        opened(book, 2)
        silent = book.take(5.0).number
        alive = book.take(5.1).number
        book.returned(alive, 5.2)
        assert book.condemned(silent, started=5.0, now=6.0) == ()
        assert book.take(6.0) == ReuseConnection(alive)


class TestBudget:
    def test_four_owners_that_disagree_fit_into_the_limit(self):
        searcher = SearcherSpec("s0", "127.0.0.1:1", (0,), connections=25)
        assert 4 * connections_per_searcher(searcher) <= 25

    def test_one_connection_is_kept_for_control_calls(self):
        """All connections wait for a frozen searcher.

        The cancels that would end their calls wait for a connection, so nothing ends before the
        deadlines.
        """
        book = ConnectionTracker(3)
        assert isinstance(book.take(0.0), OpenConnection)
        assert isinstance(book.take(0.0), OpenConnection)
        assert isinstance(book.take(0.0), WaitForConnection)
        assert isinstance(book.take(0.0, control=True), OpenConnection)

    def test_closed_connection_counts_until_the_searcher_heard_of_it(self):
        """A burst of timeouts closes all connections and opens as many new ones.

        The searcher still counts the old ones, and refuses connections of all instances.
        """
        book = ConnectionTracker(2)
        number = book.take(0.0).number
        book.condemned(number, started=0.0, now=1.0)
        control = book.take(1.0, control=True)
        assert isinstance(control, OpenConnection)
        assert book.take(1.0) == WaitForConnection(until=1.0 + CLOSING_SECONDS)
        assert isinstance(book.take(1.0 + CLOSING_SECONDS), OpenConnection)

    STEPS = st.lists(
        st.tuples(
            st.sampled_from(["take", "control", "return", "condemn", "refused", "expire"]),
            st.integers(0, 7),
            st.floats(0.0, 1.0),
        ),
        max_size=60,
    )

    @settings(derandomize=True, max_examples=500)
    @given(STEPS, st.integers(1, 8))
    def test_the_limit_holds_in_every_order_and_no_connection_has_two_calls(self, steps, limit):
        book, now = ConnectionTracker(limit, idle_seconds=2.0), 0.0
        busy: list[int] = []
        counted_until: dict[int, float] = {}
        live: set[int] = set()
        for step, pick, pause in steps:
            now += pause
            closed: tuple[int, ...] = ()
            if step in ("take", "control"):
                choice = book.take(now, control=step == "control")
                if not isinstance(choice, WaitForConnection):
                    assert choice.number not in busy
                    busy.append(choice.number)
                    live.add(choice.number)
            elif step == "expire":
                closed = book.expired(now)
            elif busy:
                number = busy.pop(pick % len(busy))
                if step == "return":
                    book.returned(number, now)
                elif step == "refused":
                    book.connect_failed(number)
                    live.discard(number)
                else:
                    closed = (number, *book.condemned(number, now, now))
            for number in closed:
                live.discard(number)
                counted_until[number] = now + CLOSING_SECONDS
            counted = len(live) + sum(until > now for until in counted_until.values())
            assert counted <= limit
