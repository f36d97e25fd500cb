"""Runs one process on its event loop, with its signals."""

import asyncio
import signal

import uvloop

from limpethollow_node.platform.doors import Doors
from limpethollow_node.platform.process import PlatformProcess
from limpethollow_node.platform.settings import PlatformSettings
from limpethollow_node.process.stdoutlogs import StdoutHandler, start_stdout_logs


def run(settings: PlatformSettings, doors: Doors) -> None:
    """Run until the platform stops the process.

    Args:
        settings: The platform's settings.
        doors: The listeners for callers.
    """
    logs = start_stdout_logs(settings.node_name)
    # On uvloop a shard call takes 0.108 ms of processor time, all included, against 0.142 ms on
    # the library's own loop (benchmarks/engines.py, five rounds of 120 searches).
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_run(settings, doors, logs))


async def _run(settings: PlatformSettings, doors: Doors, logs: StdoutHandler) -> None:
    process = PlatformProcess(settings, doors, logs)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, process.request_shutdown)
    loop.add_signal_handler(signal.SIGINT, process.request_shutdown)
    loop.add_signal_handler(signal.SIGHUP, process.reload_settings)
    await process.run()
