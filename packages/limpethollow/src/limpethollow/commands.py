"""The commands of the command line, each registered with its arguments."""

import argparse
import os
import re
from collections.abc import Callable
from dataclasses import dataclass
from importlib.metadata import version
from pathlib import Path
from typing import Any

import msgspec

from limpethollow.exceptions import SettingsError
from limpethollow.explanations import explain
from limpethollow.models import BookingOutcome, Confirmation, Intent, OutcomeState, SearchAnswer
from limpethollow.operators import Operator
from limpethollow.reports import read_journal, write_report
from limpethollow.sessions import Session
from limpethollow.statuses import ProcessStatus, read_status
from limpethollow_wire.keys import key_digest
from limpethollow_wire.settings import NodeSettings, load_toml

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_PARTIAL = 3

AddArguments = Callable[[argparse.ArgumentParser], None]


@dataclass(slots=True, frozen=True)
class Command:
    """One command.

    Attributes:
        run: Carries it out and returns its result.
        summary: One line of help.
        add_arguments: Declare its arguments.
    """

    run: Callable[[argparse.Namespace], Any]
    summary: str
    add_arguments: tuple[AddArguments, ...]


COMMANDS: dict[str, Command] = {}


def command(name: str, summary: str, *add_arguments: AddArguments) -> Callable[[Any], Any]:
    """Register a command under its name."""

    def register(run: Callable[[argparse.Namespace], Any]) -> Any:
        COMMANDS[name] = Command(run, summary, add_arguments)
        return run

    return register


def exit_code(result: Any) -> int:
    """Return the exit code of a result: 3 where it is partial or not known, else 0."""
    if isinstance(result, SearchAnswer) and not result.coverage.complete:
        return EXIT_PARTIAL
    if isinstance(result, Confirmation) and result.lacking:
        return EXIT_PARTIAL
    if isinstance(result, ProcessStatus) and result.missing:
        return EXIT_PARTIAL
    if isinstance(result, BookingOutcome):
        return _outcome_code(result)
    return EXIT_OK


def _outcome_code(outcome: BookingOutcome) -> int:
    if outcome.state == OutcomeState.BOOKED:
        return EXIT_OK
    if outcome.state in (OutcomeState.REJECTED, OutcomeState.NOT_RUN):
        return EXIT_REFUSED
    return EXIT_PARTIAL


def _operator_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--operator",
        metavar="HOST:PORT",
        default=os.environ.get("LIMPETHOLLOW_OPERATOR", ""),
        help="operator listener of any instance (or LIMPETHOLLOW_OPERATOR)",
    )
    parser.add_argument(
        "--operator-key-file",
        metavar="FILE",
        help="file with the operators' key (or LIMPETHOLLOW_OPERATOR_KEY)",
    )


def _caller_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("service")
    parser.add_argument(
        "--addresses",
        metavar="HOST:PORT,...",
        default=os.environ.get("LIMPETHOLLOW_ADDRESSES", ""),
        help="instances to ask for routes (or LIMPETHOLLOW_ADDRESSES)",
    )
    parser.add_argument(
        "--key-file", metavar="FILE", help="file with the caller's key (or LIMPETHOLLOW_KEY)"
    )


def _intent_options(parser: argparse.ArgumentParser) -> None:
    wanted = parser.add_mutually_exclusive_group(required=True)
    wanted.add_argument("--file", help="TOML file with the service wanted, as [service]")
    wanted.add_argument("--delete", metavar="SERVICE", help="service to delete")


def _evacuation_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("service")
    parser.add_argument("domain", metavar="FAILURE-DOMAIN")


def _confirm_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("plan", help="id of the plan")
    parser.add_argument(
        "--wait", type=float, default=7.0, metavar="SECONDS", help="wait for it to be in force"
    )


def _search_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--query", default="{}", metavar="JSON", help="object handed to searchers")
    parser.add_argument("--shards", metavar="N,...", help="shards wanted, all where left out")
    parser.add_argument("--deadline", type=float, metavar="SECONDS")
    parser.add_argument(
        "--min-version", type=int, default=0, metavar="N", help="at least this index version"
    )


def _booking_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--shard", type=int, required=True, metavar="N")
    parser.add_argument("--booking", default="{}", metavar="JSON", help="what to book")
    parser.add_argument("--token", help="token of an earlier try of the same booking")
    parser.add_argument("--deadline", type=float, metavar="SECONDS")


def _token_option(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("token")


def _path_option(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "path", help="settings file of an instance, the platform's (JSON), or a deploy file"
    )


def _metrics_address_option(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--metrics",
        metavar="HOST:PORT/PATH",
        help="ask a process on the platform by its metrics address instead",
    )


def _explain_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("request", metavar="REQUEST-ID", help="id of the request")
    parser.add_argument(
        "--logs", nargs="+", required=True, metavar="FILE", help="logs of the processes"
    )


def _report_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--journal", required=True, metavar="FOLDER", help="journal entries")
    parser.add_argument(
        "--metrics", nargs="*", default=[], metavar="FILE", help="saved metrics pages, oldest first"
    )
    parser.add_argument("--out", required=True, metavar="FILE", help="page to write, as HTML")


def _key_file_option(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("key_file", metavar="FILE", help="file with a caller's key")


@command(
    "plan", "state an intent and get a plan; nothing changes", _operator_options, _intent_options
)
def _plan(options: argparse.Namespace) -> Any:
    if options.delete:
        intent = Intent(delete=options.delete)
    else:
        intent = load_toml(Path(options.file), Intent)
    with _operator(options) as operator:
        return operator.plan(intent)


@command(
    "evacuate",
    "get a plan that sends nothing new to a failure domain",
    _operator_options,
    _evacuation_options,
)
def _evacuate(options: argparse.Namespace) -> Any:
    with _operator(options) as operator:
        return operator.plan_evacuation(options.service, options.domain, evacuated=True)


@command(
    "restore",
    "get a plan that uses an evacuated failure domain again",
    _operator_options,
    _evacuation_options,
)
def _restore(options: argparse.Namespace) -> Any:
    with _operator(options) as operator:
        return operator.plan_evacuation(options.service, options.domain, evacuated=False)


@command("confirm", "carry a plan out", _operator_options, _confirm_options)
def _confirm(options: argparse.Namespace) -> Any:
    with _operator(options) as operator:
        return operator.confirm(options.plan, options.wait)


@command("services", "list the services in force", _operator_options)
def _services(options: argparse.Namespace) -> Any:
    with _operator(options) as operator:
        return operator.services()


@command("instances", "list the instances", _operator_options)
def _instances(options: argparse.Namespace) -> Any:
    with _operator(options) as operator:
        return operator.instances()


@command(
    "status", "show what one instance says of itself", _operator_options, _metrics_address_option
)
def _status(options: argparse.Namespace) -> Any:
    if options.metrics:
        return read_status(options.metrics)
    with _operator(options) as operator:
        return operator.status()


@command("metrics", "show one instance's counters and latencies", _operator_options)
def _metrics(options: argparse.Namespace) -> Any:
    with _operator(options) as operator:
        return operator.metrics()


@command("search", "search a service", _caller_options, _search_options)
def _search(options: argparse.Namespace) -> Any:
    query = _json_object("--query", options.query)
    shards = _shard_numbers(options.shards)
    with _session(options) as session:
        return session.search(
            options.service,
            query,
            shards=shards,
            deadline=options.deadline,
            min_version=options.min_version,
        )


@command("book", "book at most once", _caller_options, _booking_options)
def _book(options: argparse.Namespace) -> Any:
    booking = _json_object("--booking", options.booking)
    with _session(options) as session:
        return session.book(
            options.service,
            options.shard,
            booking,
            token=options.token,
            deadline=options.deadline,
        )


@command("look-up", "ask what became of a booking", _caller_options, _token_option)
def _look_up(options: argparse.Namespace) -> Any:
    with _session(options) as session:
        return session.look_up(options.service, options.token)


@command("check-config", "check an instance's settings file", _path_option)
def _check_config(options: argparse.Namespace) -> Any:
    path = Path(options.path)
    if path.suffix == ".json" or _has_roles(path):
        return {"path": options.path, "for": _platform_check(path), "valid": True}
    settings = NodeSettings.load(options.path)
    return {"path": options.path, "instance": settings.instance.id, "valid": True}


def _has_roles(path: Path) -> bool:
    """Return whether a file is a deploy file, by its table of roles."""
    return path.is_file() and re.search(rb"^\s*\[roles\.", path.read_bytes(), re.M) is not None


def _platform_check(path: Path) -> str:
    """Check a file of the platform; its names are known to the daemon's package alone."""
    try:
        from limpethollow_node.platform.filechecks import check_file
    except ImportError:
        raise SettingsError(
            f"{path}: this is a file of the platform.",
            remedy="Install limpethollow-node, which can check it.",
        ) from None
    return check_file(path)


@command("key-digest", "print the digest of a caller's key, for a service file", _key_file_option)
def _key_digest(options: argparse.Namespace) -> Any:
    return {"key_sha256": key_digest(_key(options.key_file, ""))}


@command("explain", "tell the story of one request from logs", _explain_options)
def _explain(options: argparse.Namespace) -> Any:
    return explain(options.request, [Path(name) for name in options.logs])


@command("report", "draw worth, prices and latency over versions", _report_options)
def _report(options: argparse.Namespace) -> Any:
    plays = read_journal(Path(options.journal))
    out = write_report(Path(options.out), plays, [Path(name) for name in options.metrics])
    return {"page": str(out), "plays": len(plays)}


@command("version", "show the version")
def _version(options: argparse.Namespace) -> Any:
    return {"limpethollow": version("limpethollow")}


def _operator(options: argparse.Namespace) -> Operator:
    if not options.operator:
        raise SettingsError(
            "No operator listener is named.",
            remedy="Give --operator host:port or set LIMPETHOLLOW_OPERATOR.",
        )
    _check_address("--operator", options.operator)
    key = _key(options.operator_key_file, "LIMPETHOLLOW_OPERATOR_KEY")
    return Operator(options.operator, key)


def _session(options: argparse.Namespace) -> Session:
    addresses = [address.strip() for address in options.addresses.split(",") if address.strip()]
    if not addresses:
        raise SettingsError(
            "No address is named.",
            remedy="Give --addresses host:port,... or set LIMPETHOLLOW_ADDRESSES.",
        )
    for address in addresses:
        _check_address("--addresses", address)
    return Session(addresses, _key(options.key_file, "LIMPETHOLLOW_KEY"))


def _check_address(option: str, address: str) -> None:
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise SettingsError(f"{option}: '{address}' is not host:port.", remedy="Correct it.")


def _key(path: str | None, variable: str) -> str:
    """Read a key from a file, or from the environment; never from the command line.

    Arguments of a process can be read by everybody on the machine.
    """
    if not path:
        return os.environ.get(variable, "")
    try:
        return Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: the key can't be read ({error}).") from None


def _json_object(option: str, text: str) -> dict[str, Any]:
    try:
        return msgspec.json.decode(text, type=dict[str, Any])
    except msgspec.MsgspecError as error:
        raise SettingsError(f"{option}: {error}.", remedy="Give a JSON object.") from None


def _shard_numbers(text: str | None) -> list[int] | None:
    if text is None:
        return None
    try:
        return [int(number) for number in text.split(",")]
    except ValueError:
        raise SettingsError(
            f"--shards: '{text}' is not a list of numbers.", remedy="Write it like 0,1,5."
        ) from None
