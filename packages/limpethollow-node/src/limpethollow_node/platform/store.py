"""Client of the platform's metadata store."""

from collections.abc import Callable
from typing import Any, Generic, TypeVar
from urllib.parse import quote

import msgspec

from limpethollow_node.engine.connection.clients import ReplyCutOff
from limpethollow_node.engine.connection.replylimits import (
    STORE_LIMITS,
    ReplyLimit,
    report_exceeded,
)
from limpethollow_node.engine.messages import Reply
from limpethollow_node.engine.process.httpclients import HttpClient
from limpethollow_node.platform.codec import ObjectMeta, StoredObject
from limpethollow_node.process import events
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.revisions import UNKNOWN_ERA, Revision
from limpethollow_wire.exceptions import Conflict, LimpethollowError, NotFound, Unavailable
from limpethollow_wire.jsonparts import decode_parts

T = TypeVar("T", bound=msgspec.Struct)
Item = TypeVar("Item")

# The store answers in 4 ms; a slow one takes 60 times as long. A longer wait counts as no answer.
_TIMEOUT = 1.0
# Additional timeout of a watch, because a slow store also answers watches late.
_WATCH_SLACK = 1.5
# Maximum number of concurrent calls, including watches.
_CONNECTIONS = 7
# Limits the memory of the items of a list: some 30,000 searchers, and more where the machine has
# more memory.
_MIN_LIST_BYTES = 16 * 1024 * 1024
_LIST_MEMORY_SHARE = 1 / 8
# Memory that an item takes besides its content.
_ITEM_OVERHEAD_BYTES = 256
# An item decoded from a longer text is measured itself: most of the text may be unknown fields.
_MEASURED_ABOVE_BYTES = 4096
# Limits the calls for a list whose pages never end. Objects that aren't kept may have 1 MB each, so
# that each of them takes a page.
_MAX_PAGES = 4096
# A longer name does not fit into the target of a call.
_MAX_NAME_CHARACTERS = 512
# An object may have a name of up to its full size.
LOGGED_NAME_CHARACTERS = 100
_JSON = (b"Content-Type", b"application/json")
# Header with the store's era: how often the store was restored from an older copy.
_ERA_HEADER = b"store-era"
# A number of more digits may not fit into 64 bits.
_MAX_ERA_DIGITS = 18


class HistoryGone(LimpethollowError):
    """The store no longer has the changes since a revision."""

    code = "history_gone"
    remedy = "List the kind again and watch from the revision of that answer."


class ChangesTooLarge(LimpethollowError):
    """The changes since a revision don't fit into one answer of the store."""

    code = "changes_too_large"
    remedy = "List the kind, which comes in pages, and watch from the revision of that answer."


class Listing(msgspec.Struct, Generic[Item], frozen=True):
    """All items of a kind at one revision.

    Attributes:
        items: The decoded objects by name, without those that are not needed.
        revision: The revision; its era is 0 if the store sent none.
    """

    items: dict[str, Item]
    revision: Revision


class Change(msgspec.Struct, frozen=True):
    """One change of an object; for a deletion, with the object's last state."""

    object: StoredObject
    deleted: bool = False


class Changes(msgspec.Struct, frozen=True):
    """The changes after one revision up to another, whose era is 0 if the store sent none."""

    events: list[Change]
    revision: Revision


class _Page(msgspec.Struct, frozen=True):
    items: list[msgspec.Raw]
    revision: int = msgspec.field(name="currentRev")
    more: bool = False


class _Event(msgspec.Struct, frozen=True):
    object: msgspec.Raw
    deleted: bool = False


class _Named(msgspec.Struct, frozen=True):
    meta: ObjectMeta


class _Events(msgspec.Struct, frozen=True):
    events: list[msgspec.Raw]
    revision: int = msgspec.field(name="currentRev")


class _Pages(Generic[Item]):
    """The items of a list, of which the pages are added one after the other.

    Each object is decoded while its page is in memory, and its text is released with the page. So
    objects that are not needed cost no memory beyond their page, however many there are.

    Args:
        max_bytes: Limit on the memory of all items.
        decode: Returns the item of an object; None if the object is not needed.

    Attributes:
        items: The items by name.
    """

    __slots__ = ("_bytes", "_decode", "_last_names", "_max_bytes", "items")

    def __init__(self, max_bytes: int, decode: Callable[[StoredObject], Item | None]) -> None:
        self._bytes = 0
        self._max_bytes = max_bytes
        self._decode = decode
        self._last_names: set[str] = set()
        self.items: dict[str, Item] = {}

    def add(self, page: _Page) -> str | None:
        """Add a page; return the name after which the next one begins, None after the last one.

        Raises:
            Unavailable: The list exceeds its limit, or the pages lead to no end.
        """
        last_name = ""
        for raw in page.items:
            stored = _decode_object(raw)
            if stored is not None:
                last_name = stored.name
                self._keep(stored, len(raw))
        if not page.more:
            return None
        if not last_name or last_name in self._last_names or len(self._last_names) >= _MAX_PAGES:
            raise Unavailable("The store's list can't be continued after one of its pages.")
        self._last_names.add(last_name)
        return last_name

    def _keep(self, stored: StoredObject, length: int) -> None:
        item = self._decode(stored)
        if item is None:
            return
        if length > _MEASURED_ABOVE_BYTES:
            length = len(msgspec.json.encode(item))
        self._bytes += _ITEM_OVERHEAD_BYTES + length
        if self._bytes > self._max_bytes:
            raise Unavailable(f"The items of the store's list take over {self._max_bytes} bytes.")
        self.items[stored.name] = item


class _ReplyWithEra(msgspec.Struct, frozen=True):
    """A reply and the era in it; 0 if there is none."""

    reply: Reply
    era: int


class Store:
    """Reads, watches and writes objects.

    Every method raises `Unavailable` if the store gave no usable answer; a write may still have
    taken effect, or may do so later.

    Args:
        address: The store's address.
        metrics: The process's counters.
        on_restored: Called when an answer shows that the store was restored from an older copy.
        memory_mb: Memory of the process in megabytes, of which a list may take a share.

    Attributes:
        era: The highest era in any answer, 0 if none had one; `UNKNOWN_ERA` before the first
            answer.
    """

    __slots__ = ("_client", "_max_list_bytes", "_metrics", "_on_restored", "era")

    def __init__(
        self,
        address: str,
        metrics: Metrics,
        on_restored: Callable[[], None] = lambda: None,
        memory_mb: float = 0.0,
    ) -> None:
        share = int(memory_mb * _LIST_MEMORY_SHARE * 1024 * 1024)
        self._max_list_bytes = max(_MIN_LIST_BYTES, share)
        self._client = HttpClient(address, _CONNECTIONS, STORE_LIMITS)
        self._metrics = metrics
        self._on_restored = on_restored
        self.era = UNKNOWN_ERA

    async def list(
        self,
        kind: str,
        decode: Callable[[StoredObject], Item | None],
        *,
        allow_stale: bool = False,
    ) -> Listing[Item]:
        """Read all objects of a kind.

        Args:
            kind: The kind.
            decode: Returns the item of an object; None if the object is not needed.
            allow_stale: Whether the result may be seconds old; the call then costs a tenth.

        The pages are read one after the other, so an object may change between two of them; a
        watch from the first page's revision reports such a change again.
        """
        stale = "allowStale=1" if allow_stale else ""
        page, era = await self._get("list", _path(kind, query=stale), _Page)
        revision = Revision(era, page.revision)
        pages = _Pages(self._max_list_bytes, decode)
        while (after := pages.add(page)) is not None:
            query = "&".join(filter(None, (f"after={_quote(after)}", stale)))
            page, era = await self._get("list", _path(kind, query=query), _Page)
            if era != revision.era:
                raise Unavailable("The store was restored from an older copy between two pages.")
        return Listing(pages.items, revision)

    async def watch(self, kind: str, revision: int, wait: float) -> Changes:
        """Wait for changes of a kind after a revision.

        Args:
            kind: The kind.
            revision: Revision after which changes are reported.
            wait: Seconds to wait; the answer is empty if nothing has changed by then.

        Raises:
            HistoryGone: The store no longer has the changes since that revision.
            ChangesTooLarge: They exceed the limit on one answer, as they would each time.
        """
        target = _path(kind, query=f"watch={revision}&waitMs={int(wait * 1000)}")
        found, era = await self._get("watch", target, _Events, _TIMEOUT + _WATCH_SLACK + wait)
        changed = [_decode_parts(event, _Event) for event in found.events]
        decoded = [(_decode_object(event.object), event.deleted) for event in changed]
        changes = [Change(stored, deleted) for stored, deleted in decoded if stored is not None]
        return Changes(changes, Revision(era, found.revision))

    async def check(self, kind: str, name: str, timeout: float) -> None:
        """Read an object in the cheapest way, only to find out whether the store answers.

        The store may answer from stale data, so the call costs a tenth of a normal one.

        Args:
            kind: The object's kind.
            name: The object's name; it need not exist.
            timeout: Seconds after which the store counts as unavailable.
        """
        target = _path(kind, name, "allowStale=1")
        try:
            await self._request("check", b"GET", target, timeout)
        except NotFound:
            return

    async def read(self, kind: str, name: str, timeout: float) -> StoredObject:
        """Read the newest state of an object.

        Args:
            kind: The object's kind.
            name: The object's name.
            timeout: Seconds after which the store counts as unavailable.

        Raises:
            NotFound: No object has this name.
        """
        answer = await self._request("read", b"GET", _path(kind, name), timeout)
        stored = _decode_object(answer.reply.body)
        if stored is None:
            raise Unavailable("Invalid answer from the store: it is no object with a name.")
        return stored

    async def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Create an object.

        Raises:
            Conflict: The object exists already.
        """
        body = {"meta": {"name": name}, "spec": spec}
        return await self._write("create", b"POST", _path(kind), body)

    async def replace(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Replace the `spec` of an object unconditionally.

        Raises:
            NotFound: No object has this name.
        """
        body = {"meta": {"name": name, "finalizers": []}, "spec": spec}
        return await self._write("replace", b"PUT", _path(kind, name), body)

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object.

        Raises:
            NotFound: No object has this name.
        """
        await self._request("delete", b"DELETE", _path(kind, name), _TIMEOUT)

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def _get(
        self, call: str, target: str, kind: type[T], timeout: float = _TIMEOUT
    ) -> tuple[T, int]:
        """Return the decoded answer and its era."""
        answer = await self._request(call, b"GET", target, timeout)
        return _decode(answer.reply, kind), answer.era

    async def _write(self, call: str, method: bytes, target: str, body: Any) -> StoredObject:
        data = msgspec.json.encode(body)
        answer = await self._request(call, method, target, _TIMEOUT, data)
        return _decode(answer.reply, StoredObject)

    async def _request(
        self, call: str, method: bytes, target: str, timeout: float, body: bytes = b""
    ) -> _ReplyWithEra:
        self._metrics.count("platform_calls", call)
        try:
            reply = await self._client.ask(
                method,
                target.encode(),
                timeout=timeout,
                headers=[_JSON] if body else None,
                body=body,
            )
        except OSError as error:
            self._metrics.count("platform_failures", call)
            if isinstance(error, ReplyCutOff):
                report_exceeded(self._metrics, "store", error.limit)
                if call == "watch" and error.limit is ReplyLimit.BODY:
                    limit = STORE_LIMITS.body_bytes
                    raise ChangesTooLarge(f"The changes exceed {limit} bytes.") from None
            raise Unavailable(f"The store did not answer a {call} call ({error!r}).") from None
        era = self._note_era(call, reply)
        _check_status(call, reply)
        return _ReplyWithEra(reply, era)

    def _note_era(self, call: str, reply: Reply) -> int:
        """Record and return the era of an answer; 0 if it has no valid one.

        Raises:
            Unavailable: The answer has an older era than a previous one.
        """
        value = reply.header(_ERA_HEADER)
        if value is None or not value.isdigit() or len(value) > _MAX_ERA_DIGITS:
            if value is not None or self.era > 0:
                events.ERA_UNREADABLE.log(call=call, value=repr(value)[:100], known=self.era)
            self.era = max(self.era, 0)
            return 0
        era = int(value)
        if era < self.era:
            events.ERA_UNREADABLE.log(call=call, value=repr(value), known=self.era)
            raise Unavailable(f"The answer to a {call} call has the outdated era {era}.")
        previous, self.era = self.era, era
        if era > previous > UNKNOWN_ERA:
            events.STORE_RESTORED.log(era=era, was=previous)
            self._on_restored()
        return era


def _check_status(call: str, reply: Reply) -> None:
    if 200 <= reply.status < 300:
        return
    if reply.status == 404:
        raise NotFound("The store has no such object.")
    if reply.status == 409:
        raise Conflict("The object was created or changed by another client.")
    if reply.status == 410:
        raise HistoryGone("The store no longer has the changes since this revision.")
    raise Unavailable(f"The store answered a {call} call with status {reply.status}.")


def _decode(reply: Reply, kind: type[T]) -> T:
    return _decode_parts(reply.body, kind)


def _decode_parts(text: bytes | msgspec.Raw, kind: type[T]) -> T:
    """Decode an answer or an event but not the objects in it.

    One that can't be decoded must not hide the others.

    Raises:
        Unavailable: It is invalid.
    """
    try:
        return decode_parts(text, kind)
    except ValueError as error:
        raise Unavailable(f"Invalid answer from the store: {error}.") from None


def _decode_object(raw: msgspec.Raw | bytes) -> StoredObject | None:
    """Decode an object.

    Returns:
        The object, without a `spec` if only its name can be decoded; None if not even that, or if
        no call could use the name.
    """
    try:
        stored = msgspec.json.decode(raw, type=StoredObject)
        error = None
    except (msgspec.MsgspecError, RecursionError) as caught:
        meta = _decode_meta(raw)
        stored = None if meta is None else StoredObject(meta)
        error = str(caught)
    start = None if stored is None else stored.name[:LOGGED_NAME_CHARACTERS]
    if stored is not None and not 0 < len(stored.name) <= _MAX_NAME_CHARACTERS:
        error = f"The name has {len(stored.name)} characters."
        stored = None
    if error is not None:
        # The content is not logged, since a configuration contains the teams' keys.
        events.OBJECT_UNREADABLE.log(error=error, bytes=len(raw), start=start)
    return stored


def _decode_meta(raw: msgspec.Raw | bytes) -> ObjectMeta | None:
    try:
        return decode_parts(raw, _Named).meta
    except ValueError:
        return None


def _path(kind: str, name: str = "", query: str = "") -> str:
    """Return the target of a call for a kind, or for one object of it."""
    path = f"/objects/{kind}/{_quote(name)}" if name else f"/objects/{kind}"
    return f"{path}?{query}" if query else path


def _quote(name: str) -> str:
    return quote(name, safe="")
