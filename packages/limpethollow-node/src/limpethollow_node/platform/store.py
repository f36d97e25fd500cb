"""Client of the platform's metadata store."""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from limpethollow_node.engine.messages import Reply
from limpethollow_node.engine.process.httpclients import HttpClient
from limpethollow_node.platform.codec import StoredObject
from limpethollow_node.process import events
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.revisions import UNKNOWN_ERA, Revision
from limpethollow_wire.exceptions import Conflict, LimpethollowError, NotFound, Unavailable

T = TypeVar("T")

# The store answers in 4 ms; when slow, 60 times later. Longer silence counts as no answer.
_TIMEOUT = 1.0
# What a watch may be late by: a store that is slow answers it late too.
_WATCH_SLACK = 1.5
# Watches and other calls that this process may have under way at once.
_CONNECTIONS = 6
_JSON = (b"Content-Type", b"application/json")
# Counts how often the store came back from an older copy of what it held.
_ERA = b"store-era"


class HistoryGone(LimpethollowError):
    """The store no longer has the changes since a revision."""

    code = "history_gone"
    remedy = "List the kind again and watch from the revision of that answer."


class Listing(msgspec.Struct, frozen=True):
    """All objects of a kind at one revision; its era is 0 where the store didn't say."""

    objects: list[StoredObject]
    revision: Revision


class Change(msgspec.Struct, frozen=True):
    """One change of an object; where it was deleted, the object as it last was."""

    object: StoredObject
    deleted: bool = False


class Changes(msgspec.Struct, frozen=True):
    """The changes after one revision, up to another, whose era is as in `Listing`."""

    events: list[Change]
    revision: Revision


class _Page(msgspec.Struct, frozen=True):
    items: list[msgspec.Raw]
    revision: int = msgspec.field(name="currentRev")
    more: bool = False


class _Event(msgspec.Struct, frozen=True):
    object: msgspec.Raw
    deleted: bool = False


class _Events(msgspec.Struct, frozen=True):
    events: list[_Event]
    revision: int = msgspec.field(name="currentRev")


class _Answer(msgspec.Struct, frozen=True):
    """A reply, and the era that it tells; 0 where it tells none."""

    reply: Reply
    era: int


class Store:
    """Reads, watches and writes objects.

    Every method raises `Unavailable` where the store gave no usable answer; a write may then have
    taken effect, or may do so later.

    Args:
        address: The store's address.
        metrics: The process's counters.
        on_restored: Called when an answer shows that the store came back from an older copy.

    Attributes:
        era: The highest era that an answer told, 0 where none did; `UNKNOWN_ERA` before the first
            answer.
    """

    __slots__ = ("_asker", "_metrics", "_on_restored", "era")

    def __init__(
        self, address: str, metrics: Metrics, on_restored: Callable[[], None] = lambda: None
    ) -> None:
        self._asker = HttpClient(address, _CONNECTIONS)
        self._metrics = metrics
        self._on_restored = on_restored
        self.era = UNKNOWN_ERA

    async def list(self, kind: str, *, allow_stale: bool = False) -> Listing:
        """Read all objects of a kind.

        Args:
            kind: The kind.
            allow_stale: Whether what it returns may be seconds old; the call then costs a tenth.

        The pages are read one after the other, so an object may change between two; a watch from
        the first page's revision then tells it again.
        """
        stale = "allowStale=1" if allow_stale else ""
        page, era = await self._get("list", f"/objects/{kind}?{stale}".rstrip("?"), _Page)
        objects, revision = _readable(page.items), Revision(era, page.revision)
        while page.more and objects:
            after = f"after={objects[-1].name}"
            target = f"/objects/{kind}?{'&'.join(filter(None, (after, stale)))}"
            page, era = await self._get("list", target, _Page)
            if era != revision.era:
                raise Unavailable("The store came back from an older copy between two pages.")
            objects += _readable(page.items)
        return Listing(objects, revision)

    async def watch(self, kind: str, revision: int, wait: float) -> Changes:
        """Wait for changes of a kind after a revision.

        Args:
            kind: The kind.
            revision: Revision after which changes count.
            wait: Seconds to wait; without any change the answer has none.

        Raises:
            HistoryGone: The store has forgotten that revision.
        """
        target = f"/objects/{kind}?watch={revision}&waitMs={int(wait * 1000)}"
        found, era = await self._get("watch", target, _Events, _TIMEOUT + _WATCH_SLACK + wait)
        changes = [
            Change(stored, event.deleted)
            for event in found.events
            for stored in _readable([event.object])
        ]
        return Changes(changes, Revision(era, found.revision))

    async def check(self, kind: str, name: str, patience: float) -> None:
        """Ask for an object in the cheapest way, only to learn whether the store answers.

        What it returns may be seconds old, and the call costs a tenth of another.

        Args:
            kind: The object's kind.
            name: The object's name; it need not exist.
            patience: Seconds after which the store counts as away.
        """
        target = f"/objects/{kind}/{name}?allowStale=1"
        try:
            await self._ask("check", b"GET", target, patience)
        except NotFound:
            return

    async def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Create an object.

        Raises:
            Conflict: It exists.
        """
        body = {"meta": {"name": name}, "spec": spec}
        return await self._write("create", b"POST", f"/objects/{kind}", body)

    async def replace(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Replace what an object holds, whatever it was.

        Raises:
            NotFound: There is none of this name.
        """
        body = {"meta": {"name": name, "finalizers": []}, "spec": spec}
        return await self._write("replace", b"PUT", f"/objects/{kind}/{name}", body)

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object.

        Raises:
            NotFound: There is none of this name.
        """
        await self._ask("delete", b"DELETE", f"/objects/{kind}/{name}", _TIMEOUT)

    def close(self) -> None:
        """Close the connections."""
        self._asker.close()

    async def _get(
        self, call: str, target: str, kind: type[T], timeout: float = _TIMEOUT
    ) -> tuple[T, int]:
        """Return what the store answered, and the era that it told."""
        answer = await self._ask(call, b"GET", target, timeout)
        return _decode(answer.reply, kind), answer.era

    async def _write(self, call: str, method: bytes, target: str, body: Any) -> StoredObject:
        data = msgspec.json.encode(body)
        answer = await self._ask(call, method, target, _TIMEOUT, data)
        return _decode(answer.reply, StoredObject)

    async def _ask(
        self, call: str, method: bytes, target: str, timeout: float, body: bytes = b""
    ) -> _Answer:
        self._metrics.count("platform_calls", call)
        try:
            reply = await self._asker.ask(
                method,
                target.encode(),
                timeout=timeout,
                headers=[_JSON] if body else None,
                body=body,
            )
        except OSError as error:
            self._metrics.count("platform_failures", call)
            raise Unavailable(f"The store gave no answer to a {call} ({error!r}).") from None
        era = self._note_era(call, reply)
        _check_status(call, reply)
        return _Answer(reply, era)

    def _note_era(self, call: str, reply: Reply) -> int:
        """Return the era of an answer, 0 where it tells none that can be read.

        Raises:
            Unavailable: The answer is from before the store came back.
        """
        value = reply.header(_ERA)
        if value is None or not value.isdigit():
            if value is not None or self.era > 0:
                events.ERA_UNREADABLE.log(call=call, value=repr(value), known=self.era)
            self.era = max(self.era, 0)
            return 0
        era = int(value)
        if era < self.era:
            events.ERA_UNREADABLE.log(call=call, value=repr(value), known=self.era)
            raise Unavailable(f"The answer to a {call} is of the store's era {era}, an older one.")
        was, self.era = self.era, era
        if era > was > UNKNOWN_ERA:
            events.STORE_RESTORED.log(era=era, was=was)
            self._on_restored()
        return era


def _check_status(call: str, reply: Reply) -> None:
    if 200 <= reply.status < 300:
        return
    if reply.status == 404:
        raise NotFound("The store has no such object.")
    if reply.status == 409:
        raise Conflict("The object was created or changed by somebody else.")
    if reply.status == 410:
        raise HistoryGone("The store has forgotten this revision.")
    raise Unavailable(f"The store answered a {call} with status {reply.status}.")


def _decode(reply: Reply, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except msgspec.MsgspecError as error:
        raise Unavailable(f"The store's answer can't be read: {error}.") from None


def _readable(raws: list[msgspec.Raw]) -> list[StoredObject]:
    """Decode objects one by one: one that can't be read must not hide the others."""
    objects = []
    for raw in raws:
        try:
            objects.append(msgspec.json.decode(raw, type=StoredObject))
        except msgspec.MsgspecError as error:
            events.OBJECT_UNREADABLE.log(error=str(error), start=bytes(raw[:120]).decode("latin-1"))
    return objects
