"""Results of commands as text for people."""

from collections.abc import Callable
from typing import Any, TypeVar

from limpethollow.explanations import Story
from limpethollow.models import BookingOutcome, Confirmation, OutcomeState, Plan, SearchAnswer
from limpethollow.statuses import ProcessStatus
from limpethollow_wire.instances import InstanceStatus
from limpethollow_wire.versions import format_version

T = TypeVar("T")
View = Callable[[Any], list[str]]

_VIEWS: dict[type, View] = {}
_SHOWN_CHANGE_LENGTH = 60


def view(kind: type[T]) -> Callable[[Callable[[T], list[str]]], Callable[[T], list[str]]]:
    """Register the view of one kind of result."""

    def register(show: Callable[[T], list[str]]) -> Callable[[T], list[str]]:
        _VIEWS[kind] = show
        return show

    return register


def to_text(result: Any) -> str:
    """Return a result as text for people."""
    return "\n".join(_VIEWS[type(result)](result))


@view(Story)
def _story(story: Story) -> list[str]:
    lines = [f"Request {story.request}: {story.outcome}"]
    for line in story.lines:
        facts = ", ".join(f"{key}={value}" for key, value in line.facts.items())
        lines.append(f"{line.at}  {line.instance}  [{line.event}] {line.text}: {facts}")
        if line.remedy:
            lines.append(f"    -> {line.remedy}")
    return lines


@view(ProcessStatus)
def _process_status(status: ProcessStatus) -> list[str]:
    follows = "itself" if status.follows_store else "through a relay"
    return [
        "ready" if status.ready else "NOT READY",
        f"  version {status.version}, confirmed {status.version_age:.1f} s ago",
        f"  {status.searchers} searchers, confirmed {status.searchers_age:.1f} s ago",
        f"  {status.instances} instances, {status.linked} others heard",
        f"  follows the store {follows}",
        f"  {status.evacuated} failure domains evacuated",
        *(f"  missing: {line}" for line in status.missing),
    ]


@view(Plan)
def _plan(plan: Plan) -> list[str]:
    lines = [f"Plan {plan.id}", f"  {plan.action} service {plan.service}"]
    lines.append(f"  made against version {format_version(plan.base_version)}")
    for change in plan.changes:
        lines.append(f"  {change.field}: {_short(change.old)} -> {_short(change.new)}")
    if plan.effect:
        effect = plan.effect
        lines.append(f"  shards touched: {_numbers(effect.shards)}")
        lines.append(f"  searchers added: {_names(effect.searchers_added)}")
        lines.append(f"  searchers removed: {_names(effect.searchers_removed)}")
        lines.append(f"  connections per searcher: at most {effect.connections}")
        lines.append(f"  extra calls: at most {effect.extra_load:.0%}")
    lines += [f"  warning: {warning}" for warning in plan.warnings]
    if plan.action == "none":
        return [*lines, "Nothing would change."]
    return [*lines, f"Nothing has changed yet. Carry it out with: limpethollow confirm {plan.id}"]


@view(Confirmation)
def _confirmation(done: Confirmation) -> list[str]:
    lines = [f"Service {done.service} is at version {format_version(done.version)}."]
    lines.append(f"  in force at: {_names(done.in_force)}")
    if done.lacking:
        lines.append(f"  not yet at: {_names(done.lacking)}")
        lines.append("Look again with: limpethollow status")
    return lines


@view(SearchAnswer)
def _search_answer(answer: SearchAnswer) -> list[str]:
    coverage = answer.coverage
    lines = [
        f"{len(coverage.covered)} of {coverage.wanted} shards, index version {coverage.version}, "
        f"partition epoch {coverage.epoch}"
    ]
    lines += [
        f"  shard {missing.shard} is missing: {missing.reason}" for missing in coverage.missing
    ]
    for part in answer.parts:
        lines += [f"  shard {part.shard}: {row}" for row in part.rows]
    return lines


@view(BookingOutcome)
def _booking_outcome(outcome: BookingOutcome) -> list[str]:
    lines = [f"{outcome.state}: token {outcome.token}"]
    if outcome.result:
        lines.append(f"  result: {outcome.result}")
    if outcome.visible_version:
        lines.append(f"  searches see it from index version {outcome.visible_version}")
    if outcome.state == OutcomeState.NOT_RUN:
        lines.append("It was not run and will not be. Book again with a new token.")
    elif outcome.retry_after is not None:
        lines.append(f"Ask again in {outcome.retry_after:g} s: limpethollow look-up. ")
    return lines


@view(InstanceStatus)
def _status(status: InstanceStatus) -> list[str]:
    lines = [
        f"{status.id} (run {status.incarnation}) in {status.failure_domain}: {status.state}",
    ]
    lines += [
        f"  service {name}: version {format_version(version)}"
        for name, version in sorted(status.versions.items())
    ]
    lines += [f"  instance {peer}: {state}" for peer, state in sorted(status.peers.items())]
    return lines


@view(str)
def _text(text: str) -> list[str]:
    return [text.rstrip("\n")]


@view(dict)
def _table(result: dict[str, Any]) -> list[str]:
    """Show a map whose values are scalars or lists of rows."""
    lines = []
    for name, value in result.items():
        if not isinstance(value, list):
            lines.append(f"{name}: {value}")
            continue
        lines += [f"{name}: none"] if not value else []
        lines += [_row(row) for row in value]
    return lines


def _row(row: dict[str, Any]) -> str:
    cells = []
    for name, value in row.items():
        if isinstance(value, dict):
            value = f"{len(value)} fields"
        cells.append(f"{name}={value}")
    return "  ".join(cells)


def _short(text: str) -> str:
    if not text:
        return "(none)"
    return text if len(text) <= _SHOWN_CHANGE_LENGTH else f"{text[:_SHOWN_CHANGE_LENGTH]}..."


def _names(names: tuple[str, ...]) -> str:
    return ", ".join(names) or "none"


def _numbers(numbers: tuple[int, ...]) -> str:
    """Write numbers as ranges, such as 0-3, 7."""
    ranges: list[list[int]] = []
    for number in sorted(numbers):
        if ranges and number == ranges[-1][1] + 1:
            ranges[-1][1] = number
        else:
            ranges.append([number, number])
    return ", ".join(str(a) if a == b else f"{a}-{b}" for a, b in ranges) or "none"
