"""Client of the platform's object API."""

import threading
import time
from typing import Annotated, Any, TypeVar

import msgspec
import urllib3

from limpethollow_node.connection.guards import CallAt, DeadlineGuard
from limpethollow_node.connection.reply_bytes import ReplyBody, ReplyBytes, ReplyTooLarge
from limpethollow_node.process import events
from limpethollow_node.process.metrics import Metrics
from limpethollow_node.process.timers import Timers
from limpethollow_policy.process.callbudgets import DEFAULT_RATES, CallBudget, RetryBudget
from limpethollow_policy.process.entries import is_address
from limpethollow_policy.process.revisions import UNKNOWN_ERA
from limpethollow_wire.codecs import from_json, to_json
from limpethollow_wire.exceptions import Conflict, NotFound, Unavailable
from limpethollow_wire.instances import InstanceInfo, InstanceList, SearcherListing
from limpethollow_wire.jsonparts import decode_parts
from limpethollow_wire.responses import StrictResponse
from limpethollow_wire.settings import PlatformSettings
from limpethollow_wire.versions import MAX_ERA, MAX_NUMBER, era_of, number_of, version_of

T = TypeVar("T", bound=msgspec.Struct)
D = TypeVar("D")

_RETRY_AFTER_SECONDS = 1.0
_RETRY_RATIO = 0.1
_MAX_SAVED_RETRIES = 10.0
_MAX_CONNECTIONS = 8
_LOGGED_NAME_CHARACTERS = 100
_CHUNK_BYTES = 64 * 1024
# For two lists at a time of 310 services of 41 KB, which have 13 MB each.
_MAX_RESPONSE_BYTES = 32 * 1024 * 1024
_OWN_BYTES = 1024 * 1024
_OVERTIME_SECONDS = 0.1


class CallBudgetSpent(Unavailable):
    """The call budget of this instance is exhausted; nothing was sent."""


class _GuardedConnection(urllib3.connection.HTTPConnection):
    """A connection whose calls end soon after their time, wherever their response stands.

    Args:
        call_at: Runs a callback at a monotonic second.

    Attributes:
        guard: Guards the call that was made last.
    """

    response_class = StrictResponse
    guard: DeadlineGuard

    def __init__(self, *args: Any, call_at: CallAt, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._call_at = call_at

    def getresponse(self) -> urllib3.HTTPResponse:
        """Read the response's head."""
        assert isinstance(self.timeout, float)
        deadline = time.monotonic() + self.timeout + _OVERTIME_SECONDS
        self.guard = DeadlineGuard(self.sock, deadline, self._call_at)
        try:
            return super().getresponse()
        except BaseException:
            self.guard.end()
            raise


class _GuardedPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _GuardedConnection


class PlatformObject(msgspec.Struct, frozen=True):
    """One stored object with its version, which increases with every write.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        version: Version that orders the writes of all store eras.
        content: Content of the object as JSON text, which may be another writer's. Decoded into
            plain values it may take 20 times the memory.
    """

    kind: str
    name: str
    version: int
    content: msgspec.Raw

    @property
    def value(self) -> dict[str, Any]:
        """Return the whole content as plain values.

        Raises:
            BadRequest: It is not a JSON object.
        """
        return self.decode(dict[str, Any])

    def decode(self, kind: type[D]) -> D:
        """Return the content as a message; fields that the message lacks are skipped.

        Raises:
            BadRequest: It is invalid.
        """
        return from_json(memoryview(self.content), kind, _MAX_RESPONSE_BYTES)


class ObjectList(msgspec.Struct, frozen=True):
    """Objects and the platform's revision at which they were read; it is ordered like versions."""

    revision: int
    objects: tuple[PlatformObject, ...]


# Versions and eras beyond this can't be combined into one that peers can decode.
_Number = Annotated[int, msgspec.Meta(ge=-1, le=MAX_NUMBER)]
_Era = Annotated[int, msgspec.Meta(ge=0, le=MAX_ERA)]


class _ObjectResponse(msgspec.Struct, frozen=True):
    """An object as the platform sends it; the version counts within the era of its write."""

    kind: str
    name: str
    version: _Number
    value: msgspec.Raw
    era: _Era = 0

    def __post_init__(self) -> None:
        """Reject a value that is no JSON object."""
        if bytes(memoryview(self.value)[:1]) != b"{":
            raise ValueError("The value is not an object.")

    def to_result(self) -> PlatformObject:
        version = version_of(self.era, self.version)
        return PlatformObject(self.kind, self.name, version, self.value)


class _ListResponse(msgspec.Struct, frozen=True):
    revision: _Number
    objects: list[msgspec.Raw]
    era: _Era = 0

    def to_result(self) -> ObjectList:
        found = _decode_each(self.objects, _ObjectResponse)
        objects = tuple(stored.to_result() for stored in found)
        return ObjectList(version_of(self.era, self.revision), objects)


class _InstancesResponse(msgspec.Struct, frozen=True):
    revision: _Number
    instances: list[msgspec.Raw]
    searchers: list[msgspec.Raw] = []
    era: _Era = 0

    def to_result(self) -> InstanceList:
        instances = tuple(filter(_can_be_reached, _decode_each(self.instances, InstanceInfo)))
        searchers = tuple(_decode_each(self.searchers, SearcherListing))
        return InstanceList(version_of(self.era, self.revision), instances, searchers)


class _Named(msgspec.Struct, frozen=True):
    name: str = ""
    id: str = ""


L = TypeVar("L", _ListResponse, _InstancesResponse)


class PlatformClient:
    """Calls the object API with deadlines and a call budget, and counts the calls by kind.

    Args:
        settings: Address and timeouts of the platform.
        metrics: Counts the calls.
    """

    def __init__(self, settings: PlatformSettings, metrics: Metrics) -> None:
        self._settings = settings
        self._metrics = metrics
        self._lock = threading.Lock()
        self._budget = CallBudget(DEFAULT_RATES)
        self._retries = RetryBudget(_RETRY_RATIO, _MAX_SAVED_RETRIES)
        self._is_failing = False
        self._era = UNKNOWN_ERA
        self._bytes = ReplyBytes(_MAX_RESPONSE_BYTES, _OWN_BYTES, _MAX_RESPONSE_BYTES)
        self._timers = Timers()
        self._pool = self._new_pool()

    def __enter__(self) -> "PlatformClient":
        self._timers.__enter__()
        return self

    def __exit__(self, *_: object) -> None:
        self._pool.close()
        self._timers.__exit__()

    def read(self, kind: str, name: str) -> PlatformObject:
        """Read one object.

        Raises:
            NotFound: There is no object of this name.
            Unavailable: The platform gave no usable response.
        """
        path = f"/objects/{kind}/{name}"
        try:
            return self._call("read", "GET", path, _ObjectResponse).to_result()
        except CallBudgetSpent:
            raise
        except Unavailable:
            if not self.may_retry("read"):
                raise
            return self._call("read", "GET", path, _ObjectResponse).to_result()

    def write(
        self, kind: str, name: str, value: dict[str, Any], if_version: int | None = None
    ) -> PlatformObject:
        """Write one object; with `if_version`, only if that is still its version.

        An `if_version` of 0 means that the object must not exist yet.

        Raises:
            Conflict: The object has a different version.
            Unavailable: The platform gave no usable response; the write may have taken effect.
        """
        body = to_json({"value": value, **_write_condition(if_version)})
        path = f"/objects/{kind}/{name}"
        return self._call("write", "PUT", path, _ObjectResponse, body).to_result()

    def list(self, kind: str) -> ObjectList:
        """Read all objects of a kind."""
        return self._read_list("list", f"/objects/{kind}", _ListResponse).to_result()

    def watch(self, kind: str, after: int, wait: float | None = None) -> ObjectList:
        """Wait for objects newer than a revision; the list is empty after a timeout.

        Args:
            kind: Kind of the objects.
            after: The revision.
            wait: Seconds to wait; `watch_timeout` of the settings by default.
        """
        wait = self._settings.watch_timeout if wait is None else wait
        path = f"/watch/{kind}?{_query_after(after)}&timeout={wait}"
        return self._read_list("watch", path, _ListResponse, wait).to_result()

    def instances(self, after: int) -> InstanceList:
        """Wait for a list of instances newer than a revision; -1 returns the list at once."""
        wait = self._settings.watch_timeout
        path = f"/instances?{_query_after(after)}&timeout={wait}"
        return self._read_list("instances", path, _InstancesResponse, wait).to_result()

    def may_retry(self, call: str) -> bool:
        """Take one retry from the retry budget; return false if it is exhausted."""
        with self._lock:
            allowed = self._retries.take()
        if allowed:
            self._metrics.count("platform_retries", call)
        else:
            self._metrics.count("platform_retries_refused", call)
        return allowed

    def _read_list(self, call: str, path: str, kind: type[L], extra_wait: float = 0.0) -> L:
        """Read a list; the response carries the platform's current era, which is recorded."""
        result = self._call(call, "GET", path, kind, extra_wait=extra_wait)
        self._record_era(result.era)
        return result

    def _call(
        self,
        call: str,
        method: str,
        path: str,
        kind: type[T],
        body: bytes | None = None,
        extra_wait: float = 0.0,
    ) -> T:
        self._charge_call_budget(call)
        self._metrics.count("platform_calls", call)
        deadline = time.monotonic() + self._settings.timeout + extra_wait
        pool = self._pool
        try:
            with self._bytes.body() as response_body:
                status = self._send_request(pool, method, path, body, deadline, response_body)
                result = _decode_response(status, response_body.data, kind)
        except (urllib3.exceptions.HTTPError, Unavailable) as error:
            self._record_failure(call, error)
            self._replace_pool(pool)
            raise Unavailable(
                f"The platform gave no usable response ({type(error).__name__}).",
                retry_after=_RETRY_AFTER_SECONDS,
            ) from None
        self._record_success()
        return result

    def _send_request(
        self,
        pool: urllib3.HTTPConnectionPool,
        method: str,
        path: str,
        body: bytes | None,
        deadline: float,
        response_body: ReplyBody,
    ) -> int:
        """Send a request, read the whole response by the deadline and return its status.

        The socket timeout alone restarts with every byte received, so a platform that sends its
        response a few bytes at a time could block the caller indefinitely.
        """
        remaining = deadline - time.monotonic()
        timeout = urllib3.Timeout(connect=self._settings.timeout, read=remaining)
        response = pool.urlopen(
            method, path, body=body, timeout=timeout, retries=False, preload_content=False
        )
        connection = response.connection
        assert isinstance(connection, _GuardedConnection)
        try:
            with connection.guard:
                while chunk := response.read1(_CHUNK_BYTES, decode_content=False):
                    response_body.add(chunk)
                    if time.monotonic() > deadline:
                        raise Unavailable("The response took too long.")
        except ReplyTooLarge:
            self._metrics.count("replies_cut_off", "body")
            events.REPLY_CUT_OFF.log(searcher="platform", limit="body")
            response.close()
            raise Unavailable("The response is too large.") from None
        except BaseException:
            # Unread bytes of the response may still arrive, so the connection can't be reused.
            response.close()
            raise
        response.release_conn()
        return response.status

    def _new_pool(self) -> urllib3.HTTPConnectionPool:
        host, _, port = self._settings.address.rpartition(":")
        return _GuardedPool(
            host,
            int(port),
            maxsize=_MAX_CONNECTIONS,
            retries=False,
            call_at=self._timers.call_at,
        )

    def _replace_pool(self, pool: urllib3.HTTPConnectionPool) -> None:
        """Replace the connection pool after a failure.

        An intermediary on the path that lost the state of one connection has lost that of the
        other idle ones too. Calls would time out one after another, once for each connection in
        the pool, although a new connection would work.
        """
        with self._lock:
            if self._pool is not pool:
                return
            self._pool = self._new_pool()
        pool.close()

    def _record_era(self, era: int) -> None:
        with self._lock:
            previous_era, self._era = self._era, max(self._era, era)
        if era > previous_era > UNKNOWN_ERA:
            events.STORE_RESTORED.log(era=era, was=previous_era)

    def _charge_call_budget(self, call: str) -> None:
        with self._lock:
            wait = self._budget.take(call, time.monotonic())
        if wait:
            self._metrics.count("platform_calls_refused", call)
            events.PLATFORM_CALL_REFUSED.log(call=call)
            raise CallBudgetSpent(
                "The call budget for the platform is exhausted.", retry_after=wait
            )

    def _record_failure(self, call: str, error: Exception) -> None:
        self._metrics.count("platform_failures", call)
        with self._lock:
            was_failing, self._is_failing = self._is_failing, True
        if not was_failing:
            events.PLATFORM_FAILED.log(call=call, error=repr(error))

    def _record_success(self) -> None:
        with self._lock:
            self._retries.succeeded()
            was_failing, self._is_failing = self._is_failing, False
        if was_failing:
            events.PLATFORM_RECOVERED.log()


def _query_after(after: int) -> str:
    """Return the query parameters that select what is newer than a revision."""
    return f"after={number_of(after)}&era={era_of(after)}"


def _write_condition(version: int | None) -> dict[str, int | None]:
    """Return the body fields that make a write conditional on the object's version."""
    if version is None:
        return {"if_version": None}
    return {"if_version": number_of(version), "if_era": era_of(version)}


def _decode_response(status: int, data: bytearray, kind: type[T]) -> T:
    if status == 404:
        raise NotFound("The object does not exist on the platform.")
    if status == 409:
        raise Conflict("The object was changed by another writer.")
    if status != 200:
        raise Unavailable(f"The platform responded with status {status}.")
    try:
        return decode_parts(data, kind)
    except ValueError as error:
        # Reported as unavailable, not as a bad request: the write may have taken effect.
        raise Unavailable(f"The platform's response could not be decoded: {error}.") from None


def _decode_each(raws: list[msgspec.Raw], kind: type[T]) -> list[T]:
    """Decode the parts of a list one by one, so that an invalid one doesn't hide the others."""
    decoded = []
    for raw in raws:
        try:
            decoded.append(msgspec.json.decode(raw, type=kind))
        except (msgspec.MsgspecError, RecursionError) as error:
            events.OBJECT_UNREADABLE.log(error=str(error), bytes=len(raw), start=_name_of(raw))
    return decoded


def _name_of(raw: msgspec.Raw) -> str | None:
    """Return the name of an object, or the id of an instance, if it can be decoded."""
    try:
        named = decode_parts(raw, _Named)
    except ValueError:
        return None
    return (named.name or named.id)[:_LOGGED_NAME_CHARACTERS]


def _can_be_reached(instance: InstanceInfo) -> bool:
    """Return whether an instance's addresses are valid; log it otherwise."""
    if is_address(instance.peer_address) and is_address(instance.address):
        return True
    error = "The instance has an invalid address."
    events.OBJECT_UNREADABLE.log(error=error, start=instance.id[:_LOGGED_NAME_CHARACTERS])
    return False
