"""Pages with plots, from journal entries and saved metrics."""

import json

import pytest

from limpethollow.exceptions import SettingsError
from limpethollow.main import main
from limpethollow.reports import read_journal, read_latencies
from tests.support.processes import ROOT


def entry(at: str, worth: float, **rules: int) -> str:
    day = {
        "G": worth,
        "name": "quiet-1",
        "served": 0.9,
        "failed": 0.01,
        "rules": rules,
        "prices": [["machines", 5.0, 0.04], ["exits", 0.0, 0.0]],
    }
    return json.dumps({"at": [at, at], "site": "north", "days": [day]})


class TestJournal:
    def test_plays_come_oldest_first(self, tmp_path):
        (tmp_path / "a.json").write_text(entry("2026-01-02", 0.8))
        (tmp_path / "b.json").write_text(entry("2026-01-01", 0.7, LOST=2))
        plays = read_journal(tmp_path)
        assert [play.worth for play in plays] == [0.7, 0.8]
        assert plays[0].broken == ("LOST",)
        assert plays[0].prices == {"machines": 0.04}

    def test_the_projects_own_can_be_read(self):
        assert len(read_journal(ROOT / "journal")) > 100

    @pytest.mark.parametrize("text", ["{", '{"days": [{}]}', "[]"])
    def test_what_is_no_entry_is_named(self, tmp_path, text):
        (tmp_path / "bad.json").write_text(text)
        with pytest.raises(SettingsError, match="bad.json"):
            read_journal(tmp_path)


class TestPage:
    def test_it_has_plots_and_names_broken_rules(self, tmp_path):
        journal = tmp_path / "journal"
        journal.mkdir()
        (journal / "a.json").write_text(entry("2026-01-01", 0.7, LOST=2))
        (journal / "b.json").write_text(entry("2026-01-02", 0.8))
        metrics = tmp_path / "monday.txt"
        metrics.write_text('limpethollow_request_seconds{quantile="0.99"} 0.12\n')
        out = tmp_path / "page.html"
        arguments = ["report", "--journal", str(journal), "--out", str(out)]
        assert main([*arguments, "--metrics", str(metrics)]) == 0
        page = out.read_text()
        assert page.count("data:image/png") == 3
        assert "LOST" in page

    def test_a_page_without_latencies_is_refused(self, tmp_path):
        path = tmp_path / "none.txt"
        path.write_text("limpethollow_threads 3\n")
        with pytest.raises(SettingsError, match=r"none\.txt"):
            read_latencies(path)
