"""Which searches this instance takes on, and what it learns from how they end."""

from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.engine.request.outgoing import Outgoing
from limpethollow_node.process import events
from limpethollow_policy.process.shedding import LoadShedder, congestion, is_congested
from limpethollow_policy.version.routes import Route, RoutingVersion
from limpethollow_wire.exceptions import Overloaded

# Bounds of what a refused caller is told, in seconds: it comes back within a third of the time that
# it has left anyway, and sooner than the shortest there is no room either.
_RETRY_SOON, _RETRY_LATE = 0.05, 1.0


class Admission:
    """One admitted search, until it is known whether load held it up.

    Args:
        intake: Where it was admitted.
        route: Its route.
        started: Monotonic second of its admission.
        due: Monotonic second at which its answer is due.
    """

    __slots__ = ("_due", "_intake", "_route", "_started", "_told")

    def __init__(self, intake: "Intake", route: Route, started: float, due: float) -> None:
        self._intake = intake
        self._route = route
        self._started = started
        self._due = due
        self._told = False

    def came(self, parts: int) -> None:
        """Tell how many shards have answered so far."""
        if self._told or self._is_congested(parts):
            return
        seconds = self._intake.now() - self._started
        self._tell(congestion(seconds, self._due - self._started))

    def over(self, parts: int) -> None:
        """Tell how many shards had answered when the answer was due, or nothing more would come."""
        if not self._told:
            self._tell(1.0 if self._is_congested(parts) else 0.0)

    def _is_congested(self, parts: int) -> bool:
        shards = len(self._route.shards)
        return is_congested(shards - parts, shards)

    def _tell(self, congestion: float) -> None:
        self._told = True
        self._intake.ended(self._route, self._started, congestion)


class Intake:
    """Admits searches, and adapts to how they end, for each set of shards by itself.

    Usage:
        admission = intake.admit(outgoing)   # Overloaded where there is no room
        ...
        admission.came(parts)
        admission.over(parts)

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

    def now(self) -> float:
        """Return the monotonic second by which searches are timed."""
        return self._dispatch.loop.time()

    def admit(self, outgoing: Outgoing) -> Admission:
        """Take a search on.

        Args:
            outgoing: The search.

        Raises:
            Overloaded: Its searchers can't answer it in time; it says when there will be room.
        """
        now, route = self.now(), outgoing.route
        wait = self._shedder(route).wait(now, in_time=outgoing.in_time)
        if wait > 0:
            self._dispatch.metrics.count("searches_shed", route.name)
            raise Overloaded(
                "More searches come than the searchers can answer in time.",
                retry_after=min(max(wait, _RETRY_SOON), _RETRY_LATE),
            )
        return Admission(self, route, now, outgoing.answer_by)

    def ended(self, route: Route, started: float, congestion: float) -> None:
        """Take in how congested a search was, as `LoadShedder.ended` does."""
        shedder = self._shedder(route)
        if shedder.ended(congestion, started, self.now(), route.objective):
            self._dispatch.metrics.count("admission_cuts", route.name)
            events.ADMISSION_CUT.log(
                route=route.name, shards=len(route.shards), searches_a_second=round(shedder.rate, 1)
            )

    def _shedder(self, route: Route) -> LoadShedder:
        shedder = self._shedders.get(route.shards)
        if shedder is None:
            shedder = self._shedders[route.shards] = LoadShedder()
        return shedder
