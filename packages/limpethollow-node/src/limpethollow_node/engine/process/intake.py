"""Which requests this instance takes on, and what it learns from how they end."""

from collections import defaultdict
from collections.abc import Sequence

from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.engine.request.outgoing import Outgoing
from limpethollow_node.process import events
from limpethollow_policy.process.shedding import LoadShedder, congestion, is_congested
from limpethollow_policy.process.singles import SingleShedder
from limpethollow_policy.version.routes import RoutingVersion
from limpethollow_wire.exceptions import Overloaded

# Bounds of what a refused caller is told, in seconds: it comes back within a third of the time that
# it has left anyway, and sooner than the shortest there is no room either.
_RETRY_SOON, _RETRY_LATE = 0.05, 1.0


class Admission:
    """One admitted request, until it is known whether load held it up.

    Args:
        dispatch: What the process shares.
        shedder: What admitted it.
        outgoing: The request.
        queue_depth: Calls that waited for each slot of its searchers; None where they don't tell.
    """

    __slots__ = ("_dispatch", "_outgoing", "_queue_depth", "_shedder", "_started", "_told")

    def __init__(
        self,
        dispatch: Dispatch,
        shedder: LoadShedder,
        outgoing: Outgoing,
        queue_depth: float | None,
    ) -> None:
        self._dispatch = dispatch
        self._queue_depth = queue_depth
        self._shedder = shedder
        self._outgoing = outgoing
        self._started = dispatch.loop.time()
        self._told = False

    def _tell_passed(self) -> None:
        """Tell that the request was held up until now, and is no more."""
        seconds = self._dispatch.loop.time() - self._started
        self._tell(congestion(seconds, self._outgoing.answer_by - self._started))

    def _tell(self, congestion: float) -> None:
        """Tell how congested the request was; only the first word counts."""
        if self._told:
            return
        self._told = True
        now, objective = self._dispatch.loop.time(), self._outgoing.route.objective
        if self._shedder.ended(congestion, self._started, now, objective):
            self._log_cut()

    def _teach_target(self, *, late: bool) -> None:
        """Tell whether the answer was there when it was due; only the first word counts."""
        if self._queue_depth is not None:
            self._shedder.target.answered(self._queue_depth, late=late)
            self._queue_depth = None

    def _log_cut(self) -> None:
        route = self._outgoing.route
        self._dispatch.metrics.count("admission_cuts", route.name)
        events.ADMISSION_CUT.log(
            route=route.name,
            shards=len(route.shards),
            requests_a_second=round(self._shedder.rate, 1),
        )


class SearchAdmission(Admission):
    """An admitted search: held up while too many of its shards have not answered."""

    __slots__ = ()

    def came(self, parts: int) -> None:
        """Tell how many shards have answered so far."""
        if not self._told and not self._is_congested(parts):
            self._tell_passed()

    def over(self, parts: int) -> None:
        """Tell how many shards had answered when the answer was due, or nothing more would come."""
        self._teach_target(late=parts < self._outgoing.route.least_parts)
        self._tell(1.0 if self._is_congested(parts) else 0.0)

    def _is_congested(self, parts: int) -> bool:
        shards = len(self._outgoing.route.shards)
        return is_congested(shards - parts, shards)


class SingleAdmission(Admission):
    """An admitted request that one searcher answers: held up until it does."""

    __slots__ = ()

    _shedder: SingleShedder

    def answered(self) -> None:
        """Tell that its answer has come."""
        self._teach_target(late=False)
        now, objective = self._dispatch.loop.time(), self._outgoing.route.objective
        self._shedder.answered(now, now - self._started, objective)
        self._tell_passed()

    def due(self) -> None:
        """Tell that its answer is due."""
        self._teach_target(late=True)
        self._tell(1.0)

    def full(self) -> None:
        """Tell that all searchers that were asked refused it as full."""
        self._told = True
        now, objective = self._dispatch.loop.time(), self._outgoing.route.objective
        if self._shedder.full(now, objective):
            self._log_cut()


class Intake:
    """Admits requests, and adapts to how they end.

    Searches have one rate for each set of shards, single requests one for each service.

    Usage:
        admission = intake.admit_search(outgoing)   # Overloaded where there is no room
        ...
        admission.came(parts)
        admission.over(parts)

    Args:
        dispatch: What the process shares.
    """

    __slots__ = ("_dispatch", "_searches", "_singles")

    def __init__(self, dispatch: Dispatch) -> None:
        self._dispatch = dispatch
        self._searches: defaultdict[tuple[str, ...], LoadShedder] = defaultdict(LoadShedder)
        self._singles: defaultdict[str, SingleShedder] = defaultdict(SingleShedder)

    def use_version(self, version: RoutingVersion) -> None:
        """Forget the searchers that no route names any more."""
        for shards in self._searches.keys() - {route.shards for route in version.routes}:
            del self._searches[shards]
        for service in self._singles.keys() - version.service_names():
            del self._singles[service]

    @property
    def lowest_rate(self) -> float:
        """Return the lowest rate of all, in requests a second; infinite without any bound."""
        shedders = (*self._searches.values(), *self._singles.values())
        return min((shedder.rate for shedder in shedders), default=float("inf"))

    def admit_search(self, outgoing: Outgoing) -> SearchAdmission:
        """Take a search on.

        Args:
            outgoing: The search.

        Raises:
            Overloaded: Its searchers can't answer it in time; it says when there will be room.
        """
        shards = outgoing.route.shards
        shedder = self._searches[shards]
        depth = self._admit(shedder, shards, outgoing)
        return SearchAdmission(self._dispatch, shedder, outgoing, depth)

    def admit_single(self, outgoing: Outgoing, service: str) -> SingleAdmission:
        """Take on a request that one searcher answers.

        Args:
            outgoing: The request.
            service: The service that serves it.

        Raises:
            Overloaded: As for `admit_search`.
        """
        shedder = self._singles[service]
        depth = self._admit(shedder, (service,), outgoing)
        return SingleAdmission(self._dispatch, shedder, outgoing, depth)

    def _admit(
        self, shedder: LoadShedder, services: Sequence[str], outgoing: Outgoing
    ) -> float | None:
        """Admit a request; return the queues that it meets, None where its searchers don't tell."""
        now = self._dispatch.loop.time()
        depth = self._dispatch.fleet.queue_depth(services, shedder.report_age(now), now)
        wait = shedder.wait(now, in_time=outgoing.in_time, queue_depth=depth)
        if wait > 0:
            self._dispatch.metrics.count("requests_shed", outgoing.route.name)
            raise Overloaded(
                "More requests come than the searchers can answer in time.",
                retry_after=min(max(wait, _RETRY_SOON), _RETRY_LATE),
            )
        return depth
