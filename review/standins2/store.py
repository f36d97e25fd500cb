"""Stand-in of the platform's metadata store: objects by kind and name, with watches."""

import asyncio
import copy
import json
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, unquote

from standins2.http import Answer, Connection, Request, Server

_PAGE = 500
_PAGE_BYTES = 1_000_000
_HEADERS = {"Content-Type": "application/json"}


@dataclass(slots=True)
class _State:
    revision: int = 100
    objects: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    history: list[tuple[int, str, dict[str, Any], bool]] = field(default_factory=list)


class Store:
    """Answers at once and loses nothing, unless it is restored from an older copy.

    Attributes:
        era: What `Store-Era` says; no answer has the header if it is 0.
    """

    def __init__(self) -> None:
        self._state = _State()
        self._changed = asyncio.Condition()
        self.server = Server(self._handle)
        self.era = 0
        self.restarts = 0
        self.is_away = False
        self._forgotten = 0
        self._texts: dict[int, tuple[dict[str, Any], str]] = {}

    # What the operator and the searchers do.

    async def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object; its answer is the acknowledgement."""
        async with self._changed:
            known = self._state.objects.get((kind, name))
            if known is not None and known["spec"] == spec:
                return
            self._state.revision += 1
            meta = {
                "name": name,
                "revision": self._state.revision,
                "created": known["meta"]["created"] if known else self._state.revision,
                "finalizers": [],
                "deleting": False,
            }
            self._note(kind, {"meta": meta, "spec": spec, "status": None}, deleted=False)

    async def put_text(self, kind: str, name: str, text: str) -> None:
        """Write an object whose content is text that no JSON library would write."""
        await self.put(kind, name, None)
        async with self._changed:
            stored = self._state.objects[kind, name]
            meta = json.dumps(stored["meta"])
            self._texts[id(stored)] = (
                stored,
                f'{{"meta": {meta}, "spec": {text}, "status": null}}',
            )

    async def remove(self, kind: str, name: str) -> bool:
        """Remove an object; return whether it was there."""
        async with self._changed:
            stored = self._state.objects.get((kind, name))
            if stored is None:
                return False
            self._state.revision += 1
            meta = {**stored["meta"], "revision": self._state.revision}
            self._note(kind, {**stored, "meta": meta}, deleted=True)
            return True

    def get(self, kind: str, name: str) -> Any:
        """Return the content of an object; None if there is none."""
        stored = self._state.objects.get((kind, name))
        return None if stored is None else stored["spec"]

    def copy(self) -> _State:
        """Return a copy of all that the store has."""
        return copy.deepcopy(self._state)

    def go_away(self) -> None:
        """Reset all connections, and each new one at its first call."""
        self.is_away = True
        for connection in tuple(self.server.connections):
            connection.reset()

    async def restore(self, kept: _State) -> None:
        """Go on from a copy, in a new era; watches that wait are cut."""
        async with self._changed:
            self.is_away = False
            self._state = copy.deepcopy(kept)
            self._state.history.clear()
            self._forgotten = self._state.revision
            self.era += 1
            self.restarts += 1
            self._changed.notify_all()
        for connection in tuple(self.server.connections):
            connection.reset()

    def forget(self, before: int) -> None:
        """Discard the history up to a revision."""
        self._state.history = [each for each in self._state.history if each[0] > before]
        self._forgotten = max(self._forgotten, before)

    @property
    def revision(self) -> int:
        """Return the newest revision."""
        return self._state.revision

    def _note(self, kind: str, stored: dict[str, Any], *, deleted: bool) -> None:
        key = (kind, stored["meta"]["name"])
        if deleted:
            self._state.objects.pop(key, None)
        else:
            self._state.objects[key] = stored
        self._state.history.append((self._state.revision, kind, stored, deleted))
        self._changed.notify_all()

    # What machines call.

    async def _handle(self, connection: Connection, request: Request) -> Answer | None:
        if self.is_away:
            connection.reset()
            return None
        path, _, query = request.target.partition("?")
        _, _, kind, *rest = path.split("/")
        name = unquote(rest[0]) if rest else ""
        values = {key: found[0] for key, found in parse_qs(query).items()}
        status, body = await self._answer(request, kind, name, values)
        headers = {**_HEADERS, "Store-Era": str(self.era)} if self.era else _HEADERS
        return Answer(status, headers, body.encode())

    async def _answer(
        self, request: Request, kind: str, name: str, values: dict[str, str]
    ) -> tuple[int, str]:
        objects = self._state.objects
        if request.method == "GET" and name:
            stored = objects.get((kind, name))
            return (200, self._text(stored)) if stored else (404, "null")
        if request.method == "GET" and "watch" in values:
            return await self._watch(kind, int(values["watch"]), int(values["waitMs"]) / 1000)
        if request.method == "GET":
            return 200, self._list(kind, values.get("after", ""))
        if request.method == "DELETE":
            return (200 if await self.remove(kind, name) else 404), "null"
        body = json.loads(request.body)
        name = name or body["meta"]["name"]
        known = objects.get((kind, name))
        if request.method == "POST" and known is not None:
            return 409, self._text(known)
        if request.method == "PUT" and known is None:
            return 404, "null"
        wanted = body["meta"].get("revision")
        if wanted is not None and known is not None and wanted != known["meta"]["revision"]:
            return 409, self._text(known)
        await self.put(kind, name, body.get("spec"))
        return 200, self._text(self._state.objects[kind, name])

    def _text(self, stored: dict[str, Any]) -> str:
        """Return the JSON text of an object, which is made once, so that large ones cost little."""
        found = self._texts.get(id(stored))
        if found is None or found[0] is not stored:
            found = self._texts[id(stored)] = stored, json.dumps(stored)
        return found[1]

    def _list(self, kind: str, after: str) -> str:
        found = sorted(
            (name, stored)
            for (of, name), stored in self._state.objects.items()
            if of == kind and name > after
        )
        items: list[str] = []
        for _, stored in found[:_PAGE]:
            items.append(self._text(stored))
            if sum(map(len, items)) > _PAGE_BYTES:
                break
        more = json.dumps(len(items) < len(found))
        listed = ", ".join(items)
        return f'{{"items": [{listed}], "more": {more}, "currentRev": {self._state.revision}}}'

    async def _watch(self, kind: str, after: int, wait: float) -> tuple[int, str]:
        restarts = self.restarts
        if after > self._state.revision or after < self._forgotten:
            return 410, "null"

        def news() -> list[str]:
            return [
                f'{{"object": {self._text(stored)}, "deleted": {json.dumps(deleted)}}}'
                for revision, of, stored, deleted in self._state.history
                if of == kind and revision > after
            ]

        async with self._changed:
            try:
                async with asyncio.timeout(wait):
                    await self._changed.wait_for(lambda: news() or self.restarts != restarts)
            except TimeoutError:
                pass
            if self.restarts != restarts:
                return 410, "null"
            events = ", ".join(news())
            return 200, f'{{"events": [{events}], "currentRev": {self._state.revision}}}'
