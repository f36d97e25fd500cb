"""One process on the platform: its listeners, feeds and life."""

import asyncio
import time
from collections.abc import Callable
from random import Random

from limpethollow_node.engine.connection.callers import CallerServer, Exchange
from limpethollow_node.engine.messages import Reply
from limpethollow_node.engine.process.catalog import Catalog
from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.engine.process.engine import Engine
from limpethollow_node.engine.process.peers import Peers
from limpethollow_node.engine.process.roster import Roster
from limpethollow_node.engine.request.batches import BatchDesk
from limpethollow_node.platform.checks import StoreCheck
from limpethollow_node.platform.directory import DirectoryAnswers, ReadyAnswers
from limpethollow_node.platform.feeds import Feed
from limpethollow_node.platform.headers import HEADERS
from limpethollow_node.platform.membership import GONE_SECONDS, KIND, Membership
from limpethollow_node.platform.settings import (
    PlatformSettings,
    SettingsFile,
    settings_path,
    split_address,
)
from limpethollow_node.platform.sinks import sinks_for
from limpethollow_node.platform.store import Store
from limpethollow_node.process import events
from limpethollow_node.process.metrics import Metrics
from limpethollow_node.process.stdoutlogs import StdoutHandler
from limpethollow_policy.process.fleets import Fleet
from limpethollow_policy.process.placements import Instance, entries_for
from limpethollow_policy.process.sendbudgets import SendBudget
from limpethollow_policy.process.topology import WatchRole
from limpethollow_policy.version.routes import RoutingVersion, VersionBook
from limpethollow_wire.exceptions import LimpethollowError, SettingsError

# Changes of a kind that come within this many seconds cost one call to the store.
_GATHER_SECONDS = {"servers": 0.25, "instances": 0.25}
_TICK_SECONDS = 0.25
# A leaving instance stays for this share of the time that it is given, since callers keep what the
# directory said for up to three times as long as it asks them to, and then connect here; and it is
# gone at the second share whatever is still open.
_STAY_SHARE = 0.6
_LAST_SHARE = 0.93


class PlatformProcess:
    """Everything that one process runs.

    Usage:
        process = PlatformProcess(settings)
        await process.run()

    Args:
        settings: The platform's settings.
        logs: Where log lines go.
    """

    def __init__(self, settings: PlatformSettings, logs: StdoutHandler) -> None:
        self._settings = settings
        self._logs = logs
        self._settings_file = SettingsFile(settings_path())
        self._rng = Random()
        self.metrics = Metrics()
        bounds = settings.bounds
        self._budget = SendBudget(
            bounds.retry_budget_ratio, bounds.retry_budget_slack, bounds.budget_window_s
        )
        self._dispatch = Dispatch(Fleet(settings.zone), self._budget, HEADERS, self.metrics)
        self._engine = Engine(self._dispatch, VersionBook())
        self._roster = Roster(_own_instance(settings), self._instances_changed)
        self._catalog = Catalog(
            self._dispatch,
            self._engine,
            self._roster,
            settings.removal_delay,
            self._version_came,
        )
        self._role = WatchRole(settings.node_name, self._rng)
        self._peers = Peers(self._roster, self._catalog, self._role, self._rng, settings.seed_hosts)
        self._engine.desk = BatchDesk(self._dispatch, self._peers)
        self._store = Store(settings.platform.addr, self.metrics)
        self._membership = Membership(self._store, self._roster.own, self._rng)
        self._servers: list[CallerServer] = []
        self._front = self._server(self._engine.handle)
        self._leaving = asyncio.Event()
        self._feeds: list[Feed] = []
        self._rejoin: asyncio.Task[None] | None = None
        self._removing: dict[str, asyncio.Task[None]] = {}
        self._services: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Serve until asked to leave and everything under way has ended."""
        events.STARTED.log(settings=self._settings.node_name)
        await self._listen()
        tasks = [asyncio.create_task(job) for job in self._jobs()]
        try:
            await self._leaving.wait()
            await self._leave()
        finally:
            for task in tasks:
                task.cancel()
        events.STOPPED.log()

    def reload_settings(self) -> None:
        """Read the settings file again; a file with a mistake changes nothing."""
        try:
            settings = self._settings_file.read()
        except SettingsError as error:
            events.SETTINGS_REFUSED.log(error=str(error))
            return
        if settings != self._settings:
            self._apply(settings)

    def _apply(self, settings: PlatformSettings) -> None:
        """Take over what can change while the process runs: the bounds."""
        bounds = settings.bounds
        self._settings = settings
        self._budget.set_bounds(
            bounds.retry_budget_ratio, bounds.retry_budget_slack, bounds.budget_window_s
        )
        self._catalog.set_removal_delay(settings.removal_delay)
        events.SETTINGS_RELOADED.log(bounds=str(bounds))

    def ask_to_leave(self) -> None:
        """Begin the graceful shutdown."""
        self._leaving.set()

    def _jobs(self) -> list:
        sinks = sinks_for(self._catalog, self._peers.broadcast)
        self._feeds = [
            Feed(self._store, kind, sink, self._rng, gather=_GATHER_SECONDS.get(kind, 0.0))
            for kind, sink in sinks.items()
        ]
        self._check = StoreCheck(
            self._store,
            KIND,
            self._settings.node_name,
            self._peers.stop_following,
            self._store_is_back,
        )
        self._choose_feeds(asyncio.get_running_loop().time())
        return [
            *(feed.run() for feed in self._feeds),
            self._check.run(),
            self._peers.run(),
            self._membership.join(),
            self._tick(),
        ]

    async def _listen(self) -> None:
        listen = self._settings.listen
        await self._front.listen(*split_address(listen.front))
        ready = self._server(ReadyAnswers(lambda: self._ready).handle)
        await ready.listen(*split_address(listen.ready))
        directory = self._server(DirectoryAnswers(self._addresses_for).handle)
        await directory.listen(*split_address(listen.directory))
        first, last = self._settings.internal_port_range
        await self._peers.serve(self._settings.ip, first)
        await self._server(self._show_metrics).listen("0.0.0.0", last)

    def _store_is_back(self) -> None:
        for feed in self._feeds:
            feed.restart()

    async def _tick(self) -> None:
        """Do what has no event of its own to wait for."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            try:
                self._do_tick(loop.time())
            except Exception as error:
                events.DEFECT.log(where="tick", error=repr(error), exc_info=True)

    def _do_tick(self, now: float) -> None:
        self._logs.report()
        if self._settings_file.changed():
            self.reload_settings()
        self._look_around(now)
        self._roster.ready = self._ready
        self._choose_feeds(now)
        self._catalog.tick(now)
        self._dispatch.sweep(now)
        if self._ready:
            self._dispatch.warm()
        for server in self._servers:
            server.sweep(now)
        if self._peers.follows:
            self._remove_gone(now)
        self._stay_listed(now)

    def _stay_listed(self, now: float) -> None:
        """Join again where the own object is gone."""
        listed = self._roster.own.name in self._catalog.instances.items
        if self._membership.look(listed, now):
            events.OWN_OBJECT_GONE.log()
            self._rejoin = asyncio.create_task(self._membership.join())

    def _look_around(self, now: float) -> None:
        """Stop taking requests while nothing that serves them can be reached."""
        isolation = self._dispatch.isolation
        was_isolated = self._front.leaving and not self._leaving.is_set()
        others = len(self._roster) - 1
        if isolation.look(others, self._peers.heard_count(now), now):
            events.ISOLATED.log(others=others)
            self._engine.end_repeatable()
        elif was_isolated and not isolation.is_isolated:
            events.REJOINED.log()
        if isolation.is_isolated:
            self._dispatch.probe()
        self._front.leaving = isolation.is_isolated or self._leaving.is_set()

    def _remove_gone(self, now: float) -> None:
        """Remove instances that were silent for long; only who watches the store does."""
        for name in self._roster.silent_for(GONE_SECONDS, now):
            if name not in self._removing:
                task = asyncio.create_task(self._membership.remove(name))
                self._removing[name] = task
                task.add_done_callback(lambda _, gone=name: self._removing.pop(gone, None))

    def _choose_feeds(self, now: float) -> None:
        """Watch the store while that is this instance's role, or nobody else is heard to."""
        # The first lists are read by each instance itself: it knows no relay yet.
        known = all(feed.listed for feed in self._feeds)
        watch = not known or self._role.should_watch(self._roster.live, now)
        for feed in self._feeds:
            feed.set_active(watch)
        self._check.active = watch
        self._peers.follows = (
            watch and not self._check.away and all(feed.connected for feed in self._feeds)
        )

    async def _leave(self) -> None:
        """Take no new callers, serve the open connections, and end before the platform ends us."""
        events.STOPPING.log()
        loop = asyncio.get_running_loop()
        begun = loop.time()
        grace = self._settings.bounds.grace_s
        self._roster.ready = False
        for server in self._servers:
            server.leaving = True
        self._peers.leave()
        quiet_from = begun + grace * _STAY_SHARE
        while loop.time() < begun + grace * _LAST_SHARE:
            if loop.time() > quiet_from and not any(c.busy for c in self._front.connections):
                break
            await asyncio.sleep(0.05)
        self._front.stop_listening()
        self._front.close_idle()
        events.DRAINED.log(open=len(self._front.connections), after_s=loop.time() - begun)
        # What was written last still has to leave the socket.
        await asyncio.sleep(0.1)

    @property
    def _ready(self) -> bool:
        return (
            not self._leaving.is_set()
            and not self._dispatch.isolation.is_isolated
            and self._engine.versions.current is not None
            and len(self._dispatch.fleet) > 0
        )

    def _server(self, handler: Callable[[Exchange], None]) -> CallerServer:
        server = CallerServer(handler, self._refused)
        self._servers.append(server)
        return server

    def _refused(self, error: LimpethollowError) -> None:
        self.metrics.count("refusals", error.code)
        events.REQUEST_REFUSED.log(code=error.code, error=str(error))

    def _version_came(self, version: RoutingVersion) -> None:
        self._services = version.service_names()
        self._front.limits = version.limits

    def _instances_changed(self) -> None:
        self._dispatch.share_among(len(self._roster))

    def _addresses_for(self, domain: str) -> list[str]:
        searchers = self._dispatch.fleet.domains(self._services)
        live = self._roster.live
        chosen = entries_for(live, domain, searchers, self._roster.known)
        return [instance.address for instance in chosen] or [self._roster.own.address]

    def _show_metrics(self, exchange: Exchange) -> None:
        kind = [(b"Content-Type", b"text/plain; version=0.0.4")]
        exchange.respond(Reply(200, kind, self.metrics.render().encode()))


def _own_instance(settings: PlatformSettings) -> Instance:
    first, _ = settings.internal_port_range
    return Instance(
        name=settings.node_name,
        address=settings.listen.front,
        peer_address=f"{settings.ip}:{first}",
        failure_domain=settings.zone,
        strength=settings.limits.cpu_share * settings.limits.cores,
        incarnation=time.time_ns() // 1_000_000,
    )
