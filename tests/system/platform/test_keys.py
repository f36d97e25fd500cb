"""Keys and their revocation on real processes: what searchers see, and when a key stops."""

import json
import signal
import socket
import threading
import time

from tests.standins.proxy import ProxyStandIn
from tests.support.platforms import (
    HOST,
    PlatformInstance,
    PlatformSystem,
    configuration,
    forward_route,
    search_route,
)
from tests.support.processes import wait_for

KEY = "k-91c4e7"
SPARE = "k-spare"
REVOKE_MS = 5000
KEYED = {"Authorization": f"Token {KEY}"}


def tenants(*keys: str) -> list[dict]:
    return [
        {"name": "blue", "apiKeys": list(keys), "priority": 1},
        {"name": "red", "apiKeys": ["k-red"]},
    ]


def configure(system: PlatformSystem, version: int, *keys: str) -> None:
    routes = [
        forward_route("desk", attempts=1),
        forward_route("desk", name="open", pathPrefix="/open/", public=True, attempts=1),
        search_route(["a", "b"]),
    ]
    spec = configuration(version, *routes)
    system.store.put("config", "main", {**spec, "tenants": tenants(*keys)})


def begin(
    system: PlatformSystem,
    name: str,
    store: str = "",
    zone: str = "zone-a",
    *,
    strict: bool = True,
) -> PlatformInstance:
    instance = PlatformInstance(name, store or system.store.address, system.folder, zone)
    instance.settings["bounds"] |= {
        "strictRevoke": strict,
        "revokeMs": REVOKE_MS,
        "configApplyMs": 5000,
    }
    instance.settings["bootstrap"] = True
    return system.adopt(instance)


def served(instance: PlatformInstance, path: str = "/get/x", key: str = KEY) -> bool:
    return instance.ask(path, headers={"Authorization": f"Token {key}"}).status == 200


def wait_served(instance: PlatformInstance) -> None:
    wait_for(lambda: served(instance), f"{instance.name} has a lease")


class TestSearcher:
    def test_it_sees_the_team_and_never_the_key(self, system):
        """Guards against a key in a request to a searcher, a log, a metric or an answer."""
        backends = [
            system.backend("desk", "i-1"),
            system.backend("a", "i-a", records=[b"1" * 16], zone="zone-b"),
            system.backend("b", "i-b", records=[b"2" * 16], zone="zone-b"),
        ]
        configure(system, 1, KEY)
        # Searchers of the other failure domain are called by the instance there.
        one, two = begin(system, "front-1"), begin(system, "front-2", zone="zone-b")
        for instance in (one, two):
            instance.wait_ready()
            wait_served(instance)
        for backend in backends:
            backend.seen.clear()
        forged = {"X-LIMPETHOLLOW-TENANT": "forged"}
        answers = [
            one.ask(path, headers={**KEYED, **forged}) for path in ("/get/x", "/open/x", "/find/x")
        ]
        assert [answer.status for answer in answers] == [200, 200, 200]
        seen = [each for backend in backends for each in backend.seen]
        assert len(seen) == 4
        assert "limpethollow_batches_sent_total 1" in one.metrics()
        assert {each.headers.get("x-limpethollow-tenant") for each in seen} == {"blue"}
        assert not any("authorization" in each.headers for each in seen)
        assert not any(KEY in str(vars_of(each)) for each in seen)
        backends[0].seen.clear()
        ignored = {"Authorization": "Token k-unknown", **forged}
        assert one.ask("/open/x", headers=ignored).status == 200
        (public,) = backends[0].seen
        assert not {"authorization", "x-limpethollow-tenant"} & set(public.headers)
        rejected = one.ask("/get/x", headers={"Authorization": "Token k-unknown"})
        assert (rejected.status, json.loads(rejected.data)["code"]) == (401, "key_rejected")
        texts = [one.metrics(), two.metrics(), rejected.data.decode()]
        texts += [instance.log_path.read_text() for instance in (one, two)]
        assert not any(KEY in text or "k-unknown" in text for text in texts)


def vars_of(seen) -> list:
    return [seen.method, seen.target, seen.headers, seen.body]


class TestRevocation:
    def test_a_revoked_key_stops_at_once_where_the_store_answers(self, system):
        """Guards against a key that lives until its lease ends on a healthy instance."""
        system.backend("desk", "i-1")
        configure(system, 1, KEY, SPARE)
        instance = begin(system, "front-1").wait_ready()
        wait_served(instance)
        configure(system, 2, SPARE)
        wait_for(lambda: instance.ask("/get/x", headers=KEYED).status == 401, "the key stopped")
        assert served(instance, key=SPARE)

    def test_a_revoked_key_stops_on_an_instance_whose_store_calls_get_no_answer(self, system):
        """Guards against a cut-off instance that serves a revoked key, or stops public routes."""
        system.backend("desk", "i-1")
        configure(system, 1, KEY)
        instance = begin(system, "front-1").wait_ready()
        wait_served(instance)
        system.store.silent = True
        configure(system, 2, SPARE)
        revoked_at = time.monotonic()
        last_served = revoked_at
        while time.monotonic() < revoked_at + REVOKE_MS / 1000 + 1.5:
            if served(instance):
                last_served = time.monotonic()
            assert served(instance, "/open/x")
            time.sleep(0.05)
        assert last_served - revoked_at <= REVOKE_MS / 1000
        # It served while the lease held: the store's silence alone refuses nothing.
        assert last_served - revoked_at > REVOKE_MS / 1000 / 2
        refused = instance.ask("/get/x", headers=KEYED)
        assert (refused.status, json.loads(refused.data)["code"]) == (503, "lease_lapsed")
        assert 0.25 <= float(refused.headers["Retry-After"]) <= 0.5
        assert instance.events(530)
        system.store.silent = False
        wait_for(lambda: instance.ask("/get/x", headers=KEYED).status == 401, "the key stopped")

    def test_an_instance_without_the_store_uses_the_confirmations_of_a_peer(self, system):
        """Guards against keys that stop, or live on, at an instance which has only its peers."""
        system.backend("desk", "i-1")
        configure(system, 1, KEY)
        proxy = ProxyStandIn(system.store.address)
        threading.Thread(target=proxy.accept, daemon=True).start()
        one = begin(system, "front-1")
        two = begin(system, "front-2", store=proxy.entry_address, zone="zone-b")
        for instance in (one, two):
            instance.wait_ready()
            wait_served(instance)
        proxy.control({"silent": True, "freeze": True}, {})
        end = time.monotonic() + REVOKE_MS / 1000 + 2
        while time.monotonic() < end:
            assert served(two)
            time.sleep(0.1)
        configure(system, 2, SPARE)
        wait_for(lambda: two.ask("/get/x", headers=KEYED).status == 401, "the key stopped")
        assert served(two, key=SPARE)
        one.signal(signal.SIGSTOP)
        stopped_at = time.monotonic()
        wait_for(lambda: not served(two, key=SPARE), "the lease lapsed")
        assert time.monotonic() - stopped_at <= REVOKE_MS / 1000
        one.signal(signal.SIGCONT)
        wait_for(lambda: served(two, key=SPARE), "the lease holds again")

    def test_a_request_that_waited_through_a_suspension_does_not_run(self, system):
        """Guards against buffered requests that run with a key revoked during a suspension."""
        desk = system.backend("desk", "i-1")
        configure(system, 1, KEY)
        instance = begin(system, "front-1").wait_ready()
        wait_served(instance)
        connections = [
            socket.create_connection(("127.0.0.1", instance.front), timeout=10.0) for _ in range(5)
        ]
        time.sleep(0.2)
        instance.signal(signal.SIGSTOP)
        system.store.silent = True
        configure(system, 2, SPARE)
        request = "\r\n".join(
            [
                "GET /get/late HTTP/1.1",
                f"Host: {HOST}",
                "X-Limpethollow-Request-Id: r9",
                "X-Limpethollow-Deadline-Ms: 2000",
                f"Authorization: Token {KEY}",
                "Connection: close",
                "",
                "",
            ]
        )
        for connection in connections:
            connection.sendall(request.encode())
        time.sleep(REVOKE_MS / 1000 + 0.2)
        instance.signal(signal.SIGCONT)
        for connection in connections:
            with connection:
                answer = connection.makefile("rb").read()
            assert answer.startswith(b"HTTP/1.1 503 ")
            assert b"lease_lapsed" in answer
        assert not [each for each in desk.seen if each.target == "/get/late"]


class TestOtherDeployments:
    def test_without_strict_revocation_there_is_no_read_and_no_frame(self, system):
        """Guards against costs and refusals where the settings ask for none."""
        system.backend("desk", "i-1")
        configure(system, 1, KEY)
        instances = [
            begin(system, "front-1", strict=False),
            begin(system, "front-2", zone="zone-b", strict=False),
        ]
        for instance in instances:
            instance.wait_ready()
            wait_served(instance)
        time.sleep(2.5)
        for instance in instances:
            text = instance.metrics()
            assert 'platform_calls_total{reason="watch"}' in text
            assert 'platform_calls_total{reason="read"}' not in text
            assert "lease_ask" not in text
