"""Admission control: admits or rejects requests, and adapts to how the admitted ones end."""

from collections import Counter, defaultdict
from collections.abc import Sequence, Set

from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.engine.request.outgoing import Outgoing
from limpethollow_node.process import events
from limpethollow_policy.process.sharing import Claim, WorkEstimate
from limpethollow_policy.process.shedding import LoadShedder, congestion, is_congested
from limpethollow_policy.process.singleshedding import SingleShedder
from limpethollow_policy.version.routes import RoutingVersion
from limpethollow_wire.exceptions import Overloaded

# Bounds of the retry delay sent to a rejected caller, in seconds: it retries within a third of its
# remaining time anyway, and before the minimum there is no capacity either.
_MIN_RETRY_SECONDS, _MAX_RETRY_SECONDS = 0.05, 1.0


# Label of the requests without a team.
NO_TEAM = "-"
# Seconds between two log lines on refused requests of one team.
_REFUSAL_LOG_SECONDS = 10.0


class TeamRefusalLog:
    """Logs which teams' requests are refused, at most one line per team and interval."""

    __slots__ = ("_logged_at", "_refused")

    def __init__(self) -> None:
        self._logged_at: dict[str | None, float] = {}
        self._refused: Counter[str | None] = Counter()

    def keep(self, teams: Set[str]) -> None:
        """Forget the teams that no longer exist."""
        for team in self._logged_at.keys() - teams - {None}:
            del self._logged_at[team]
            del self._refused[team]

    def refused(self, claim: Claim, fair_share: float, outgoing: Outgoing, now: float) -> None:
        """Record a refused request.

        Args:
            claim: The request's team and work.
            fair_share: Share of its team's requests that is admitted, from 0 to 1.
            outgoing: The request.
            now: Current monotonic time in seconds.
        """
        team = claim.team
        self._refused[team] += 1
        if now - self._logged_at.get(team, float("-inf")) < _REFUSAL_LOG_SECONDS:
            return
        self._logged_at[team] = now
        event = events.TEAM_ABOVE_SHARE if fair_share < 1.0 else events.TEAM_WITHIN_SHARE_REFUSED
        event.log(
            team=team or NO_TEAM,
            route=outgoing.route.name,
            priority=outgoing.permit.priority,
            admitted_share=round(fair_share, 3),
            refused=self._refused.pop(team),
        )


class Admission:
    """One admitted request, until it is known whether load delayed it.

    Args:
        dispatch: State shared by all requests of the process.
        shedder: The load shedder that admitted the request.
        outgoing: The request.
        queue_depth: Queued calls per slot of its searchers; None if they don't report it.
    """

    __slots__ = ("_dispatch", "_outgoing", "_queue_depth", "_shedder", "_started", "_reported")

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
        self._reported = False

    def _report_delay(self) -> None:
        """Report that the request was delayed until now, and no longer is."""
        seconds = self._dispatch.loop.time() - self._started
        self._report_congestion(congestion(seconds, self._outgoing.reply_by - self._started))

    def _report_congestion(self, congestion: float) -> None:
        """Report how congested the request was; only the first report counts."""
        if self._reported:
            return
        self._reported = True
        now, objective = self._dispatch.loop.time(), self._outgoing.route.objective
        if self._shedder.ended(congestion, self._started, now, objective):
            self._log_rate_cut()

    def _report_lateness(self, *, late: bool) -> None:
        """Report whether the response missed its due time; only the first report counts."""
        if self._queue_depth is not None:
            self._shedder.target.answered(self._queue_depth, late=late)
            self._queue_depth = None

    def _log_rate_cut(self) -> None:
        route = self._outgoing.route
        self._dispatch.metrics.count("admission_cuts", route.name)
        events.ADMISSION_RATE_REDUCED.log(
            route=route.name,
            shards=len(route.shards),
            requests_a_second=round(self._shedder.rate, 1),
        )


class SearchAdmission(Admission):
    """An admitted search: delayed while too many of its shards have not responded."""

    __slots__ = ()

    def came(self, parts: int) -> None:
        """Report how many shards have responded so far."""
        if not self._reported and not self._is_congested(parts):
            self._report_delay()

    def over(self, parts: int) -> None:
        """Report how many shards had responded when the search was due or complete."""
        self._report_lateness(late=parts < self._outgoing.route.min_parts)
        self._report_congestion(1.0 if self._is_congested(parts) else 0.0)

    def _is_congested(self, parts: int) -> bool:
        shards = len(self._outgoing.route.shards)
        return is_congested(shards - parts, shards)


class SingleAdmission(Admission):
    """An admitted request to a single searcher: delayed until it responds."""

    __slots__ = ()

    _shedder: SingleShedder

    def answered(self) -> None:
        """Report that the response arrived."""
        self._report_lateness(late=False)
        now, objective = self._dispatch.loop.time(), self._outgoing.route.objective
        self._shedder.answered(now, now - self._started, objective)
        self._report_delay()

    def due(self) -> None:
        """Report that the response is due and has not arrived."""
        self._report_lateness(late=True)
        self._report_congestion(1.0)

    def full(self) -> None:
        """Report that all searchers that were tried rejected the request as full."""
        self._reported = True
        now, objective = self._dispatch.loop.time(), self._outgoing.route.objective
        if self._shedder.full(now, objective):
            self._log_rate_cut()


class AdmissionControl:
    """Admits requests, and adapts the admission rates to how they end.

    There is one rate per set of shards for searches, and one per service for single requests. Where
    the version in force has teams, they share each rate fairly.

    Usage:
        admission = intake.admit_search(outgoing)   # raises Overloaded without capacity
        ...
        admission.came(parts)
        admission.over(parts)

    Args:
        dispatch: State shared by all requests of the process.
    """

    __slots__ = ("_dispatch", "_has_teams", "_refusal_log", "_searches", "_singles", "_works")

    def __init__(self, dispatch: Dispatch) -> None:
        self._dispatch = dispatch
        self._has_teams = False
        self._refusal_log = TeamRefusalLog()
        self._works: defaultdict[str, WorkEstimate] = defaultdict(WorkEstimate)
        self._searches: defaultdict[tuple[str, ...], LoadShedder] = defaultdict(LoadShedder)
        self._singles: defaultdict[str, SingleShedder] = defaultdict(SingleShedder)

    def use_version(self, version: RoutingVersion) -> None:
        """Remove the shedders of shards and services that no route uses any more."""
        self._has_teams = bool(version.tenants)
        self._refusal_log.keep({tenant.name for tenant in version.tenants})
        for shards in self._searches.keys() - {route.shards for route in version.routes}:
            del self._searches[shards]
        for service in self._singles.keys() - version.service_names():
            del self._singles[service]
        for name in self._works.keys() - {route.name for route in version.routes}:
            del self._works[name]

    @property
    def lowest_rate(self) -> float:
        """Return the lowest admission rate, in requests per second; infinite without any limit."""
        shedders = (*self._searches.values(), *self._singles.values())
        return min((shedder.rate for shedder in shedders), default=float("inf"))

    def admit_search(self, outgoing: Outgoing) -> SearchAdmission:
        """Admit a search.

        Args:
            outgoing: The search.

        Raises:
            Overloaded: Its searchers can't answer in time; the error says when to retry.
        """
        shards = outgoing.route.shards
        shedder = self._searches[shards]
        depth = self._admit(shedder, shards, outgoing)
        return SearchAdmission(self._dispatch, shedder, outgoing, depth)

    def admit_single(self, outgoing: Outgoing, service: str) -> SingleAdmission:
        """Admit a request to a single searcher.

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
        """Admit a request; return the searchers' queue depth, None if they don't report it."""
        now = self._dispatch.loop.time()
        depth = self._dispatch.fleet.queue_depth(
            services, shedder.report_age(now), now, outgoing.domains
        )
        claim = self._claim(outgoing, now) if self._has_teams else None
        wait = shedder.wait(now, in_time=outgoing.in_time, queue_depth=depth, claim=claim)
        if wait > 0:
            self._dispatch.metrics.count("requests_shed", outgoing.route.name)
            if claim is not None:
                self._dispatch.metrics.count("team_requests_shed", claim.team or NO_TEAM)
                self._refusal_log.refused(claim, shedder.fair_share(claim), outgoing, now)
            raise Overloaded(
                "The request rate exceeds what the searchers can answer in time.",
                retry_after=min(max(wait, _MIN_RETRY_SECONDS), _MAX_RETRY_SECONDS),
            )
        return depth

    def _claim(self, outgoing: Outgoing, now: float) -> Claim:
        """Return the claim of a request; the team's priority goes before the route's."""
        route, permit = outgoing.route, outgoing.permit
        seconds = self._works[route.name].seconds(outgoing.timings.usual, now)
        rank = permit.priority, route.priority
        return Claim(permit.tenant_name, rank, max(1, len(route.shards)) * seconds)
