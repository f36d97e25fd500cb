"""Mechanisms that can be switched off, each as edits of the sources."""

from dataclasses import dataclass

_ENGINE = "packages/limpethollow-node/src/limpethollow_node/engine/"
_POLICY = "packages/limpethollow-policy/src/limpethollow_policy/"


@dataclass(slots=True, frozen=True)
class Edit:
    """One replacement in a source file.

    Attributes:
        path: File, relative to the repository.
        old: Text that stands there exactly once.
        new: What replaces it.
    """

    path: str
    old: str
    new: str


@dataclass(slots=True, frozen=True)
class Mechanism:
    """A mechanism and how to switch it off.

    Attributes:
        name: Short name for the command line.
        without: What holds once it is off.
        edits: The replacements that switch it off.
    """

    name: str
    without: str
    edits: tuple[Edit, ...]


_ALL: dict[str, Mechanism] = {}


def _mechanism(name: str, without: str, *edits: Edit) -> None:
    _ALL[name] = Mechanism(name, without, edits)


def names() -> list[str]:
    """Return the names of all mechanisms."""
    return list(_ALL)


def get(name: str) -> Mechanism:
    """Return a mechanism by its name; KeyError where there is none."""
    return _ALL[name]


def _searches(old: str, new: str) -> Edit:
    return Edit(_ENGINE + "request/searches.py", old, new)


def _fleets(old: str, new: str) -> Edit:
    return Edit(_POLICY + "process/fleets.py", old, new)


def _searchers(old: str, new: str) -> Edit:
    return Edit(_POLICY + "process/searchers.py", old, new)


_mechanism(
    "hedges",
    "no second sends to late shards",
    _searches(
        "        late = [tries for tries in self._tries if not tries.done]", "        late = []"
    ),
)
_mechanism(
    "withholding",
    "second sends also where most shards are late",
    _searches("_MAX_HEDGED_FRACTION = 0.5", "_MAX_HEDGED_FRACTION = 1.0"),
)
_mechanism(
    "second-look",
    "withheld second sends are not made later",
    _searches("_RECHECK_FRACTION = 0.25", "_RECHECK_FRACTION = 1000.0"),
)
_mechanism(
    "hedge-reserve",
    "second sends may use up the budget for repeats of failed ones",
    Edit(
        _ENGINE + "request/attempts.py",
        "_HEDGE_RESERVE_FRACTION = 0.25",
        "_HEDGE_RESERVE_FRACTION = 0.0",
    ),
)
_mechanism(
    "cut-losers",
    "calls that nobody waits for go on for a quarter of a second",
    Edit(
        _ENGINE + "process/pools.py",
        "        connection, self._connection = self._connection, None\n",
        "        asyncio.get_running_loop().call_later(0.25, self._close)\n\n"
        "    def _close(self) -> None:\n"
        "        connection, self._connection = self._connection, None\n",
    ),
)
_mechanism(
    "call-windows",
    "any number of calls to a searcher that answers too late",
    _searchers(
        "return max(blocked, window, self.cold_start.wait(now), 0.0)",
        "return max(blocked, self.cold_start.wait(now), 0.0)",
    ),
)
_mechanism(
    "floor-first",
    "searches start although their floor is out of reach",
    _searches(
        "        if len(shards) - chosen.count(None) < self._min_parts:\n",
        "        if chosen.count(None) == len(shards):\n",
    ),
)
_mechanism(
    "admission",
    "every search is admitted",
    Edit(
        _ENGINE + "process/admissioncontrol.py", "        if wait > 0:\n", "        if wait < 0:\n"
    ),
)
_mechanism(
    "sharing",
    "requests of all teams and priorities are admitted alike",
    Edit(
        _ENGINE + "process/admissioncontrol.py",
        "self._claim(outgoing, now) if self._has_teams else None",
        "None",
    ),
)
_mechanism(
    "batches",
    "each call to another failure domain is made directly",
    Edit(_ENGINE + "request/batches.py", "MIN_BATCH_CALLS = 2", "MIN_BATCH_CALLS = 1_000_000"),
)
_mechanism(
    "relays",
    "every instance watches the store",
    Edit(
        _POLICY + "process/topology.py",
        "        if self.is_relay(live):\n            return True\n",
        "        return True\n",
    ),
)
_mechanism(
    "near-news",
    "news go to all linked instances",
    Edit(
        _ENGINE + "process/peers.py",
        "            if not link.source.far:\n                link.send_encoded(data, frame)",
        "            link.send_encoded(data, frame)",
    ),
)
_mechanism(
    "warming",
    "connections are opened when a call needs them",
    Edit(
        _ENGINE + "process/dispatch.py",
        "_MIN_CONNECTIONS_TO_WARM = 2",
        "_MIN_CONNECTIONS_TO_WARM = 1_000_000",
    ),
)
_mechanism(
    "learnt-spent",
    "what a caller has spent before its request is taken to be nothing",
    Edit(
        _ENGINE + "request/outgoing.py",
        "spent = timings.patience.spent(left, connect, route.timeout, way)",
        "spent = 0.0",
    ),
)
_mechanism(
    "steering",
    "callers are told all instances",
    Edit(
        _POLICY + "process/placements.py",
        "    strong = strongest_instances(live)\n    near =",
        "    return sorted(live, key=lambda i: i.name)[:MAX_CALLER_INSTANCES]\n"
        "    strong = strongest_instances(live)\n    near =",
    ),
)
_mechanism(
    "slowness",
    "a searcher's past call times don't count",
    _searchers("self.slowness += _SMOOTHING * (ratio - self.slowness)", "pass"),
    _searchers(
        "self.slowness += _SMOOTHING * (min(ratio, _MAX_SLOWNESS) - self.slowness)",
        "pass",
    ),
)
_mechanism(
    "failures",
    "a searcher's past failures don't count",
    _searchers("_FAILURE_COST_WEIGHT = 8.0", "_FAILURE_COST_WEIGHT = 0.0"),
)
_mechanism(
    "stuck",
    "a call that is under way for long doesn't count",
    _searchers("_STUCK_COST_FACTOR = 4.0", "_STUCK_COST_FACTOR = 1.0"),
)
_mechanism(
    "own-domain",
    "searchers of other failure domains count like near ones",
    _searchers("OTHER_DOMAIN_FACTOR = 1.35", "OTHER_DOMAIN_FACTOR = 1.0"),
)
_mechanism(
    "unlisted",
    "searchers whose entry is gone count like the others",
    _searchers("_UNLISTED_COST_FACTOR = 6.0", "_UNLISTED_COST_FACTOR = 1.0"),
)
_mechanism(
    "isolation",
    "an instance that is cut off keeps its requests",
    Edit(
        _POLICY + "process/isolation.py",
        "        became = stalled and not self.is_isolated",
        "        stalled = False\n        became = stalled and not self.is_isolated",
    ),
)
_mechanism(
    "fresh-connections",
    "a booking goes on any kept connection",
    Edit(
        _ENGINE + "request/sends.py",
        "if self._owner.outgoing.route.idempotent else ConnectionAge.RECENT",
        "",
    ),
)
_mechanism(
    "cold-pace",
    "calls to cold searchers keep no interval",
    _fleets(
        "limits.interval = self._sharers / rate if rate > 0 else 0.0",
        "limits.interval = 0.0",
    ),
)
_mechanism(
    "cold-slowness",
    "a cold searcher counts like a warm one until its calls show more",
    _searchers("_COLD_SLOWNESS = 1.5", "_COLD_SLOWNESS = 1.0"),
)
_mechanism(
    "reported-queues",
    "what searchers say of their queues doesn't count",
    _fleets(
        "        since = now - max_age\n        depths = []",
        "        return None\n        depths = []",
    ),
)
_mechanism(
    "news-at-start",
    "an instance that starts reads all from the store itself",
    Edit(_ENGINE + "process/followers.py", "RESTART_SECONDS = 0.4", "RESTART_SECONDS = 0.0"),
)
_mechanism(
    "clean-looks",
    "a rate that was cut too deep grows at the same pace throughout",
    Edit(_POLICY + "process/shedding.py", "growth * 2**doublings", "growth"),
)
_mechanism(
    "quick-answers",
    "each refusal of a searcher counts as a sign of load",
    Edit(_POLICY + "process/singleshedding.py", "_QUEUED_SHARE = 0.5", "_QUEUED_SHARE = 0.0"),
)
