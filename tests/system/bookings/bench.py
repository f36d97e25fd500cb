"""Caller, entry instance, executor and two searchers, with a proxy on each hop.

    caller -> door -> entry -> link -> executor -> wire-s0, wire-s1 -> s0, s1

A booking's token names the executor, and its caller sends it to the entry, so that it is forwarded.
"""

import itertools
import threading
from collections import Counter
from typing import Any

from limpethollow import BookingOutcome, OutcomeState, Session
from limpethollow.adapters import HttpAdapter
from limpethollow.exceptions import LimpethollowError, NotRun, OutcomeUnknown
from limpethollow_wire.services import Objective
from tests.support.clusters import CALLER_KEY, DOMAINS, Cluster
from tests.support.processes import StandIn, wait_for

SERVICE = "booking-desk"
SEARCHERS = ("s0", "s1")
DEADLINE = 1.0
PATIENCE = 20.0


class OneAddress(HttpAdapter):
    """Sends every request to one address, whatever instance the session chose."""

    def __init__(self, address: str) -> None:
        super().__init__()
        self._address = address

    def send(self, address: str, *arguments: Any, **options: Any) -> Any:
        return super().send(self._address, *arguments, **options)


class Answer:
    """What one caller was told of one token, once it was told."""

    def __init__(self, token: str) -> None:
        self.token = token
        self.state: OutcomeState | None = None
        self.error: Exception | None = None
        self.thread: threading.Thread | None = None

    def wait(self) -> OutcomeState:
        assert self.thread is not None
        self.thread.join(PATIENCE)
        assert not self.thread.is_alive(), f"{self.token} got no answer"
        if self.error:
            raise self.error
        assert self.state is not None
        return self.state


class Bench:
    """One system whose faults are mended after each cell, so that many cells can share it.

    Args:
        cluster: An empty cluster.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self._nonces = itertools.count(1)
        self._finished: dict[str, OutcomeState] = {}
        self._lost_counts: Counter[str] = Counter()
        self._start_instances()
        self._start_searchers()
        self.door = cluster.start_proxy("door", cluster.listed["entry"]["address"])
        self.heal()

    def _start_instances(self) -> None:
        self.cluster.start_instance("entry", DOMAINS[0])
        self.cluster.start_instance("executor", DOMAINS[1])
        peer_address = self.cluster.listed["executor"]["peer_address"]
        self.link = self.cluster.start_proxy("link", peer_address)
        self._publish()

    def _start_searchers(self) -> None:
        specs = []
        self.wires: dict[str, StandIn] = {}
        for name in SEARCHERS:
            spec = self.cluster.start_searcher(SERVICE, name, [0], slots=1, backlog=4)
            wire = self.cluster.start_proxy(f"wire-{name}", spec.address)
            self.wires[name] = wire
            fields = {field: getattr(spec, field) for field in spec.__struct_fields__}
            specs.append(type(spec)(**{**fields, "address": wire.ready["entry"]}))
        objective = Objective(deadline=DEADLINE)
        self.cluster.put_service(SERVICE, specs, objective=objective)

    def _publish(self) -> None:
        self.cluster.listed["executor"]["peer_address"] = self.link.ready["entry"]
        self.cluster.publish_list()

    # What callers do

    def new_token(self) -> str:
        """Return a token that the executor may run."""
        with self.session("executor") as session:
            route = session.route(SERVICE)
        prefix = next(i.token_prefix for i in route.instances if i.id == "executor")
        return f"{prefix}.0.cell{next(self._nonces)}"

    def book(self, token: str) -> Answer:
        """Send a booking through the door to the entry, in the background."""
        answer = Answer(token)
        answer.thread = threading.Thread(target=self._book, args=[answer], daemon=True)
        answer.thread.start()
        return answer

    def _book(self, answer: Answer) -> None:
        adapter = OneAddress(self.door.ready["entry"])
        try:
            with Session(self.door.ready["entry"], CALLER_KEY, adapter=adapter) as session:
                answer.state = told(session, answer.token)
        except Exception as error:
            answer.error = error

    def session(self, instance: str) -> Session:
        """Return a session that talks to one instance only, past the door."""
        address = self.cluster.listed[instance]["address"]
        return Session(address, CALLER_KEY, adapter=OneAddress(address))

    # Moments

    def hold_searchers(self, step: str) -> None:
        """Make bookings wait at a step of the searchers."""
        for name in SEARCHERS:
            self.cluster.searchers[name].control(hold=step)

    def holder(self, step: str) -> str | None:
        """Return the searcher at which a booking waits at a step."""
        for name in SEARCHERS:
            if self.counts(name).get(f"held_{step}"):
                return name
        return None

    def fill_slots(self) -> None:
        """Hold other bookings in both searchers, so that the next one waits for a slot."""
        self.hold_searchers("running")
        fillers = 0
        while fillers < len(SEARCHERS):
            with self.session("executor") as session:
                token = self.new_token()
                threading.Thread(target=_fill, args=[session, token], daemon=True).start()
                fillers += 1
                wait_for(
                    lambda wanted=fillers: self._held("running") >= wanted, f"filler {fillers}"
                )

    def accepted(self) -> float:
        """Return how many tokens the executor has begun to run."""
        return self.cluster.metric("executor", 'bookings_total{reason="dispatch"}')

    def _held(self, step: str) -> int:
        return sum(self.counts(name).get(f"held_{step}", 0) for name in SEARCHERS)

    def counts(self, searcher: str) -> dict[str, int]:
        return self.cluster.searchers[searcher].stats()["counts"]

    # Mending

    def restart_executor(self) -> None:
        """Replace the executor by a new run, at new ports behind the same link."""
        self.cluster.instances["executor"].kill()
        self.cluster.start_instance("executor", DOMAINS[1])
        host, _, port = self.cluster.listed["executor"]["peer_address"].rpartition(":")
        self.link.control(target=[host, int(port)], cut=True)
        self._publish()
        wait_for(self._executor_serves, "the new run of the executor serves")

    def keep_counts(self, searcher: str) -> None:
        """Remember what a searcher has run, before it is killed."""
        self._lost_counts.update(self.cluster.searchers[searcher].stats()["executions"])

    def restart_searcher(self, name: str) -> None:
        """Start a searcher anew behind the same wire, without what it knew."""
        address = self.cluster.searchers[name].address
        port = int(address.rpartition(":")[2])
        self.cluster.start_searcher(SERVICE, name, [0], slots=1, backlog=4, port=port)

    def release_holds(self) -> None:
        """Let go of everything that is held on the way."""
        for proxy in (self.door, self.link, *self.wires.values()):
            proxy.control(hold_requests=False, hold_replies=False)
        for searcher in self.cluster.searchers.values():
            if searcher.is_running:
                searcher.control(hold="")

    def heal(self) -> None:
        """Wait until a booking through the door runs at the executor again."""
        self.release_holds()
        for proxy in (self.door, self.link, *self.wires.values()):
            proxy.control(truncate=0)
        for name, searcher in self.cluster.searchers.items():
            if not searcher.is_running:
                self.restart_searcher(name)
        if not self.cluster.instances["executor"].is_running:
            self.restart_executor()
        for name in SEARCHERS:
            wait_for(lambda name=name: self._is_idle(name), f"{name} is idle")
        wait_for(self._probe, "a booking runs again")

    def _executor_serves(self) -> bool:
        try:
            return bool(self.new_token())
        except (LimpethollowError, StopIteration):
            return False

    def _is_idle(self, name: str) -> bool:
        return self.cluster.searchers[name].stats()["running"] == 0

    def _probe(self) -> bool:
        try:
            answer = self.book(self.new_token())
            return answer.wait() is OutcomeState.BOOKED
        except (LimpethollowError, StopIteration):
            return False

    # What is true

    def executions(self, token: str) -> int:
        """Return how often a token was run, by searchers dead and alive."""
        total = self._lost_counts[token]
        for searcher in self.cluster.searchers.values():
            if searcher.is_running:
                total += searcher.stats()["executions"].get(token, 0)
        return total

    def final_state(self, token: str, instance: str) -> OutcomeState:
        """Ask an instance until its word on a token is final."""
        with self.session(instance) as session:
            return wait_for(lambda: _final(session, token), f"final outcome at {instance}")

    def running_instances(self) -> list[str]:
        """Return the instances that can be asked."""
        instances = self.cluster.instances
        return [name for name in ("entry", "executor") if instances[name].is_running]

    def remember(self, token: str, state: OutcomeState) -> None:
        """Check this token again when the bench ends."""
        self._finished[token] = state

    def check_finished(self) -> None:
        """Check every token of the bench once more: no late run, no second run."""
        for token, state in self._finished.items():
            expected = 1 if state is OutcomeState.BOOKED else 0
            assert self.executions(token) == expected, (token, state)


def told(session: Session, token: str) -> OutcomeState:
    """Book and return what the caller was told."""
    try:
        outcome = session.book(SERVICE, 0, {"bay": 12}, token=token, deadline=DEADLINE)
    except NotRun:
        return OutcomeState.NOT_RUN
    except OutcomeUnknown:
        return OutcomeState.UNKNOWN
    assert isinstance(outcome, BookingOutcome)
    return outcome.state


def _fill(session: Session, token: str) -> None:
    try:
        session.book(SERVICE, 0, {"bay": 1}, token=token, deadline=5.0)
    except LimpethollowError:
        return


def _final(session: Session, token: str) -> OutcomeState | None:
    try:
        state = session.look_up(SERVICE, token).state
    except LimpethollowError:
        return None
    return state if state.is_final else None
