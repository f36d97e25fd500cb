"""Command line of a process on the platform."""

import argparse
import asyncio
import signal
import sys

import uvloop

from limpethollow_node.platform.process import PlatformProcess
from limpethollow_node.platform.settings import PlatformSettings, load_settings, settings_path
from limpethollow_node.process.stdoutlogs import StdoutHandler, start_stdout_logs
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
    logs = start_stdout_logs(settings.node_name)
    try:
        # On uvloop a shard call takes 0.108 ms of processor time, all included, against 0.142 ms on
        # the library's own loop (benchmarks/engines.py, five rounds of 120 searches).
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_serve(settings, logs))
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


async def _serve(settings: PlatformSettings, logs: StdoutHandler) -> None:
    process = PlatformProcess(settings, logs)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, process.ask_to_leave)
    loop.add_signal_handler(signal.SIGINT, process.ask_to_leave)
    loop.add_signal_handler(signal.SIGHUP, process.reload_settings)
    await process.run()


if __name__ == "__main__":
    sys.exit(main())
