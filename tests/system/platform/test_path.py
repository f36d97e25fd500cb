"""The whole path on the platform: a caller, an instance, searchers."""

import json

import pytest

from limpethollow.main import main
from tests.standins.backends import PROOF, REQUEST_ID
from tests.support.platforms import forward_route, search_route
from tests.support.processes import wait_for


def record(value: int) -> bytes:
    return bytes([value]) * 16


# Longer than a busy machine keeps any process from running.
PATIENT_MS = 8000


class TestForward:
    def test_request_and_reply_pass_unchanged(self, system):
        backend = system.backend("desk", "i-1")
        system.configure(1, forward_route("desk"))
        instance = system.instance()
        reply = instance.ask(
            "/get/a%20b?x=1&y=", method="POST", body=b"payload", headers={"X-Own": "kept"}
        )
        seen = backend.seen[0]
        assert reply.status == 200
        assert reply.data == backend.body()
        assert reply.headers[PROOF] == "i-1.r1.200"
        assert reply.headers[REQUEST_ID] == "r1"
        assert (seen.method, seen.target, seen.body) == ("POST", "/get/a%20b?x=1&y=", b"payload")
        assert seen.headers["x-own"] == "kept"
        assert seen.headers["x-limpethollow-expect-instance"] == "i-1"
        assert 1000 < seen.time_left <= 2000

    def test_a_failure_of_the_searcher_passes_with_its_own_status(self, system):
        system.backend("desk", "i-1", answer=lambda me, seen: me.reply(seen, 500, body=b"no"))
        system.configure(1, forward_route("desk", timeoutMs=PATIENT_MS))
        reply = system.instance().ask("/get/x", time_left=PATIENT_MS)
        assert (reply.status, reply.data) == (500, b"no")
        assert reply.headers[PROOF] == "i-1.r1.500"

    def test_unknown_paths_have_no_route(self, system):
        system.backend("desk", "i-1")
        system.configure(1, forward_route("desk"))
        instance = system.instance()
        assert instance.ask("/other/x").status == 404
        assert instance.ask("/get/x", headers={"Host": "other.example"}).status == 404

    def test_without_a_searcher_the_refusal_says_when_to_come_back(self, system):
        system.backend("desk", "i-1")
        system.configure(1, forward_route("desk"), forward_route("none", pathPrefix="/none/"))
        reply = system.instance().ask("/none/x")
        assert reply.status == 503
        assert 0 < float(reply.headers["Retry-After"]) <= 1


class TestSearch:
    def test_the_greatest_records_of_all_shards_come_falling(self, system):
        system.backend("a", "i-a", records=[record(1), record(9)])
        system.backend("b", "i-b", records=[record(9), record(4), b"short"])
        system.configure(1, search_route(["a", "b"], topK=3))
        reply = system.instance().ask("/find/x")
        assert reply.status == 200
        assert reply.data == record(9) + record(9) + record(4)
        assert sorted(reply.headers["X-Limpethollow-Part-Stamps"].split(", ")) == [
            "i-a.r1.200",
            "i-b.r1.200",
        ]
        assert reply.headers["X-Limpethollow-Missing-Parts"] == "0"

    def test_a_search_that_cannot_reach_its_floor_is_refused_before_anybody_works(self, system):
        """A caller waited for its deadline, and searchers worked, though the answer was lost.

        Two of three shards had no searcher. The search asked the third one all the same.
        """
        only = system.backend("a", "i-a", records=[record(1)])
        system.configure(1, search_route(["a", "b", "c"]))
        reply = system.instance().ask("/find/x")
        assert reply.status == 503
        assert 0 < float(reply.headers["Retry-After"]) <= 0.5
        assert only.seen == []

    def test_a_silent_shard_is_left_out_at_the_objective(self, system):
        from tests.standins.backends import Hang

        system.backend("a", "i-a", records=[record(1)])
        system.backend("b", "i-b", answer=lambda me, seen: Hang())
        system.configure(1, search_route(["a", "b"]))
        reply = system.instance().ask("/find/x")
        assert reply.status == 200
        assert reply.headers["X-Limpethollow-Missing-Parts"] == "1"
        assert reply.headers["X-Limpethollow-Part-Stamps"] == "i-a.r1.200"

    def test_a_late_call_is_hedged_at_another_replica(self, system):
        from tests.standins.backends import Hang

        def slow_once(me, seen):
            return Hang() if not system.store.calls["hung"] else me.success(seen)

        system.backend("a", "i-1", zone="zone-a", records=[record(1)], answer=slow_once)
        system.backend("a", "i-2", zone="zone-b", records=[record(1)])
        system.configure(1, search_route(["a"]))
        reply = system.instance().ask("/find/x")
        assert reply.status == 200
        assert reply.headers["X-Limpethollow-Part-Stamps"] == "i-2.r1.200"

    def test_fewer_shards_than_the_floor_are_no_success(self, system):
        system.backend("a", "i-a", records=[record(1)])
        system.configure(1, search_route(["a", "b", "c"], minVersion=0.6))
        reply = system.instance().ask("/find/x")
        assert reply.status in (502, 503)
        assert float(reply.headers["Retry-After"]) > 0


class TestDirectory:
    def test_it_names_all_ready_instances(self, system):
        system.backend("desk", "i-1")
        system.configure(1, forward_route("desk"))
        one, two = system.instance(), system.instance()
        both = {f"127.0.0.1:{one.front}", f"127.0.0.1:{two.front}"}
        wait_for(lambda: set(one.addresses()) == both, "one names both")
        wait_for(lambda: set(two.addresses()) == both, "two names both")

    def test_a_leaving_instance_is_named_no_more(self, system):
        system.backend("desk", "i-1")
        system.configure(1, forward_route("desk"))
        one, two = system.instance(), system.instance()
        wait_for(lambda: len(one.addresses()) == 2, "both are named")
        two.terminate()
        wait_for(lambda: one.addresses() == [f"127.0.0.1:{one.front}"], "only one is named")


class TestMetrics:
    def test_requests_are_counted_by_status(self, system):
        system.backend("desk", "i-1")
        system.configure(1, forward_route("desk"))
        instance = system.instance()
        instance.ask("/get/x")
        assert 'limpethollow_requests_total{reason="200"} 1' in instance.metrics()


class TestSettings:
    @pytest.mark.parametrize("text", ["", "[]", '{"nodeName": 7}'])
    def test_settings_with_a_mistake_are_refused_by_name(self, system, text):
        import os
        import subprocess
        import sys

        path = system.folder / "bad.json"
        path.write_text(text)
        done = subprocess.run(
            [sys.executable, "-m", "limpethollow_node.platform.main", "--check"],
            env={**os.environ, "LIMPETHOLLOW_SETTINGS": str(path)},
            capture_output=True,
            text=True,
            check=False,
        )
        assert done.returncode == 2
        assert "bad.json" in done.stderr


class TestWarmConnections:
    def test_they_are_open_before_the_first_search(self, system):
        """The first searches after a start came after the objective.

        Each of their calls waited for a connection to its searcher, all at the same moment.
        """
        backends = [system.backend(f"s{n}", f"i-{n}", records=[record(n)]) for n in range(3)]
        system.configure(1, search_route(["s0", "s1", "s2"]))
        instance = system.instance()
        wait_for(lambda: all(b.connections for b in backends), "connections are open")
        assert instance.ask("/find/x").status == 200
        assert [backend.connections for backend in backends] == [1, 1, 1]


class TestReload:
    def test_changed_settings_come_into_force_without_a_signal(self, system):
        system.backend("desk", "i-1")
        system.configure(1, forward_route("desk"))
        instance = system.instance()
        instance.settings["bounds"]["retryBudgetSlack"] = 7
        instance.settings_path.write_text(json.dumps(instance.settings))
        wait_for(lambda: instance.events(215), "the settings are read again")
        assert "retry_budget_slack=7" in instance.events(215)[0]["bounds"]

    def test_settings_with_a_mistake_leave_the_old_ones(self, system):
        system.backend("desk", "i-1")
        system.configure(1, forward_route("desk"))
        instance = system.instance()
        instance.settings_path.write_text("{")
        wait_for(lambda: instance.events(216), "the log says so")
        assert instance.ask("/get/x").status == 200


class TestStatus:
    def test_the_command_line_shows_it_from_the_metrics_address(self, system, capsys):
        system.backend("desk", "i-1")
        system.configure(3, forward_route("desk"))
        instance = system.instance()
        address = f"127.0.0.1:{instance.settings['internalPortRange'][1]}/metrics"
        wait_for(lambda: main(["status", "--metrics", address]) == 0, "nothing is missing")
        assert "version 3" in capsys.readouterr().out
        instance.kill()
        assert main(["status", "--metrics", address]) != 0
        assert address in capsys.readouterr().err
