"""Command line that starts a process on the platform."""

import signal

if __name__ == "__main__":
    # SIGHUP asks for a reload of the settings, but during the imports below it would end the
    # process. Ignoring it loses nothing: the settings are read after the imports, and the running
    # process checks the file for changes.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import argparse
import sys

from limpethollow_node.platform.settings import PlatformSettings, load_settings, settings_path
from limpethollow_node.platform.startup import open_listeners, read_settings, startup_events
from limpethollow_node.process.garbage import StartupWithoutCollection
from limpethollow_wire.exceptions import SettingsError

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_LISTEN = 3


def main(arguments: list[str] | None = None) -> int:
    """Run one process until the platform stops it.

    Returns:
        0 after a graceful shutdown, 2 for invalid settings, 3 if a listener could not be bound.
    """
    options = _argument_parser().parse_args(arguments)
    try:
        path = settings_path()
        settings = load_settings(path) if options.check else read_settings(path)
    except SettingsError as error:
        return _fail(EXIT_SETTINGS, str(error), is_logged=not options.check)
    if options.check:
        return EXIT_OK
    try:
        _serve(settings)
    except OSError as error:
        return _fail(EXIT_LISTEN, f"'listen': {error}. Free the port.")
    return EXIT_OK


def _fail(status: int, error: str, *, is_logged: bool = True) -> int:
    """Report why the process ends, and return its exit status."""
    print(f"limpethollow-platform: {error}", file=sys.stderr)
    if is_logged:
        startup_events().STARTUP_FAILED.log(status=status, error=error)
    return status


def _argument_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="limpethollow-platform",
        description="Runs one limpethollow process on the users' platform.",
    )
    parser.add_argument("--check", action="store_true", help="check the settings and stop")
    return parser


def _serve(settings: PlatformSettings) -> None:
    # Bind the listeners before importing the rest of the program, which takes 0.13 s. When all
    # instances restart after an outage, connections made during the import wait in the accept
    # queue and are served; a refused connection would cost the caller its only retry.
    listeners = open_listeners(settings)
    with StartupWithoutCollection():
        from limpethollow_node.platform.runner import run

    run(settings, listeners)


if __name__ == "__main__":
    sys.exit(main())
