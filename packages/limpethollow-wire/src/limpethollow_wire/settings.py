"""Settings of the daemon, read from TOML and checked before anything starts."""

import tomllib
from pathlib import Path
from typing import TypeVar

import msgspec

from limpethollow_wire.exceptions import SettingsError

T = TypeVar("T")

_MIN_KEY_LENGTH = 16


class InstanceSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who this instance is."""

    id: str
    failure_domain: str


class ListenerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the instance listens; port 0 takes a free port, printed in the ready line.

    Attributes:
        host: IP number to bind.
        caller_port: HTTP for callers.
        operator_port: HTTP for operators.
        peer_port: Websockets for other instances.
        threads: Requests from callers handled at once.
    """

    host: str = "127.0.0.1"
    caller_port: int = 0
    operator_port: int = 0
    peer_port: int = 0
    threads: int = 48


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's object API.

    Attributes:
        address: `host:port`.
        timeout: Seconds for one call.
        watch_timeout: Seconds that one watch call may wait.
    """

    address: str
    timeout: float = 2.0
    watch_timeout: float = 20.0


class KeySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Keys of the two inner listeners; callers' keys are part of each service."""

    operator: str
    peer: str


class ShutdownSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds on a graceful shutdown.

    Attributes:
        linger: Seconds to stay useful after the last route answer that names this instance; at
            least the longest route_ttl in force is waited where this is lower.
        bound: Seconds after which the instance exits whatever is still open.
    """

    linger: float = 0.0
    bound: float = 30.0


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Logging: level name."""

    level: str = "INFO"


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one instance."""

    instance: InstanceSettings
    platform: PlatformSettings
    keys: KeySettings
    listeners: ListenerSettings = ListenerSettings()
    shutdown: ShutdownSettings = ShutdownSettings()
    log: LogSettings = LogSettings()

    @classmethod
    def load(cls, path: str | Path) -> "NodeSettings":
        """Read and check a settings file.

        Raises:
            SettingsError: The file can't be read or a key is wrong; the message names both.
        """
        settings = load_toml(path, cls)
        settings._check(path)
        return settings

    def _check(self, path: str | Path) -> None:
        for key, value in (("keys.operator", self.keys.operator), ("keys.peer", self.keys.peer)):
            if len(value) < _MIN_KEY_LENGTH:
                raise SettingsError(
                    f"{path}: '{key}' is shorter than {_MIN_KEY_LENGTH} characters.",
                    remedy="Set a longer random key.",
                )
        if "." in self.instance.id or not self.instance.id:
            raise SettingsError(
                f"{path}: 'instance.id' is empty or has a dot.",
                remedy="Use letters, digits and '-'; booking tokens are split at dots.",
            )
        for key, port in (
            ("listeners.caller_port", self.listeners.caller_port),
            ("listeners.operator_port", self.listeners.operator_port),
            ("listeners.peer_port", self.listeners.peer_port),
        ):
            if not 0 <= port <= 65535:
                raise SettingsError(f"{path}: '{key}' must be 0 to 65535.")


def load_toml(path: str | Path, kind: type[T]) -> T:
    """Read a TOML file into a typed object.

    Raises:
        SettingsError: The file is missing, is not TOML, or a key is wrong or not known.
    """
    try:
        data = tomllib.loads(Path(path).read_text(encoding="utf-8"))
        return msgspec.convert(data, kind)
    except OSError as error:
        raise SettingsError(
            f"{path}: can't be read ({error.strerror}).", remedy="Check the path and its rights."
        ) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: is not TOML ({error}).") from None
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}.") from None
