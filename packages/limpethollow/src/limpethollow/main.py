"""Command line of limpethollow, for callers and operators.

Exit codes: 0 done; 1 refused, nothing was run; 2 a mistake in the command line or in a file;
3 done in part or not known (shards missing, instances lacking, booking outcome unknown).
"""

import argparse
import json
import sys

from limpethollow.commands import COMMANDS, EXIT_PARTIAL, EXIT_REFUSED, EXIT_USAGE, exit_code
from limpethollow.exceptions import LimpethollowError, OutcomeUnknown, SettingsError
from limpethollow.views import to_text
from limpethollow_wire.codecs import to_plain


def main(arguments: list[str] | None = None) -> int:
    """Run one command.

    Args:
        arguments: The command line, the process's own where left out.

    Returns:
        The exit code.
    """
    options = _parser().parse_args(arguments)
    try:
        result = COMMANDS[options.command].run(options)
    except LimpethollowError as error:
        return _fail(error, options)
    print(json.dumps(to_plain(result)) if options.json else to_text(result))
    return exit_code(result)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="limpethollow",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for name, command in sorted(COMMANDS.items()):
        sub = commands.add_parser(name, help=command.summary, description=command.summary)
        sub.add_argument("--json", action="store_true", help="print JSON")
        for add_arguments in command.add_arguments:
            add_arguments(sub)
    return parser


def _fail(error: LimpethollowError, options: argparse.Namespace) -> int:
    if options.json:
        print(json.dumps(error.to_body()), file=sys.stderr)
    else:
        print(f"limpethollow {options.command}: {error}", file=sys.stderr)
        if error.retry_after is not None:
            print(f"Come back in {error.retry_after:.2g} s.", file=sys.stderr)
    return _error_code(error)


def _error_code(error: LimpethollowError) -> int:
    if isinstance(error, SettingsError):
        return EXIT_USAGE
    return EXIT_PARTIAL if isinstance(error, OutcomeUnknown) else EXIT_REFUSED


if __name__ == "__main__":
    sys.exit(main())
