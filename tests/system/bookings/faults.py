"""The faults that strike a booking, registered by their name, and how each is mended."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from tests.support.processes import wait_for
from tests.system.bookings.bench import Answer, Bench

_FAULTS: dict[str, Callable] = {}
_AT_SEARCHER = ("after the request's bytes", "after execution")
_SHORT_REPLY = 20

Fault = Callable[[Bench, str, str], Iterator[None]]


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault: a context that strikes when entered and mends when left.

    The caller is answered while it lasts.
    """

    def register(strike: Fault) -> Fault:
        _FAULTS[name] = contextmanager(strike)
        return strike

    return register


def struck(name: str, bench: Bench, moment: str, searcher: str):
    """Strike with a fault."""
    return _FAULTS[name](bench, moment, searcher)


def answer_of(answer: Answer | None, bench: Bench, token: str) -> Answer:
    """Return the caller's answer; a booking that was not sent yet is sent now."""
    return answer or bench.book(token)


@fault("instance killed")
def _instance_killed(bench: Bench, moment: str, searcher: str):
    bench.cluster.instances["executor"].kill()
    yield
    bench.restart_executor()


@fault("instance frozen")
def _instance_frozen(bench: Bench, moment: str, searcher: str):
    bench.cluster.instances["executor"].freeze()
    yield
    bench.cluster.instances["executor"].resume()


@fault("instance shutting down")
def _instance_leaves(bench: Bench, moment: str, searcher: str):
    executor = bench.cluster.instances["executor"]
    executor.terminate()
    wait_for(lambda: _is_leaving(bench), "the executor is leaving")
    bench.release_holds()
    yield
    wait_for(lambda: not executor.is_running, "the executor has left")
    bench.restart_executor()


@fault("searcher killed")
def _searcher_killed(bench: Bench, moment: str, searcher: str):
    bench.keep_counts(searcher)
    bench.cluster.searchers[searcher].kill()
    yield


@fault("searcher frozen")
def _searcher_frozen(bench: Bench, moment: str, searcher: str):
    bench.cluster.searchers[searcher].freeze()
    yield
    bench.cluster.searchers[searcher].resume()


@fault("connection cut")
def _connection_cut(bench: Bench, moment: str, searcher: str):
    proxy = bench.wires[searcher] if moment in _AT_SEARCHER else bench.link
    proxy.control(cut=True)
    yield


@fault("connection silent")
def _connection_silent(bench: Bench, moment: str, searcher: str):
    proxy = bench.wires[searcher] if moment in _AT_SEARCHER else bench.link
    proxy.control(freeze=True)
    yield


@fault("reply truncated")
def _reply_truncated(bench: Bench, moment: str, searcher: str):
    proxy = bench.wires[searcher] if moment in _AT_SEARCHER else bench.door
    proxy.control(truncate=_SHORT_REPLY)
    bench.release_holds()
    yield


@fault("reply late")
def _reply_late(bench: Bench, moment: str, searcher: str):
    yield


@fault("reply crossed")
def _reply_crossed(bench: Bench, moment: str, searcher: str):
    bench.cluster.searchers[searcher].control(cross_replies=1, hold="")
    yield


@fault("platform down")
def _platform_down(bench: Bench, moment: str, searcher: str):
    bench.cluster.platform.control(down=True)
    bench.release_holds()
    yield
    bench.cluster.platform.control(down=False)


def _is_leaving(bench: Bench) -> bool:
    executor = bench.cluster.instances["executor"]
    return not executor.is_running or bench.cluster.status("executor").state == "leaving"
