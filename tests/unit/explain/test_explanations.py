"""From the id of a failed request to its cause, by the logs alone."""

import json

import pytest

from limpethollow.exceptions import NotFound, SettingsError
from limpethollow.explanations import explain
from limpethollow.main import main


def line(clock: str, event: int, instance: str = "front-1", **fields) -> str:
    head = {"asctime": f"2026-01-01 {clock}", "event": event, "instance": instance}
    return json.dumps({**head, "message": f"event {event}", **fields})


LOG = "\n".join(
    [
        line("10:00:00,000", 214, version=7),
        line("10:00:08,000", 212, kind="servers"),
        line("10:00:09,000", 403, searcher="i-1", state="draining"),
        line("10:00:09,100", 403, searcher="i-other", state="draining"),
        line("10:00:09,200", 300, instance="front-2", peer="front-1"),
        "prefix " + line("10:00:09,500", 402, request="r1", searcher="i-1", verdict="unknown"),
        "cut short {",
        line("10:00:09,600", 520, request="r1", status=502, ms=612.0, reason="floor_out_of_reach"),
        line("10:00:09,700", 520, request="r2", status=200, ms=5.0, reason="whole"),
    ]
)


@pytest.fixture
def log(tmp_path):
    path = tmp_path / "front-1.log"
    path.write_text(LOG)
    return path


class TestExplain:
    def test_it_joins_the_request_with_the_beliefs_that_it_met(self, log):
        story = explain("r1", [log])
        assert [entry.event for entry in story.lines] == [212, 403, 402, 520]
        assert story.outcome.startswith("Status 502 after 612.0 ms. Too many shards failed")
        assert story.lines[0].remedy

    def test_lines_of_several_processes_come_in_order_of_time(self, log, tmp_path):
        other = tmp_path / "front-2.log"
        other.write_text(line("10:00:09,550", 402, instance="front-2", request="r1"))
        story = explain("r1", [other, log])
        assert [entry.instance for entry in story.lines][-2:] == ["front-2", "front-1"]

    def test_searchers_of_many_shards_are_found_in_lines_of_many_entries(self, tmp_path):
        path = tmp_path / "search.log"
        lines = [
            line("10:00:08,000", 406, searchers={"gone": ["i-7"], "ready": ["i-8"]}),
            line("10:00:08,100", 406, searchers={"gone": ["i-9"]}),
            line("10:00:09,000", 405, request="r1", searchers={"shard-1": ["i-6", "i-7"]}),
            line("10:00:09,600", 520, request="r1", status=200, ms=112.0, reason="objective"),
        ]
        path.write_text("\n".join(lines))
        assert [entry.event for entry in explain("r1", [path]).lines] == [406, 405, 520]

    def test_an_unknown_request_is_said_so(self, log):
        with pytest.raises(NotFound, match="r9"):
            explain("r9", [log])

    def test_a_request_without_an_end_is_said_so(self, tmp_path):
        path = tmp_path / "killed.log"
        path.write_text(line("10:00:09,550", 402, request="r1"))
        assert "killed" in explain("r1", [path]).outcome

    def test_a_file_that_can_not_be_read_is_named(self, tmp_path):
        with pytest.raises(SettingsError, match="nowhere"):
            explain("r1", [tmp_path / "nowhere.log"])


class TestCommand:
    def test_text(self, log, capsys):
        assert main(["explain", "r1", "--logs", str(log)]) == 0
        assert "Request r1: Status 502" in capsys.readouterr().out

    def test_json(self, log, capsys):
        assert main(["explain", "--json", "r1", "--logs", str(log)]) == 0
        assert json.loads(capsys.readouterr().out)["lines"][-1]["event"] == 520
