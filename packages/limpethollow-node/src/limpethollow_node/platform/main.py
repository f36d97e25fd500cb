"""Command line that starts a process on the platform."""

import signal

if __name__ == "__main__":
    # SIGHUP asks for a reload of the settings, but during the imports below it would end the
    # process. Ignoring it loses nothing: the settings are read again once signals are handled.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import argparse
import contextlib
import faulthandler
import sys

from limpethollow_node.platform.listeners import Listeners
from limpethollow_node.platform.settings import PlatformSettings, load_settings, settings_path
from limpethollow_node.platform.startup import open_listeners, read_settings, startup_events
from limpethollow_node.process.garbage import StartupWithoutCollection
from limpethollow_node.process.usage import raise_descriptor_limit
from limpethollow_wire.exceptions import SettingsError

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_LISTEN = 3
_STDERR_DESCRIPTOR = 2


def main(arguments: list[str] | None = None) -> int:
    """Run one process until the platform stops it.

    Returns:
        0 after a graceful shutdown, 1 after an unexpected error, 2 for invalid settings, 3 if a
        listener could not be opened.
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
        # Bind the listeners before importing the rest of the program, which takes 0.13 s. When all
        # instances restart after an outage, connections made during the import wait in the accept
        # queue and are served; a refused connection would cost the caller its only retry.
        settings, listeners = open_listeners(settings, path)
    except OSError as error:
        return _fail(EXIT_LISTEN, f"'listen': {error}. Free the port.")
    try:
        _serve(settings, listeners)
    except Exception as error:
        startup_events().UNEXPECTED_ERROR.log(where="process", error=repr(error), exc_info=True)
        raise
    return EXIT_OK


def _serve(settings: PlatformSettings, listeners: Listeners) -> None:
    # Writes a traceback to standard error where a library ends the process by a signal.
    faulthandler.enable(file=_STDERR_DESCRIPTOR)
    raise_descriptor_limit(settings.limits.max_fds)
    with StartupWithoutCollection():
        from limpethollow_node.platform.runner import run

    run(settings, listeners)


def _fail(status: int, error: str, *, is_logged: bool = True) -> int:
    """Report why the process ends, and return its exit status."""
    with contextlib.suppress(OSError):
        print(f"limpethollow-platform: {error}", file=sys.stderr, flush=True)
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


if __name__ == "__main__":
    sys.exit(main())
