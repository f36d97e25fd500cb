"""Stand-in for the users' metadata store: objects by kind and name, watches, conditional writes.

Tests set the fields below to act out its faults: `silent` takes calls and never answers them, also
watches that were waiting; `refuses` answers 503; `loses_replies` carries writes out and closes the
connection; `forget_history` makes older watches fail with 410; `restore` goes back to what `copy`
kept, with its revisions, which are given out again, and cuts the watches that wait unless
`cuts_watches` is off. With an `era` of None no answer tells one.
"""

import copy
import json
import threading
import time
from collections import Counter
from dataclasses import dataclass
from typing import Any

from tests.standins.https import DropConnection, Reply, StandInServer

PAGE = 50
PAGE_BYTES = 1_000_000
FIRST_REVISION = 100


@dataclass(slots=True, frozen=True)
class StoreCopy:
    """All that the store held at one revision."""

    revision: int
    oldest: int
    objects: dict[tuple[str, str], dict[str, Any]]
    history: list[tuple[int, str, dict[str, Any], bool]]


class ObjectStoreStandIn(StandInServer):
    """Keeps everything in memory and serves on a thread of the test."""

    def __init__(self, port: int = 0) -> None:
        super().__init__(port)
        self.changed = threading.Condition()
        self.revision = FIRST_REVISION
        self.oldest = FIRST_REVISION
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.raw: dict[bytes, bytes] = {}
        self.calls: Counter[str] = Counter()
        self.watching: Counter[str] = Counter()
        self.era: int | None = 1
        self.cuts_watches = True
        self.silent = False
        self.refuses = False
        self.loses_replies = False
        self.delay = 0.0
        self.handlers = {
            ("GET", "objects"): self.read,
            ("POST", "objects"): self.create,
            ("PUT", "objects"): self.replace,
            ("DELETE", "objects"): self.delete,
        }

    def __exit__(self, *_: object) -> None:
        self.silent = False
        super().__exit__()

    # What tests do as operator or as searchers.

    def put_raw(self, kind: str, name: str, spec: bytes) -> None:
        """Write an object whose content no JSON library would write."""
        mark = f"raw {len(self.raw)}"
        self.raw[json.dumps(mark).encode()] = spec
        self.put(kind, name, mark)

    def encode(self, body: Any) -> bytes:
        """Return the bytes of a reply's body, with what `put_raw` wrote."""
        data = super().encode(body)
        for mark, spec in self.raw.items():
            data = data.replace(mark, spec)
        return data

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object as somebody else does."""
        with self.changed:
            known = self.objects.get((kind, name))
            self.revision += 1
            meta = {
                "name": name,
                "revision": self.revision,
                "created": known["meta"]["created"] if known else self.revision,
                "finalizers": [],
                "deleting": False,
            }
            self._note(kind, {"meta": meta, "spec": spec, "status": None}, deleted=False)

    def take_away(self, kind: str, name: str) -> None:
        """Remove an object as somebody else does."""
        with self.changed:
            stored = self.objects[kind, name]
            self.revision += 1
            stored = {**stored, "meta": {**stored["meta"], "revision": self.revision}}
            self._note(kind, stored, deleted=True)

    def names(self, kind: str) -> set[str]:
        with self.changed:
            return {name for found, name in self.objects if found == kind}

    def waiting(self) -> dict[str, int]:
        """Return how many watches wait now, by kind."""
        with self.changed:
            return dict(self.watching)

    def forget_history(self) -> None:
        """Drop all changes up to now, and cut waiting watches."""
        with self.changed:
            self.oldest = self.revision + 1
            self.history.clear()
            self.changed.notify_all()

    def copy(self) -> StoreCopy:
        """Return a copy of all that it holds now."""
        with self.changed:
            objects = copy.deepcopy(self.objects)
            return StoreCopy(self.revision, self.oldest, objects, list(self.history))

    def restore(self, kept: StoreCopy) -> None:
        """Go on from a copy, in a new era."""
        with self.changed:
            self.objects = copy.deepcopy(kept.objects)
            self.history = list(kept.history)
            self.revision, self.oldest = kept.revision, kept.oldest
            self.era = 1 if self.era is None else self.era + 1
            self.changed.notify_all()

    def headers_of_all(self) -> dict[str, str]:
        """Return the header with the era."""
        return {} if self.era is None else {"Store-Era": str(self.era)}

    def go_silent(self) -> None:
        """Answer nothing more; calls that wait now are never answered, also not later."""
        with self.changed:
            self.silent = True
            self.changed.notify_all()

    def come_back(self) -> None:
        with self.changed:
            self.silent = False

    # What callers ask for.

    def read(self, body: dict[str, Any], names: dict[str, str]) -> Reply:
        kind, _, name = names["rest"].partition("/")
        call = "watch" if "watch" in names else "check" if "allowStale" in names else "read"
        self.meet(call)
        if name:
            with self.changed:
                stored = self.objects.get((kind, name))
            return (200, stored) if stored else (404, None)
        if "watch" in names:
            return self.watch(kind, int(names["watch"]), int(names["waitMs"]) / 1000)
        return self.list(kind, names.get("after", ""))

    def list(self, kind: str, after: str) -> Reply:
        with self.changed:
            found = sorted(
                (name, stored)
                for (of, name), stored in self.objects.items()
                if of == kind and name > after
            )
            items: list[dict[str, Any]] = []
            size = 0
            for _, stored in found[:PAGE]:
                items.append(stored)
                size += len(self.encode(stored))
                if size > PAGE_BYTES:
                    break
            more = len(items) < len(found)
            return 200, {"items": items, "more": more, "currentRev": self.revision}

    def watch(self, kind: str, after: int, wait: float) -> Reply:
        def news() -> list[dict[str, Any]]:
            return [
                {"object": stored, "deleted": deleted}
                for revision, of, stored, deleted in self.history
                if of == kind and revision > after
            ]

        with self.changed:
            era = self.era

            def is_gone() -> bool:
                return after + 1 < self.oldest or after > self.revision

            def is_cut() -> bool:
                return self.cuts_watches and (is_gone() or self.era != era)

            if is_gone():
                return 410, None
            self.watching[kind] += 1
            self.changed.wait_for(lambda: news() or self.silent or is_cut(), timeout=wait)
            self.watching[kind] -= 1
            silent, found = self.silent, news()
            if is_cut():
                raise DropConnection
            answer = {"events": found, "currentRev": self.revision}
        if silent:
            self._never()
        return 200, answer

    def create(self, body: dict[str, Any], names: dict[str, str]) -> Reply:
        self.meet("create")
        kind, name = names["rest"], body["meta"]["name"]
        with self.changed:
            known = self.objects.get((kind, name))
        if known:
            return 409, known
        self.put(kind, name, body.get("spec"))
        return self._written(kind, name)

    def replace(self, body: dict[str, Any], names: dict[str, str]) -> Reply:
        self.meet("replace")
        kind, _, name = names["rest"].partition("/")
        with self.changed:
            known = self.objects.get((kind, name))
        if known is None:
            return 404, None
        wanted = body["meta"].get("revision")
        if wanted is not None and wanted != known["meta"]["revision"]:
            return 409, known
        if known["spec"] != body.get("spec"):
            self.put(kind, name, body.get("spec"))
        return self._written(kind, name)

    def delete(self, body: dict[str, Any], names: dict[str, str]) -> Reply:
        self.meet("delete")
        kind, _, name = names["rest"].partition("/")
        if (kind, name) not in self.objects:
            return 404, None
        self.take_away(kind, name)
        return 200, None

    def meet(self, call: str) -> None:
        """Count a call and act out the faults that are set."""
        with self.lock:
            self.calls[call] += 1
        time.sleep(self.delay)
        if self.silent:
            self._never()
        if self.refuses:
            raise DropConnection

    def _written(self, kind: str, name: str) -> Reply:
        if self.loses_replies:
            raise DropConnection
        return 200, self.objects[kind, name]

    def _note(self, kind: str, stored: dict[str, Any], *, deleted: bool) -> None:
        key = (kind, stored["meta"]["name"])
        if deleted:
            self.objects.pop(key, None)
        else:
            self.objects[key] = stored
        self.history.append((self.revision, kind, stored, deleted))
        self.changed.notify_all()

    def _never(self) -> None:
        """Leave a call without an answer on a connection that stays open."""
        threading.Event().wait(60.0)
        raise DropConnection
