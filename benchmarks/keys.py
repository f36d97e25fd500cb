"""Processor time of the decisions that teams add to a request: key, lease and quota."""

import statistics
import timeit
from collections.abc import Callable, Sequence
from typing import Any

from benchmarks.registry import benchmark
from limpethollow_node.engine.messages import Request
from limpethollow_node.engine.process.access import AccessControl, KeyBounds
from limpethollow_node.platform.headers import HEADERS
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.quotaholders import HolderRole
from limpethollow_policy.process.quotas import QuotaBounds, Quotas
from limpethollow_policy.version.routes import CallerLimits, CurrentVersion, RoutingVersion
from limpethollow_policy.version.tenants import Tenant, key_digest
from tests.support.virtual import route

TEAMS = 76
ROUNDS, CALLS = 7, 20_000


def _microseconds(call: Callable[[], object]) -> float:
    return 1e6 * statistics.median(timeit.repeat(call, number=CALLS, repeat=ROUNDS)) / CALLS


@benchmark("keys")
def decisions() -> Sequence[dict[str, Any]]:
    """Measure admission with a key, the check before a send, and a token of an own bucket."""
    tenants = tuple(
        Tenant(f"t{n}", (key_digest(b"key-%d" % n),), rate=1e9, burst=1e9) for n in range(TEAMS)
    )
    versions = CurrentVersion()
    found = route()
    versions.offer(RoutingVersion(1, (found,), {}, CallerLimits(), tenants))
    access = AccessControl(versions, HEADERS, lambda: 0.0, Metrics())
    access.bounds = KeyBounds(strict_revoke=True)
    access.lease.store_answered(access.uptime() + 3600.0)
    headers = [(b"Host", b"h"), (HEADERS.request_id, b"r1"), (b"Authorization", b"Token key-40")]
    request = Request(b"GET", b"/x", headers)
    permit = access.admit(request, found)
    role = HolderRole("a", 5.0, first_start=True, now=0.0)
    role.listed(frozenset({"a"}), ["a"], 0.0, established=True)
    role.confirmed(0.0)
    quotas = Quotas("a", role, QuotaBounds(5.0, 0.1, 20.0))
    quotas.use(tenants, QuotaBounds(5.0, 0.1, 20.0), 0.0)
    quotas.look(0.0)
    return [
        {"decision": name, "microseconds": round(_microseconds(call), 2)}
        for name, call in (
            ("key and lease at admission", lambda: access.admit(request, found)),
            ("key and lease before a send", permit.may_send),
            ("quota, own token", lambda: quotas.take("t40", 1.0)),
        )
    ]
