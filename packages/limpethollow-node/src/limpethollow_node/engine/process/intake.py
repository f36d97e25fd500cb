"""Which searches this instance takes on, and what it learns from how they end."""

from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.process import events
from limpethollow_policy.process.shedding import LoadShedder, is_congested
from limpethollow_policy.version.routes import Route, RoutingVersion
from limpethollow_wire.exceptions import Overloaded

# Bounds of what a refused caller is told, in seconds: it comes back within a third of the time that
# it has left anyway, and sooner than the shortest there is no room either.
_RETRY_SOON, _RETRY_LATE = 0.05, 1.0


class Admission:
    """One admitted search, until its answer is due.

    Args:
        intake: Where it was admitted.
        route: Its route.
        started: Monotonic second of its admission.
    """

    __slots__ = ("_intake", "_route", "_started", "_told")

    def __init__(self, intake: "Intake", route: Route, started: float) -> None:
        self._intake = intake
        self._route = route
        self._started = started
        self._told = False

    def due(self, parts: int) -> None:
        """Tell how many shards had answered when the answer was due; only the first call counts."""
        if not self._told:
            self._told = True
            missing = len(self._route.shards) - parts
            self._intake.ended(self._route, self._started, missing)


class Intake:
    """Admits searches, and adapts to how they end, for each set of shards by itself.

    Usage:
        admission = intake.admit(route, in_time=True)   # Overloaded where there is no room
        ...
        admission.due(parts)

    Args:
        dispatch: What the process shares.
    """

    __slots__ = ("_dispatch", "_shedders")

    def __init__(self, dispatch: Dispatch) -> None:
        self._dispatch = dispatch
        self._shedders: dict[tuple[str, ...], LoadShedder] = {}

    def use_version(self, version: RoutingVersion) -> None:
        """Forget the sets of shards that no route names any more."""
        named = {route.shards for route in version.routes}
        self._shedders = {key: kept for key, kept in self._shedders.items() if key in named}

    @property
    def lowest_rate(self) -> float:
        """Return the lowest rate of all sets of shards, in searches a second; inf for no bound."""
        return min((shedder.rate for shedder in self._shedders.values()), default=float("inf"))

    def admit(self, route: Route, *, in_time: bool) -> Admission:
        """Take a search on.

        Args:
            route: Its route.
            in_time: Whether its answer can still come within the objective.

        Raises:
            Overloaded: Its searchers can't answer it in time; it says when there will be room.
        """
        now = self._dispatch.loop.time()
        wait = self._shedder(route).wait(now, in_time=in_time)
        if wait > 0:
            self._dispatch.metrics.count("searches_shed", route.name)
            raise Overloaded(
                "More searches come than the searchers can answer in time.",
                retry_after=min(max(wait, _RETRY_SOON), _RETRY_LATE),
            )
        return Admission(self, route, now)

    def ended(self, route: Route, started: float, missing: int) -> None:
        """Take in how a search stood when its answer was due."""
        congested = is_congested(missing, len(route.shards))
        shedder = self._shedder(route)
        now = self._dispatch.loop.time()
        if shedder.ended(congested, started, now, route.objective):
            self._dispatch.metrics.count("admission_cuts", route.name)
            events.ADMISSION_CUT.log(
                route=route.name, shards=len(route.shards), searches_a_second=round(shedder.rate, 1)
            )

    def _shedder(self, route: Route) -> LoadShedder:
        shedder = self._shedders.get(route.shards)
        if shedder is None:
            shedder = self._shedders[route.shards] = LoadShedder()
        return shedder
