"""The command lines against a real system, and against mistakes."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

from limpethollow.main import main
from tests.support.clusters import CALLER_KEY, FIRM, OPERATOR_KEY, Cluster
from tests.support.processes import ROOT

SERVICE = """\
[service]
name = "{name}"
shards = 2
epoch = 1
[[service.callers]]
firm = "{firm}"
key_sha256 = "{digest}"
[[service.searchers]]
id = "s0"
address = "{address}"
shards = [0, 1]
failure_domain = "lton-a"
"""


@pytest.fixture(scope="module")
def cluster():
    with Cluster() as cluster:
        cluster.start_instances(2)
        yield cluster


@pytest.fixture
def shell(cluster, monkeypatch, capsys, tmp_path):
    """Return a function that runs one command and returns exit code, output and errors."""
    key = tmp_path / "operator.key"
    key.write_text(OPERATOR_KEY + "\n")
    monkeypatch.setenv("LIMPETHOLLOW_OPERATOR", cluster.listed["n0"]["operator_address"])
    monkeypatch.setenv("LIMPETHOLLOW_OPERATOR_KEY", OPERATOR_KEY)
    monkeypatch.setenv("LIMPETHOLLOW_ADDRESSES", cluster.listed["n0"]["address"])
    monkeypatch.setenv("LIMPETHOLLOW_KEY", CALLER_KEY)

    def run(*arguments: str) -> tuple[int, str, str]:
        code = main(list(arguments))
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return run


@pytest.fixture
def service_file(cluster, tmp_path, shell):
    """Return a function that writes a service file with its own searcher."""

    def write(name: str) -> str:
        searcher = cluster.start_searcher(name, f"{name}-s0", [0, 1])
        key = tmp_path / "caller.key"
        key.write_text(CALLER_KEY)
        digest = json.loads(shell("key-digest", "--json", str(key))[1])["key_sha256"]
        path = tmp_path / f"{name}.toml"
        path.write_text(
            SERVICE.format(name=name, firm=FIRM, digest=digest, address=searcher.address)
        )
        return str(path)

    return write


class TestWholePath:
    def test_plan_confirm_search_book_look_up_delete(self, shell, service_file):
        code, out, _ = shell("plan", "--json", "--file", service_file("finder"))
        plan = json.loads(out)
        assert (code, plan["action"], plan["base_version"]) == (0, "create", 0)
        assert json.loads(shell("services", "--json")[1]) == {"services": []}

        code, out, _ = shell("confirm", plan["id"])
        assert code == 0
        assert "in force at: n0, n1" in out
        assert "finder" in shell("services")[1]
        assert "service finder: version" in shell("status")[1]

        code, out, _ = shell("search", "finder", "--query", '{"free": true}', "--deadline", "10")
        assert code == 0
        assert out.startswith("2 of 2 shards, index version 1")
        code, out, _ = shell("search", "finder", "--shards", "1", "--deadline", "10", "--json")
        assert json.loads(out)["coverage"]["covered"] == [1]

        code, out, _ = shell("book", "finder", "--shard", "1", "--booking", '{"bay": 4}', "--json")
        token = json.loads(out)["token"]
        assert code == 0
        code, out, _ = shell("look-up", "finder", token)
        assert (code, out.startswith(f"booked: token {token}")) == (0, True)

        plan = json.loads(shell("plan", "--json", "--delete", "finder")[1])
        assert shell("confirm", plan["id"])[0] == 0
        code, _, err = shell("search", "finder")
        assert code == 1
        assert "Service 'finder' does not exist." in err

    def test_human_plan_says_what_would_change_and_how_to_carry_it_out(self, shell, service_file):
        code, out, _ = shell("plan", "--file", service_file("desk"))
        assert code == 0
        assert "create service desk" in out
        assert "shards touched: 0-1" in out
        assert "warning: Some shards have one replica only" in out
        assert "limpethollow confirm" in out

    def test_a_failure_domain_is_evacuated_and_restored_by_plans(self, shell, service_file):
        for arguments in (("plan", "--file", service_file("ferry")),):
            assert shell("confirm", json.loads(shell(*arguments, "--json")[1])["id"])[0] == 0
        code, out, _ = shell("evacuate", "ferry", "lton-a")
        assert (code, 'evacuated: [] -> ["lton-a"]' in out) == (0, True)
        assert "All searchers of 2 shards are in evacuated failure domains." in out
        plan = json.loads(shell("evacuate", "ferry", "lton-a", "--json")[1])
        assert shell("confirm", plan["id"])[0] == 0
        assert shell("search", "ferry", "--deadline", "5")[0] == 1
        plan = json.loads(shell("restore", "ferry", "lton-a", "--json")[1])
        assert shell("confirm", plan["id"])[0] == 0
        assert shell("search", "ferry", "--deadline", "10")[0] == 0
        code, _, err = shell("evacuate", "ferry", "nowhere")
        assert code == 1
        assert "'evacuated' must name failure domains" in err

    def test_views_of_instances_and_metrics(self, shell):
        assert "id=n0" in shell("instances")[1]
        assert "limpethollow_threads" in shell("metrics")[1]
        assert json.loads(shell("version", "--json")[1])["limpethollow"]

    def test_missing_shards_give_exit_code_3(self, cluster, shell):
        """One of two searchers is killed; a search shows the rest and says so by its exit code."""
        searchers = [
            cluster.start_searcher("halves", "halves-0", [0]),
            cluster.start_searcher("halves", "halves-1", [1]),
        ]
        cluster.put_service("halves", searchers, searchers_per_group=2)
        cluster.searchers["halves-1"].kill()
        code, out, _ = shell("search", "halves", "--deadline", "10")
        assert code == 3
        assert out.startswith("1 of 2 shards")
        assert "shard 1 is missing: no_replica" in out


class TestMistakes:
    @pytest.mark.parametrize(
        ("arguments", "complaint"),
        [
            (("search", "finder", "--query", "free"), "--query:"),
            (("search", "finder", "--query", "[]"), "Expected `object`"),
            (("search", "finder", "--shards", "a"), "not a list of numbers"),
            (("search", "finder", "--addresses", "here"), "'here' is not host:port"),
            (("search", "finder", "--addresses", ","), "No address is named"),
            (("status", "--operator", ""), "No operator listener is named"),
            (("status", "--operator-key-file", "missing.key"), "the key can't be read"),
            (("plan", "--file", "missing.toml"), "missing.toml: can't be read"),
            (("check-config", "missing.toml"), "missing.toml: can't be read"),
        ],
    )
    def test_mistake_in_the_command_line_is_named(self, shell, arguments, complaint):
        code, out, err = shell(*arguments)
        assert (code, out) == (2, "")
        assert complaint in err

    def test_wrong_key_is_refused_with_exit_code_1(self, shell, monkeypatch):
        monkeypatch.setenv("LIMPETHOLLOW_OPERATOR_KEY", "wrong")
        code, _, err = shell("status")
        assert code == 1
        assert "The operators' key is wrong." in err

    def test_errors_are_json_on_demand(self, shell):
        code, _, err = shell("confirm", "--json", "no-such-plan")
        assert code == 1
        assert json.loads(err)["code"] == "not_found"

    @pytest.mark.parametrize(
        ("change", "complaint"),
        [
            (("shards = 2", 'shards = "two"'), "Expected `int`, got `str` - at `$.service.shards`"),
            (("shards = 2", "shards = 3"), "'searchers' must hold every shard"),
            (("epoch = 1", "epok = 1"), "unknown field `epok` - at `$.service`"),
            (("epoch = 1", "owners = 9"), "'owners' must be 1 to 4"),
            (("epoch = 1", "owners = 3"), "'owners' must not be above a searcher's 'slots'"),
            (("[service]", "[service"), "is not TOML"),
        ],
    )
    def test_mistake_in_a_service_file_is_named(
        self, cluster, shell, service_file, change, complaint
    ):
        path = Path(service_file(f"mistaken-{len(cluster.searchers)}"))
        path.write_text(path.read_text().replace(*change))
        code, _, err = shell("plan", "--file", str(path))
        assert code in (1, 2)
        assert complaint in err


class TestSettings:
    EXAMPLE = (ROOT / "examples" / "instance.toml").read_text()

    def test_example_is_valid(self, shell):
        assert shell("check-config", str(ROOT / "examples" / "instance.toml"))[0] == 0

    @pytest.mark.parametrize(
        ("change", "complaint"),
        [
            (('id = "lton-a-1"', 'id = "lton.a.1"'), "'instance.id' is empty or has a dot"),
            (('peer = "change-this-peer-key"', 'peer = "short"'), "'keys.peer' is shorter"),
            (("caller_port = 8080", "caller_port = 80800"), "'listeners.caller_port' must be"),
            (("caller_port = 8080", 'caller_port = "http"'), "`$.listeners.caller_port`"),
            (("threads = 48", "threads = 0"), "'listeners.threads' must be"),
            (("bound = 30.0", "bound = -1.0"), "'shutdown.bound' must be"),
            (('level = "INFO"', 'level = "LOUD"'), "'log.level' must be one of"),
            (('address = "127.0.0.1:9000"', 'address = "here"'), "'platform.address' must be"),
            (("[platform]", "[platfrom]"), "platfrom"),
        ],
    )
    def test_daemon_names_file_key_and_remedy_before_anything_starts(
        self, tmp_path, change, complaint
    ):
        path = tmp_path / "instance.toml"
        path.write_text(self.EXAMPLE.replace(*change))
        arguments = ["-m", "limpethollow_node.process.main", "--settings", str(path)]
        done = subprocess.run(
            [sys.executable, *arguments], capture_output=True, text=True, check=False
        )
        assert done.returncode == 2
        assert complaint in done.stderr
        assert str(path) in done.stderr
        assert done.stdout == ""
