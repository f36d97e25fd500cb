"""Waits at the start for what the machine may provide a moment later."""

import contextlib
import time
from collections.abc import Callable
from pathlib import Path
from types import ModuleType
from typing import TypeVar

from limpethollow_node.platform.listeners import Listeners
from limpethollow_node.platform.settings import (
    IncompleteSettingsError,
    PlatformSettings,
    load_settings,
)
from limpethollow_policy.process.startups import (
    MAX_ADDRESS_WAIT_SECONDS,
    MAX_SETTINGS_WAIT_SECONDS,
    StartupWait,
    may_become_available,
)
from limpethollow_wire.exceptions import SettingsError

T = TypeVar("T")


def startup_events() -> ModuleType:
    """Return the log events, ready to be written before the program is loaded.

    They are loaded only if there is something to log, since the listeners are bound first.
    """
    from limpethollow_node.process import events
    from limpethollow_node.process.stdoutlogs import configure_stdout_logging

    configure_stdout_logging()
    return events


def read_settings(path: Path) -> PlatformSettings:
    """Read and check the settings file, and wait while it may be being written.

    Raises:
        SettingsError: The file can't be read or is invalid.
    """
    wait = StartupWait(MAX_SETTINGS_WAIT_SECONDS)
    return _retry(lambda: load_settings(path), IncompleteSettingsError, lambda _: True, wait)


def open_listeners(settings: PlatformSettings, path: Path) -> tuple[PlatformSettings, Listeners]:
    """Open all listeners, and wait for addresses that are not available yet.

    Returns:
        The settings, which may have changed during the wait, and the listeners.

    Raises:
        OSError: An address can't be bound.
    """
    wait = StartupWait(MAX_ADDRESS_WAIT_SECONDS)
    newest = settings

    def attempt() -> tuple[PlatformSettings, Listeners]:
        nonlocal newest
        if wait.has_begun:
            with contextlib.suppress(SettingsError):
                newest = load_settings(path)
        return newest, Listeners.open(newest)

    return _retry(attempt, OSError, may_become_available, wait)


def _retry(
    attempt: Callable[[], T],
    kind: type[Exception],
    is_temporary: Callable[[Exception], bool],
    wait: StartupWait,
) -> T:
    """Return the result of the first attempt that succeeds."""
    while True:
        try:
            result = attempt()
        except kind as error:
            is_first = not wait.has_begun
            pause = wait.failed(time.monotonic()) if is_temporary(error) else None
            if pause is None:
                raise
            if is_first:
                startup_events().STARTUP_WAITING.log(error=str(error))
            time.sleep(pause)
            continue
        if wait.has_begun:
            waited = round(wait.seconds(time.monotonic()), 3)
            startup_events().STARTUP_CONTINUED.log(waited_s=waited)
        return result
