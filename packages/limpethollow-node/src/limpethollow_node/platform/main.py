"""Command line of a process on the platform."""

import signal

if __name__ == "__main__":
    # A reload signal that comes while the rest is imported would end the process. The settings are
    # read after that, and looked at again once it runs.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import argparse
import sys

from limpethollow_node.platform.doors import Doors
from limpethollow_node.platform.settings import PlatformSettings, load_settings, settings_path
from limpethollow_node.process.garbage import QuietStart
from limpethollow_wire.exceptions import SettingsError

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_LISTEN = 3


def main(arguments: list[str] | None = None) -> int:
    """Run one process until the platform stops it.

    Returns:
        0 after a graceful shutdown, 2 for a mistake in the settings, 3 where a listener could not
        be bound.
    """
    options = _parser().parse_args(arguments)
    try:
        settings = load_settings(settings_path())
    except SettingsError as error:
        print(f"limpethollow-platform: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    if options.check:
        return EXIT_OK
    try:
        _serve(settings)
    except OSError as error:
        print(f"limpethollow-platform: 'listen': {error}. Free the port.", file=sys.stderr)
        return EXIT_LISTEN
    return EXIT_OK


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="limpethollow-platform",
        description="Runs one limpethollow process on the users' platform.",
    )
    parser.add_argument("--check", action="store_true", help="check the settings and stop")
    return parser


def _serve(settings: PlatformSettings) -> None:
    # The listeners are bound before the rest of the program is imported, which takes 0.13 s of a
    # start. After an outage of all instances, callers' connections of that time wait in the queue
    # and are served; refused ones cost a caller its only repeat.
    doors = Doors.open(settings.listen)
    with QuietStart():
        from limpethollow_node.platform.runner import run

    run(settings, doors)


if __name__ == "__main__":
    sys.exit(main())
