"""Command line of the `limpethollow-node` daemon."""

import argparse
import json
import signal
import sys

from limpethollow_node.process.allocators import return_large_blocks
from limpethollow_node.process.node import Node
from limpethollow_node.process.stderrlogs import configure_logging
from limpethollow_wire.exceptions import SettingsError
from limpethollow_wire.settings import NodeSettings

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_LISTEN = 3


def main(arguments: list[str] | None = None) -> int:
    """Run one instance until it receives SIGTERM or SIGINT.

    Returns:
        0 after a graceful shutdown, 2 if the settings are invalid, 3 if a listener could not be
        bound. The process exits with 4 if closing hangs and the exit is forced.
    """
    options = _make_parser().parse_args(arguments)
    try:
        settings = NodeSettings.load(options.settings)
    except SettingsError as error:
        print(f"limpethollow-node: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    if options.check:
        return EXIT_OK
    return_large_blocks()
    configure_logging(settings.log.level, settings.instance.id)
    return _serve(settings)


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="limpethollow-node", description="Runs one limpethollow instance."
    )
    parser.add_argument("--settings", required=True, help="path of the TOML settings file")
    parser.add_argument("--check", action="store_true", help="check the settings and stop")
    return parser


def _serve(settings: NodeSettings) -> int:
    try:
        node = Node(settings)
        # Installed before the listeners are bound: requests may arrive from then on, and a signal
        # without a handler would abort them.
        signal.signal(signal.SIGTERM, lambda *_: node.lifecycle.request_shutdown())
        signal.signal(signal.SIGINT, lambda *_: node.lifecycle.request_shutdown())
        with node:
            print(json.dumps({"ready": node.addresses}), flush=True)
            node.run()
    except OSError as error:
        print(f"limpethollow-node: 'listeners': {error}. Free the port.", file=sys.stderr)
        return EXIT_LISTEN
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
