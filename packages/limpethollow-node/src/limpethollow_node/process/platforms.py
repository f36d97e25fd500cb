"""Client of the platform's object API."""

import threading
import time
from typing import Any, TypeVar

import msgspec
import urllib3

from limpethollow_node.process import events
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.callbudgets import DEFAULT_RATES, CallBudget, RetryBudget
from limpethollow_policy.process.revisions import UNKNOWN_ERA
from limpethollow_wire.codecs import to_json
from limpethollow_wire.exceptions import Conflict, NotFound, Unavailable
from limpethollow_wire.instances import InstanceInfo, InstanceList, SearcherListing
from limpethollow_wire.settings import PlatformSettings
from limpethollow_wire.versions import era_of, number_of, version_of

T = TypeVar("T")

_RETRY_AFTER = 1.0
_RETRY_SHARE = 0.1
_RETRY_LIMIT = 10.0
_MAX_CONNECTIONS = 8
_CHUNK_BYTES = 64 * 1024
_MAX_ANSWER_BYTES = 256 * 1024 * 1024


class CallBudgetSpent(Unavailable):
    """This instance's own budget of calls is spent; nothing was sent."""


class PlatformObject(msgspec.Struct, frozen=True):
    """One object with its version, which rises with every write.

    Attributes:
        kind: Its kind.
        name: Its name.
        version: Its version, which orders writes of all eras.
        value: What it holds.
    """

    kind: str
    name: str
    version: int
    value: dict[str, Any]


class ObjectList(msgspec.Struct, frozen=True):
    """Objects and the platform's revision at which they were read, which orders as versions do."""

    revision: int
    objects: tuple[PlatformObject, ...]


class _ObjectAnswer(msgspec.Struct, frozen=True):
    """An object as the platform tells it; its version counts within the era of its write."""

    kind: str
    name: str
    version: int
    value: dict[str, Any]
    era: int = 0

    def decoded(self) -> PlatformObject:
        version = version_of(self.era, self.version)
        return PlatformObject(self.kind, self.name, version, self.value)


class _ListAnswer(msgspec.Struct, frozen=True):
    revision: int
    objects: tuple[_ObjectAnswer, ...]
    era: int = 0

    def decoded(self) -> ObjectList:
        objects = tuple(stored.decoded() for stored in self.objects)
        return ObjectList(version_of(self.era, self.revision), objects)


class _InstancesAnswer(msgspec.Struct, frozen=True):
    revision: int
    instances: tuple[InstanceInfo, ...]
    searchers: tuple[SearcherListing, ...] = ()
    era: int = 0

    def decoded(self) -> InstanceList:
        return InstanceList(version_of(self.era, self.revision), self.instances, self.searchers)


L = TypeVar("L", _ListAnswer, _InstancesAnswer)


class PlatformClient:
    """Calls the object API within deadlines and a budget, each call counted by kind.

    Args:
        settings: Address and bounds.
        metrics: Where calls are counted.
    """

    def __init__(self, settings: PlatformSettings, metrics: Metrics) -> None:
        self._settings = settings
        self._metrics = metrics
        self._lock = threading.Lock()
        self._budget = CallBudget(DEFAULT_RATES)
        self._retries = RetryBudget(_RETRY_SHARE, _RETRY_LIMIT)
        self._is_failing = False
        self._era = UNKNOWN_ERA
        self._pool = self._new_pool()

    def __enter__(self) -> "PlatformClient":
        return self

    def __exit__(self, *_: object) -> None:
        self._pool.close()

    def read(self, kind: str, name: str) -> PlatformObject:
        """Read one object.

        Raises:
            NotFound: There is none of this name.
            Unavailable: The platform gave no usable answer.
        """
        path = f"/objects/{kind}/{name}"
        try:
            return self._call("read", "GET", path, _ObjectAnswer).decoded()
        except CallBudgetSpent:
            raise
        except Unavailable:
            if not self.may_retry("read"):
                raise
            return self._call("read", "GET", path, _ObjectAnswer).decoded()

    def write(
        self, kind: str, name: str, value: dict[str, Any], if_version: int | None = None
    ) -> PlatformObject:
        """Write one object, only where its version is still the given one; 0 means none.

        Raises:
            Conflict: The object has another version.
            Unavailable: The platform gave no usable answer; the write may have taken effect.
        """
        body = to_json({"value": value, **_condition(if_version)})
        path = f"/objects/{kind}/{name}"
        return self._call("write", "PUT", path, _ObjectAnswer, body).decoded()

    def list(self, kind: str) -> ObjectList:
        """Read all objects of a kind."""
        return self._read_list("list", f"/objects/{kind}", _ListAnswer).decoded()

    def watch(self, kind: str, after: int, wait: float | None = None) -> ObjectList:
        """Wait for objects newer than a revision; empty where none came in time.

        Args:
            kind: Kind of the objects.
            after: The revision.
            wait: Seconds to wait; as the settings say where left out.
        """
        wait = self._settings.watch_timeout if wait is None else wait
        path = f"/watch/{kind}?{_position(after)}&timeout={wait}"
        return self._read_list("watch", path, _ListAnswer, wait).decoded()

    def instances(self, after: int) -> InstanceList:
        """Wait for the list of instances to be newer than a revision; -1 answers at once."""
        wait = self._settings.watch_timeout
        path = f"/instances?{_position(after)}&timeout={wait}"
        return self._read_list("instances", path, _InstancesAnswer, wait).decoded()

    def may_retry(self, call: str) -> bool:
        """Take one retry from the budget; false where none is left."""
        with self._lock:
            allowed = self._retries.take()
        if allowed:
            self._metrics.count("platform_retries", call)
        else:
            self._metrics.count("platform_retries_refused", call)
        return allowed

    def _read_list(self, call: str, path: str, kind: type[L], patience: float = 0.0) -> L:
        """Return an answer that tells the platform's own era, and note that."""
        answer = self._call(call, "GET", path, kind, patience=patience)
        self._note_era(answer.era)
        return answer

    def _call(
        self,
        call: str,
        method: str,
        path: str,
        kind: type[T],
        body: bytes | None = None,
        patience: float = 0.0,
    ) -> T:
        self._take_budget(call)
        self._metrics.count("platform_calls", call)
        deadline = time.monotonic() + self._settings.timeout + patience
        pool = self._pool
        try:
            status, data = self._exchange(pool, method, path, body, deadline)
            answer = _read_reply(status, data, kind)
        except (urllib3.exceptions.HTTPError, Unavailable) as error:
            self._failed(call, error)
            self._condemn(pool)
            raise Unavailable(
                f"The platform gave no usable answer ({type(error).__name__}).",
                retry_after=_RETRY_AFTER,
            ) from None
        self._succeeded()
        return answer

    def _exchange(
        self,
        pool: urllib3.HTTPConnectionPool,
        method: str,
        path: str,
        body: bytes | None,
        deadline: float,
    ) -> tuple[int, bytes]:
        """Send a request and read the whole reply by the deadline.

        A timeout of the socket alone starts anew with every byte: a platform that sends a reply
        drop by drop would hold the caller for ever.
        """
        left = deadline - time.monotonic()
        timeout = urllib3.Timeout(connect=self._settings.timeout, read=left)
        reply = pool.urlopen(
            method, path, body=body, timeout=timeout, retries=False, preload_content=False
        )
        try:
            data = bytearray()
            while chunk := reply.read1(_CHUNK_BYTES):
                data += chunk
                if time.monotonic() > deadline or len(data) > _MAX_ANSWER_BYTES:
                    raise Unavailable("The answer is too slow or too large.")
        except BaseException:
            # The rest of the reply is still to come, so nobody may use this connection again.
            reply.close()
            raise
        reply.release_conn()
        return reply.status, bytes(data)

    def _new_pool(self) -> urllib3.HTTPConnectionPool:
        host, _, port = self._settings.address.rpartition(":")
        return urllib3.HTTPConnectionPool(host, int(port), maxsize=_MAX_CONNECTIONS, retries=False)

    def _condemn(self, pool: urllib3.HTTPConnectionPool) -> None:
        """Give up all idle connections after a failure.

        Where something in between lost track of one, it lost track of the others too. Calls would
        time out one after another, once for each connection in the pool, though a new one works.
        """
        with self._lock:
            if self._pool is not pool:
                return
            self._pool = self._new_pool()
        pool.close()

    def _note_era(self, era: int) -> None:
        with self._lock:
            was, self._era = self._era, max(self._era, era)
        if era > was > UNKNOWN_ERA:
            events.STORE_RESTORED.log(era=era, was=was)

    def _take_budget(self, call: str) -> None:
        with self._lock:
            wait = self._budget.take(call, time.monotonic())
        if wait:
            self._metrics.count("platform_calls_refused", call)
            events.PLATFORM_CALL_REFUSED.log(call=call)
            raise CallBudgetSpent("The budget of calls to the platform is spent.", retry_after=wait)

    def _failed(self, call: str, error: Exception) -> None:
        self._metrics.count("platform_failures", call)
        with self._lock:
            was_failing, self._is_failing = self._is_failing, True
        if not was_failing:
            events.PLATFORM_FAILED.log(call=call, error=repr(error))

    def _succeeded(self) -> None:
        with self._lock:
            self._retries.succeeded()
            was_failing, self._is_failing = self._is_failing, False
        if was_failing:
            events.PLATFORM_BACK.log()


def _position(after: int) -> str:
    """Return the parameters that ask for what is newer than a version."""
    return f"after={number_of(after)}&era={era_of(after)}"


def _condition(version: int | None) -> dict[str, int | None]:
    """Return the fields that make a write depend on an object's version."""
    if version is None:
        return {"if_version": None}
    return {"if_version": number_of(version), "if_era": era_of(version)}


def _read_reply(status: int, data: bytes, kind: type[T]) -> T:
    if status == 404:
        raise NotFound("The platform has no such object.")
    if status == 409:
        raise Conflict("The object was changed by somebody else.")
    if status != 200:
        raise Unavailable(f"The platform answered with status {status}.")
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.MsgspecError as error:
        # No answer rather than a wrong request: the write that it answers may have taken effect.
        raise Unavailable(f"The platform's answer can't be read: {error}.") from None
