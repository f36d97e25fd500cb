"""The catalogues in docs/ say what the code does."""

import logging
import re

from limpethollow_node.process.events import catalogue
from tests.support.processes import ROOT

SOURCES = ROOT / "packages"
COUNTED = re.compile(r"\b[Cc]ount\(\s*\"(\w+)\"")
COUNTED_BY_CONSTANT = re.compile(r"\b[Cc]ount\(\s*(_[A-Z_]+)\b")
TIMED = re.compile(r"\b(?:timed|observe)\(\s*\"(\w+)\"")
GAUGE = re.compile(r"\bgauge\(\s*\"(\w+)\"")


def first_column(page: str) -> list[str]:
    """Return the first cell of every table row of a page."""
    text = (ROOT / "docs" / page).read_text()
    return re.findall(r"^\| `?(\w+)`? \|", text, re.M)


def names_in_code(pattern: re.Pattern[str]) -> set[str]:
    found = set()
    for path in SOURCES.rglob("*.py"):
        found |= set(pattern.findall(path.read_text()))
    return found


def constants_in_code() -> set[str]:
    """Return the values of the constants that name a counter."""
    found = set()
    for path in SOURCES.rglob("*.py"):
        text = path.read_text()
        for constant in COUNTED_BY_CONSTANT.findall(text):
            found |= set(re.findall(rf"^{constant} = \"(\w+)\"", text, re.M))
    return found


class TestEventCatalogue:
    def test_every_event_stands_in_the_page_with_its_level_and_text(self):
        page = (ROOT / "docs" / "EVENTS.md").read_text()
        rows = re.findall(r"^\| (\d+) \| (\w+) \| (.+?) \|", page, re.M)
        expected = [
            (str(event.number), logging.getLevelName(event.level), event.text)
            for event in catalogue()
        ]
        assert rows == expected


class TestMetricCatalogue:
    def test_every_metric_in_the_code_stands_in_the_page_and_no_other(self):
        documented = set(first_column("METRICS.md"))
        used = (
            names_in_code(COUNTED)
            | names_in_code(TIMED)
            | names_in_code(GAUGE)
            | constants_in_code()
        )
        used |= {"cpu_seconds_total", "resident_bytes_peak", "threads"}
        used |= {"resident_bytes", "open_descriptors"}
        assert documented - {"metric"} == used
