"""Command line for callers and operators."""

import argparse
import json
import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from limpethollow.operators import Operator
from limpethollow.sessions import Session
from limpethollow_wire.codecs import to_plain
from limpethollow_wire.exceptions import LimpethollowError, SettingsError
from limpethollow_wire.plans import Intent
from limpethollow_wire.settings import NodeSettings, load_toml

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2

Command = Callable[[argparse.Namespace], Any]
_COMMANDS: dict[str, tuple[Command, str, Callable[[argparse.ArgumentParser], None]]] = {}


def main(arguments: list[str] | None = None) -> int:
    """Run one command.

    Returns:
        0 where it was done, 1 where the system refused it, 2 for a mistake in the command line or
        in a settings file.
    """
    options = _parser().parse_args(arguments)
    command = _COMMANDS[options.command][0]
    try:
        result = command(options)
    except SettingsError as error:
        return _fail(error, options, EXIT_USAGE)
    except LimpethollowError as error:
        return _fail(error, options, EXIT_REFUSED)
    _show(result, as_json=options.json)
    return EXIT_OK


def _command(
    name: str, summary: str, *add_arguments: Callable[[argparse.ArgumentParser], None]
) -> Callable[[Command], Command]:
    def add_all(parser: argparse.ArgumentParser) -> None:
        for add in add_arguments:
            add(parser)

    def register(command: Command) -> Command:
        _COMMANDS[name] = (command, summary, add_all)
        return command

    return register


def _for_operators(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--operator", default=os.environ.get("LIMPETHOLLOW_OPERATOR", ""))
    parser.add_argument("--operator-key", default=os.environ.get("LIMPETHOLLOW_OPERATOR_KEY", ""))


def _for_callers(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("service")
    parser.add_argument("--addresses", default=os.environ.get("LIMPETHOLLOW_ADDRESSES", ""))
    parser.add_argument("--key", default=os.environ.get("LIMPETHOLLOW_KEY", ""))


def _for_plans(parser: argparse.ArgumentParser) -> None:
    wanted = parser.add_mutually_exclusive_group(required=True)
    wanted.add_argument("--file", help="TOML file with the service wanted")
    wanted.add_argument("--delete", metavar="SERVICE", help="service to delete")


def _for_confirms(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("plan")
    parser.add_argument("--wait", type=float, default=7.0)


def _for_searches(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--query", default="{}", help="JSON object")
    parser.add_argument("--deadline", type=float)


def _for_bookings(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--shard", type=int, required=True)
    parser.add_argument("--booking", default="{}", help="JSON object")
    parser.add_argument("--token")


def _for_checks(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("path", help="settings file of an instance")


@_command("plan", "state an intent and get a plan; nothing changes", _for_operators, _for_plans)
def _plan(options: argparse.Namespace) -> Any:
    if options.delete:
        intent = Intent(delete=options.delete)
    else:
        intent = load_toml(Path(options.file), Intent)
    with _operator(options) as operator:
        return operator.plan(intent)


@_command("confirm", "carry a plan out", _for_operators, _for_confirms)
def _confirm(options: argparse.Namespace) -> Any:
    with _operator(options) as operator:
        return operator.confirm(options.plan, options.wait)


@_command("services", "list the services in force", _for_operators)
def _services(options: argparse.Namespace) -> Any:
    with _operator(options) as operator:
        return operator.services()


@_command("instances", "list the instances", _for_operators)
def _instances(options: argparse.Namespace) -> Any:
    with _operator(options) as operator:
        return operator.instances()


@_command("status", "show what one instance says of itself", _for_operators)
def _status(options: argparse.Namespace) -> Any:
    with _operator(options) as operator:
        return operator.status()


@_command("search", "search a service", _for_callers, _for_searches)
def _search(options: argparse.Namespace) -> Any:
    query = _json_object("--query", options.query)
    with _session(options) as session:
        return session.search(options.service, query, deadline=options.deadline)


@_command("book", "book at most once", _for_callers, _for_bookings)
def _book(options: argparse.Namespace) -> Any:
    booking = _json_object("--booking", options.booking)
    with _session(options) as session:
        return session.book(options.service, options.shard, booking, token=options.token)


@_command("check-config", "check an instance's settings file", _for_checks)
def _check_config(options: argparse.Namespace) -> Any:
    settings = NodeSettings.load(options.path)
    return {"path": options.path, "instance": settings.instance.id, "valid": True}


@_command("version", "show the version")
def _version(options: argparse.Namespace) -> Any:
    from importlib.metadata import version

    return {"limpethollow": version("limpethollow")}


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="limpethollow", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    for name, (_, summary, add_arguments) in _COMMANDS.items():
        sub = commands.add_parser(name, help=summary)
        sub.add_argument("--json", action="store_true", help="print JSON")
        add_arguments(sub)
    return parser


def _operator(options: argparse.Namespace) -> Operator:
    if not options.operator:
        raise SettingsError(
            "No operator listener is named.",
            remedy="Give --operator host:port or set LIMPETHOLLOW_OPERATOR.",
        )
    return Operator(options.operator, options.operator_key)


def _session(options: argparse.Namespace) -> Session:
    addresses = [address for address in options.addresses.split(",") if address]
    if not addresses:
        raise SettingsError(
            "No address is named.",
            remedy="Give --addresses host:port,... or set LIMPETHOLLOW_ADDRESSES.",
        )
    return Session(addresses, options.key)


def _json_object(option: str, text: str) -> dict[str, Any]:
    try:
        return msgspec.json.decode(text, type=dict[str, Any])
    except msgspec.MsgspecError as error:
        raise SettingsError(f"{option}: {error}.", remedy="Give a JSON object.") from None


def _fail(error: LimpethollowError, options: argparse.Namespace, code: int) -> int:
    if options.json:
        print(json.dumps(error.to_body()), file=sys.stderr)
    else:
        print(f"limpethollow {options.command}: {error}", file=sys.stderr)
    return code


def _show(result: Any, *, as_json: bool) -> None:
    plain = to_plain(result)
    if as_json:
        print(json.dumps(plain))
    else:
        print(json.dumps(plain, indent=2))


if __name__ == "__main__":
    sys.exit(main())
