"""A page with plots over versions: credit, service, prices and latency.

The data come from a folder of journal entries, one JSON file a play, and from saved metrics.
"""

import base64
import html
import io
import json
import re
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from limpethollow.exceptions import SettingsError

_LATENCY = re.compile(r'limpethollow_(\w+)_seconds\{quantile="([\d.]+)"\} (\S+)')
_SHOWN_PRICES = 6
_LEAST_PRICE = 0.002


@dataclass(slots=True, frozen=True)
class Play:
    """A day that was played once.

    Attributes:
        at: When, in the journal's own form.
        site: The deployment.
        day: The day's name.
        worth: What it was worth, after prices.
        served: Share of the credit that was earned.
        failed: Share of requests that failed.
        broken: Rules that were broken.
        prices: What was taken off, by name.
    """

    at: str
    site: str
    day: str
    worth: float
    served: float
    failed: float
    broken: tuple[str, ...] = ()
    prices: dict[str, float] = field(default_factory=dict)


def read_journal(folder: Path) -> list[Play]:
    """Read all plays of a journal, oldest first.

    Raises:
        SettingsError: The folder has no entry, or one can't be read; the message names it.
    """
    plays = [play for path in sorted(folder.glob("*.json")) for play in _read_entry(path)]
    if not plays:
        raise SettingsError(f"{folder}: no journal entry with a day is there.")
    return sorted(plays, key=lambda play: play.at)


def read_latencies(path: Path) -> dict[str, dict[str, float]]:
    """Read the latency quantiles of a saved metrics page, in seconds, by histogram."""
    found: dict[str, dict[str, float]] = defaultdict(dict)
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: can't be read ({error}).") from None
    for name, quantile, seconds in _LATENCY.findall(text):
        found[name][quantile] = float(seconds)
    if not found:
        raise SettingsError(f"{path}: has no latencies; save a process's metrics page there.")
    return dict(found)


def write_report(out: Path, plays: list[Play], metrics: Iterable[Path]) -> Path:
    """Write the page.

    Args:
        out: Where to write it, as HTML with the plots inside.
        plays: The plays.
        metrics: Saved metrics pages, oldest first.

    Raises:
        SettingsError: The plotting library is not installed, or a file can't be read.
    """
    latencies = {path.stem: read_latencies(path) for path in metrics}
    sections = [_section(site, _of(plays, site)) for site in sorted({play.site for play in plays})]
    if latencies:
        sections.append(f"<h2>Latency</h2>{_plot_latencies(latencies)}")
    out.write_text(f"<!doctype html><title>limpethollow</title>{''.join(sections)}\n")
    return out


def _read_entry(path: Path) -> list[Play]:
    try:
        entry = json.loads(path.read_text())
        return [_play(entry, day) for day in entry.get("days") or []]
    except (OSError, ValueError, KeyError, TypeError, AttributeError, IndexError) as error:
        raise SettingsError(f"{path}: is no journal entry ({error!r}).") from None


def _play(entry: dict[str, Any], day: dict[str, Any]) -> Play:
    return Play(
        entry["at"][0],
        entry["site"],
        day["name"],
        day["G"],
        day["served"],
        day["failed"],
        tuple(sorted(day["rules"])),
        {name: taken for name, _, taken in day["prices"] if taken >= _LEAST_PRICE},
    )


def _of(plays: list[Play], site: str) -> list[Play]:
    return [play for play in plays if play.site == site]


def _section(site: str, plays: list[Play]) -> str:
    broken = [f"{play.at} {play.day}: {', '.join(play.broken)}" for play in plays if play.broken]
    lines = "".join(f"<li>{html.escape(line)}</li>" for line in broken)
    return (
        f"<h2>{html.escape(site)}</h2>{_plot_worth(plays)}{_plot_prices(plays)}"
        f"<p>{len(plays)} plays, {len(broken)} with a rule broken.</p><ul>{lines}</ul>"
    )


def _plot_worth(plays: list[Play]) -> str:
    figure, axes = _figure("worth of each play, by day")
    for day, of_day in _by_day(plays).items():
        axes.plot([play.at for play in of_day], [play.worth for play in of_day], "o-", label=day)
    return _image(figure, axes)


def _plot_prices(plays: list[Play]) -> str:
    figure, axes = _figure("what prices take off, mean over the plays of a moment")
    totals: dict[str, float] = defaultdict(float)
    for play in plays:
        for name, taken in play.prices.items():
            totals[name] += taken
    for name in sorted(totals, key=totals.__getitem__, reverse=True)[:_SHOWN_PRICES]:
        shown = [(play.at, play.prices[name]) for play in plays if name in play.prices]
        axes.plot([at for at, _ in shown], [taken for _, taken in shown], ".", label=name)
    return _image(figure, axes)


def _plot_latencies(latencies: dict[str, dict[str, dict[str, float]]]) -> str:
    figure, axes = _figure("latency in ms, by saved page")
    series: dict[str, list[tuple[str, float]]] = defaultdict(list)
    for page, histograms in latencies.items():
        for name, quantiles in histograms.items():
            for quantile, seconds in quantiles.items():
                series[f"{name} p{float(quantile) * 100:g}"].append((page, seconds * 1000))
    for label, points in sorted(series.items()):
        axes.plot([page for page, _ in points], [ms for _, ms in points], "o-", label=label)
    return _image(figure, axes)


def _by_day(plays: list[Play]) -> dict[str, list[Play]]:
    """Return the plays of the days that were played more than once."""
    found: dict[str, list[Play]] = defaultdict(list)
    for play in plays:
        found[play.day].append(play)
    repeated = {day: of_day for day, of_day in sorted(found.items()) if len(of_day) > 1}
    return repeated or dict(found)


def _figure(title: str) -> Any:
    try:
        from matplotlib.figure import Figure
    except ImportError:
        raise SettingsError(
            "The plotting library is not installed.",
            remedy="Install limpethollow with its extra: pip install 'limpethollow[report]'.",
        ) from None
    figure = Figure(figsize=(11, 4), layout="constrained")
    axes = figure.subplots()
    axes.set_title(title)
    axes.tick_params(axis="x", labelrotation=90, labelsize=5)
    return figure, axes


def _image(figure: Any, axes: Any) -> str:
    axes.legend(fontsize=6)
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=110)
    data = base64.b64encode(buffer.getvalue()).decode()
    return f'<img alt="{axes.get_title()}" src="data:image/png;base64,{data}">'
