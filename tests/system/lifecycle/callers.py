"""Real callers over HTTP that keep their addresses and connections, and note every failure."""

import itertools
import json
import threading
from collections import Counter
from typing import Any

import urllib3

from limpethollow import OutcomeState, Session
from limpethollow.adapters import HttpAdapter
from limpethollow.exceptions import LimpethollowError, NoReply, NotConnected, NotRun
from tests.support.clusters import CALLER_KEY, Cluster

_NUMBERS = itertools.count()
HEADERS = {"Authorization": f"Bearer {CALLER_KEY}"}


def new_query() -> dict[str, int]:
    """Return a query that nobody sent before: equal ones on one snapshot are run only once."""
    return {"number": next(_NUMBERS)}


class NotingAdapter(HttpAdapter):
    """Notes requests that were cut off, which a session may hide by its next try.

    A route may be asked of an address that has expired, since a session keeps its first ones.
    """

    def __init__(self, cut_off: list[str]) -> None:
        super().__init__()
        self._cut_off = cut_off

    def send(self, address: str, method: str, path: str, *rest: Any, **options: Any) -> Any:
        try:
            return super().send(address, method, path, *rest, **options)
        except (NoReply, NotConnected) as error:
            if not path.endswith("/route"):
                self._cut_off.append(f"{method} {address}{path}: {error!r}")
            raise


class CallerLoad:
    """Searches and books without a pause from several threads until it is closed.

    Args:
        cluster: Where to call.
        service: What to call.
        searching: Threads that search.
        booking: Threads that book.
    """

    def __init__(self, cluster: Cluster, service: str, searching: int, booking: int) -> None:
        self._cluster = cluster
        self._service = service
        self._stopped = threading.Event()
        self.failures: list[str] = []
        self.done: Counter[str] = Counter()
        self.outcomes: dict[str, str] = {}
        self._threads = [threading.Thread(target=self._search) for _ in range(searching)]
        self._threads += [threading.Thread(target=self._book) for _ in range(booking)]

    def __enter__(self) -> "CallerLoad":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _search(self) -> None:
        with self._session() as session:
            while not self._stopped.is_set():
                try:
                    answer = session.search(self._service, new_query(), deadline=10.0)
                    self.done["complete" if answer.coverage.complete else "partial"] += 1
                except LimpethollowError as error:
                    self.failures.append(repr(error))

    def _book(self) -> None:
        """Book with one token each; a booking that was not run is made again with a new one."""
        with self._session() as session:
            while not self._stopped.is_set():
                try:
                    token = session.new_token(self._service, 0)
                    self.outcomes[token] = self._book_once(session, token)
                    self.done[f"booking_{self.outcomes[token]}"] += 1
                except LimpethollowError as error:
                    self.failures.append(repr(error))

    def _book_once(self, session: Session, token: str) -> str:
        try:
            return session.book(self._service, 0, {}, token=token, deadline=10.0).state
        except NotRun:
            session.forget(self._service)
            return OutcomeState.NOT_RUN

    def _session(self) -> Session:
        addresses = [instance["address"] for instance in self._cluster.listed.values()]
        return Session(addresses, CALLER_KEY, adapter=NotingAdapter(self.failures))


class KeptConnection:
    """One HTTP connection to one instance, kept by a caller that holds its address."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._connection = urllib3.connection.HTTPConnection(host, int(port), timeout=60)
        self.headers: Any = {}

    def __enter__(self) -> "KeptConnection":
        return self

    def __exit__(self, *_: object) -> None:
        self._connection.close()

    def send(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Send a request on this very connection."""
        data = None if body is None else json.dumps(body).encode()
        self._connection.request(method, path, body=data, headers=HEADERS)
        reply = self._connection.getresponse()
        self.headers = reply.headers
        return reply.status, json.loads(reply.data)

    def search(self, service: str, deadline: float = 20.0) -> tuple[int, Any]:
        body = {"query": new_query(), "deadline": deadline}
        return self.send("POST", f"/v1/services/{service}/search", body)

    def book(self, service: str, token: str, deadline: float = 20.0) -> tuple[int, Any]:
        body = {"token": token, "shard": 0, "booking": {}, "deadline": deadline}
        return self.send("POST", f"/v1/services/{service}/bookings", body)

    def look_up(self, service: str, token: str) -> tuple[int, Any]:
        return self.send("GET", f"/v1/services/{service}/bookings/{token}")


class Background:
    """Runs one call in a thread; `result` waits for what it returned."""

    def __init__(self, call: Any, *arguments: Any) -> None:
        self._result: Any = None
        self._thread = threading.Thread(target=self._run, args=[call, arguments])
        self._thread.start()

    def _run(self, call: Any, arguments: Any) -> None:
        try:
            self._result = call(*arguments)
        except Exception as error:
            self._result = error

    @property
    def is_running(self) -> bool:
        return self._thread.is_alive()

    def result(self) -> Any:
        self._thread.join()
        if isinstance(self._result, Exception):
            raise self._result
        return self._result
