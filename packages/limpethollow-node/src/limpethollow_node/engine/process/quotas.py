"""Applies the teams' quotas to callers' requests."""

import time
from collections import deque
from collections.abc import Callable, Collection
from typing import Protocol

from limpethollow_node.engine.connection.peerlinks import PeerLink
from limpethollow_node.engine.frames import Frame, QuotaAsk, QuotaGrant
from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.engine.process.roster import Roster
from limpethollow_node.process import events
from limpethollow_policy.process.placements import Instance
from limpethollow_policy.process.quotaholders import LOAN_SECONDS, HolderRole
from limpethollow_policy.process.quotas import PENDING_SECONDS, Loan, QuotaBounds, Quotas
from limpethollow_policy.process.topology import holders_among
from limpethollow_policy.request.permits import Permit
from limpethollow_policy.version.routes import Route, RoutingVersion
from limpethollow_policy.version.tenants import Tenant
from limpethollow_wire.exceptions import LimpethollowError, QuotaExceeded, QuotaUnknown

# Bounds of the time for which a request waits for a holder's answer: seconds, and a fraction of the
# route's objective.
_MAX_WAIT_SECONDS, _MAX_WAIT_FRACTION = 0.1, 0.25
# `Retry-After` in seconds if no holder answered; another instance may reach one at once.
_RETRY_UNKNOWN = 0.1
_LOOK_SECONDS = 0.25
# At most one line per team and kind of refusal is logged in this time, in seconds.
_LOG_SECONDS = 10.0
# An entry of the list that is younger than a window, a loan and this many seconds may be unknown to
# a holder: changes reach all instances within 3 s.
_NEWS_SECONDS = 3.0

OnRefused = Callable[[LimpethollowError], None]


class Links(Protocol):
    """The operations on links to other instances that quotas need.

    Attributes:
        links_to_holders: Whether leading instances link to all holders.
        on_quota_frame: Called with the link and each frame about quotas.
        on_holder_lost: Called with the name of each instance to which the link was closed.
    """

    links_to_holders: bool
    on_quota_frame: Callable[[PeerLink, QuotaAsk | QuotaGrant], None]
    on_holder_lost: Callable[[str], None]

    def send_to(self, name: str, frame: Frame, now: float) -> bool:
        """Send a frame to an instance; return whether it is linked."""

    def without_newer_instances(self, now: float) -> Collection[str]:
        """Return the heard instances that know no later list of instances than this one."""

    def with_own_instances(self, now: float) -> Collection[str]:
        """Return the heard instances that have applied the last change of this one's list."""

    def hears_store_list(self, now: float) -> bool:
        """Return whether this instance's list is known to be the store's."""


def boot_time() -> float:
    """Return the seconds since boot, including the time in which the machine was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class _Waiter:
    """A request that waits for a token."""

    __slots__ = ("on_granted", "on_refused", "permit", "timer")

    def __init__(
        self, permit: Permit, on_granted: Callable[[], None], on_refused: OnRefused
    ) -> None:
        self.permit = permit
        self.on_granted = on_granted
        self.on_refused = on_refused
        self.timer = None


class QuotaControl:
    """Takes one request of its team's quota for each request.

    Until `join`, and for teams without a limit, every request is granted.

    Args:
        dispatch: State shared by all requests of the process.
        clock: Returns the seconds of CLOCK_BOOTTIME.
    """

    __slots__ = (
        "_clock",
        "_dispatch",
        "_is_list_changed",
        "_links",
        "_listed",
        "_log_after",
        "_look_at",
        "_polls",
        "_queues",
        "_quotas",
        "_refused_since_log",
        "_refused_until",
        "_role",
        "_roster",
        "_bounds",
        "_tenants",
    )

    def __init__(self, dispatch: Dispatch, clock: Callable[[], float] = boot_time) -> None:
        self._dispatch = dispatch
        self._clock = clock
        self._roster: Roster | None = None
        self._links: Links | None = None
        self._listed: Callable[[], Collection[Instance]] = tuple
        self._role: HolderRole | None = None
        self._quotas: Quotas | None = None
        self._bounds = QuotaBounds()
        self._tenants: tuple[Tenant, ...] = ()
        self._is_list_changed = True
        self._look_at = float("-inf")
        self._queues: dict[str, deque[_Waiter]] = {}
        self._polls: dict[str, object] = {}
        self._refused_until: dict[str, float] = {}
        self._log_after: dict[tuple[str, str], float] = {}
        self._refused_since_log: dict[tuple[str, str], int] = {}

    @property
    def part(self) -> float:
        """Return the part of each quota that the buckets here hold."""
        return 0.0 if self._quotas is None else self._quotas.part

    def join(
        self,
        roster: Roster,
        links: Links,
        listed: Callable[[], Collection[Instance]],
        bounds: QuotaBounds,
        *,
        first_start: bool,
    ) -> None:
        """Start to share the quotas with the other instances.

        Args:
            roster: The known instances.
            links: The links to them.
            listed: Returns the entries of the store's list, with this instance's one.
            bounds: How many requests of a team may run.
            first_start: Whether the whole system starts for the first time.
        """
        own = roster.own
        self._roster, self._links, self._listed = roster, links, listed
        self._bounds = bounds
        now = self._clock()
        self._role = HolderRole(own.name, bounds.window, first_start=first_start, now=now)
        self._quotas = Quotas(own.name, self._role, bounds, own.incarnation)
        links.on_quota_frame = self._on_frame
        links.on_holder_lost = self._on_holder_lost
        self._use()

    def use_version(self, version: RoutingVersion) -> None:
        """Apply the limits of a version."""
        self._tenants = version.tenants
        self._use()

    def set_bounds(self, bounds: QuotaBounds) -> None:
        """Apply changed bounds."""
        self._bounds = bounds
        self._use()

    def _use(self) -> None:
        if self._quotas is None:
            return
        now = self._clock()
        self._quotas.use(self._tenants, self._bounds, now)
        self._links.links_to_holders = self._quotas.has_limits
        self._refused_until.clear()
        self._look(now)

    def instances_changed(self) -> None:
        """Note that the list of instances changed; it is read before the next token is taken."""
        self._is_list_changed = True
        self._look_at = float("-inf")

    def tick(self) -> None:
        """Run the periodic work; called a few times a second."""
        if self._quotas is not None:
            self._look(self._clock())

    def acquire(
        self,
        permit: Permit,
        route: Route,
        on_granted: Callable[[], None],
        on_refused: OnRefused,
    ) -> Callable[[], None] | None:
        """Take one request of the quota, and call one of the two functions, maybe at once.

        Args:
            permit: Permit of the request.
            route: Its route.
            on_granted: Called when the request may start.
            on_refused: Called with the error if it may not run.

        Returns:
            Cancels the wait; None if one of the functions was called already.
        """
        tenant = permit.tenant
        if tenant is None or self._quotas is None or not self._quotas.is_limited(tenant.name):
            on_granted()
            return None
        team, now = tenant.name, self._clock()
        if now >= self._look_at:
            self._look(now)
        if self._quotas.take(team, now):
            permit.quota_until = now + LOAN_SECONDS
            on_granted()
            return None
        refused_until = self._refused_until.get(team, 0.0)
        if now < refused_until:
            self._refuse(team, refused_until - now, on_refused)
            return None
        return self._wait(permit, team, route, on_granted, on_refused)

    def give_back(self, permit: Permit) -> None:
        """Return what a request took from the quota, since no searcher ran it."""
        until, permit.quota_until = permit.quota_until, 0.0
        if not until or permit.tenant is None:
            return
        team = permit.tenant.name
        if self._quotas.give_back(team, until, self._clock()):
            self._dispatch.metrics.count("quota_returns", team)
            self._refused_until.pop(team, None)
            if team in self._queues:
                # Not at once: the request that returns the token may still be in `_pursue`.
                self._poll(team, 0.0)

    def _wait(
        self,
        permit: Permit,
        team: str,
        route: Route,
        on_granted: Callable[[], None],
        on_refused: OnRefused,
    ) -> Callable[[], None] | None:
        """Ask the holders for a request; return the function that cancels its wait, if it waits."""
        waiter = _Waiter(permit, on_granted, on_refused)
        queue = self._queues.setdefault(team, deque())
        queue.append(waiter)
        self._quotas.arrived(team, self._clock())
        self._pursue(team)
        if waiter not in queue:
            return None
        self._dispatch.metrics.count("quota_waits", team)
        limit = min(_MAX_WAIT_SECONDS, _MAX_WAIT_FRACTION * route.objective)
        waiter.timer = self._dispatch.loop.call_later(limit, lambda: self._expire(team, waiter))
        return lambda: self._leave(team, waiter)

    def _pursue(self, team: str) -> None:
        """Grant waiting requests while there are tokens, and ask for what is missing."""
        queue = self._queues.get(team)
        if queue is None:
            return
        now = self._clock()
        while queue and self._quotas.take(team, now):
            waiter = queue.popleft()
            self._stop_timer(waiter)
            waiter.permit.quota_until = now + LOAN_SECONDS
            waiter.on_granted()
        while queue and (ask := self._quotas.ask(team, len(queue), now)) is not None:
            frame = QuotaAsk(ask.number, team, ask.tokens)
            if self._links.send_to(ask.holder, frame, self._dispatch.loop.time()):
                self._dispatch.metrics.count("quota_asks", team)
            else:
                self._quotas.failed(ask.number, now)
        if queue and not self._quotas.is_pending(team, now):
            wait = self._quotas.retry_after(team, now)
            if wait is not None:
                self._refused_until[team] = now + wait
            while queue:
                waiter = queue.popleft()
                self._stop_timer(waiter)
                self._refuse(team, wait, waiter.on_refused)
        if queue:
            self._poll(team, PENDING_SECONDS)
        else:
            self._forget_queue(team, queue)

    def _poll(self, team: str, delay: float) -> None:
        """Look after the waiting requests of a team again soon."""
        if team in self._polls:
            return

        def run() -> None:
            self._polls.pop(team, None)
            self._pursue(team)

        self._polls[team] = self._dispatch.loop.call_later(delay, run)

    def _leave(self, team: str, waiter: _Waiter) -> None:
        """Give up a place in the queue."""
        self._stop_timer(waiter)
        queue = self._queues.get(team)
        if queue is not None and waiter in queue:
            queue.remove(waiter)
            self._forget_queue(team, queue)

    def _expire(self, team: str, waiter: _Waiter) -> None:
        self._leave(team, waiter)
        self._refuse(team, self._quotas.retry_after(team, self._clock()), waiter.on_refused)

    def _forget_queue(self, team: str, queue: deque[_Waiter]) -> None:
        if not queue and self._queues.get(team) is queue:
            del self._queues[team]
            poll = self._polls.pop(team, None)
            if poll is not None:
                poll.cancel()

    @staticmethod
    def _stop_timer(waiter: _Waiter) -> None:
        if waiter.timer is not None:
            waiter.timer.cancel()
            waiter.timer = None

    def _refuse(self, team: str, wait: float | None, on_refused: OnRefused) -> None:
        """Refuse a request.

        Args:
            team: Name of its team.
            wait: Seconds until a holder has a token; None if no holder answered.
            on_refused: Called with the error.
        """
        kind = "unknown" if wait is None else "exceeded"
        self._dispatch.metrics.count("quota_refusals", f"{team}/{kind}")
        self._log_refusal(team, kind)
        if wait is None:
            on_refused(
                QuotaUnknown(
                    f"No instance that holds the quota of team {team} answered.",
                    retry_after=_RETRY_UNKNOWN,
                )
            )
        else:
            on_refused(
                QuotaExceeded(f"Team {team} exceeds its quota of requests.", retry_after=wait)
            )

    def _log_refusal(self, team: str, kind: str) -> None:
        key, now = (team, kind), self._clock()
        count = self._refused_since_log.get(key, 0) + 1
        if now < self._log_after.get(key, 0.0):
            self._refused_since_log[key] = count
            return
        self._refused_since_log[key] = 0
        self._log_after[key] = now + _LOG_SECONDS
        if kind == "exceeded":
            events.QUOTA_EXCEEDED.log(tenant=team, requests=count)
        else:
            events.QUOTA_UNKNOWN.log(
                tenant=team, requests=count, holders=sorted(self._role.holders)
            )

    def _look(self, now: float) -> None:
        """Apply changes of the list of instances and of what is heard from them."""
        self._look_at = now + _LOOK_SECONDS
        self._role.look(now)
        if self._is_list_changed:
            self._is_list_changed = False
            self._read_list(now)
        linked_at = self._dispatch.loop.time()
        is_confirmed = bool(self._role.holders) and self._links.hears_store_list(linked_at)
        if is_confirmed:
            self._role.confirmed(now)
        # Going through all links is needed only then; a relay has hundreds of them.
        if self._quotas.has_limits and (self._role.awaits_reports or not is_confirmed):
            self._role.heard(
                self._links.without_newer_instances(linked_at),
                self._links.with_own_instances(linked_at),
                len(self._roster)
                - len({i.name for i in self._roster.live} | {self._roster.own.name}),
                now,
            )
        if self._quotas.look(now):
            self._refused_until.clear()
            if self._quotas.has_limits:
                events.QUOTA_PART_CHANGED.log(
                    part=round(self._quotas.part, 4), holders=len(self._role.holders)
                )

    def _read_list(self, now: float) -> None:
        own = self._roster.own
        known = [i for i in self._roster.known if i.name != own.name or self._roster.is_listed]
        if not known:
            return
        age = 1000 * (self._bounds.window + LOAN_SECONDS + _NEWS_SECONDS)
        established = all(own.incarnation - i.incarnation >= age for i in self._listed())
        names = [instance.name for instance in known]
        self._role.listed(holders_among(known), names, now, established=established)

    def _on_frame(self, link: PeerLink, frame: QuotaAsk | QuotaGrant) -> None:
        now = self._clock()
        if isinstance(frame, QuotaAsk):
            if now >= self._look_at:
                self._look(now)
            loan = self._quotas.lend(frame.tenant, frame.tokens, now)
            if loan.tokens > 0:
                self._dispatch.metrics.count("quota_loans", frame.tenant)
            link.send(QuotaGrant(frame.number, loan.tokens, loan.wait, loan.left))
            return
        loan = Loan(frame.tokens, frame.wait, frame.left)
        team = self._quotas.granted(frame.number, loan, now)
        if team is not None:
            if frame.tokens > 0:
                self._refused_until.pop(team, None)
            self._pursue(team)

    def _on_holder_lost(self, name: str) -> None:
        self._quotas.lost(name, self._clock())
        for team in list(self._queues):
            self._pursue(team)
