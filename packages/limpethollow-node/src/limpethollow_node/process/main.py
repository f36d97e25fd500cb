"""Command line of the daemon."""

import argparse
import json
import signal
import sys

from limpethollow_node.process.logs import start_logs
from limpethollow_node.process.node import Node
from limpethollow_wire.exceptions import SettingsError
from limpethollow_wire.settings import NodeSettings

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_LISTEN = 3


def main(arguments: list[str] | None = None) -> int:
    """Run one instance until it is asked to stop.

    Returns:
        0 after a graceful shutdown, 2 for a mistake in the settings, 3 where a listener could not
        be bound; the process itself exits with 4 where closing hung and the exit was forced.
    """
    options = _parser().parse_args(arguments)
    try:
        settings = NodeSettings.load(options.settings)
    except SettingsError as error:
        print(f"limpethollow-node: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    if options.check:
        return EXIT_OK
    start_logs(settings.log.level, settings.instance.id)
    return _serve(settings)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="limpethollow-node", description="Runs one limpethollow instance."
    )
    parser.add_argument("--settings", required=True, help="path of the TOML settings file")
    parser.add_argument("--check", action="store_true", help="check the settings and stop")
    return parser


def _serve(settings: NodeSettings) -> int:
    try:
        node = Node(settings)
        # Before the listeners are bound: a request may arrive as soon as they are, and a signal
        # without its handler would cut it off.
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
