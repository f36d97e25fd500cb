"""Stand-in for the platform: object API with versions, conditional writes and watches.

The list of instances lags by `list_lag` seconds. `POST /control` makes it `down`, slow (`delay`
seconds a call), or lose the replies of the next `lose_replies` writes after they took effect, or
send `garble_replies` of them so that nobody can read them. `POST /control/restore` goes back to
what `POST /control/copy` kept, in a new era in which versions are given out again. Stats give the
calls by kind and the writes that took effect by object.
"""

import copy
import sys
import threading
import time
from collections import Counter
from dataclasses import dataclass
from typing import Any

from tests.standins.https import DropConnection, Reply, StandInServer


@dataclass(slots=True, frozen=True)
class PlatformCopy:
    """All that the platform held at one revision."""

    revision: int
    objects: dict[tuple[str, str], dict[str, Any]]
    shown: list[dict[str, Any]]
    searchers: list[dict[str, Any]]
    list_revision: int


class PlatformStandIn(StandInServer):
    """Keeps everything in memory."""

    def __init__(self, port: int = 0) -> None:
        super().__init__(port)
        self.changed = threading.Condition()
        self.era = 0
        self.kept: PlatformCopy | None = None
        self.revision = 0
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.instances: list[dict[str, Any]] = []
        self.searchers: list[dict[str, Any]] = []
        self.shown: list[dict[str, Any]] = []
        self.list_revision = 0
        self.list_lag = 0.0
        self.down = False
        self.delay = 0.0
        self.lose_replies = 0
        self.garble_replies = 0
        self.writes: Counter[str] = Counter()
        self.calls: Counter[str] = Counter()
        self.handlers = {
            ("GET", "objects"): self.read,
            ("PUT", "objects"): self.write,
            ("GET", "watch"): self.watch,
            ("GET", "instances"): self.list_instances,
            ("POST", "control"): self.control,
            ("POST", "control/instances"): self.set_instances,
            ("POST", "control/copy"): self.copy,
            ("POST", "control/restore"): self.restore,
            ("GET", "control/stats"): self.stats,
        }

    def read(self, body: dict[str, Any], names: dict[str, str]) -> Reply:
        kind, _, name = names["rest"].partition("/")
        self.meet("read" if name else "list")
        with self.changed:
            if name:
                stored = self.objects.get((kind, name))
                return (200, stored) if stored else (404, {"code": "no_such_object"})
            found = [o for (k, _), o in self.objects.items() if k == kind]
            return 200, {"era": self.era, "revision": self.revision, "objects": found}

    def write(self, body: dict[str, Any], names: dict[str, str]) -> Reply:
        kind, _, name = names["rest"].partition("/")
        self.meet("write")
        with self.changed:
            stored = self.objects.get((kind, name))
            version = stored["version"] if stored else 0
            era = stored["era"] if stored else 0
            wanted = body.get("if_version")
            if wanted is not None and (body.get("if_era", era), wanted) != (era, version):
                return 409, {"code": "conflict", "era": era, "version": version}
            self.revision += 1
            stored = {
                "kind": kind,
                "name": name,
                "era": self.era,
                "version": self.revision,
                "value": body["value"],
            }
            self.objects[kind, name] = stored
            self.writes[f"{kind}/{name}"] += 1
            self.changed.notify_all()
            if self.lose_replies > 0:
                self.lose_replies -= 1
                raise DropConnection
            if self.garble_replies > 0:
                self.garble_replies -= 1
                return 200, {"kind": 7}
        return 200, stored

    def watch(self, body: dict[str, Any], names: dict[str, str]) -> Reply:
        self.meet("watch")
        after = (int(names.get("era", 0)), int(names["after"]))
        kind = names["rest"]

        def newer() -> list[dict[str, Any]]:
            of_kind = [o for (k, _), o in self.objects.items() if k == kind]
            return [o for o in of_kind if (o["era"], o["version"]) > after]

        def is_over() -> bool:
            return bool(newer()) or self.down or self.era != after[0]

        with self.changed:
            self.changed.wait_for(is_over, float(names["timeout"]))
            if self.down:
                raise DropConnection
            return 200, {"era": self.era, "revision": self.revision, "objects": newer()}

    def list_instances(self, body: dict[str, Any], names: dict[str, str]) -> Reply:
        self.meet("instances")
        after = (int(names.get("era", 0)), int(names["after"]))
        with self.changed:
            self.changed.wait_for(
                lambda: (self.era, self.list_revision) > after or self.down,
                float(names["timeout"]),
            )
            if self.down:
                raise DropConnection
            return 200, {
                "era": self.era,
                "revision": self.list_revision,
                "instances": self.shown,
                "searchers": self.searchers,
            }

    def meet(self, call: str) -> None:
        """Count a call and act out the faults that are set."""
        with self.lock:
            self.calls[call] += 1
        if self.down:
            raise DropConnection
        if self.delay:
            time.sleep(self.delay)

    def control(self, body: dict[str, Any], names: dict[str, str]) -> Reply:
        with self.changed:
            for field, value in body.items():
                setattr(self, field, value)
            self.changed.notify_all()
        return 200, {}

    def copy(self, body: dict[str, Any], names: dict[str, str]) -> Reply:
        """Keep a copy of all that is held now."""
        with self.changed:
            objects = copy.deepcopy(self.objects)
            self.kept = PlatformCopy(
                self.revision, objects, self.shown, self.searchers, self.list_revision
            )
        return 200, {}

    def restore(self, body: dict[str, Any], names: dict[str, str]) -> Reply:
        """Go on from the copy, in a new era."""
        with self.changed:
            kept = self.kept
            self.objects = copy.deepcopy(kept.objects)
            self.revision, self.list_revision = kept.revision, kept.list_revision
            self.shown, self.searchers = kept.shown, kept.searchers
            self.era += 1
            self.changed.notify_all()
        return 200, {}

    def set_instances(self, body: dict[str, Any], names: dict[str, str]) -> Reply:
        """Replace the list; callers see it `list_lag` seconds later."""
        instances = body["instances"]
        if self.list_lag:
            threading.Timer(self.list_lag, self.show, [instances]).start()
        else:
            self.show(instances)
        return 200, {}

    def show(self, instances: list[dict[str, Any]]) -> None:
        with self.changed:
            self.shown = instances
            self.list_revision += 1
            self.changed.notify_all()

    def stats(self, body: dict[str, Any], names: dict[str, str]) -> Reply:
        with self.lock:
            calls = {"calls": dict(self.calls), "total": sum(self.calls.values())}
        with self.changed:
            return 200, {**calls, "writes": dict(self.writes)}


if __name__ == "__main__":
    PlatformStandIn(int(sys.argv[1]) if len(sys.argv) > 1 else 0).run()
