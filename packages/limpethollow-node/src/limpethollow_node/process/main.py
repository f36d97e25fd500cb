"""Command line of the `limpethollow-node` daemon."""

import signal

if __name__ == "__main__":
    # The settings aren't read again; what asks for that must not end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import argparse
import json
import sys
import threading
import time
from collections.abc import Callable
from contextlib import ExitStack

from limpethollow_node.process import events
from limpethollow_node.process.allocators import return_large_blocks
from limpethollow_node.process.node import Node
from limpethollow_node.process.stderrlogs import configure_logging
from limpethollow_policy.process.startups import (
    MAX_ADDRESS_WAIT_SECONDS,
    StartupWait,
    may_become_available,
)
from limpethollow_wire.exceptions import SettingsError
from limpethollow_wire.settings import NodeSettings

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_LISTEN = 3
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def main(arguments: list[str] | None = None) -> int:
    """Run one instance until it receives SIGTERM or SIGINT.

    Returns:
        0 after a graceful shutdown, 2 if the settings are invalid, 3 if a listener could not be
        bound. The process exits with 4 if closing hangs and the exit is forced.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    options = _make_parser().parse_args(arguments)
    try:
        settings = NodeSettings.load(options.settings)
    except SettingsError as error:
        print(f"limpethollow-node: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    if options.check:
        return EXIT_OK
    configure_logging(settings.log.level, settings.instance.id)
    return_large_blocks()
    return _Run(settings).run()


class _Run:
    """Starts an instance, waiting for its addresses, and runs it until a signal ends it.

    Args:
        settings: The instance's settings.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings
        self._node: Node | None = None
        self._stop = threading.Event()

    def run(self) -> int:
        """Run the instance and return the exit status."""
        # Installed before the listeners are bound: requests may arrive from then on, and a signal
        # without a handler would abort them.
        self._handle_signals(self._signal_received)
        try:
            with ExitStack() as stack:
                node = self._start(stack)
                if node is not None:
                    print(json.dumps({"ready": node.addresses}), flush=True)
                    node.run()
        except OSError as error:
            print(f"limpethollow-node: 'listeners': {error}. Free the port.", file=sys.stderr)
            return EXIT_LISTEN
        finally:
            # The interpreter restores the default actions before it ends.
            self._handle_signals(signal.SIG_IGN)
        return EXIT_OK

    def _start(self, stack: ExitStack) -> Node | None:
        """Return an instance whose listeners are bound; None if it was asked to stop before.

        Raises:
            OSError: A listener can't be bound.
        """
        wait = StartupWait(MAX_ADDRESS_WAIT_SECONDS)
        while not self._stop.is_set():
            is_first = not wait.has_begun
            try:
                self._node = Node(self._settings)
                return stack.enter_context(self._node)
            except OSError as error:
                pause = wait.failed(time.monotonic()) if may_become_available(error) else None
                if pause is None:
                    raise
                if is_first:
                    events.STARTUP_WAITING.log(error=str(error))
                self._stop.wait(pause)
        return None

    def _signal_received(self, *_: object) -> None:
        """Request the shutdown; a second signal ends all waiting, further ones are ignored."""
        # A handler that is interrupted by the next signal would be called within itself.
        self._handle_signals(signal.SIG_IGN)
        is_second = self._stop.is_set()
        self._stop.set()
        if self._node is not None:
            self._node.lifecycle.request_shutdown()
        if not is_second:
            self._handle_signals(self._signal_received)

    def _handle_signals(self, handler: Callable[..., None] | signal.Handlers) -> None:
        for number in _STOP_SIGNALS:
            signal.signal(number, handler)


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="limpethollow-node", description="Runs one limpethollow instance."
    )
    parser.add_argument("--settings", required=True, help="path of the TOML settings file")
    parser.add_argument("--check", action="store_true", help="check the settings and stop")
    return parser


if __name__ == "__main__":
    sys.exit(main())
