"""Client of the platform's object API."""

from typing import Any

import msgspec
import urllib3

from limpethollow_node.process.metrics import Metrics
from limpethollow_wire.codecs import to_json
from limpethollow_wire.exceptions import BadRequest, Conflict, NotFound, Unavailable
from limpethollow_wire.instances import InstanceList
from limpethollow_wire.settings import PlatformSettings

_RETRY_AFTER = 1.0
_MAX_CONNECTIONS = 8


class PlatformObject(msgspec.Struct, frozen=True):
    """One object with its version, which rises with every write."""

    kind: str
    name: str
    version: int
    value: dict[str, Any]


class ObjectList(msgspec.Struct, frozen=True):
    """Objects and the platform's revision at which they were read."""

    revision: int
    objects: tuple[PlatformObject, ...]


class PlatformClient:
    """Calls the object API, each call counted by kind.

    Args:
        settings: Address and bounds.
        metrics: Where calls are counted.
    """

    def __init__(self, settings: PlatformSettings, metrics: Metrics) -> None:
        self._settings = settings
        self._metrics = metrics
        host, _, port = settings.address.rpartition(":")
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=_MAX_CONNECTIONS, retries=False
        )

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
        return self._call("read", "GET", f"/objects/{kind}/{name}", PlatformObject)

    def write(
        self, kind: str, name: str, value: dict[str, Any], if_version: int | None = None
    ) -> PlatformObject:
        """Write one object, only where its version is still the given one; 0 means none.

        Raises:
            Conflict: The object has another version.
            Unavailable: The platform gave no usable answer; the write may have taken effect.
        """
        body = to_json({"value": value, "if_version": if_version})
        return self._call("write", "PUT", f"/objects/{kind}/{name}", PlatformObject, body)

    def list(self, kind: str) -> ObjectList:
        """Read all objects of a kind."""
        return self._call("list", "GET", f"/objects/{kind}", ObjectList)

    def watch(self, kind: str, after: int) -> ObjectList:
        """Wait for objects newer than a revision; empty where none came in time."""
        wait = self._settings.watch_timeout
        path = f"/watch/{kind}?after={after}&timeout={wait}"
        return self._call("watch", "GET", path, ObjectList, patience=wait)

    def instances(self, after: int) -> InstanceList:
        """Wait for the list of instances to be newer than a revision; -1 answers at once."""
        wait = self._settings.watch_timeout
        path = f"/instances?after={after}&timeout={wait}"
        return self._call("instances", "GET", path, InstanceList, patience=wait)

    def _call(
        self,
        call: str,
        method: str,
        path: str,
        kind: type,
        body: bytes | None = None,
        patience: float = 0.0,
    ) -> Any:
        self._metrics.count("platform_calls", call)
        timeout = urllib3.Timeout(
            connect=self._settings.timeout, read=self._settings.timeout + patience
        )
        try:
            reply = self._pool.urlopen(method, path, body=body, timeout=timeout, retries=False)
        except urllib3.exceptions.HTTPError as error:
            self._metrics.count("platform_failures", call)
            raise Unavailable(
                f"The platform can't be reached ({type(error).__name__}).",
                retry_after=_RETRY_AFTER,
            ) from None
        return self._read_reply(call, reply, kind)

    def _read_reply(self, call: str, reply: urllib3.BaseHTTPResponse, kind: type) -> Any:
        if reply.status == 404:
            raise NotFound("The platform has no such object.")
        if reply.status == 409:
            raise Conflict("The object was changed by somebody else.")
        if reply.status != 200:
            self._metrics.count("platform_failures", call)
            raise Unavailable(
                f"The platform answered with status {reply.status}.", retry_after=_RETRY_AFTER
            )
        try:
            return msgspec.json.decode(reply.data, type=kind)
        except msgspec.MsgspecError as error:
            raise BadRequest(f"The platform's answer can't be read: {error}.") from None
